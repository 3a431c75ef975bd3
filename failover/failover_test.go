package failover_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lovageslip/controlstate"
	"lovageslip/failover"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// leaseExpiry is short, because changes of members wait for it.
const leaseExpiry = 100 * time.Millisecond

// leader runs a Supervisor as a control leader does, on the fake group.
type leader struct {
	journal *fakeJournal
	stop    func()
}

func startLeader(t *testing.T, n *fakeNet, state *controlstate.State, term uint64, c *crash) *leader {
	t.Helper()
	j := newJournal(state, term, c)
	s := failover.New(failover.Options{Dialer: &fakeDialer{net: n, crash: c}, Journal: j, LeaseExpiry: leaseExpiry})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil && c.alive() {
			n.catchUp()
			j.reportAll(n, 0)
			s.Tick(ctx)
			time.Sleep(time.Millisecond)
		}
		cancel()
		s.Wait()
	}()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return &leader{journal: j, stop: stop}
}

func (l *leader) logged() int {
	l.journal.mu.Lock()
	defer l.journal.mu.Unlock()
	return l.journal.logged
}

func register(state *controlstate.State, name string, leaving bool) {
	apply(state, &pb.Command{Command: &pb.Command_Register{Register: &pb.RegisterUpstream{Announce: &pb.AnnounceRequest{
		Name: name, Database: "shop", Address: "127.0.0.1:" + name, Leaving: leaving, Slots: 1, MaxConnections: 10,
	}}}})
}

// newState returns the state of a group whose first server is the primary of
// term 1.
func newState(names ...string) *controlstate.State {
	state := controlstate.New(controlstate.Options{})
	for _, name := range names {
		register(state, name, false)
	}
	apply(state, &pb.Command{LeaderTerm: 1, Command: &pb.Command_AdoptPrimary{AdoptPrimary: &pb.AdoptPrimary{
		Database: "shop", Term: 1, Upstream: names[0],
	}}})
	return state
}

func startedAt(term uint64) *pb.Command {
	return &pb.Command{LeaderTerm: 1, Command: &pb.Command_PromotionStarted{
		PromotionStarted: &pb.PromotionStarted{Database: "shop", Term: term},
	}}
}

func chosenAt(term uint64, name string) *pb.Command {
	return &pb.Command{LeaderTerm: 1, Command: &pb.Command_PromotionChosen{
		PromotionChosen: &pb.PromotionChosen{Database: "shop", Term: term, Upstream: name},
	}}
}

func group(state *controlstate.State) *pb.Group { return state.Frame().Groups["shop"] }

func waitFor(t *testing.T, what string, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
}

func changed(state *controlstate.State) func() bool {
	return func() bool { return group(state).GetTerm() > 1 && group(state).GetPrimary() != "" }
}

// checkOnePrimaryPerTerm checks that no two servers were primaries of one term.
func checkOnePrimaryPerTerm(t *testing.T, n *fakeNet) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	for term, servers := range n.primariesByTerm {
		assert.Assert(t, len(servers) <= 1, "term %d had the primaries %v", term, servers)
	}
}

// checkEntryKept checks that the group's primary holds the entry at position p.
func checkEntryKept(t *testing.T, n *fakeNet, state *controlstate.State, p upstream.Position) {
	t.Helper()
	s := n.get(group(state).GetPrimary())
	assert.Equal(t, s.role, upstream.RolePrimary)
	assert.Equal(t, uint64(s.term), group(state).GetTerm())
	status := upstream.Status{Term: s.term, Offset: s.offset, History: s.history}
	assert.Assert(t, status.Includes(p), "primary %s lost %v", s.name, p)
}

// Guards against a change of primary that stays unfinished, or loses an
// acknowledged write, after the control leader has crashed. It crashes at each
// call and each proposal in turn, before or after that has taken effect, and
// another leader must finish the change.
func TestInterruptedChangeIsResumedByAnotherLeader(t *testing.T) {
	for _, effect := range []bool{false, true} {
		for after := 1; ; after++ {
			c := &crash{after: after, effect: effect}
			t.Run(fmt.Sprintf("effect=%t/interaction=%d", effect, after), func(t *testing.T) { testInterruptedChange(t, c) })
			if c.alive() {
				break
			}
		}
	}
}

func testInterruptedChange(t *testing.T, c *crash) {
	n, state := newNet("a", "b", "c"), newState("a", "b", "c")
	n.write("a", 10, "b")
	n.edit("a", func(s *fakeServer) { s.down = true })
	first := startLeader(t, n, state, 2, c)
	waitFor(t, "crash or end", func() bool { return !c.alive() || changed(state)() })
	first.stop()
	startLeader(t, n, state, 3, nil)
	waitFor(t, "new primary", changed(state))
	checkOnePrimaryPerTerm(t, n)
	checkEntryKept(t, n, state, upstream.Position{Term: 1, Offset: 10})
	waitFor(t, "c to follow", func() bool { return uint64(n.get("c").term) == group(state).GetTerm() })
}

