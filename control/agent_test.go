package control_test

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
)

// An upstream that leaves must be known to proxies within moments, and the
// owner keeps its lease to finish what is in flight.
func TestLeavingUpstreamIsPushedToProxies(t *testing.T) {
	c := startCluster(t, 3, quick, nil)
	awaitLeader(t, c.nodes[0])
	agent := startAgent(t, "p1", c.nodes[1].address, c.nodes[2].address)
	c.nodes[2].announce(t, announcement("u1", "luzon"))
	waitFor(t, "lease", func() bool { _, ok := agent.Lease("u1"); return ok })
	before := agent.View().ConfigVersion
	leaving := announcement("u1", "luzon")
	leaving.Leaving = true
	c.nodes[2].announce(t, leaving)
	waitFor(t, "leaving mark", func() bool { return agent.View().Upstreams["u1"].Leaving })
	assert.Assert(t, agent.View().ConfigVersion > before)
	waitFor(t, "renewal at the new version", func() bool { return agent.ConfigVersion() > before })
	_, held := agent.Lease("u1")
	assert.Assert(t, held)
}

// A proxy whose control host is cut off must follow another host, and must
// not miss a change for longer than it may stay behind.
func TestAgentLeavesAControlHostThatIsBehind(t *testing.T) {
	c := startCluster(t, 3, quick, nil)
	awaitLeader(t, c.nodes[0])
	agent := startAgent(t, "p1", c.nodes[1].address, c.nodes[2].address)
	waitFor(t, "view", func() bool { return agent.View() != nil })
	for i, cut := range []*node{c.nodes[1], c.nodes[2]} {
		c.cutOff(cut.log, true)
		request := &pb.ChangeClassRequest{
			ChangeId: cut.address, ExpectedVersion: uint64(i), Class: &pb.Class{Name: "c" + cut.log.name, WaitMicros: 1000},
		}
		_, err := c.nodes[0].client.ChangeClass(t.Context(), connect.NewRequest(request))
		assert.NilError(t, err)
		waitFor(t, "change", func() bool { return len(agent.View().Classes) == i+1 })
		c.cutOff(cut.log, false)
	}
}

// A host that is shutting down must hand its upstreams over at once.
func TestAgentReleaseHandsOver(t *testing.T) {
	slow := quick
	slow.LeaseExpiry = time.Hour
	c := startCluster(t, 1, slow, nil)
	awaitLeader(t, c.nodes[0])
	first := startAgent(t, "p1", c.nodes[0].address)
	c.nodes[0].announce(t, announcement("u1", "luzon"))
	waitFor(t, "first lease", func() bool { _, ok := first.Lease("u1"); return ok })
	second := startAgent(t, "p2", c.nodes[0].address)
	waitFor(t, "second host", func() bool { return len(c.nodes[0].state.View().Hosts) == 2 })
	assert.NilError(t, first.Release(t.Context()))
	_, held := first.Lease("u1")
	assert.Assert(t, !held)
	waitFor(t, "second lease", func() bool { _, ok := second.Lease("u1"); return ok })
}

// Ownership drifts to other data centres while hosts restart. It must come
// back without waiting for a lease to run out, or reads cross regions for ever.
func TestUpstreamMovesBackToItsDataCentre(t *testing.T) {
	timing := quick
	timing.LeaseExpiry = time.Hour
	timing.HostSteady = 100 * time.Millisecond
	c := startCluster(t, 1, timing, nil)
	awaitLeader(t, c.nodes[0])
	far := startAgent(t, "p1", c.nodes[0].address)
	c.nodes[0].announce(t, announcement("u1", "visayas"))
	waitFor(t, "first lease", func() bool { _, ok := far.Lease("u1"); return ok })
	near := startAgentWith(t, "p2", "visayas", nil, c.nodes[0].address)
	waitFor(t, "lease of the near host", func() bool {
		_, first := far.Lease("u1")
		_, second := near.Lease("u1")
		return second && !first
	})
}
