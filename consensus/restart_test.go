package consensus

import (
	"context"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
)

// Guards against a site that stays without control after a loss of power for as long
// as a lease could last, although no host that could hold one still runs.
func TestElectionAfterRestartOfAllHosts(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d", "e")
	c.awaitLeader().propose(7)
	for range 10 {
		for _, h := range c.hosts {
			h.stop()
		}
		for _, h := range c.hosts {
			h.start()
		}
		begun := time.Now()
		leader := c.awaitLeader()
		took := time.Since(begun)
		assert.Check(t, took < electionTimeoutMin, "a host led %v after the last start", took)
		leader.awaitRead(7)
	}
}

// Guards against an election during the lease of a leader that still runs while all
// others have been restarted, and after which it could return old data.
func TestRestartedHostsWaitForALeaderThatStillRuns(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d", "e")
	leader := c.awaitLeader()
	leader.propose(7)
	others := c.others(leader)
	var scopes []tally.TestScope
	for _, h := range others {
		h.stop()
	}
	for _, h := range others {
		scope := tally.NewTestScope("", nil)
		h.options.Metrics = scope
		scopes = append(scopes, scope)
		h.start()
	}
	c.awaitLeader()
	for _, scope := range scopes {
		assert.Equal(t, counterValue(scope, "restart_campaigns_total"), int64(0))
	}
}

// Guards against a vote within the time of a lease for a candidate that cannot know
// that all hosts were restarted, or from a host that has heard from a leader.
func TestVoteWithinALeaseNeedsARestartOfAll(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.awaitLeader().propose(7)
	voter := c.others(c.awaitLeader())[0]
	waitFor(t, "the voter to have the entry", func() bool {
		value, _ := voter.state.read()
		return value == 7
	})
	vote := func(allRestarted bool) bool {
		n := voter.node
		n.mu.Lock()
		r := &pb.RequestVoteRequest{Term: n.term + 1, Candidate: "x", LastTerm: n.log.lastTerm(), LastIndex: n.log.lastIndex(), AllRestarted: allRestarted, PreVote: true}
		n.mu.Unlock()
		response, err := (&service{n}).RequestVote(context.Background(), connect.NewRequest(r))
		assert.NilError(t, err)
		return response.Msg.Granted
	}
	assert.Check(t, !vote(true), "a host that hears from a leader voted")
	for _, h := range c.hosts {
		if h != voter {
			h.stop()
		}
	}
	voter.stop()
	voter.start()
	assert.Check(t, !vote(false), "a host that may have renewed a lease voted")
	assert.Check(t, vote(true))
}

// Guards against a candidate that leaves out a host that was removed from the
// membership and may still lead, because it has not committed its removal.
func TestRemovedHostCountsAsPossibleLeader(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d")
	leader := c.awaitLeader()
	leader.propose(7)
	removed := c.others(leader)[0].options.Name
	leader.removeMember(removed)
	n := leader.node
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.Check(t, slices.ContainsFunc(n.possibleLeadersLocked(), func(m *pb.Member) bool { return m.Name == removed }))
}