// Guards against two primaries of a term, or a lost write, when the leader
// repeats a fence or promote call that took effect, but whose answer was lost.
func TestLostAnswersOfFenceAndPromote(t *testing.T) {
	for _, kind := range []string{"fence", "promote"} {
		t.Run(kind, func(t *testing.T) {
			n, state := newNet("a", "b", "c"), newState("a", "b", "c")
			n.write("a", 10, "b")
			for _, name := range []string{"b", "c"} {
				n.edit(name, func(s *fakeServer) { s.loseAnswers[kind] = 2 })
			}
			n.edit("a", func(s *fakeServer) { s.down = true })
			startLeader(t, n, state, 2, nil)
			waitFor(t, "new primary", changed(state))
			checkOnePrimaryPerTerm(t, n)
			checkEntryKept(t, n, state, upstream.Position{Term: 1, Offset: 10})
		})
	}
}

// Guards against two primaries of a term when a leader that does not know yet
// that it was replaced acts on the same group as its successor.
func TestTwoLeadersRaceOnOneGroup(t *testing.T) {
	for range 10 {
		n, state := newNet("a", "b", "c"), newState("a", "b", "c")
		n.write("a", 10, "c")
		n.edit("a", func(s *fakeServer) { s.down = true })
		startLeader(t, n, state, 2, nil)
		startLeader(t, n, state, 3, nil)
		waitFor(t, "new primary", changed(state))
		checkOnePrimaryPerTerm(t, n)
		checkEntryKept(t, n, state, upstream.Position{Term: 1, Offset: 10})
	}
}

// An old primary that returns must follow the new one and drop the entries that
// were never acknowledged.
func TestReturningOldPrimaryFollows(t *testing.T) {
	n, state := newNet("a", "b", "c"), newState("a", "b", "c")
	n.write("a", 10, "b", "c")
	n.write("a", 7)
	n.edit("a", func(s *fakeServer) { s.down = true })
	startLeader(t, n, state, 2, nil)
	waitFor(t, "new primary", changed(state))
	n.edit("a", func(s *fakeServer) { s.down = false })
	waitFor(t, "old primary to follow", func() bool {
		a := n.get("a")
		return a.role == upstream.RoleReplica && a.offset == 10 && uint64(a.term) == group(state).GetTerm()
	})
	checkOnePrimaryPerTerm(t, n)
}

// With two of three servers lost there must be no promotion, and the remaining
// one must not be fenced.
func TestTwoOfThreeLostGivesNoPromotion(t *testing.T) {
	n, state := newNet("a", "b", "c"), newState("a", "b", "c")
	n.edit("a", func(s *fakeServer) { s.down = true })
	n.edit("b", func(s *fakeServer) { s.down = true })
	l := startLeader(t, n, state, 2, nil)
	start := time.Now()
	waitFor(t, "several attempts", func() bool { return time.Since(start) > time.Second })
	assert.Equal(t, l.logged(), 0)
	assert.Equal(t, group(state).GetTerm(), uint64(1))
	assert.Equal(t, n.get("c").fenced, upstream.Term(1))
	n.edit("b", func(s *fakeServer) { s.down = false })
	waitFor(t, "promotion once a majority is back", changed(state))
}

// A change that has started must choose no primary until a majority is fenced,
// because only the others may hold acknowledged writes.
func TestStartedChangeWaitsForAMajority(t *testing.T) {
	n, state := newNet("a", "b", "c"), newState("a", "b", "c")
	n.write("a", 10, "b")
	apply(state, startedAt(2))
	n.edit("a", func(s *fakeServer) { s.down = true })
	n.edit("b", func(s *fakeServer) { s.down = true })
	startLeader(t, n, state, 2, nil)
	waitFor(t, "fence of c", func() bool { return n.get("c").fenced == 2 })
	start := time.Now()
	waitFor(t, "several attempts", func() bool { return time.Since(start) > 500*time.Millisecond })
	assert.Equal(t, group(state).GetChosen(), "")
	n.edit("b", func(s *fakeServer) { s.down = false })
	waitFor(t, "new primary", changed(state))
	checkEntryKept(t, n, state, upstream.Position{Term: 1, Offset: 10})
}

// A returning primary that follows the new term, but still holds entries past the
// point where the new primary's log branched off, must not count as the most
// advanced.
func TestFollowedTermIsNoMeasureOfTheLog(t *testing.T) {
	n, state := newNet("b", "a", "c"), newState("b", "a", "c")
	n.edit("a", func(s *fakeServer) { s.offset, s.term, s.fenced, s.follows = 100, 2, 2, "" })
	for _, name := range []string{"b", "c"} {
		n.edit(name, func(s *fakeServer) {
			s.offset, s.term, s.fenced, s.follows = 95, 2, 2, ""
			s.history = upstream.History{{Term: 1}, {Term: 2, Start: 90}}
		})
	}
	apply(state, startedAt(2))
	apply(state, chosenAt(2, "b"))
	apply(state, &pb.Command{LeaderTerm: 1, Command: &pb.Command_PromotionFinished{PromotionFinished: &pb.PromotionFinished{Database: "shop", Term: 2}}})
	n.edit("b", func(s *fakeServer) { s.down = true })
	startLeader(t, n, state, 2, nil)
	waitFor(t, "new primary", func() bool { return group(state).GetTerm() > 2 && group(state).GetPrimary() != "" })
	assert.Equal(t, group(state).GetPrimary(), "c")
}

