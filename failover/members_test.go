package failover_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/controlstate"
	"lovageslip/failover"
	"lovageslip/upstream"
)

func members(state *controlstate.State) []string { return group(state).GetMembers() }

// A leaving primary must be replaced while it still works, without the loss of an
// acknowledged write, and must then be removed from the members.
func TestLeavingPrimaryIsReplacedInOrder(t *testing.T) {
	n, state := newNet("a", "b", "c"), newState("a", "b", "c")
	n.write("a", 10, "b")
	register(state, "a", true)
	startLeader(t, n, state, 2, nil)
	waitFor(t, "new primary", changed(state))
	assert.Assert(t, group(state).GetPrimary() != "a")
	checkEntryKept(t, n, state, upstream.Position{Term: 1, Offset: 10})
	waitFor(t, "removal", func() bool { return slices.Equal(members(state), []string{"b", "c"}) })
	assert.Assert(t, group(state).GetPrimary() != "a")
}

// A leaving primary must stay while no majority has caught up with it.
func TestLeavingPrimaryStaysUntilAMajorityHasCaughtUp(t *testing.T) {
	n, state := newNet("a", "b", "c", "d", "e"), newState("a", "b", "c", "d", "e")
	n.write("a", 10, "b")
	register(state, "a", true)
	j := newJournal(state, 2, nil)
	now := time.Now()
	s := failover.New(failover.Options{Dialer: &fakeDialer{net: n}, Journal: j, LeaseExpiry: time.Minute, Now: func() time.Time { return now }})
	for range 5 {
		now = now.Add(time.Minute)
		s.Tick(t.Context())
		s.Wait()
	}
	assert.Equal(t, group(state).GetTerm(), uint64(1))
}

// A new replica must be ordered to follow the primary, and must become a member
// only once it has caught up.
func TestNewReplicaJoinsOnceItHasCaughtUp(t *testing.T) {
	n, state := newNet("a", "b", "c"), newState("a", "b", "c")
	n.write("a", 10, "b", "c")
	n.servers["d"] = &fakeServer{name: "d", address: "127.0.0.1:d", loseAnswers: map[string]int{}}
	register(state, "d", false)
	assert.Assert(t, !slices.Contains(members(state), "d"))
	startLeader(t, n, state, 2, nil)
	waitFor(t, "d to join", func() bool { return slices.Contains(members(state), "d") })
	assert.Equal(t, n.get("d").offset, upstream.Offset(10))
	assert.Equal(t, group(state).GetTerm(), uint64(1))
}

// Two changes of members in quick succession could lead to two majorities that do
// not intersect. An owner with a lease may still count by the members before the
// last change, so the next one must wait for a lease.
func TestMembersChangeAtMostOncePerLease(t *testing.T) {
	n, state := newNet("a", "b", "c", "d", "e"), newState("a", "b", "c", "d", "e")
	register(state, "d", true)
	register(state, "e", true)
	j := newJournal(state, 2, nil)
	now := time.Now()
	s := failover.New(failover.Options{Dialer: &fakeDialer{net: n}, Journal: j, LeaseExpiry: time.Minute, Now: func() time.Time { return now }})
	ticks := func(count int) {
		for range count {
			now = now.Add(time.Millisecond)
			j.reportAll(n, 0)
			s.Tick(t.Context())
			s.Wait()
		}
	}
	ticks(10)
	assert.Equal(t, len(members(state)), 5)
	now = now.Add(time.Minute)
	ticks(10)
	assert.Equal(t, len(members(state)), 4)
	now = now.Add(time.Minute)
	ticks(10)
	assert.Equal(t, len(members(state)), 3)
}

// Members must not change while no majority of them holds every write that was
// acknowledged under earlier members.
func TestMembersStayWhileNoMajorityHasCaughtUp(t *testing.T) {
	n, state := newNet("a", "b", "c"), newState("a", "b", "c")
	n.write("a", 10)
	register(state, "c", true)
	j := newJournal(state, 2, nil)
	now := time.Now()
	s := failover.New(failover.Options{Dialer: &fakeDialer{net: n}, Journal: j, LeaseExpiry: time.Minute, Now: func() time.Time { return now }})
	for range 5 {
		now = now.Add(time.Minute)
		j.reportAll(n, 0)
		s.Tick(t.Context())
		s.Wait()
	}
	assert.Equal(t, len(members(state)), 3)
	n.catchUp()
	now = now.Add(time.Minute)
	for range 5 {
		now = now.Add(2 * time.Second)
		s.Tick(t.Context())
		s.Wait()
	}
	assert.Equal(t, len(members(state)), 2)
}

// The replacement of a lost primary must not wait for the backoff of a member
// change that has just failed.
func TestLostPrimaryDoesNotWaitForMemberChanges(t *testing.T) {
	n, state := newNet("a", "b", "c"), newState("a", "b", "c")
	n.write("a", 10)
	register(state, "c", true)
	j := newJournal(state, 2, nil)
	now := time.Now()
	s := failover.New(failover.Options{Dialer: &fakeDialer{net: n}, Journal: j, LeaseExpiry: time.Minute, Now: func() time.Time { return now }})
	for range 5 {
		now = now.Add(time.Minute)
		s.Tick(t.Context())
		s.Wait()
	}
	n.edit("a", func(s *fakeServer) { s.down = true })
	j.reports["a"] = failover.Report{At: now, Unreachable: 2 * time.Second}
	s.Tick(t.Context())
	s.Wait()
	assert.Assert(t, changed(state)())
}
