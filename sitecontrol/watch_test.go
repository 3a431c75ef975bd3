package sitecontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
)

// Guards against a proxy of an earlier version that takes a difference for the whole
// list, and drops all other upstreams.
func TestOnlyProxiesThatAskForThemGetDifferences(t *testing.T) {
	a, b := &pb.SiteUpstream{Id: "a"}, &pb.SiteUpstream{Id: "b"}
	members := []string{"c1"}
	for _, asked := range []bool{false, true} {
		w := &watcher{differences: asked}
		first := w.update(&pb.SiteState{Upstreams: []*pb.SiteUpstream{a}}, 1, members)
		assert.Assert(t, first.Topology && !first.Difference, "the first update holds everything")
		second := w.update(&pb.SiteState{Upstreams: []*pb.SiteUpstream{a, b}}, 2, members)
		assert.Equal(t, second.Difference, asked)
		if asked {
			assert.Equal(t, len(second.Upstreams), 1)
			assert.Equal(t, second.Upstreams[0].Id, "b")
		} else {
			assert.Equal(t, len(second.Upstreams), 2)
		}
		third := w.update(&pb.SiteState{Upstreams: []*pb.SiteUpstream{b}}, 3, members)
		if asked {
			assert.DeepEqual(t, third.RemovedUpstreams, []string{"a"})
		} else {
			assert.Equal(t, len(third.Upstreams), 1)
		}
		assert.Assert(t, !w.update(&pb.SiteState{Upstreams: []*pb.SiteUpstream{b}}, 3, members).Topology, "nothing has changed")
	}
}
