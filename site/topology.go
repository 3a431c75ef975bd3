package site

import (
	"slices"

	pb "lovageslip/gen/lovageslip/v1"
)

// TopologyDifference is what differs in the upstreams and groups of two states.
type TopologyDifference struct {
	// Upstreams and Groups are the records that are new or have changed.
	Upstreams []*pb.SiteUpstream
	Groups    []*pb.SiteGroupState
	// Removed are the ids of the upstreams that have no record any more.
	Removed []string
}

// CompareTopology returns what differs in a later state. It reports false if that lacks
// groups of the earlier one: groups are only ever added, so the two states have no
// common history that a difference could follow.
//
// Records are immutable and keep their order, so that those that are the same object
// are skipped without a look at their content.
func CompareTopology(before, after *pb.SiteState) (d TopologyDifference, ok bool) {
	d.Upstreams, d.Removed = compareRecords(before.Upstreams, after.Upstreams, (*pb.SiteUpstream).GetId)
	groups, removedGroups := compareRecords(before.Groups, after.Groups, (*pb.SiteGroupState).GetGroup)
	d.Groups = groups
	return d, len(removedGroups) == 0
}

// compareRecords returns the records of after that are new or differ from those of
// before, and the names of those that are missing in after.
func compareRecords[R comparable](before, after []R, name func(R) string) (changed []R, removed []string) {
	// Removals shift the records behind them, and additions come at the end.
	rest := before
	for _, r := range after {
		for len(rest) > 0 && rest[0] != r && name(rest[0]) != name(r) {
			removed = append(removed, name(rest[0]))
			rest = rest[1:]
		}
		if len(rest) == 0 || rest[0] != r {
			changed = append(changed, r)
		}
		if len(rest) > 0 {
			rest = rest[1:]
		}
	}
	for _, r := range rest {
		removed = append(removed, name(r))
	}
	return changed, removed
}

// ApplyTopology returns the upstreams and groups of a view after an update. The lists
// of before are not modified.
func ApplyTopology(upstreams []*pb.SiteUpstream, groups []*pb.SiteGroupState, u *pb.SiteUpdate) ([]*pb.SiteUpstream, []*pb.SiteGroupState) {
	if !u.Difference {
		return u.Upstreams, u.Groups
	}
	return applyRecords(upstreams, u.Upstreams, u.RemovedUpstreams, (*pb.SiteUpstream).GetId),
		applyRecords(groups, u.Groups, nil, (*pb.SiteGroupState).GetGroup)
}

// applyRecords removes records by name, and then replaces or adds others.
func applyRecords[R any](records, changed []R, removed []string, name func(R) string) []R {
	if len(changed) == 0 && len(removed) == 0 {
		return records
	}
	gone := make(map[string]bool, len(removed))
	for _, n := range removed {
		gone[n] = true
	}
	next := slices.DeleteFunc(slices.Clone(records), func(r R) bool { return gone[name(r)] })
	at := make(map[string]int, len(next))
	for i, r := range next {
		at[name(r)] = i
	}
	for _, r := range changed {
		if i, ok := at[name(r)]; ok {
			next[i] = r
			continue
		}
		at[name(r)] = len(next)
		next = append(next, r)
	}
	return next
}