// If the chosen server fails before it is promoted, another one must be chosen at
// a higher term.
func TestChosenServerDiesBeforePromotion(t *testing.T) {
	n, state := newNet("a", "b", "c"), newState("a", "b", "c")
	apply(state, startedAt(2))
	apply(state, chosenAt(2, "b"))
	n.edit("b", func(s *fakeServer) { s.down = true })
	startLeader(t, n, state, 2, nil)
	waitFor(t, "new primary", changed(state))
	assert.Assert(t, group(state).GetPrimary() != "b")
	assert.Assert(t, group(state).GetTerm() > 2)
	checkOnePrimaryPerTerm(t, n)
}

// A primary that answers the control leader must not be replaced because its
// owner cannot reach it.
func TestPrimaryThatAnswersTheLeaderStays(t *testing.T) {
	n, state := newNet("a", "b", "c"), newState("a", "b", "c")
	j := newJournal(state, 2, nil)
	s := failover.New(failover.Options{Dialer: &fakeDialer{net: n}, Journal: j, LeaseExpiry: leaseExpiry})
	j.reportAll(n, 0)
	j.reports["a"] = failover.Report{At: time.Now(), Unreachable: 2 * time.Second, Term: 1}
	s.Tick(t.Context())
	s.Wait()
	assert.Equal(t, j.logged, 0)
	assert.Equal(t, len(j.dropped), 0)
}

// An owner that cannot reach its primary for ownerDropTime, although the leader
// can, must be replaced as the owner, or writes would wait for ever.
func TestOwnerThatCannotReachThePrimaryIsDropped(t *testing.T) {
	n, state := newNet("a", "b", "c"), newState("a", "b", "c")
	j := newJournal(state, 2, nil)
	s := failover.New(failover.Options{Dialer: &fakeDialer{net: n}, Journal: j, LeaseExpiry: leaseExpiry})
	j.reportAll(n, 0)
	j.reports["a"] = failover.Report{At: time.Now(), Unreachable: 4 * time.Second, Term: 1}
	s.Tick(t.Context())
	s.Wait()
	assert.DeepEqual(t, j.dropped, []string{"a"})
	assert.Equal(t, group(state).GetTerm(), uint64(1))
}

// A primary that its owner still reaches, but whose replicas have lost contact
// with it, cannot have writes acknowledged. It must be replaced by another server,
// although it holds the most entries.
func TestReplicasWithoutContactReplaceThePrimary(t *testing.T) {
	n, state := newNet("a", "b", "c"), newState("a", "b", "c")
	n.write("a", 5, "b")
	j := newJournal(state, 2, nil)
	now := time.Now()
	s := failover.New(failover.Options{Dialer: &fakeDialer{net: n}, Journal: j, LeaseExpiry: leaseExpiry, Now: func() time.Time { return now }})
	for range 3 { // the ticks see the members, read the watermark, and see that a majority holds it
		s.Tick(t.Context())
		s.Wait()
		now = now.Add(leaseExpiry)
	}
	n.write("a", 5)
	j.reportAll(n, 2*time.Second)
	s.Tick(t.Context())
	s.Wait()
	assert.Equal(t, group(state).GetTerm(), uint64(1), "replicas get a second for their first contact")
	now = now.Add(1100 * time.Millisecond)
	j.reportAll(n, 2*time.Second)
	for name, r := range j.reports {
		r.At = now
		j.reports[name] = r
	}
	s.Tick(t.Context())
	s.Wait()
	assert.Equal(t, group(state).GetTerm(), uint64(2))
	assert.Equal(t, group(state).GetPrimary(), "b")
}

// A group's existing primary must be adopted at its own term, without a change.
func TestExistingPrimaryIsAdopted(t *testing.T) {
	n, state := newNet("a", "b", "c"), controlstate.New(controlstate.Options{})
	for _, name := range []string{"b", "c", "a"} {
		register(state, name, false)
	}
	startLeader(t, n, state, 1, nil)
	waitFor(t, "adoption", func() bool { return group(state).GetPrimary() == "a" })
	assert.Equal(t, group(state).GetTerm(), uint64(1))
}

// A group without any primary must elect one if a majority answers.
func TestPrimaryIsElectedIfThereIsNone(t *testing.T) {
	n, state := newNet("a", "b", "c"), controlstate.New(controlstate.Options{})
	n.write("a", 5, "b")
	n.edit("a", func(s *fakeServer) { s.role, s.down = upstream.RoleReplica, true })
	for _, name := range []string{"a", "b", "c"} {
		register(state, name, false)
	}
	startLeader(t, n, state, 1, nil)
	waitFor(t, "election", func() bool { return group(state).GetPrimary() == "b" })
	checkOnePrimaryPerTerm(t, n)
}
