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
	// stopFactor times the median is the running time after which a request
	// that was expected to be short may be preempted. One in 64 of
	// exponentially distributed service times is longer.
	stopFactor = 6
	// minStopAfter is the shortest running time before a preemption. A
	// preemption costs a cancel request and a new connection, so it must be
	// rare.
	minStop = 20 * time.Millisecond
	// minOverrunFactor times stopAfter is the mean service time of requests
	// that ran past stopAfter from which preemptions pay.
	stopGain = 3
	// longWaitFactor times its own expected service time is how long a long
	// request waits before it may take a slot that short requests are likely
	// to need.
	patience = 1
	// safetyDeviations is the margin between the predicted start and the
	// deadline, in standard deviations of the prediction. The standard
	// deviation of a service time is assumed to equal its mean.
	safety = 3
	// urgentShare is the share of its wait after which a long request goes
	// before short ones, within the limit on slots for long requests.
	urgent = 0.75
	// stopAgeFactor times stopAfter is the running time up to which a request
	// may be preempted while short requests still have a slot. Later, the
	// work lost by stopping it is more than the gain.
	stopAge = 3
	// standingAfter is how long requests must have waited without a break
	// for the queue to be a standing queue, caused by overload, instead of a
	// burst. A standing queue delays every request and gains nothing, so the
	// predicted wait is then limited to standingShare of the class's wait, and
	// to no less than minStanding. Waits are thus normal soon after the
	// overload ends.
	standingAfter = 500 * time.Millisecond
	standingShare = 1.0 / 8
	minStanding   = 250 * time.Millisecond
)

// Shortest is the policy of queues that serve callers. It starts requests that
// are expected to be short before long ones, and prefers those with less wait
// left. It limits the slots for long requests, so that short ones do not wait
// behind them.
type Shortest struct {
	buckets map[bucketKey]*bucket
	// busySince is the start of the current period in which requests have
	// waited without a break.
	busySince time.Time
	// shortLoad is the slot time that short requests have used; its rate per
	// second is the number of slots that they occupy.
	shortLoad rate
	// overrun is the service time of requests that ran past stopAfter.
	overrun estimate
	// actualWait and predictedWait add up the actual and the predicted waits
	// of short requests. Their ratio corrects predictions for delays that
	// service times don't include, such as the time to hand over a slot.
	waited, predicted rate
}

// NewShortest returns a policy without waiting requests.
func NewShortest() *Shortest { return &Shortest{buckets: map[bucketKey]*bucket{}} }

// bucketKey identifies requests with the same expected service time. preempted
// marks those that were preempted because they ran long.
type bucketKey struct {
	kind kind
	long bool
}

func (w *waiter) bucketKey() bucketKey { return bucketKey{kind: w.key(), long: w.Long} }

// bucket holds the waiting requests of one bucketKey, ordered by deadline.
type bucket struct {
	key     bucketKey
	waiting list.List
}

func (bk *bucket) first() *waiter { return bk.waiting.Front().Value.(*waiter) }

func (bk *bucket) last() *waiter { return bk.waiting.Back().Value.(*waiter) }

func (bk *bucket) insert(w *waiter) {
	at := bk.waiting.Back()
	for at != nil && at.Value.(*waiter).deadline.After(w.deadline) {
		at = at.Prev()
	}
	if at == nil {
		w.element = bk.waiting.PushFront(w)
		return
	}
	w.element = bk.waiting.InsertAfter(w, at)
}

