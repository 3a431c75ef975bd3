package control_test

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
)

// When an upstream announces that it is leaving, the change must be pushed to
// proxies at once, and the owner must keep its lease to finish what is in
// flight.
func TestLeavingUpstreamIsPushedToProxies(t *testing.T) {
	c := startCluster(t, 3, shortTiming, nil)
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

// A proxy whose control host is cut off from the others gets no more changes
// from it. It must notice within Timing.MaxBehind and watch another host.
func TestAgentSwitchesFromAControlHostThatIsBehind(t *testing.T) {
	c := startCluster(t, 3, shortTiming, nil)
	awaitLeader(t, c.nodes[0])
	agent := startAgent(t, "p1", c.nodes[1].address, c.nodes[2].address)
	waitFor(t, "view", func() bool { return agent.View() != nil })
	for i, cut := range []*node{c.nodes[1], c.nodes[2]} {
		c.setIsolated(cut.log, true)
		request := &pb.ChangeClassRequest{
			ChangeId: cut.address, ExpectedVersion: uint64(i), Class: &pb.Class{Name: "c" + cut.log.name, WaitMicros: 1000},
		}
		_, err := c.nodes[0].client.ChangeClass(t.Context(), connect.NewRequest(request))
		assert.NilError(t, err)
		waitFor(t, "change", func() bool { return len(agent.View().Classes) == i+1 })
		c.setIsolated(cut.log, false)
	}
}

// A host that shuts down must hand its upstreams over at once, not only when
// their leases expire.
func TestAgentReleaseHandsOver(t *testing.T) {
	longLease := shortTiming
	longLease.LeaseExpiry = time.Hour
	c := startCluster(t, 1, longLease, nil)
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

// Restarts of hosts leave upstreams with owners in other data centres. They
// must move back without waiting for a lease to expire, or their reads cross
// regions for ever.
func TestUpstreamMovesBackToItsDataCentre(t *testing.T) {
	timing := shortTiming
	timing.LeaseExpiry = time.Hour
	timing.HostStableTime = 100 * time.Millisecond
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
