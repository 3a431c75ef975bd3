package sitecontrol

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
)

// announceGroup announces the upstreams p (the primary), r1 and r2 through a
// host.
func announceGroup(t *testing.T, h *testHost, fake *fakeUpstreams) {
	t.Helper()
	fake.edit(func() {
		fake.primary["g"] = "p"
		fake.received["p"], fake.received["r1"], fake.received["r2"] = 30, 20, 25
	})
	for _, id := range []string{"p", "r1", "r2"} {
		announce(t, h, newAnnouncement(id, id == "p", 100, 1))
	}
	waitFor(t, "the primary known", func() bool { return primaryOf(h, "g") == "p" })
}

// reportUnreachable stores reports of three proxies that cannot reach an
// upstream. They expire, so that callers repeat the call.
func reportUnreachable(h *testHost, id string) {
	for _, name := range []string{"a", "b", "c"} {
		h.server.mu.Lock()
		h.server.reports[name] = report{receivedAt: now(), message: &pb.ReportRequest{
			Reporter: name, Proxies: 1, Complaints: []*pb.Complaint{{Upstream: id, Proxies: 1}},
		}}
		h.server.mu.Unlock()
	}
}

// Guards against a lost primary that is never replaced, and against a successor
// that has received less than another replica.
func TestLostPrimaryIsReplacedByTheMostAdvanced(t *testing.T) {
	fake := newFakeUpstreams()
	hosts := startCluster(t, 3, fake)
	storeConfig(t, hosts[0], 1, "one")
	announceGroup(t, hosts[0], fake)
	fake.edit(func() { fake.dead["p"] = true })
	waitFor(t, "another primary", func() bool {
		for _, h := range hosts {
			reportUnreachable(h, "p")
		}
		return primaryOf(hosts[1], "g") == "r2"
	})
}

// Guards against a promotion order that is repeated with a new token or for
// another upstream after its answer was lost.
func TestOrderWithoutAnAnswerKeepsItsToken(t *testing.T) {
	fake := newFakeUpstreams()
	fake.loseAnswers = true
	hosts := startCluster(t, 3, fake)
	storeConfig(t, hosts[0], 1, "one")
	announceGroup(t, hosts[0], fake)
	leaving := newAnnouncement("p", true, 100, 2)
	leaving.Leaving = true
	announce(t, hosts[1], leaving)
	waitFor(t, "another primary", func() bool { return primaryOf(hosts[1], "g") == "r2" })
	for _, o := range fake.receivedOrders() {
		assert.Equal(t, o.id, "r2")
		assert.Equal(t, o.token, fake.receivedOrders()[0].token)
	}
}

// Guards against a second order with the token of an earlier one. The platform
// would then carry out the one that arrives last.
func TestTokensOfOrdersRise(t *testing.T) {
	fake := newFakeUpstreams()
	hosts := startCluster(t, 3, fake)
	storeConfig(t, hosts[0], 1, "one")
	announceGroup(t, hosts[0], fake)
	for i, step := range []struct{ from, to string }{{"p", "r2"}, {"r2", "r1"}} {
		leaving := newAnnouncement(step.from, true, 100, uint64(10+i))
		leaving.Leaving = true
		announce(t, hosts[0], leaving)
		waitFor(t, "primary "+step.to, func() bool { return primaryOf(hosts[0], "g") == step.to })
	}
	orders := fake.receivedOrders()
	assert.Assert(t, len(orders) >= 2)
	first, last := orders[0], orders[len(orders)-1]
	assert.Assert(t, first.id != last.id && first.token < last.token, "%v", orders)
}

// Guards against a planned change of primary that rolls back commits which the
// old primary acknowledged just before it, and which its successor had not yet
// received.
func TestPlannedChangeLosesNoCommit(t *testing.T) {
	fake := newFakeUpstreams()
	hosts := startCluster(t, 3, fake)
	storeConfig(t, hosts[0], 1, "one")
	announceGroup(t, hosts[0], fake)
	leaving := newAnnouncement("p", true, 100, 2)
	leaving.Leaving = true
	announce(t, hosts[0], leaving)
	waitFor(t, "the primary steps down", func() bool {
		fake.mu.Lock()
		defer fake.mu.Unlock()
		return len(fake.steppedDown) > 0
	})
	fake.edit(func() { fake.received["r2"] = 30 })
	waitFor(t, "another primary", func() bool { return primaryOf(hosts[0], "g") == "r2" })
	assert.Assert(t, !fake.commitsLost)
}

// Guards against a group without a primary for seconds because one call to the platform
// was lost. The order is sent again with its token.
func TestLostOrderIsSentAgainSoon(t *testing.T) {
	fake := newFakeUpstreams()
	hosts := startCluster(t, 1, fake)
	storeConfig(t, hosts[0], 1, "one")
	announceGroup(t, hosts[0], fake)
	fake.edit(func() { fake.loseOrders = 1 })
	leaving := newAnnouncement("p", true, 100, 2)
	leaving.Leaving = true
	announce(t, hosts[0], leaving)
	fake.edit(func() { fake.received["r2"] = 30 })
	waitFor(t, "another primary", func() bool { return primaryOf(hosts[0], "g") == "r2" })
	orders := fake.receivedOrders()
	assert.Equal(t, len(orders), 2)
	assert.Equal(t, orders[0].token, orders[1].token)
	// The promotion is to be known within a second. The leader notices it at its next
	// look at the group, and records it as soon as its disk lets it.
	pause := orders[1].receivedAt.Sub(orders[0].receivedAt)
	assert.Check(t, pause < time.Second-groupInterval, "the order was sent again after %v", pause)
}

