package consensus

import (
	"testing"

	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
)

// Guards against a wiped host, whose log is empty as that of a new one, that
// votes for a candidate that lacks what this host had acknowledged.
func TestEmptyHostVotesOnlyToFormACluster(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.leader().propose(1)
	wiped := c.others(c.leader())[0]
	wiped.stop()
	wiped.wipe()
	c.isolate(wiped, true)
	wiped.start()
	n := wiped.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, pre := range []bool{true, false} {
		r := &pb.RequestVoteRequest{Term: 50, Candidate: "x", LastTerm: 1, PreVote: pre}
		r.LastIndex = formationIndex + 1
		assert.Check(t, !n.considerVoteLocked(r))
		r.LastIndex = formationIndex
		assert.Check(t, n.considerVoteLocked(r))
	}
}

// Guards against a candidate with an empty or nearly empty log that needs only
// a majority, which a wiped host may be part of.
func TestFormationNeedsAllMembers(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	n := c.hosts[0].node
	n.mu.Lock()
	defer n.mu.Unlock()
	full := n.log
	n.log.entries = full.entries[:min(formationIndex, len(full.entries))]
	assert.Equal(t, n.ballotLocked(9, true).needed, 3)
	n.log = full
}

// Guards against a cluster that can't form after its first leader crashed
// between logging the first membership and replicating it.
func TestFormationGoesOnAfterACrash(t *testing.T) {
	c := &cluster{t: t, dir: t.TempDir()}
	var members []Member
	for _, name := range []string{"a", "b", "c"} {
		h := c.newHost(name)
		members = append(members, Member{Name: name, Address: h.address})
	}
	for _, h := range c.hosts {
		fs := &faultyFS{}
		fs.noEntries.Store(h.options.Name != "a")
		h.options.FS = fs
		h.options.InitialMembers = members
		h.start()
	}
	t.Cleanup(c.stop)
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
	assert.Equal(t, c.host("b").node.log.at(formationIndex).Term, uint64(1))
}
