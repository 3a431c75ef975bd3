package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/balance"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
	"lovageslip/upstream"
)

// Guards against reads at a leaving upstream while the proxy backs off from the
// others after refusals: a read reached one 7 s after its leave had been
// acknowledged.
func TestLeavingUpstreamGetsNoReadsWhileOthersBackOff(t *testing.T) {
	f := newFixture(t)
	f.parts.Upstreams[1].Leaving = true
	f.proxy.SetView(site.NewView(f.parts))
	view, _ := f.proxy.View().Group("g")
	for _, u := range view.Upstreams {
		if pl, ok := f.proxy.pool(u); ok && !u.Leaving {
			pl.recordBusy(backoffMax)
		}
	}
	c, ok := f.proxy.chooseForRead(view, upstream.Position{}, map[string]bool{})
	assert.Assert(t, ok)
	assert.Assert(t, !c.upstream.Leaving, c.upstream.Id)

	_, ok = f.proxy.chooseForRead(view, upstream.Position{}, map[string]bool{"p1": true, "r2": true})
	assert.Assert(t, !ok, "the leaving upstream was chosen as the last one")
}

// Guards against a replica that gets no reads, not even those that it could
// serve, because one read needed a newer position than the replica holds.
func TestLaggingReplicaServesReadsOfOlderPositions(t *testing.T) {
	f := newFixture(t)
	view, _ := f.proxy.View().Group("g")
	at := func(offset upstream.Offset) upstream.Position { return upstream.Position{Term: 3, Offset: offset} }
	for _, u := range f.parts.Upstreams[1:] {
		pl, _ := f.proxy.pool(u)
		pl.recordPosition(at(95), Answer{Code: CodeLagging, Position: at(90)}, &positions{})
		// Without this the first choice after a pause of 50 ms would try the replica.
		pl.mu.Lock()
		pl.lag.until = now().Add(time.Minute)
		pl.mu.Unlock()
	}
	atReplicas := 0
	for range 300 {
		c, _ := f.proxy.chooseForRead(view, at(95), map[string]bool{})
		assert.Equal(t, c.upstream.Id, "p1")
		c, _ = f.proxy.chooseForRead(view, at(90), map[string]bool{})
		if c.upstream.Id != "p1" {
			atReplicas++
		}
	}
	assert.Assert(t, atReplicas > 150, "%d of 300 reads at the two replicas", atReplicas)
	_, ok := f.proxy.chooseForRead(view, at(90), map[string]bool{"p1": true})
	assert.Assert(t, ok, "no replica may serve the read")
}

// reportingConn is a connection through a relay that reports a load.
type reportingConn struct {
	fakeConn
	load Load
	at   time.Time
}

func (c *reportingConn) Load() (Load, time.Time, bool) { return c.load, c.at, true }

// Guards against proxies that each see only their own few statements at an upstream that
// all of a data centre reach through one relay, and so overrun it together.
func TestRelayTellsTheLoadOfAllProxies(t *testing.T) {
	pl := newRelayedPool(struct{ Relays }{}, &pb.SiteUpstream{Id: "r1"})
	at := now()
	c := pl.newConn(&reportingConn{load: Load{Outstanding: 9, Limit: 3}, at: at}, pl.teamLocked(""))
	c.recordLoad()
	pl.resume(c) // one more statement, after the figure
	known := pl.estimate(upstream.Position{}).known
	assert.Equal(t, known.Outstanding, 9.0)
	assert.Equal(t, known.Capacity, 3.0)
	assert.Equal(t, known.SentSince, 1)
	c.Conn.(*reportingConn).at = at.Add(-time.Second)
	c.recordLoad()
	assert.Equal(t, pl.estimate(upstream.Position{}).known.SentSince, 1, "an older figure replaced a newer one")
}

// Guards against upstreams that look ever fuller because their relay, of an earlier
// version, sends no figures that would replace the count of what was sent since.
func TestRelayWithoutFiguresDoesNotLookFull(t *testing.T) {
	pl := newRelayedPool(struct{ Relays }{}, &pb.SiteUpstream{Id: "r1"})
	c := pl.newConn(&fakeConn{}, pl.teamLocked(""))
	for range 50 {
		pl.resume(c)
		c.recordLoad()
		pl.suspend(c)
	}
	known := pl.estimate(upstream.Position{}).known
	assert.Equal(t, known.SentSince, 0)
	assert.Equal(t, known.LoadAge, balance.Unknown)
}

// Guards against a primary that gets as many reads as a replica although it alone can
// run writes.
func TestPrimaryGetsFewerReadsWhileItHasOtherWork(t *testing.T) {
	f := newFixture(t)
	view, _ := f.proxy.View().Group("g")
	atPrimary := func() (n int) {
		for range 3000 {
			if c, _ := f.proxy.chooseForRead(view, upstream.Position{}, nil); c.primary {
				n++
			}
		}
		return n
	}
	assert.Check(t, atPrimary() > 800, "an unused primary gets few reads")
	mix := &f.proxy.group("g").mix
	mix.add(now(), 300*time.Millisecond, true)
	mix.add(now(), 900*time.Millisecond, false)
	// A third as much work without a choice as with one leaves a ninth of the reads.
	n := atPrimary()
	assert.Check(t, n > 200 && n < 480, "%d of 3000 reads", n)
}

// Guards against reads and read-only transactions that, having chosen the primary or a
// replica while many statements wait there, stay in its queue until their timeout
// although another upstream has room.
func TestWorkWithAChoiceLeavesAQueueThatDoesNotMove(t *testing.T) {
	for _, full := range []string{"p1", "r1"} {
		for _, transaction := range []bool{false, true} {
			withVirtualClock(t, func(t *testing.T) {
				f := newFixture(t)
				for _, u := range f.parts.Upstreams {
					if pl, _ := f.proxy.pool(u); u.Id == full {
						pl.inFlight = initialConcurrency
					}
				}
				f.proxy.group("g").positions.add(upstream.Position{Term: 3, Offset: 100}, now())
				for range 30 { // each chooses the full one with a chance of a ninth
					s := f.open("bounded")
					begunAt := now()
					if transaction {
						mustServe(t, s, &Statement{ID: "b", Kind: KindBegin, ReadOnly: true})
					}
					mustServe(t, s, read("r"))
					assert.Check(t, now().Sub(begunAt) < 10*queueTimeout, "%s full: waited %v", full, now().Sub(begunAt))
					s.Close()
				}
			})
		}
	}
}
