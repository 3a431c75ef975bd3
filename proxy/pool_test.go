package proxy

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/upstream"
)

// Guards against closing the connection after each refused transaction. An
// upstream spends 12 ms of a slot on each new connection; 9,000 of them in a
// day delayed its statements.
func TestRefusedTransactionKeepsItsConnection(t *testing.T) {
	f := newFixture(t)
	g := f.proxy.group("g")
	// Only the primary holds the position that reads need.
	g.positions.add(upstream.Position{Term: 3, Offset: 200}, now())
	f.group.update("p1", func(u *fakeUpstream) { u.offset = 200 })
	for range 20 {
		s := f.open("bounded")
		s.Do(context.Background(), &Statement{ID: "b", Kind: KindBegin, ReadOnly: true})
		reply := s.Do(context.Background(), read("r"))
		assert.Assert(t, reply.Refusal == nil, "%v", reply.Refusal)
		s.Do(context.Background(), &Statement{ID: "e", Kind: KindRollback})
		s.Close()
		time.Sleep(time.Millisecond)
	}
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	for id, u := range f.group.upstreams {
		assert.Assert(t, u.dials <= 2, "%d connections to %s", u.dials, id)
	}
}

// Guards against one lost answer that closes all connections to a working
// upstream and makes the proxy report it as unreachable.
func TestLostAnswerClosesOnlyItsConnection(t *testing.T) {
	f := newFixture(t)
	u := f.parts.Upstreams[0]
	pl, _ := f.proxy.pool(u)
	first, err := pl.acquire(context.Background(), highestUrgency(), "", time.Second)
	assert.NilError(t, err)
	second, err := pl.acquire(context.Background(), highestUrgency(), "", time.Second)
	assert.NilError(t, err)
	sentAt := now()
	time.Sleep(time.Millisecond)
	pl.recordRun(workKind{}, time.Millisecond)
	pl.release(second)
	pl.discard(first, sentAt, nil)
	assert.Equal(t, len(pl.idle), 1)
	assert.Equal(t, pl.unreachableFor(), time.Duration(0))

	third, err := pl.acquire(context.Background(), highestUrgency(), "", time.Second)
	assert.NilError(t, err)
	pl.discard(third, now(), nil)
	assert.Equal(t, len(pl.idle), 0)
	assert.Assert(t, pl.unreachableFor() > 0)
}

// Guards against surplus connections that use up an upstream's limit: after a
// loss of power it still counts the old connections for seconds, in addition to
// the new ones.
func TestSurplusConnectionsAreClosedSoon(t *testing.T) {
	f := newFixture(t)
	pl, _ := f.proxy.pool(f.parts.Upstreams[0])
	var conns []*conn
	for range 4 {
		c, err := pl.acquire(context.Background(), highestUrgency(), "", time.Second)
		assert.NilError(t, err)
		conns = append(conns, c)
	}
	for _, c := range conns {
		pl.release(c)
		c.idleSince = now().Add(-surplusIdleTimeout)
	}
	pl.closeIdle()
	assert.Equal(t, len(pl.idle), 1)
	assert.Equal(t, pl.open, 1)
	pl.idle[0].idleSince = now().Add(-idleTimeout)
	pl.closeIdle()
	assert.Equal(t, pl.open, 0)
}

// Guards against an upstream with too many connections that has no time left for its
// statements, because each statement that waits dials again and again.
func TestRefusedDialsArePaced(t *testing.T) {
	f := newFixture(t)
	f.group.update("p1", func(u *fakeUpstream) { u.full = true })
	pl, _ := f.proxy.pool(f.parts.Upstreams[0])
	var waiting sync.WaitGroup
	for range 20 {
		waiting.Go(func() {
			for end := time.Now().Add(time.Second); time.Now().Before(end); {
				_, err := pl.acquire(context.Background(), highestUrgency(), "", 100*time.Millisecond)
				assert.Check(t, err != nil)
				time.Sleep(time.Millisecond)
			}
		})
	}
	waiting.Wait()
	refused := 0
	f.group.update("p1", func(u *fakeUpstream) { refused, u.full = u.refused, false })
	assert.Check(t, refused < 20, "%d dials in a second", refused)
	c, err := pl.acquire(context.Background(), highestUrgency(), "", 2*time.Second)
	assert.NilError(t, err, "the pool did not dial again")
	pl.release(c)
}

// Guards against noticing the loss of a primary only when the first statement
// at it times out, which took half of the time without a primary.
func TestUnreachableUpstreamIsNoticedBeforeItsStatementsTimeOut(t *testing.T) {
	f := newFixture(t)
	pl, _ := f.proxy.pool(f.parts.Upstreams[0])
	f.group.update("p1", func(u *fakeUpstream) { u.gate = make(chan struct{}) })
	s := f.open("latest")
	go s.Do(context.Background(), write("w"))
	for deadline := time.Now().Add(10 * time.Second); !pl.claimCheck(true); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the stalled primary was not checked")
	}
	f.group.update("p1", func(u *fakeUpstream) { u.dead = true })
	pl.check(context.Background())
	time.Sleep(time.Millisecond)
	assert.Assert(t, pl.unreachableFor() > 0)
}

// Guards against a full upstream that is chosen before all others because its
// refusals come at once and make it look fast.
func TestRefusalsDoNotCountAsServiceTime(t *testing.T) {
	f := newFixture(t)
	pl, _ := f.proxy.pool(f.parts.Upstreams[1])
	for range 20 {
		pl.recordRun(workKind{}, 100*time.Millisecond)
	}
	before := pl.estimate(upstream.Position{}).wait
	for range 20 {
		pl.recordStatement(workKind{}, CodeBusy, time.Millisecond)
	}
	assert.Assert(t, pl.estimate(upstream.Position{}).wait > before*9/10)
}

// Guards against reads that wait, one after the other, for a connection to an
// unreachable host: a dial takes up to a second, and until it ends the upstream
// looks idle.
func TestFailedUpstreamIsCheckedBeforeItIsRead(t *testing.T) {
	f := newFixture(t)
	f.proxy.group("g").positions.add(upstream.Position{Term: 3, Offset: 100}, now())
	u := f.parts.Upstreams[1]
	pl, _ := f.proxy.pool(u)
	f.group.update(u.Id, func(u *fakeUpstream) { u.dead = true })
	pl.check(context.Background())
	pl.backoffUntil = now()
	view, _ := f.proxy.View().Group("g")
	for range 10 {
		c, ok := f.proxy.chooseForRead(view, upstream.Position{}, nil)
		assert.Assert(t, ok && c.upstream.Id != u.Id)
	}
	f.group.update(u.Id, func(u *fakeUpstream) { u.dead = false })
	assert.Assert(t, pl.claimCheck(false))
	pl.check(context.Background())
	assert.Assert(t, !pl.estimate(upstream.Position{}).backingOff)
	assert.Equal(t, len(pl.idle), 1, "the connection of the check was not kept")
}
