package consensus

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// leaderLimit is how long hosts may be without a leader once the losses have ended and a
// majority runs: the shortest time in which the users' platform expects an operator's
// change to be acknowledged, ack_ms.
const leaderLimit = 6 * time.Second

// leaderInTime reports whether one of the hosts leads within leaderLimit.
func leaderInTime(hosts ...*host) bool {
	for deadline := time.Now().Add(leaderLimit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, h := range hosts {
			if _, leads := h.node.Leadership(); leads {
				return true
			}
		}
	}
	return false
}

// Guards against a first start that needs all initial members: one that ends for good
// before the cluster has formed keeps the others from ever electing a leader.
func TestClusterFormsWithoutOneInitialMember(t *testing.T) {
	for _, lost := range []string{"a", "b", "c"} {
		t.Run(lost, func(t *testing.T) {
			t.Parallel()
			c := newStoppedCluster(t, "a", "b", "c")
			rest := c.others(c.host(lost))
			for _, h := range rest {
				h.start()
			}
			assert.Assert(t, leaderInTime(rest...), "no leader without %s", lost)
		})
	}
}

// Guards against hosts that forget that they are initial members: all are killed before
// the cluster has formed, and come back on their disks as hosts that have run before.
func TestClusterFormsAfterAllWereKilledAtTheirFirstStart(t *testing.T) {
	c := newStoppedCluster(t, "a", "b", "c")
	for _, h := range c.hosts {
		c.isolate(h, true)
	}
	for _, h := range c.hosts {
		h.start()
	}
	for _, h := range c.hosts {
		h.stop()
		h.options.InitialMembers = nil
		c.isolate(h, false)
	}
	for _, h := range c.hosts {
		h.start()
	}
	assert.Assert(t, leaderInTime(c.hosts...))
}

// Guards against a voter that can't vote: a host that lost its disk is made a voter, and
// the leader ends before the host has the entry that says so.
func TestRepairedVoterCanVote(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.awaitLeader()
	leader.propose(1)
	repaired, third := c.others(leader)[0], c.others(leader)[1]
	repaired.stop()
	repaired.wipe()
	repaired.options.InitialMembers = nil
	assert.NilError(t, leader.node.RemoveMember(t.Context(), repaired.options.Name))
	// The leader's requests to the host are lost from the entry on that makes it a voter.
	node := leader.node
	var promoted atomic.Bool
	leader.link.mu.Lock()
	leader.link.loses = func(r *http.Request) bool {
		if r.URL.Host != repaired.address {
			return false
		}
		for _, m := range node.Members() {
			if m.Name == repaired.options.Name && m.Voter {
				promoted.Store(true)
			}
		}
		return promoted.Load()
	}
	leader.link.mu.Unlock()
	repaired.start()
	assert.NilError(t, leader.node.AddMember(t.Context(), repaired.options.Name, repaired.address))
	waitFor(t, "the repaired host to be a voter for the third", func() bool { return third.seesVoter(repaired.options.Name) })
	assert.Assert(t, !repaired.seesVoter(repaired.options.Name), "the entry was not withheld")
	leader.stop()
	assert.Assert(t, leaderInTime(repaired, third), "two of three voters run, and neither leads")
}
