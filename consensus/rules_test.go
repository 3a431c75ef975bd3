package consensus

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"lovageslip/bootclock"
	pb "lovageslip/gen/lovageslip/v1"
)

// Guards against a commit that counts an entry which is only in memory: with
// two of three disks held back, whichever they are, nothing is committed.
func TestUnsyncedEntriesDoNotCount(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	gates := c.slowDisks()
	for free := range c.hosts {
		c.hosts[0].propose(uint64(free))
		leader := c.leader().node
		for i := range gates {
			if i != free {
				gates[i].gate.Lock()
			}
		}
		before := leader.Status()
		go leader.Propose(context.Background(), number(7))
		for _, h := range c.hosts {
			waitFor(t, "the entry in memory", func() bool { return h.node.Status().Last > before.Last })
		}
		held := bootclock.Now()
		waitFor(t, "later heartbeats", func() bool {
			leader.mu.Lock()
			defer leader.mu.Unlock()
			return leader.role != roleLeader || leader.quorumContactLocked().After(held.Add(3*heartbeatInterval))
		})
		assert.Equal(t, leader.Status().Commit, before.Last)
		for i := range gates {
			if i != free {
				gates[i].gate.Unlock()
			}
		}
		c.hosts[0].propose(8)
	}
}

// lonely returns a host that hears no leader and may vote.
func lonely(t *testing.T) (*cluster, *host, *faultyFS) {
	c := newCluster(t, "a", "b", "c")
	gates := c.slowDisks()
	c.leader().propose(1)
	h := c.hosts[2]
	h.readsBack(1)
	c.isolate(h, true)
	h.awaitFreeToVote()
	return c, h, gates[2]
}

func (h *host) awaitFreeToVote() {
	waitFor(h.t, "the last leader's lease to end", func() bool {
		h.node.mu.Lock()
		defer h.node.mu.Unlock()
		return h.node.role == roleFollower && !h.node.heardLeaderLocked()
	})
}

// Guards against a vote that is answered before it is synced, is forgotten by a
// restart, or goes to a candidate that lacks an entry.
func TestVoteIsSyncedKeptAndOnlyForACompleteLog(t *testing.T) {
	_, h, fs := lonely(t)
	ask := func(candidate string) bool {
		ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
		defer cancel()
		s := h.node.Status()
		r := &pb.RequestVoteRequest{Term: 50, Candidate: candidate, LastIndex: s.Last, LastTerm: s.Term}
		response, err := (&service{h.node}).RequestVote(ctx, connect.NewRequest(r))
		return err == nil && response.Msg.Granted
	}
	h.node.mu.Lock()
	lastTerm := h.node.log.lastTerm()
	r := &pb.RequestVoteRequest{Term: 50, Candidate: "x", LastIndex: h.node.log.lastIndex() - 1, LastTerm: lastTerm}
	assert.Check(t, !h.node.considerVoteLocked(r))
	h.node.mu.Unlock()
	fs.gate.Lock()
	assert.Check(t, !ask("x"))
	fs.gate.Unlock()
	waitFor(t, "the vote to be synced", func() bool { return ask("x") })
	h.stop()
	h.start()
	h.awaitFreeToVote()
	assert.Check(t, !ask("y"))
	assert.Check(t, ask("x"))
}

// Guards against entries that don't follow on the leader's, and against an
// overridden entry that comes back after a restart.
func TestConflictingEntriesAreReplaced(t *testing.T) {
	_, h, _ := lonely(t)
	last := h.node.Status().Last
	offer := func(term, prevTerm uint64) bool {
		e := &pb.Entry{Index: last + 1, Term: term, Payload: &pb.Entry_Barrier{Barrier: true}}
		r := &pb.AppendEntriesRequest{Term: term, Leader: "a", PrevIndex: last, PrevTerm: prevTerm, Entries: []*pb.Entry{e}}
		response, err := (&service{h.node}).AppendEntries(context.Background(), connect.NewRequest(r))
		assert.NilError(t, err)
		return response.Msg.Success
	}
	h.node.mu.Lock()
	lastTerm := h.node.log.lastTerm()
	h.node.mu.Unlock()
	assert.Check(t, !offer(60, lastTerm+1))
	assert.Check(t, offer(61, lastTerm))
	assert.Check(t, offer(62, lastTerm))
	assert.Check(t, !offer(61, lastTerm), "an old leader was accepted")
	h.stop()
	h.start()
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	term, _ := h.node.log.term(last + 1)
	assert.Equal(t, term, uint64(62))
	assert.Equal(t, h.node.log.lastIndex(), last+1)
}
