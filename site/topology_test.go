package site

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	pb "lovageslip/gen/lovageslip/v1"
)

func recordCommand(u *pb.SiteUpstream) *pb.SiteCommand {
	return &pb.SiteCommand{Command: &pb.SiteCommand_RecordUpstream{RecordUpstream: u}}
}

func updateBetween(t assert.TestingT, before, after *pb.SiteState) *pb.SiteUpdate {
	d, ok := CompareTopology(before, after)
	assert.Assert(t, ok)
	return &pb.SiteUpdate{Difference: true, Upstreams: d.Upstreams, RemovedUpstreams: d.Removed, Groups: d.Groups}
}

// Guards against a proxy whose upstreams differ from the control hosts': updates are
// built when the proxy can take one, after any number of changes.
func TestDifferencesAddUpToTheState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		log := newTestLog(t)
		sent, _, _ := log.state.Current()
		var upstreams []*pb.SiteUpstream
		var groups []*pb.SiteGroupState
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			id := fmt.Sprintf("u%d", rapid.IntRange(0, 9).Draw(rt, "id"))
			group := fmt.Sprintf("g%d", rapid.IntRange(0, 3).Draw(rt, "group"))
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0, 1:
				log.apply(recordCommand(&pb.SiteUpstream{Id: id, Group: group, Address: rapid.SampledFrom([]string{"10.0.0.1:1", "10.0.0.1:2", "10.0.0.2:1" + id[1:]}).Draw(rt, "address"),
					BornMs: rapid.Int64Range(1, 5).Draw(rt, "born"), Sequence: log.index}))
			case 2:
				born := rapid.Int64Range(1, 5).Draw(rt, "born")
				log.apply(&pb.SiteCommand{Command: &pb.SiteCommand_RemoveUpstream{RemoveUpstream: &pb.RemoveSiteUpstream{Id: id, BornMs: born}}})
			case 3:
				log.apply(&pb.SiteCommand{Command: &pb.SiteCommand_RecordPrimary{RecordPrimary: &pb.RecordPrimary{Group: group, Upstream: id}}})
			case 4:
				// A control host that was behind gets a snapshot, with other objects.
				snapshot, err := log.state.Snapshot()
				assert.NilError(t, err)
				assert.NilError(t, log.state.Restore(snapshot))
			}
			if rapid.Bool().Draw(rt, "update") {
				state, _, _ := log.state.Current()
				upstreams, groups = ApplyTopology(upstreams, groups, updateBetween(t, sent, state))
				sent = state
			}
		}
		state, _, _ := log.state.Current()
		upstreams, groups = ApplyTopology(upstreams, groups, updateBetween(t, sent, state))
		got := &pb.SiteState{Upstreams: upstreams, Groups: groups}
		want := &pb.SiteState{Upstreams: state.Upstreams, Groups: state.Groups}
		assert.Assert(t, proto.Equal(got, want), "got %v, want %v", got, want)
	})
}

// Guards against updates that grow with the site: while 969 upstreams of a site start,
// each of the updates to each of its proxies held all of those that had started.
func TestUpdateOfOneUpstreamDoesNotGrowWithTheSite(t *testing.T) {
	const upstreams, limit = 969, 200 // bytes; one record has about 70
	log := newTestLog(t)
	before, _, _ := log.state.Current()
	for i := range upstreams {
		name := fmt.Sprintf("i-%010d", i)
		log.apply(recordCommand(&pb.SiteUpstream{Id: name, Group: fmt.Sprintf("group-%d", i/3), Address: fmt.Sprintf("10.1.%d.%d:8080", i/256, i%256),
			DataCentre: "here", Slots: 5, BornMs: 1_790_000_000_000, Sequence: 1}))
		after, _, _ := log.state.Current()
		size := proto.Size(updateBetween(t, before, after))
		assert.Assert(t, size <= limit, "%d bytes with %d upstreams", size, i+1)
		before = after
	}
}

// A state without groups that an earlier one had is no successor of it.
func TestUnrelatedStatesHaveNoDifference(t *testing.T) {
	before := &pb.SiteState{Groups: []*pb.SiteGroupState{{Group: "a"}}}
	_, ok := CompareTopology(before, &pb.SiteState{Groups: []*pb.SiteGroupState{{Group: "b"}}})
	assert.Assert(t, !ok)
}