// countBefore estimates how many of the bucket's requests have a deadline before
// t, assuming that the deadlines are evenly spread.
func (bk *bucket) before(t time.Time) float64 {
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

func (p *Shortest) push(_ *board, w *waiter, now time.Time) {
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

func (p *Shortest) remove(w *waiter) {
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
func (p *Shortest) rank(w *waiter, typical float64, long bool, now time.Time) rank {
	left := w.deadline.Sub(now).Seconds()
	r := rank{tier: 1, value: typical + left}
	if !long {
		return r
	}
	r.tier = 2
	if left < (1-urgent)*(w.Waited+w.WaitRemaining).Seconds() {
		r.tier = 0
	}
	return r
}

// expectedTime returns the expected service time of k. Preempted requests take
// longer than others of their class and shape, so for them it is at least the
// mean of requests that ran past stopAfter.
func (p *Shortest) expect(b *board, k bucketKey, now time.Time) service {
	s := b.learned.expect(k.kind, now)
	if !k.long {
		return s
	}
	mean := p.overrunMean(now)
	return service{mean: max(s.mean, mean), capped: s.capped, typical: max(s.typical, mean)}
}

// overrunMean returns the mean service time in seconds of requests that ran past
// stopAfter; zero if there were none lately.
func (p *Shortest) overrunMean(now time.Time) float64 {
	p.overrun.decay(now)
	if p.overrun.weight < forgotten {
		return 0
	}
	return p.overrun.sum / p.overrun.weight
}

func (p *Shortest) next(b *board, now time.Time) *waiter {
	var best *waiter
	var bestRank rank
	for _, bk := range p.buckets {
		s := p.expect(b, bk.key, now)
		w := bk.first()
		w.long = b.long(bk.key, s, now)
		if w.long && !p.roomForLong(b, w, s.typical, now) {
			continue
		}
		r := p.rank(w, s.typical, w.long, now)
		if best == nil || r.before(bestRank) {
			best, bestRank = w, r
		}
	}
	if best == nil {
		return nil
	}
	p.remove(best)
	if !best.long && best.predicted > 0 {
		p.waited.add(now.Sub(best.arrived).Seconds(), now)
		p.predicted.add(best.predicted, now)
	}
	return best
}

// maxCorrection bounds the correction of predicted waits in both directions.
const maxCorrection = 4

// correction returns the ratio of actual to predicted waits of the last seconds.
func (p *Shortest) correction(now time.Time) float64 {
	predicted := p.predicted.perSecond(now)
	if predicted == 0 {
		return 1
	}
	return min(max(p.waited.perSecond(now)/predicted, 1/maxCorrection), maxCorrection)
}

// longMayStart reports whether w, which is expected to run long, may start. Long
// requests get the slots that short ones leave free. Once w has waited
// longWaitFactor times its typical service time, it may also take another slot,
// but never the last one.
func (p *Shortest) roomForLong(b *board, w *waiter, typical float64, now time.Time) bool {
	running := b.runningLong(now)
	if running < p.softLimit(b, now) {
		return true
	}
	return running < b.hardLimit() && now.Sub(w.arrived).Seconds() >= patience*typical
}

// hardLimit returns how many slots long requests may use at most.
func (b *board) hardLimit() int { return max(b.slots-1, 1) }

// softLimit returns how many slots long requests may use without delaying short
// ones, if short requests keep arriving as in the last seconds.
func (p *Shortest) softLimit(b *board, now time.Time) int {
	// A load of up to a tenth above a whole number does not reserve one more.
	keep := int(math.Ceil(p.shortLoad.perSecond(now) - 0.1))
	return min(max(b.slots-keep, 1), b.hardLimit())
}

func (p *Shortest) allows(b *board, w *waiter, now time.Time) bool {
	k := w.bucketKey()
	w.long = b.long(k, p.expect(b, k, now), now)
	return !w.long || b.runningLong(now) < b.hardLimit()
}

func (p *Shortest) observe(b *board, s *Slot, elapsed time.Duration, now time.Time) {
	if elapsed.Seconds() > b.stopAfter(now) {
		p.overrun.add(elapsed.Seconds(), math.Inf(1), now)
	}
	if s.expectedLong {
		return
	}
	p.shortLoad.add(min(elapsed.Seconds(), b.longAfter(now)), now)
}

// predict divides the expected work ahead of w by the slots for requests of its
// length, short or long. Ahead of w are running requests of the same length and
// waiting ones with an earlier deadline.
func (p *Shortest) predict(b *board, w *waiter, now time.Time) (start, limit time.Duration) {
	limit = p.limit(w, now)
	if len(b.running) < b.slots && len(p.buckets) == 0 {
		return 0, limit
	}
	k := w.bucketKey()
	mine := p.expect(b, k, now)
	long := b.long(k, mine, now)
	ahead, slots := p.running(b, long, now)
	for _, bk := range p.buckets {
		s := p.expect(b, bk.key, now)
		if b.long(bk.key, s, now) == long {
			ahead += s.of(long) * bk.before(w.deadline)
		}
	}
	w.predicted = ahead / float64(slots)
	if !long {
		ahead *= p.correction(now)
	}
	start = seconds(ahead / float64(slots))
	spread := math.Sqrt(ahead*mine.of(long)) / float64(slots)
	limit -= min(seconds(mine.of(long)+safety*spread), limit/2)
	return start, limit
}

func (p *Shortest) limit(w *waiter, now time.Time) time.Duration {
	limit := w.deadline.Sub(now)
	if len(p.buckets) == 0 || now.Sub(p.busySince) < standingAfter {
		return limit
	}
	total := float64(w.Waited + w.WaitRemaining)
	return min(limit, max(minStanding, time.Duration(standingShare*total)))
}

// toDuration converts seconds to a duration. Values that are too large, such as
// infinity, become a very long duration.
func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/2))
}

// runningWork returns the expected remaining time in seconds of the running
// requests that are long, or short, and the number of slots for such requests.
func (p *Shortest) running(b *board, long bool, now time.Time) (rest float64, slots int) {
	others := 0
	for _, s := range b.running {
		if b.isLong(s, now) != long {
			others++
			continue
		}
		e := p.expect(b, s.work.bucketKey(), now)
		rest += max(e.of(long)-now.Sub(s.since).Seconds(), 0)
	}
	slots = max(b.slots-others, 1)
	if long {
		slots = min(slots, p.softLimit(b, now))
	}
	return rest, slots
}
