package admission

import (
	"container/list"
	"math"
	"time"
)

const (
	// longFactor times the median service time is the limit between short
	// and long requests.
	longFactor = 4
	// preemptFactor times the median is the running time after which a request
	// that was expected to be short may be preempted. One in 64 of
	// exponentially distributed service times is longer.
	preemptFactor = 6
	// minPreemptAfter is the shortest running time before a preemption. A
	// preemption costs a cancel request and a new connection, so it must be
	// rare.
	minPreemptAfter = 20 * time.Millisecond
	// minOverrunFactor times preemptAfter is the least mean service time of
	// requests that ran past preemptAfter for which a preemption pays.
	minOverrunFactor = 3
	// longWaitFactor times its own expected service time is how long a long
	// request waits before it may take a slot that short requests are likely
	// to need.
	longWaitFactor = 1
	// safetyDeviations is the margin between the predicted start and the
	// deadline, in standard deviations of the prediction. The standard
	// deviation of a service time is assumed to equal its mean.
	safetyDeviations = 3
	// urgentShare is the share of its wait after which a long request goes
	// before short ones, within the limit on slots for long requests.
	urgentShare = 0.75
	// preemptAgeFactor times preemptAfter is the running time up to which a
	// request may be preempted while short requests still have a slot. Later,
	// the work lost by stopping it is more than the gain.
	preemptAgeFactor = 3
	// standingQueueAfter is how long requests must have waited without a break
	// for the queue to be a standing queue, caused by overload, instead of a
	// burst. A standing queue delays every request and gains nothing, so the
	// predicted wait is then limited to standingQueueShare of the class's wait,
	// and to no less than minStandingQueueWait. Waits are thus normal soon after
	// the overload ends.
	standingQueueAfter   = 500 * time.Millisecond
	standingQueueShare   = 1.0 / 8
	minStandingQueueWait = 250 * time.Millisecond
)

// ShortestJobFirst is the policy of queues that serve callers. It starts
// requests that are expected to be short before long ones, and prefers those
// with less wait left. It limits the slots for long requests, so that short ones
// do not wait behind them.
type ShortestJobFirst struct {
	buckets map[bucketKey]*bucket
	// busySince is the start of the current period in which requests have
	// waited without a break.
	busySince time.Time
	// shortLoad is the slot time that short requests have used; its rate per
	// second is the number of slots that they occupy.
	shortLoad rate
	// overrun is the service time of requests that ran past preemptAfter.
	overrun estimate
	// actualWait and predictedWait add up the actual and the predicted waits
	// of short requests. Their ratio corrects predictions for delays that
	// service times don't include, such as the time to hand over a slot.
	actualWait, predictedWait rate
}

// NewShortestJobFirst returns a policy without waiting requests.
func NewShortestJobFirst() *ShortestJobFirst {
	return &ShortestJobFirst{buckets: map[bucketKey]*bucket{}}
}

// bucketKey identifies requests with the same expected service time. preempted
// marks those that were preempted because they ran long.
type bucketKey struct {
	kind      kind
	preempted bool
}

func (w *waiter) bucketKey() bucketKey { return bucketKey{kind: w.kind(), preempted: w.Preempted} }

// bucket holds the waiting requests of one bucketKey, ordered by deadline.
type bucket struct {
	key     bucketKey
	waiting list.List
}

func (bk *bucket) first() *waiter { return bk.waiting.Front().Value.(*waiter) }

func (bk *bucket) last() *waiter { return bk.waiting.Back().Value.(*waiter) }

func (bk *bucket) insert(w *waiter) {
	previous := bk.waiting.Back()
	for previous != nil && previous.Value.(*waiter).deadline.After(w.deadline) {
		previous = previous.Prev()
	}
	if previous == nil {
		w.element = bk.waiting.PushFront(w)
		return
	}
	w.element = bk.waiting.InsertAfter(w, previous)
}

