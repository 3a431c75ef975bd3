package controlstate_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
)

const leaderTerm = 1

func apply(s *controlstate.State, cmd *pb.Command) *pb.CommandResult {
	data, _ := proto.Marshal(cmd)
	return controlstate.DecodeResult(s.Apply(0, data))
}

func changeClass(id string, expected uint64, name string) *pb.Command {
	return &pb.Command{Command: &pb.Command_ChangeClass{ChangeClass: &pb.ChangeClassRequest{
		ChangeId: id, ExpectedVersion: expected, Class: &pb.Class{Name: name, WaitMicros: 1000},
	}}}
}

func registerUpstream(name string, leaving bool) *pb.Command {
	return &pb.Command{Command: &pb.Command_Register{Register: &pb.RegisterUpstream{Announce: &pb.AnnounceRequest{
		Name: name, Database: "shop", Address: "127.0.0.1:1", Slots: 1, MaxConnections: 1, Leaving: leaving,
	}}}}
}

func registerHost(name string, incarnation uint64) *pb.Command {
	return &pb.Command{LeaderTerm: leaderTerm, Command: &pb.Command_Host{Host: &pb.RegisterHost{
		Host: &pb.Host{Name: name, Address: "127.0.0.1:2", Incarnation: incarnation},
	}}}
}

func assignOwner(name, owner string, epoch, term uint64) *pb.Command {
	return &pb.Command{LeaderTerm: term, Command: &pb.Command_Assign{Assign: &pb.AssignOwner{
		Upstream: name, Host: owner, ExpectedEpoch: epoch,
	}}}
}

func startPromotion(term uint64) *pb.Command {
	return &pb.Command{LeaderTerm: leaderTerm, Command: &pb.Command_PromotionStarted{
		PromotionStarted: &pb.PromotionStarted{Database: "shop", Term: term},
	}}
}

func choosePrimary(term uint64, name string) *pb.Command {
	return &pb.Command{LeaderTerm: leaderTerm, Command: &pb.Command_PromotionChosen{
		PromotionChosen: &pb.PromotionChosen{Database: "shop", Term: term, Upstream: name},
	}}
}

func restoreFromSnapshot(t *testing.T, s *controlstate.State) *controlstate.State {
	t.Helper()
	data, err := s.Snapshot()
	assert.NilError(t, err)
	other := controlstate.New(controlstate.Options{})
	assert.NilError(t, other.Restore(data))
	return other
}

// Guards against two accepted changes with the same expected version. The second
// one must be refused and name the first one.
func TestSecondChangeOfAVersionGetsTheWinner(t *testing.T) {
	s := controlstate.New(controlstate.Options{})
	first := apply(s, changeClass("one", 0, "short")).GetClassChange()
	second := apply(s, changeClass("two", 0, "long")).GetClassChange()
	assert.Assert(t, !first.GetConflict())
	assert.Assert(t, second.GetConflict())
	assert.Equal(t, second.GetWinner().GetChangeId(), "one")
	assert.Equal(t, len(s.View().Classes), 1)
}

// Guards against applying a change twice when it is sent again after a lost
// answer. It must get its first answer, also from a host that was restored from a
// snapshot.
func TestResentChangeGetsItsFirstAnswerAfterRestore(t *testing.T) {
	s := controlstate.New(controlstate.Options{})
	won := apply(s, changeClass("one", 0, "short")).GetClassChange()
	lost := apply(s, changeClass("two", 0, "long")).GetClassChange()
	apply(s, changeClass("three", 1, "other"))
	for _, state := range []*controlstate.State{s, restoreFromSnapshot(t, s)} {
		version := state.View().Version
		assert.Assert(t, proto.Equal(apply(state, changeClass("one", 0, "short")).GetClassChange(), won))
		assert.Assert(t, proto.Equal(apply(state, changeClass("two", 0, "long")).GetClassChange(), lost))
		assert.Equal(t, state.View().Version, version)
	}
}

// Guards against losing classes after thousands of changes and a restore, and
// against stored answers that grow without limit.
func TestThousandsOfChangesThenRestore(t *testing.T) {
	s := controlstate.New(controlstate.Options{})
	const changes = 9000
	for i := range changes {
		r := apply(s, changeClass(fmt.Sprint("change", i), uint64(i), fmt.Sprint("c", i%50)))
		assert.Assert(t, r.GetApplied())
	}
	other := restoreFromSnapshot(t, s)
	version, classes := other.Classes()
	assert.Equal(t, version, uint64(changes))
	assert.Equal(t, len(classes), 50)
	resent := apply(other, changeClass(fmt.Sprint("change", changes-5000), changes-5000, "c0")).GetClassChange()
	assert.Equal(t, resent.GetVersion(), uint64(changes-5000+1))
	data, err := other.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 2<<20, "snapshot has %d bytes", len(data))
}

// Guards against a command of a replaced leader that is committed late and changes
// an owner after the next leader has started.
func TestCommandOfReplacedLeaderIsRefused(t *testing.T) {
	s := controlstate.New(controlstate.Options{})
	apply(s, registerUpstream("u1", false))
	apply(s, registerHost("p1", 1))
	apply(s, &pb.Command{LeaderTerm: 2, Command: &pb.Command_LeaderStarted{LeaderStarted: &pb.LeaderStarted{}}})
	for _, state := range []*controlstate.State{s, restoreFromSnapshot(t, s)} {
		assert.Assert(t, !apply(state, assignOwner("u1", "p1", 0, 1)).GetApplied())
		assert.Assert(t, !apply(state, assignOwner("u1", "p1", 0, 0)).GetApplied())
		assert.Equal(t, state.View().Upstreams["u1"].Owner, "")
	}
}

