package site

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
)

// testLog applies commands to a state with rising indexes, as the consensus does.
type testLog struct {
	t     *testing.T
	state *State
	index uint64
}

func newTestLog(t *testing.T) *testLog { return &testLog{t: t, state: NewState()} }

// apply applies a command at the next index and reports whether it changed the
// state.
func (l *testLog) apply(c *pb.SiteCommand) bool {
	l.t.Helper()
	l.index++
	command, err := proto.Marshal(c)
	assert.NilError(l.t, err)
	var result pb.SiteCommandResult
	assert.NilError(l.t, proto.Unmarshal(l.state.Apply(l.index, command), &result))
	assert.Equal(l.t, result.Index, l.index)
	return result.Changed
}

func (l *testLog) store(version uint64, document string) bool {
	config := &pb.SiteConfig{Version: version}
	return l.apply(&pb.SiteCommand{Command: &pb.SiteCommand_StoreConfig{
		StoreConfig: &pb.StoreConfig{Config: config, Document: []byte(document)},
	}})
}

func (l *testLog) record(id, address string, born int64, sequence uint64) bool {
	return l.apply(&pb.SiteCommand{Command: &pb.SiteCommand_RecordUpstream{
		RecordUpstream: &pb.SiteUpstream{Id: id, Group: "g", Address: address, BornMs: born, Sequence: sequence},
	}})
}

func (l *testLog) order(upstream string, previous uint64) bool {
	return l.apply(&pb.SiteCommand{Command: &pb.SiteCommand_OrderPrimary{
		OrderPrimary: &pb.OrderPrimary{Group: "g", Upstream: upstream, PreviousOrder: previous},
	}})
}

func (l *testLog) current() *pb.SiteState {
	state, _, _ := l.state.Current()
	return state
}

// Guards against configurations of two operators that are stored concurrently: a
// later log entry must not replace a higher version, nor the same version with
// other content.
func TestOnlyAHigherVersionIsStored(t *testing.T) {
	l := newTestLog(t)
	assert.Assert(t, l.store(0, "zero"), "the first configuration may have version 0")
	assert.Assert(t, l.store(7, "seven"))
	assert.Assert(t, !l.store(5, "five"))
	assert.Assert(t, !l.store(7, "other seven"))
	assert.Equal(t, string(l.current().Document), "seven")
}

// Guards against a delayed announcement of a process that has ended, which would
// replace a later process with the same id or at the same address.
func TestLateAnnouncementsAreNotRecorded(t *testing.T) {
	l := newTestLog(t)
	assert.Assert(t, l.record("a", "10.0.0.1:1", 100, 5))
	assert.Assert(t, !l.record("a", "10.0.0.1:1", 100, 4))
	assert.Assert(t, !l.record("a", "10.0.0.1:1", 90, 9))
	assert.Assert(t, l.record("b", "10.0.0.1:1", 200, 1), "a later process at the address")
	assert.Assert(t, Upstream(l.current(), "a") == nil)
	assert.Assert(t, !l.record("a", "10.0.0.1:1", 100, 6), "the earlier process is gone")
	assert.Assert(t, l.record("b", "10.0.0.1:1", 300, 1), "the same id again, with a new start")
}

// Guards against an upstream that is removed by a delayed removal of the process
// that had the same id before.
func TestOnlyTheNamedProcessIsRemoved(t *testing.T) {
	l := newTestLog(t)
	l.record("a", "10.0.0.1:1", 200, 1)
	remove := func(born int64) bool {
		return l.apply(&pb.SiteCommand{Command: &pb.SiteCommand_RemoveUpstream{
			RemoveUpstream: &pb.RemoveSiteUpstream{Id: "a", BornMs: born},
		}})
	}
	assert.Assert(t, !remove(100))
	assert.Assert(t, remove(200))
}

// Guards against two leaders that order the promotion of different upstreams
// from the same state.
func TestOrdersFollowEachOther(t *testing.T) {
	l := newTestLog(t)
	assert.Assert(t, l.order("a", 0))
	first := Group(l.current(), "g").Order
	assert.Assert(t, !l.order("b", 0), "an order from an old state")
	assert.Assert(t, l.order("b", first))
	second := Group(l.current(), "g")
	assert.Assert(t, second.Order > first && second.OrderOpen && second.Ordered == "b")
	l.apply(&pb.SiteCommand{Command: &pb.SiteCommand_RecordPrimary{RecordPrimary: &pb.RecordPrimary{Group: "g", Upstream: "b"}}})
	done := Group(l.current(), "g")
	assert.Assert(t, done.Primary == "b" && !done.OrderOpen)
}

