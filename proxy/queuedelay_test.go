package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
)

// testRTT is the round-trip time of the network in the tests of queues.
const testRTT = 2 * time.Millisecond

// answerQueue sends statements of a kind to an upstream with slots for each proxy, always
// as many as the limit allows, and returns the mean limit of the last half. The times
// of statements vary by as much as their mean.
func answerQueue(p *pool, kind workKind, mean time.Duration, slots, proxies int) float64 {
	const answers = 2000
	rng := rand.New(rand.NewPCG(1, 2))
	var sum float64
	for i := range answers {
		p.inFlight = int(p.concurrency.limit)
		queued := max(p.inFlight*proxies-slots, 0)
		wait := time.Duration(queued) * mean / time.Duration(slots)
		p.recordRun(kind, testRTT+wait+time.Duration(rng.ExpFloat64()*float64(mean)))
		p.concurrency.decreasedAt = time.Time{} // answers come further apart than minDecreaseInterval
		if i >= answers/2 {
			sum += p.concurrency.limit
		}
	}
	return sum / (answers / 2)
}

// sharedPool returns a pool of an upstream that several proxies share, which knows the
// usual time of a kind of work from calm times.
func sharedPool(kind workKind, mean time.Duration, slots, proxies int) *pool {
	p := newPool(nil, &pb.SiteUpstream{Id: "u"}, connectionQuota{limit: 40, idleTimeout: idleTimeout})
	p.setShare(yielding{part: float64(slots) / float64(proxies), shortestTarget: 500 * time.Millisecond})
	p.recordAnswer(testRTT)
	p.recordRun(workKind{}, testRTT+mean)
	for range 100 {
		p.workTimes.add(kind, mean)
	}
	// Statements wait at the proxy from now on.
	p.waiters = []*waiter{{}}
	return p
}

// Guards against long work that looks like a queue: the limit of the only proxy of an
// upstream fell to one statement, and two of its three slots idled.
func TestLongWorkIsNoQueue(t *testing.T) {
	kind := workKind{database: "catalogue", kind: KindRead}
	const mean, slots = 150 * time.Millisecond, 3
	limit := answerQueue(sharedPool(kind, mean, slots, 1), kind, mean, slots, 1)
	assert.Assert(t, limit >= slots, "a mean limit of %.1f leaves slots empty", limit)
	assert.Assert(t, limit < 2*slots, "a mean limit of %.1f", limit)
}

// Guards against a burst in which six proxies keep more statements than they must at an
// upstream of three slots. Short work hides a long queue: nine statements of 7 ms wait 21 ms,
// with each statement of a transaction.
func TestShortWorkShowsAQueue(t *testing.T) {
	kind := workKind{database: "orders", kind: KindRead}
	const mean, slots, proxies = 7 * time.Millisecond, 3, 6
	limit := answerQueue(sharedPool(kind, mean, slots, proxies), kind, mean, slots, proxies)
	assert.Assert(t, limit < 1.5, "with a mean limit of %.1f for each of %d proxies", limit, proxies)
}

// Guards against proxies that start together and send more to an upstream than it has slots,
// and against a share of the slots that stays unused.
func TestLimitBeginsAtTheShareOfTheSlots(t *testing.T) {
	for _, c := range []struct{ share, limit, growth float64 }{
		{0.5, 1, 0.5}, {1, 1, 1}, {1.5, 2, 1}, {8, 8, 1}, {0, initialConcurrency, 1},
	} {
		l := newConcurrencyLimit()
		l.setShare(c.share)
		assert.Equal(t, l.limit, c.limit)
		assert.Equal(t, l.growth(), c.growth)
		at := time.Unix(100, 0)
		l.limit = 20
		for range 40 {
			at = at.Add(minDecreaseInterval)
			l.onQueueDelay(at)
		}
		assert.Equal(t, l.limit, l.fairLimit())
		l.setShare(c.share / 2)
		assert.Assert(t, l.limit >= l.fairLimit(), "a new view must not lower the limit at once")
	}
}

// Guards against a usual time that is learned from statements that waited in the queue of
// the upstream, which would then count as none.
func TestUsualTimeIsNotLearnedUnderLoad(t *testing.T) {
	kind := workKind{database: "orders", kind: KindRead}
	p := sharedPool(kind, 10*time.Millisecond, 3, 6)
	for range 100 {
		p.recordRun(kind, testRTT+100*time.Millisecond)
	}
	expected, known := p.workTimes.expected(kind)
	assert.Check(t, known)
	assert.Equal(t, expected, 10*time.Millisecond)
	assert.Equal(t, p.queueDelay.state(0), queueLong)
	p.waiters = nil
	for range 100 {
		p.recordAnswer(testRTT)
		p.recordRun(kind, testRTT+20*time.Millisecond)
	}
	expected, _ = p.workTimes.expected(kind)
	assert.Assert(t, expected > 18*time.Millisecond, "%v after the work has become longer", expected)
}

// Guards against an estimate of the wait that follows the long statements of a mixed load,
// whose own times vary by more than any wait.
func TestShortWorkTellsMoreOfTheQueue(t *testing.T) {
	after := func(expected, late time.Duration) time.Duration {
		q := queueDelay{expected: 50 * time.Millisecond}
		q.add(expected, expected+late)
		return q.delay
	}
	assert.Assert(t, after(10*time.Millisecond, 40*time.Millisecond) > 4*after(150*time.Millisecond, 40*time.Millisecond))
	q := queueDelay{expected: 100 * time.Millisecond, delay: 30 * time.Millisecond}
	assert.Equal(t, q.state(0), queueShort)
	assert.Equal(t, q.state(500*time.Millisecond), queueLong, "25 ms are a twentieth of the shortest target")
	q.delay = -time.Millisecond
	assert.Equal(t, q.state(500*time.Millisecond), queueEmpty)
}

// Guards against late statements that fill the queue of an upstream while urgent ones of
// other proxies wait there: this proxy learns of them by its own answers alone.
func TestLateWorkYieldsToTheQueueOfOthers(t *testing.T) {
	kind := workKind{database: "orders", kind: KindRead}
	const mean = 20 * time.Millisecond
	p := sharedPool(kind, mean, 3, 6)
	for range 20 {
		p.recordRun(kind, testRTT+mean)
	}
	assert.Equal(t, p.yielding.pause(1, mean, now()), time.Duration(0), "no queue")
	for range 20 {
		p.recordRun(kind, testRTT+3*mean)
	}
	assert.Equal(t, p.yielding.pause(1, mean, now()), untilAnswer)
}