// countBefore estimates how many of the bucket's requests have a deadline before
// t, assuming that the deadlines are evenly spread.
func (bk *bucket) countBefore(t time.Time) float64 {
	n := float64(bk.waiting.Len())
	first, last := bk.first().deadline, bk.last().deadline
	if !t.Before(last) {
		return n
	}
	if !t.After(first) {
		return 0
	}
	return n * float64(t.Sub(first)) / float64(last.Sub(first))
}

func (p *ShortestJobFirst) push(_ *upstreamState, w *waiter, now time.Time) {
	if len(p.buckets) == 0 {
		p.busySince = now
	}
	key := w.bucketKey()
	bk := p.buckets[key]
	if bk == nil {
		bk = &bucket{key: key}
		p.buckets[key] = bk
	}
	w.bucket = bk
	bk.insert(w)
}

func (p *ShortestJobFirst) remove(w *waiter) {
	w.bucket.waiting.Remove(w.element)
	if w.bucket.waiting.Len() == 0 {
		delete(p.buckets, w.bucket.key)
	}
}

// rank is the priority of a request; the lowest rank starts first.
type rank struct {
	tier  int
	value float64
}

func (r rank) before(o rank) bool {
	if r.tier != o.tier {
		return r.tier < o.tier
	}
	return r.value < o.value
}

// rank returns the rank of w. Urgent long requests come first, then short ones,
// then the other long ones. Within a tier the order is by the sum of the expected
// service time and the wait that is left.
func (p *ShortestJobFirst) rank(w *waiter, typical float64, long bool, now time.Time) rank {
	remaining := w.deadline.Sub(now).Seconds()
	r := rank{tier: 1, value: typical + remaining}
	if !long {
		return r
	}
	r.tier = 2
	if remaining < (1-urgentShare)*(w.Waited+w.WaitRemaining).Seconds() {
		r.tier = 0
	}
	return r
}

// expectedTime returns the expected service time of k. Preempted requests take
// longer than others of their class and shape, so for them it is at least the
// mean of requests that ran past preemptAfter.
func (p *ShortestJobFirst) expectedTime(u *upstreamState, k bucketKey, now time.Time) serviceTime {
	s := u.estimator.expectedTime(k.kind, now)
	if !k.preempted {
		return s
	}
	mean := p.overrunMean(now)
	return serviceTime{mean: max(s.mean, mean), capped: s.capped, typical: max(s.typical, mean)}
}

// overrunMean returns the mean service time in seconds of requests that ran past
// preemptAfter; zero if there were none lately.
func (p *ShortestJobFirst) overrunMean(now time.Time) float64 {
	p.overrun.decay(now)
	if p.overrun.weight < minWeight {
		return 0
	}
	return p.overrun.sum / p.overrun.weight
}

func (p *ShortestJobFirst) next(u *upstreamState, now time.Time) *waiter {
	var best *waiter
	var bestRank rank
	for _, bk := range p.buckets {
		s := p.expectedTime(u, bk.key, now)
		w := bk.first()
		w.expectedLong = u.expectedLong(bk.key, s, now)
		if w.expectedLong && !p.longMayStart(u, w, s.typical, now) {
			continue
		}
		r := p.rank(w, s.typical, w.expectedLong, now)
		if best == nil || r.before(bestRank) {
			best, bestRank = w, r
		}
	}
	if best == nil {
		return nil
	}
	p.remove(best)
	if !best.expectedLong && best.predicted > 0 {
		p.actualWait.add(now.Sub(best.arrived).Seconds(), now)
		p.predictedWait.add(best.predicted, now)
	}
	return best
}

// maxCorrection bounds the correction of predicted waits in both directions.
const maxCorrection = 4

// correction returns the ratio of actual to predicted waits of the last seconds.
func (p *ShortestJobFirst) correction(now time.Time) float64 {
	predicted := p.predictedWait.perSecond(now)
	if predicted == 0 {
		return 1
	}
	return min(max(p.actualWait.perSecond(now)/predicted, 1/maxCorrection), maxCorrection)
}