// Guards against a group that is not watched while the upstreams of others do not
// answer, as when the hosts of some groups are cut off.
func TestGroupThatDoesNotAnswerDelaysNoOther(t *testing.T) {
	fake := newFakeUpstreams()
	hosts := startCluster(t, 1, fake)
	config := &pb.SiteConfig{Version: 1, Groups: []*pb.SiteGroup{{Name: "g", MaxConnections: 10}, {Name: "hung", MaxConnections: 10}}}
	waitFor(t, "configuration stored", func() bool {
		return hosts[0].server.StoreConfig(context.Background(), config, []byte("one")) == nil
	})
	announceGroup(t, hosts[0], fake)
	other := newAnnouncement("h", true, 100, 1)
	other.Group = "hung"
	announce(t, hosts[0], other)
	waitFor(t, "the primary of the other group", func() bool { return primaryOf(hosts[0], "hung") == "h" })
	fake.hungUntil = make(chan struct{})
	t.Cleanup(func() { close(fake.hungUntil) })
	fake.edit(func() { fake.hungGroup = "hung" })
	leaving := newAnnouncement("p", true, 100, 2)
	leaving.Leaving = true
	announce(t, hosts[0], leaving)
	fake.edit(func() { fake.received["r2"] = 30 })
	waitFor(t, "another primary", func() bool { return primaryOf(hosts[0], "g") == "r2" })
}

// Guards against reports of proxies that arrive while a probe of the primary waits for
// its timeout, and are counted only with the next probe.
func TestReportsDuringAProbeCount(t *testing.T) {
	fake := newFakeUpstreams()
	hosts := startCluster(t, 1, fake)
	storeConfig(t, hosts[0], 1, "one")
	announceGroup(t, hosts[0], fake)
	fake.edit(func() {
		fake.dead["p"] = true
		fake.onProbe = func(string) {
			reportUnreachable(hosts[0], "p")
			s := hosts[0].server
			s.mu.Lock()
			defer s.mu.Unlock()
			for name, r := range s.reports {
				// Expires before the next probe.
				r.receivedAt = now().Add(groupInterval/2 - unreachableLifetime)
				s.reports[name] = r
			}
		}
	})
	waitFor(t, "another primary", func() bool { return primaryOf(hosts[0], "g") == "r2" })
}

// Guards against two control hosts that send a promotion order with the same token
// after the leader has changed while the order was open.
func TestNewLeaderTakesOverAnOpenOrder(t *testing.T) {
	fake := newFakeUpstreams()
	hosts := startCluster(t, 3, fake)
	storeConfig(t, hosts[0], 1, "one")
	announceGroup(t, hosts[0], fake)
	fake.edit(func() {
		fake.dead["p"] = true
		fake.loseOrders = 1000
	})
	waitFor(t, "an order", func() bool {
		for _, h := range hosts {
			reportUnreachable(h, "p")
		}
		return len(fake.receivedOrders()) > 0
	})
	first := fake.receivedOrders()[0]
	rest := stopHost(t, hosts, first.holder)
	waitFor(t, "an order of another leader", func() bool {
		orders := fake.receivedOrders()
		return orders[len(orders)-1].holder != first.holder
	})
	fake.edit(func() { fake.loseOrders = 0 })
	waitFor(t, "another primary", func() bool { return primaryOf(rest[0], "g") == "r2" })
	holders := map[uint64]string{}
	for _, o := range fake.receivedOrders() {
		assert.Equal(t, o.id, "r2")
		if holder, ok := holders[o.token]; ok {
			assert.Equal(t, holder, o.holder, "two holders of token %d", o.token)
		}
		holders[o.token] = o.holder
	}
}

// stopHost stops the host with the given name and returns the others.
func stopHost(t *testing.T, hosts []*testHost, name string) []*testHost {
	t.Helper()
	var rest []*testHost
	for _, h := range hosts {
		if h.server.options.Name == name {
			h.stop()
			h.stop = func() {}
			continue
		}
		rest = append(rest, h)
	}
	assert.Equal(t, len(rest), len(hosts)-1)
	return rest
}

// Guards against a control host that loses the lead while it waits for the old primary to
// step down, and then sends its promotion order with a token below that of the next leader.
func TestOrderIsWithheldAfterTheLeadIsLost(t *testing.T) {
	fake := newFakeUpstreams()
	hosts := startCluster(t, 3, fake)
	storeConfig(t, hosts[0], 1, "one")
	announceGroup(t, hosts[0], fake)
	leader := slices.IndexFunc(hosts, func(h *testHost) bool { _, leads := h.node.Leadership(); return leads })
	assert.Assert(t, leader >= 0)
	lost := make(chan struct{})
	fake.edit(func() {
		fake.received["r2"] = 30
		fake.onStepDown = func() {
			for i, h := range hosts {
				if i != leader {
					h.stop()
					h.stop = func() {}
				}
			}
			for leads := true; leads; {
				_, leads = hosts[leader].node.Leadership()
			}
			close(lost)
		}
	})
	announceLeaving(t, hosts[leader], "p", 2)
	<-lost
	waitFor(t, "the order withheld or sent", func() bool {
		fake.mu.Lock()
		defer fake.mu.Unlock()
		return fake.withheld > 0 || len(fake.orders) > 0
	})
	assert.Equal(t, len(fake.receivedOrders()), 0)
}
