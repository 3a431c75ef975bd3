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

func announce(name string, leaving bool) *pb.Command {
	return &pb.Command{Command: &pb.Command_Register{Register: &pb.RegisterUpstream{Announce: &pb.AnnounceRequest{
		Name: name, Database: "shop", Address: "127.0.0.1:1", Slots: 1, MaxConnections: 1, Leaving: leaving,
	}}}}
}

func host(name string, incarnation uint64) *pb.Command {
	return &pb.Command{LeaderTerm: leaderTerm, Command: &pb.Command_Host{Host: &pb.RegisterHost{
		Host: &pb.Host{Name: name, Address: "127.0.0.1:2", Incarnation: incarnation},
	}}}
}

func assign(name, owner string, epoch, term uint64) *pb.Command {
	return &pb.Command{LeaderTerm: term, Command: &pb.Command_Assign{Assign: &pb.AssignOwner{
		Upstream: name, Host: owner, ExpectedEpoch: epoch,
	}}}
}

func started(term uint64) *pb.Command {
	return &pb.Command{LeaderTerm: leaderTerm, Command: &pb.Command_PromotionStarted{
		PromotionStarted: &pb.PromotionStarted{Database: "shop", Term: term},
	}}
}

func chosen(term uint64, name string) *pb.Command {
	return &pb.Command{LeaderTerm: leaderTerm, Command: &pb.Command_PromotionChosen{
		PromotionChosen: &pb.PromotionChosen{Database: "shop", Term: term, Upstream: name},
	}}
}

func restored(t *testing.T, s *controlstate.State) *controlstate.State {
	t.Helper()
	data, err := s.Snapshot()
	assert.NilError(t, err)
	other := controlstate.New(controlstate.Options{})
	assert.NilError(t, other.Restore(data))
	return other
}

// Of two changes with the same expected version exactly one may win, and the
// other must learn which.
func TestSecondChangeOfAVersionGetsTheWinner(t *testing.T) {
	s := controlstate.New(controlstate.Options{})
	first := apply(s, changeClass("one", 0, "short")).GetClassChange()
	second := apply(s, changeClass("two", 0, "long")).GetClassChange()
	assert.Assert(t, !first.GetConflict())
	assert.Assert(t, second.GetConflict())
	assert.Equal(t, second.GetWinner().GetChangeId(), "one")
	assert.Equal(t, len(s.View().Classes), 1)
}

// A change that is sent again after a lost answer must get its first answer
// and change nothing, also from a host that was restored from a snapshot.
func TestResentChangeGetsItsFirstAnswerAfterRestore(t *testing.T) {
	s := controlstate.New(controlstate.Options{})
	won := apply(s, changeClass("one", 0, "short")).GetClassChange()
	lost := apply(s, changeClass("two", 0, "long")).GetClassChange()
	apply(s, changeClass("three", 1, "other"))
	for _, state := range []*controlstate.State{s, restored(t, s)} {
		version := state.View().Version
		assert.Assert(t, proto.Equal(apply(state, changeClass("one", 0, "short")).GetClassChange(), won))
		assert.Assert(t, proto.Equal(apply(state, changeClass("two", 0, "long")).GetClassChange(), lost))
		assert.Equal(t, state.View().Version, version)
	}
}

// A configuration must survive hundreds of changes and a restore, and the
// stored answers must stay bounded.
func TestThousandsOfChangesThenRestore(t *testing.T) {
	s := controlstate.New(controlstate.Options{})
	const changes = 9000
	for i := range changes {
		r := apply(s, changeClass(fmt.Sprint("change", i), uint64(i), fmt.Sprint("c", i%50)))
		assert.Assert(t, r.GetApplied())
	}
	other := restored(t, s)
	version, classes := other.Classes()
	assert.Equal(t, version, uint64(changes))
	assert.Equal(t, len(classes), 50)
	again := apply(other, changeClass(fmt.Sprint("change", changes-5000), changes-5000, "c0")).GetClassChange()
	assert.Equal(t, again.GetVersion(), uint64(changes-5000+1))
	data, err := other.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 2<<20, "snapshot has %d bytes", len(data))
}

// A command of a replaced leader may be committed late; it must not change
// ownership after its successor has started.
func TestCommandOfReplacedLeaderIsRefused(t *testing.T) {
	s := controlstate.New(controlstate.Options{})
	apply(s, announce("u1", false))
	apply(s, host("p1", 1))
	apply(s, &pb.Command{LeaderTerm: 2, Command: &pb.Command_LeaderStarted{LeaderStarted: &pb.LeaderStarted{}}})
	for _, state := range []*controlstate.State{s, restored(t, s)} {
		assert.Assert(t, !apply(state, assign("u1", "p1", 0, 1)).GetApplied())
		assert.Assert(t, !apply(state, assign("u1", "p1", 0, 0)).GetApplied())
		assert.Equal(t, state.View().Upstreams["u1"].Owner, "")
	}
}

