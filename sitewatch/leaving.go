package sitewatch

import (
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
)

// leavingNotBefore returns ViewParts.LeavingNotBefore for the upstreams of an update
// of known, which was complete at currentAt: an upstream that is new among those that
// leave had not been acknowledged then. How late the update itself arrived is
// unknown, because it may have waited in a buffer while this process was suspended.
func leavingNotBefore(known site.ViewParts, updated []*pb.SiteUpstream, currentAt time.Time) map[string]time.Time {
	previous := make(map[string]*pb.SiteUpstream, len(known.Upstreams))
	for _, u := range known.Upstreams {
		previous[u.Id] = u
	}
	times := make(map[string]time.Time)
	for _, u := range updated {
		before, ok := previous[u.Id]
		switch {
		case !u.Leaving || !ok || before.BornMs != u.BornMs:
		case !before.Leaving:
			times[u.Id] = currentAt
		default:
			times[u.Id] = known.LeavingNotBefore[u.Id]
		}
	}
	return times
}

// leavingIDs returns the ids of the upstreams that have announced that they leave.
func leavingIDs(upstreams []*pb.SiteUpstream) []string {
	var ids []string
	for _, u := range upstreams {
		if u.Leaving {
			ids = append(ids, u.Id)
		}
	}
	return ids
}
