package proxy

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/site"
)

// Guards against late and patient operations of one proxy that fill the queue of an
// upstream before urgent ones of another, when demand passes what the upstreams can do
// and more proxies than slots send to each.
func TestWorkThatCanWaitYields(t *testing.T) {
	at := time.Unix(100, 0)
	y := yielding{part: 0.5, shortestTarget: 300 * time.Millisecond}
	waited := func(target, d time.Duration) urgency { return urgency{arrivedAt: at.Add(-d), target: target} }
	assert.Check(t, y.applies(waited(300*time.Millisecond, 290*time.Millisecond), at), "late")
	assert.Check(t, y.applies(waited(3*time.Second, 0), at), "has much time left")
	assert.Check(t, !y.applies(waited(3*time.Second, 2200*time.Millisecond), at), "must be sent soon")
	assert.Check(t, !y.applies(waited(300*time.Millisecond, 0), at), "has the shortest target")
	assert.Check(t, !y.applies(waited(0, time.Second), at), "has no target, so it can't be late")
	assert.Check(t, !y.applies(highestUrgency(), at))

	const mean = 30 * time.Millisecond
	assert.Equal(t, y.pause(1, mean, at), time.Duration(0), "no other work waits")
	y.recordWaiting(waited(3*time.Second, 0), at)
	assert.Equal(t, y.pause(1, mean, at), time.Duration(0), "only patient work waits")
	y.recordWaiting(waited(300*time.Millisecond, 0), at)
	assert.Equal(t, y.pause(1, mean, at), untilAnswer)
	y.endedAt = at
	// In six tenths of the time, so 20 ms after each 30 ms.
	assert.Equal(t, y.pause(0, mean, at).Round(time.Millisecond), 20*time.Millisecond)
	assert.Equal(t, y.pause(0, mean, at.Add(20*time.Millisecond)), time.Duration(0))
	assert.Equal(t, y.pause(1, mean, at.Add(yieldPeriod+1)), time.Duration(0), "nothing urgent has waited lately")
	for _, part := range []float64{0, 1, 3} {
		y.part = part
		assert.Equal(t, y.pause(1, mean, at), time.Duration(0), "one statement of each proxy doesn't fill %v slots", part)
	}
}

// Guards against late work that passes urgent work, that keeps it from being sent, or that
// is never sent because it always yields.
func TestYieldingWorkIsSentAfterAPause(t *testing.T) {
	withVirtualClock(t, func(t *testing.T) {
		f := newFixture(t)
		f.parts.Proxies = 8 // for the 4 slots of each upstream
		f.proxy.SetView(site.NewView(f.parts))
		assert.Equal(t, f.proxy.View().ShortestTarget("g"), 500*time.Millisecond)
		pl, _ := f.proxy.pool(f.parts.Upstreams[0])
		urgent := func() urgency { return urgency{arrivedAt: now(), target: 500 * time.Millisecond} }
		late := func() urgency { return urgency{arrivedAt: now().Add(-time.Second), target: 500 * time.Millisecond} }
		acquired := func(u urgency) (*conn, time.Duration) {
			begunAt := now()
			c, err := pl.acquire(context.Background(), u, "", time.Second)
			assert.NilError(t, err)
			return c, now().Sub(begunAt)
		}
		pl.yielding.contendedAt, pl.yielding.endedAt = now(), now()
		inFlight, waited := acquired(urgent())
		assert.Equal(t, waited, time.Duration(0))
		time.AfterFunc(100*time.Millisecond, func() { pl.release(inFlight) })
		c, waited := acquired(late())
		assert.Assert(t, waited > 100*time.Millisecond && waited < 100*time.Millisecond+initialServiceTime, "%v", waited)
		pl.release(c)
		c, waited = acquired(urgent())
		assert.Equal(t, waited, time.Duration(0))
		pl.release(c)

		time.Sleep(2 * yieldPeriod)
		inFlight, _ = acquired(urgent())
		c, waited = acquired(late())
		assert.Equal(t, waited, time.Duration(0), "nothing urgent has waited lately")
		pl.release(c)
		pl.release(inFlight)
	})
}