// longMayStart reports whether w, which is expected to run long, may start. Long
// requests get the slots that short ones leave free. Once w has waited
// longWaitFactor times its typical service time, it may also take another slot,
// but never the last one.
func (p *ShortestJobFirst) longMayStart(u *upstreamState, w *waiter, typical float64, now time.Time) bool {
	longCount := u.runningLong(now)
	if longCount < p.softLimit(u, now) {
		return true
	}
	return longCount < u.hardLimit() && now.Sub(w.arrived).Seconds() >= longWaitFactor*typical
}

// hardLimit returns how many slots long requests may use at most.
func (u *upstreamState) hardLimit() int { return max(u.slots-1, 1) }

// softLimit returns how many slots long requests may use without delaying short
// ones, if short requests keep arriving as in the last seconds.
func (p *ShortestJobFirst) softLimit(u *upstreamState, now time.Time) int {
	// A load of up to a tenth above a whole number does not reserve one more.
	shortSlots := int(math.Ceil(p.shortLoad.perSecond(now) - 0.1))
	return min(max(u.slots-shortSlots, 1), u.hardLimit())
}

func (p *ShortestJobFirst) mayStart(u *upstreamState, w *waiter, now time.Time) bool {
	k := w.bucketKey()
	w.expectedLong = u.expectedLong(k, p.expectedTime(u, k, now), now)
	return !w.expectedLong || u.runningLong(now) < u.hardLimit()
}

func (p *ShortestJobFirst) observe(u *upstreamState, s *Slot, elapsed time.Duration, now time.Time) {
	if elapsed.Seconds() > u.preemptAfter(now) {
		p.overrun.add(elapsed.Seconds(), math.Inf(1), now)
	}
	if s.expectedLong {
		return
	}
	p.shortLoad.add(min(elapsed.Seconds(), u.longAfter(now)), now)
}

// predict divides the expected work ahead of w by the slots for requests of its
// length, short or long. Ahead of w are running requests of the same length and
// waiting ones with an earlier deadline. The limit leaves a margin of w's
// expected service time and safetyDeviations, at most half of what w may wait.
func (p *ShortestJobFirst) predict(u *upstreamState, w *waiter, now time.Time) (start, limit time.Duration) {
	limit = p.limit(w, now)
	if len(u.running) < u.slots && len(p.buckets) == 0 {
		return 0, limit
	}
	k := w.bucketKey()
	expected := p.expectedTime(u, k, now)
	long := u.expectedLong(k, expected, now)
	ahead, slots := p.runningWork(u, long, now)
	for _, bk := range p.buckets {
		s := p.expectedTime(u, bk.key, now)
		if u.expectedLong(bk.key, s, now) == long {
			ahead += s.meanFor(long) * bk.countBefore(w.deadline)
		}
	}
	w.predicted = ahead / float64(slots)
	if !long {
		ahead *= p.correction(now)
	}
	start = toDuration(ahead / float64(slots))
	spread := math.Sqrt(ahead*expected.meanFor(long)) / float64(slots)
	limit -= min(toDuration(expected.meanFor(long)+safetyDeviations*spread), limit/2)
	return start, limit
}

func (p *ShortestJobFirst) limit(w *waiter, now time.Time) time.Duration {
	limit := w.deadline.Sub(now)
	if len(p.buckets) == 0 || now.Sub(p.busySince) < standingQueueAfter {
		return limit
	}
	total := float64(w.Waited + w.WaitRemaining)
	return min(limit, max(minStandingQueueWait, time.Duration(standingQueueShare*total)))
}

// toDuration converts seconds to a duration. Values that are too large, such as
// infinity, become a very long duration.
func toDuration(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/2))
}

// runningWork returns the expected remaining time in seconds of the running
// requests that are long, or short, and the number of slots for such requests.
func (p *ShortestJobFirst) runningWork(u *upstreamState, long bool, now time.Time) (remaining float64, slots int) {
	others := 0
	for _, s := range u.running {
		if u.isLong(s, now) != long {
			others++
			continue
		}
		e := p.expectedTime(u, s.request.bucketKey(), now)
		remaining += max(e.meanFor(long)-now.Sub(s.startedAt).Seconds(), 0)
	}
	slots = max(u.slots-others, 1)
	if long {
		slots = min(slots, p.softLimit(u, now))
	}
	return remaining, slots
}
