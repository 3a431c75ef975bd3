package consensus

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"lovageslip/bootclock"
	pb "lovageslip/gen/lovageslip/v1"
)

// Guards against a commit that counts hosts which hold the entry only in memory.
// While syncs are blocked on any two of three hosts, nothing may be committed.
func TestUnsyncedEntriesDoNotCount(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	disks := c.useFaultyDisks()
	for unblocked := range c.hosts {
		c.hosts[0].propose(uint64(unblocked))
		leader := c.awaitLeader().node
		for i := range disks {
			if i != unblocked {
				disks[i].syncGate.Lock()
			}
		}
		before := leader.Status()
		go leader.Propose(context.Background(), encodeNumber(7))
		for _, h := range c.hosts {
			waitFor(t, "the entry to be in memory on all hosts", func() bool { return h.node.Status().Last > before.Last })
		}
		blockedAt := bootclock.Now()
		waitFor(t, "heartbeats after the syncs were blocked", func() bool {
			leader.mu.Lock()
			defer leader.mu.Unlock()
			return leader.role != roleLeader || leader.quorumContactLocked().After(blockedAt.Add(3*heartbeatInterval))
		})
		assert.Equal(t, leader.Status().Commit, before.Last)
		for i := range disks {
			if i != unblocked {
				disks[i].syncGate.Unlock()
			}
		}
		c.hosts[0].propose(8)
	}
}

// newIsolatedFollower returns a cluster, a follower that is isolated from it and
// may vote again, and the file system of that follower.
func newIsolatedFollower(t *testing.T) (*cluster, *host, *faultyFS) {
	c := newCluster(t, "a", "b", "c")
	disks := c.useFaultyDisks()
	c.awaitLeader().propose(1)
	h := c.hosts[2]
	h.awaitRead(1)
	c.isolate(h, true)
	h.awaitVoteAllowed()
	return c, h, disks[2]
}

func (h *host) awaitVoteAllowed() {
	waitFor(h.t, "the lease of the last known leader to end", func() bool {
		h.node.mu.Lock()
		defer h.node.mu.Unlock()
		return h.node.role == roleFollower && !h.node.leaderMayHoldLeaseLocked()
	})
}

// Guards against a vote that is answered before it is synced, that is forgotten in a
// restart, or that goes to a candidate whose log lacks an entry.
func TestVoteIsDurableAndOnlyForUpToDateLog(t *testing.T) {
	_, h, fs := newIsolatedFollower(t)
	requestVote := func(candidate string) bool {
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
	assert.Check(t, !h.node.decideVoteLocked(r))
	h.node.mu.Unlock()
	fs.syncGate.Lock()
	assert.Check(t, !requestVote("x"))
	fs.syncGate.Unlock()
	waitFor(t, "the vote to be synced", func() bool { return requestVote("x") })
	h.stop()
	h.start()
	h.awaitVoteAllowed()
	assert.Check(t, !requestVote("y"))
	assert.Check(t, requestVote("x"))
}

// Guards against entries that a host accepts although its log doesn't match the
// leader's before them, and against a replaced entry that returns after a restart.
func TestConflictingEntriesAreReplaced(t *testing.T) {
	_, h, _ := newIsolatedFollower(t)
	last := h.node.Status().Last
	sendEntry := func(term, prevTerm uint64) bool {
		e := &pb.Entry{Index: last + 1, Term: term, Payload: &pb.Entry_Barrier{Barrier: true}}
		r := &pb.AppendEntriesRequest{Term: term, Leader: "a", PrevIndex: last, PrevTerm: prevTerm, Entries: []*pb.Entry{e}}
		response, err := (&service{h.node}).AppendEntries(context.Background(), connect.NewRequest(r))
		assert.NilError(t, err)
		return response.Msg.Success
	}
	h.node.mu.Lock()
	lastTerm := h.node.log.lastTerm()
	h.node.mu.Unlock()
	assert.Check(t, !sendEntry(60, lastTerm+1))
	assert.Check(t, sendEntry(61, lastTerm))
	assert.Check(t, sendEntry(62, lastTerm))
	assert.Check(t, !sendEntry(61, lastTerm), "an old leader was accepted")
	h.stop()
	h.start()
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	term, _ := h.node.log.term(last + 1)
	assert.Equal(t, term, uint64(62))
	assert.Equal(t, h.node.log.lastIndex(), last+1)
}
