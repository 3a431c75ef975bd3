package site

import (
	"slices"

	pb "lovageslip/gen/lovageslip/v1"
)

// maxEnded bounds the ended upstreams that the state holds. Each is needed for seconds.
const maxEnded = 1024

// addEnded records an upstream process that has ended, if commits of its group are
// acknowledged by replicas: it may hold one that the others lack.
func addEnded(state *pb.SiteState, u *pb.SiteUpstream) {
	if syncReplicas(state.Config, u.Group) == 0 {
		return
	}
	// Earlier states share the slice, so it is copied.
	latest := state.Ended[max(0, len(state.Ended)+1-maxEnded):]
	state.Ended = append(slices.Clone(latest), &pb.EndedUpstream{Id: u.Id, Group: u.Group, Address: u.Address, BornMs: u.BornMs})
}

// settleEnded drops the ended upstreams to which an upstream that has announced itself is
// the successor: it has their log.
func settleEnded(state *pb.SiteState, u *pb.SiteUpstream) {
	dropEnded(state, func(e *pb.EndedUpstream) bool { return e.Group == u.Group && e.Address == u.Address })
}

// dropUnneededEnded drops the ended upstreams of groups without synchronous replicas.
func dropUnneededEnded(state *pb.SiteState) {
	dropEnded(state, func(e *pb.EndedUpstream) bool { return syncReplicas(state.Config, e.Group) == 0 })
}

func forgetEnded(state *pb.SiteState, c *pb.ForgetEnded) bool {
	return dropEnded(state, func(e *pb.EndedUpstream) bool {
		return slices.ContainsFunc(c.Ended, func(f *pb.EndedUpstream) bool { return f.Id == e.Id && f.BornMs == e.BornMs })
	})
}

// dropEnded drops the ended upstreams that match, and reports whether there were any.
func dropEnded(state *pb.SiteState, match func(*pb.EndedUpstream) bool) bool {
	if !slices.ContainsFunc(state.Ended, match) {
		return false
	}
	state.Ended = slices.DeleteFunc(slices.Clone(state.Ended), match)
	return true
}

func syncReplicas(config *pb.SiteConfig, group string) uint32 {
	for _, g := range config.GetGroups() {
		if g.Name == group {
			return g.SyncReplicas
		}
	}
	return 0
}
