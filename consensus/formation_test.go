package consensus

import (
	"testing"

	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
)

// Guards against a recovery that keeps log entries which don't continue the
// snapshot, after a crash while the host installed that snapshot. In the cases,
// kept is how many entries must remain after the snapshot.
func TestRecoveryJoinsLogAndSnapshot(t *testing.T) {
	for _, test := range []struct {
		snapshot, snapshotTerm, first, last uint64
		kept                                uint64
		refused                             bool
	}{
		{snapshot: 0, first: 1, last: 5, kept: 5},
		{snapshot: 3, snapshotTerm: 1, first: 1, last: 5, kept: 2},
		{snapshot: 3, snapshotTerm: 2, first: 1, last: 5, kept: 0},
		{snapshot: 9, snapshotTerm: 2, first: 1, last: 5, kept: 0},
		{snapshot: 3, snapshotTerm: 2, first: 4, last: 5, kept: 2},
		{snapshot: 3, snapshotTerm: 2, first: 5, last: 6, refused: true},
		{snapshot: 0, first: 2, last: 5, refused: true},
	} {
		r := &recoveredState{snapshotMeta: &pb.SnapshotMeta{Index: test.snapshot, Term: test.snapshotTerm}}
		for i := test.first; i <= test.last; i++ {
			assert.NilError(t, r.replay(entryRecord(&pb.Entry{Index: i, Term: 1})))
		}
		assert.Equal(t, r.joinSnapshot() != nil, test.refused, "%+v", test)
		if !test.refused {
			assert.Equal(t, uint64(len(r.entries.entries)), test.kept, "%+v", test)
			assert.Equal(t, r.entries.lastIndex(), test.snapshot+test.kept)
		}
	}
}

// Guards against a wiped host that votes for a candidate without the entries that
// the host had acknowledged. Its log is empty like that of a new host, so it may
// vote only for a candidate that is forming a cluster.
func TestEmptyHostVotesOnlyToFormACluster(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.awaitLeader().propose(1)
	wiped := c.others(c.awaitLeader())[0]
	wiped.stop()
	wiped.wipe()
	c.isolate(wiped, true)
	wiped.start()
	n := wiped.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, preVote := range []bool{true, false} {
		r := &pb.RequestVoteRequest{Term: 50, Candidate: "x", LastTerm: 1, PreVote: preVote}
		r.LastIndex = formationIndex + 1
		assert.Check(t, !n.decideVoteLocked(r))
		r.LastIndex = formationIndex
		assert.Check(t, n.decideVoteLocked(r))
	}
}

// Guards against a candidate that wins with the votes of a majority while its log
// holds at most the first membership. The majority could include a wiped host.
func TestFormationNeedsAllMembers(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	n := c.hosts[0].node
	n.mu.Lock()
	defer n.mu.Unlock()
	full := n.log
	n.log.entries = full.entries[:min(formationIndex, len(full.entries))]
	assert.Equal(t, n.voteRoundLocked(9, true).needed, 3)
	n.log = full
}

// Guards against a cluster that can't form after its first leader crashed when
// only its own disk held the first membership.
func TestFormationContinuesAfterCrash(t *testing.T) {
	c := newStoppedCluster(t, "a", "b", "c")
	for _, h := range c.hosts {
		fs := &faultyFS{}
		fs.failEntryWrites.Store(h.options.Name != "a")
		h.options.FS = fs
		h.start()
	}
	<-c.host("b").node.Failed()
	<-c.host("c").node.Failed()
	for _, h := range c.hosts {
		h.stop()
		h.options.FS = nil
	}
	for _, h := range c.hosts {
		h.start()
	}
	for i, h := range c.hosts {
		h.propose(uint64(i))
	}
	assert.Equal(t, c.host("b").node.log.entryAt(formationIndex).Term, uint64(1))
}