// Guards against two owners of one upstream when two assignments expect the same
// epoch.
func TestSecondAssignmentOfAnEpochIsRefused(t *testing.T) {
	s := controlstate.New(controlstate.Options{})
	apply(s, registerUpstream("u1", false))
	apply(s, registerHost("p1", 1))
	apply(s, registerHost("p2", 1))
	assert.Assert(t, apply(s, assignOwner("u1", "p1", 0, leaderTerm)).GetApplied())
	assert.Assert(t, !apply(s, assignOwner("u1", "p2", 0, leaderTerm)).GetApplied())
	assert.Equal(t, s.View().Upstreams["u1"].Owner, "p1")
	assert.Equal(t, s.View().Upstreams["u1"].OwnerAddress, "127.0.0.1:2")
}

// Guards against a restarted host that goes on as owner under the epoch of its
// earlier process.
func TestRestartedHostLosesItsUpstreams(t *testing.T) {
	s := controlstate.New(controlstate.Options{})
	apply(s, registerUpstream("u1", false))
	apply(s, registerHost("p1", 1))
	apply(s, assignOwner("u1", "p1", 0, leaderTerm))
	apply(s, registerHost("p1", 2))
	assert.Equal(t, s.View().Upstreams["u1"].Owner, "")
	assert.Equal(t, s.View().Upstreams["u1"].OwnerEpoch, uint64(2))
}

// Guards against two primaries in one term: a term can be started once, and one
// upstream can be chosen in it.
func TestOneChoicePerTerm(t *testing.T) {
	s := controlstate.New(controlstate.Options{})
	for _, name := range []string{"a", "b"} {
		apply(s, registerUpstream(name, false))
	}
	assert.Assert(t, apply(s, startPromotion(2)).GetApplied())
	assert.Assert(t, !apply(s, startPromotion(2)).GetApplied())
	assert.Assert(t, !apply(s, startPromotion(1)).GetApplied())
	assert.Assert(t, !apply(s, choosePrimary(2, "x")).GetApplied())
	assert.Assert(t, apply(s, choosePrimary(2, "a")).GetApplied())
	assert.Assert(t, !apply(s, choosePrimary(2, "b")).GetApplied())
	assert.Equal(t, s.View().Groups["shop"].Primary, "")
	finish := &pb.Command{LeaderTerm: leaderTerm, Command: &pb.Command_PromotionFinished{
		PromotionFinished: &pb.PromotionFinished{Database: "shop", Term: 2},
	}}
	assert.Assert(t, apply(s, finish).GetApplied())
	assert.Equal(t, s.View().Groups["shop"].Primary, "a")
}

// Guards against requests that are refused without need or served with an outdated
// configuration. A proxy refuses requests while its config version is behind, so
// that version must increase with the changes that affect requests and no others.
func TestConfigVersionRisesOnlyWithWhatRequestsDependOn(t *testing.T) {
	s := controlstate.New(controlstate.Options{})
	rises := func(cmd *pb.Command) bool {
		before := s.View()
		apply(s, cmd)
		assert.Equal(t, s.View().Version, before.Version+1)
		return s.View().ConfigVersion > before.ConfigVersion
	}
	assert.Assert(t, !rises(registerUpstream("u1", false)))
	assert.Assert(t, !rises(registerHost("p1", 1)))
	assert.Assert(t, rises(assignOwner("u1", "p1", 0, leaderTerm)))
	assert.Assert(t, rises(registerUpstream("u1", true)))
	assert.Assert(t, rises(changeClass("one", 0, "short")))
	assert.Assert(t, rises(startPromotion(5)))
	assert.Equal(t, restoreFromSnapshot(t, s).View().ConfigVersion, s.View().ConfigVersion)
}

func drawCommand(t *rapid.T) *pb.Command {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	number := rapid.Uint64Range(0, 6).Draw(t, "number")
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		return changeClass(fmt.Sprint("id", number), number, "class_"+name)
	case 1:
		return registerUpstream(name, number%2 == 0)
	case 2:
		return registerHost("p"+name, number%2+1)
	case 3:
		return assignOwner(name, "p"+name, number, leaderTerm)
	case 4:
		return startPromotion(number)
	case 5:
		return choosePrimary(number, name)
	case 6:
		return &pb.Command{LeaderTerm: leaderTerm, Command: &pb.Command_RemoveHost{RemoveHost: &pb.RemoveHost{Name: "p" + name}}}
	}
	return &pb.Command{LeaderTerm: leaderTerm, Command: &pb.Command_RemoveUpstream{RemoveUpstream: &pb.RemoveUpstream{Name: name}}}
}

// Guards against hosts that disagree about the state. It must be the same whether
// a control host applied all commands, or restored a snapshot and applied the
// commands after it, or a proxy received a whole message and then changes.
func TestSnapshotAndDifferencesGiveTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := controlstate.New(controlstate.Options{})
		var other *controlstate.State
		old := s.Frame()
		received := controlstate.FrameFromMessage(old.WholeMessage())
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			cmd := drawCommand(t)
			result := apply(s, cmd)
			if other != nil {
				assert.Assert(t, proto.Equal(result, apply(other, cmd)))
			}
			if rapid.Bool().Draw(t, "snapshot") {
				data, err := s.Snapshot()
				assert.NilError(t, err)
				other = controlstate.New(controlstate.Options{})
				assert.NilError(t, other.Restore(data))
			}
			if rapid.Bool().Draw(t, "watch") {
				next := s.Frame()
				received = received.WithChanges(next.ChangesSince(old))
				old = next
				assert.DeepEqual(t, received.View(), next.View())
			}
		}
		if other != nil {
			assert.DeepEqual(t, other.View(), s.View())
		}
	})
}