// Two assignments of one epoch must not both take effect.
func TestSecondAssignmentOfAnEpochIsRefused(t *testing.T) {
	s := controlstate.New(controlstate.Options{})
	apply(s, announce("u1", false))
	apply(s, host("p1", 1))
	apply(s, host("p2", 1))
	assert.Assert(t, apply(s, assign("u1", "p1", 0, leaderTerm)).GetApplied())
	assert.Assert(t, !apply(s, assign("u1", "p2", 0, leaderTerm)).GetApplied())
	assert.Equal(t, s.View().Upstreams["u1"].Owner, "p1")
	assert.Equal(t, s.View().Upstreams["u1"].OwnerAddress, "127.0.0.1:2")
}

// A restarted process must not inherit the epoch of the process before it.
func TestRestartedHostLosesItsUpstreams(t *testing.T) {
	s := controlstate.New(controlstate.Options{})
	apply(s, announce("u1", false))
	apply(s, host("p1", 1))
	apply(s, assign("u1", "p1", 0, leaderTerm))
	apply(s, host("p1", 2))
	assert.Equal(t, s.View().Upstreams["u1"].Owner, "")
	assert.Equal(t, s.View().Upstreams["u1"].OwnerEpoch, uint64(2))
}

// Two primaries of one term must be impossible: one start and one choice per
// term.
func TestOneChoicePerTerm(t *testing.T) {
	s := controlstate.New(controlstate.Options{})
	for _, name := range []string{"a", "b"} {
		apply(s, announce(name, false))
	}
	assert.Assert(t, apply(s, started(2)).GetApplied())
	assert.Assert(t, !apply(s, started(2)).GetApplied())
	assert.Assert(t, !apply(s, started(1)).GetApplied())
	assert.Assert(t, !apply(s, chosen(2, "x")).GetApplied())
	assert.Assert(t, apply(s, chosen(2, "a")).GetApplied())
	assert.Assert(t, !apply(s, chosen(2, "b")).GetApplied())
	assert.Equal(t, s.View().Groups["shop"].Primary, "")
	finish := &pb.Command{LeaderTerm: leaderTerm, Command: &pb.Command_PromotionFinished{
		PromotionFinished: &pb.PromotionFinished{Database: "shop", Term: 2},
	}}
	assert.Assert(t, apply(s, finish).GetApplied())
	assert.Equal(t, s.View().Groups["shop"].Primary, "a")
}

// Requests are refused by config version, so it must rise exactly with the
// changes that they depend on.
func TestConfigVersionRisesOnlyWithWhatRequestsDependOn(t *testing.T) {
	s := controlstate.New(controlstate.Options{})
	rises := func(cmd *pb.Command) bool {
		before := s.View()
		apply(s, cmd)
		assert.Equal(t, s.View().Version, before.Version+1)
		return s.View().ConfigVersion > before.ConfigVersion
	}
	assert.Assert(t, !rises(announce("u1", false)))
	assert.Assert(t, !rises(host("p1", 1)))
	assert.Assert(t, rises(assign("u1", "p1", 0, leaderTerm)))
	assert.Assert(t, rises(announce("u1", true)))
	assert.Assert(t, rises(changeClass("one", 0, "short")))
	assert.Assert(t, rises(started(5)))
	assert.Equal(t, restored(t, s).View().ConfigVersion, s.View().ConfigVersion)
}

func command(t *rapid.T) *pb.Command {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	number := rapid.Uint64Range(0, 6).Draw(t, "number")
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		return changeClass(fmt.Sprint("id", number), number, "class_"+name)
	case 1:
		return announce(name, number%2 == 0)
	case 2:
		return host("p"+name, number%2+1)
	case 3:
		return assign(name, "p"+name, number, leaderTerm)
	case 4:
		return started(number)
	case 5:
		return chosen(number, name)
	case 6:
		return &pb.Command{LeaderTerm: leaderTerm, Command: &pb.Command_RemoveHost{RemoveHost: &pb.RemoveHost{Name: "p" + name}}}
	}
	return &pb.Command{LeaderTerm: leaderTerm, Command: &pb.Command_RemoveUpstream{RemoveUpstream: &pb.RemoveUpstream{Name: name}}}
}

// Control hosts must agree however they got to a state: by all commands, by a
// snapshot and the rest, or a proxy by a whole message and differences.
func TestSnapshotAndDifferencesGiveTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := controlstate.New(controlstate.Options{})
		var other *controlstate.State
		old := s.Frame()
		copied := controlstate.FrameOf(old.Whole())
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			cmd := command(t)
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
				copied = copied.With(next.Since(old))
				old = next
				assert.DeepEqual(t, copied.View(), next.View())
			}
		}
		if other != nil {
			assert.DeepEqual(t, other.View(), s.View())
		}
	})
}