// Guards against parts of the state that are missing from a snapshot, and against
// returned states that change later.
func TestSnapshotHoldsTheWholeState(t *testing.T) {
	l := newTestLog(t)
	l.store(7, "seven")
	l.record("a", "10.0.0.1:1", 100, 5)
	l.order("a", 0)
	before := proto.Clone(l.current()).(*pb.SiteState)
	handedOut := l.current()
	data, err := l.state.Snapshot()
	assert.NilError(t, err)
	l.store(9, "nine")
	l.record("b", "10.0.0.2:1", 100, 1)
	assert.Assert(t, proto.Equal(handedOut, before))
	restored := NewState()
	assert.NilError(t, restored.Restore(data))
	state, index, _ := restored.Current()
	assert.Assert(t, proto.Equal(state, before))
	assert.Equal(t, index, uint64(3))
	assert.Assert(t, restored.Restore([]byte{0xff}) != nil)
	assert.Assert(t, l.state.Apply(99, []byte{0xff}) != nil, "a broken command changes nothing")
}

// Guards against an upstream that has left and is used again, because an announcement
// that was delayed arrives after its removal, at a leader that has been started since
// and remembers only the log.
func TestRemovedUpstreamStaysRemoved(t *testing.T) {
	l := newTestLog(t)
	remove := func(id string, born int64) {
		l.apply(&pb.SiteCommand{Command: &pb.SiteCommand_RemoveUpstream{RemoveUpstream: &pb.RemoveSiteUpstream{Id: id, BornMs: born}}})
	}
	l.record("a", "10.0.0.1:1", 100, 5)
	remove("a", 100)
	data, err := l.state.Snapshot()
	assert.NilError(t, err)
	restarted := newTestLog(t)
	assert.NilError(t, restarted.state.Restore(data))
	restarted.index = l.index
	assert.Assert(t, !restarted.record("a", "10.0.0.1:1", 100, 4), "a delayed announcement")
	assert.Assert(t, !restarted.record("a", "10.0.0.1:1", 90, 9), "one of an earlier process")
	assert.Assert(t, restarted.record("a", "10.0.0.1:1", 200, 1), "the same id, started again")

	l.record("old", "10.0.0.2:1", 0, 1)
	remove("old", 0)
	assert.Assert(t, l.record("old", "10.0.0.2:1", 0, 1), "processes without a start time cannot be told apart")
	for born := range int64(3 * maxRemoved) {
		l.record("b", "10.0.0.3:1", born+1, 1)
		remove("b", born+1)
	}
	assert.Equal(t, len(l.current().Removed), maxRemoved)
}

// Guards against a record that names no upstream and comes in by another way than an
// announcement: from a log or a snapshot of an earlier version, or in an update.
func TestRecordsThatNameNoUpstreamAreLeftOut(t *testing.T) {
	good := &pb.SiteUpstream{Id: "a", Group: "g", Address: "10.0.0.1:1"}
	odd := []*pb.SiteUpstream{
		{Id: "b", Group: "g", Address: "10.0.0.2:0"},
		{Id: "b c", Group: "g", Address: "10.0.0.2:1"},
		{Id: "b", Group: "g\r\n", Address: "10.0.0.2:1"},
		{Id: "b", Group: "g", Address: "10.0.0.2:01"},
		{Id: "b", Group: "g", Address: "[::ffff:10.0.0.2]:1"},
		{Id: "b", Group: "g", Address: "10.0.0.2:1", BornMs: -1},
		{Id: "b", Group: "g", Address: "10.0.0.2:1", Slots: math.MaxUint32},
		{},
	}
	l := newTestLog(t)
	assert.Assert(t, l.apply(recordCommand(good)))
	for _, u := range odd {
		assert.Assert(t, !l.apply(recordCommand(u)), "%v was recorded", u)
	}
	snapshot, err := proto.Marshal(&pb.SiteSnapshot{State: &pb.SiteState{Upstreams: append(odd, good)}, Index: 9})
	assert.NilError(t, err)
	assert.NilError(t, l.state.Restore(snapshot))
	assert.Assert(t, len(l.current().Upstreams) == 1 && proto.Equal(l.current().Upstreams[0], good))
}
