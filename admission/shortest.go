package admission

import (
	"container/list"
	"math"
	"time"
)

const (
	// longFactor times the median service time is the limit between short
	// and long work.
	longFactor = 4
	// stopFactor times the median is when work that was expected to be short
	// may be stopped. One in 64 of exponentially distributed service times
	// is longer.
	stopFactor = 6
	// minStop keeps stops rarer than their cost, which is a cancel request
	// and a new connection.
	minStop = 20 * time.Millisecond
	// stopGain is how long stopped work must be expected to run, in
	// multiples of the time at which it is stopped.
	stopGain = 3
	// patience is how long long work waits, as a share of its own service
	// time, before it may take a slot that the short work seems to need.
	patience = 1
	// safety is how many standard deviations of the predicted start are left
	// free, if service times spread as much as their mean.
	safety = 3
	// urgent is the share of its wait after which long work goes before
	// short work, within the limits for long work.
	urgent = 0.75
	// stopAge bounds how long work may have run, in multiples of the limit
	// for long work, to be stopped while short work still has a slot. Later,
	// stopping it wastes more than it gains.
	stopAge = 3
	// standingAfter is how long a queue must have lasted to be an overload
	// and not a burst. A queue that stands longer only delays: it is then
	// kept to standingShare of the class's wait, so that waits are normal
	// soon after the overload ends.
	standingAfter = 500 * time.Millisecond
	standingShare = 1.0 / 8
	minStanding   = 250 * time.Millisecond
)

// Shortest serves short work before long work, and work of one length by the
// wait that is left. It keeps long work from taking all slots.
type Shortest struct {
	buckets map[bucketKey]*bucket
	// busySince is when work began to wait without a break.
	busySince time.Time
	// shortLoad is the slots' time that short work has used.
	shortLoad rate
	// overrun is the service time of work that ran past the limit for a
	// stop.
	overrun estimate
	// waited and predicted are the waits of short work, as they were and as
	// they were predicted. Their ratio corrects predictions for what the
	// service times don't show, such as the time to hand over a slot.
	waited, predicted rate
}

// NewShortest returns the policy in use.
func NewShortest() *Shortest { return &Shortest{buckets: map[bucketKey]*bucket{}} }

// bucketKey tells apart work that differs in its expected service time. long
// marks work that has run long before.
type bucketKey struct {
	kind kind
	long bool
}

func (w *waiter) bucketKey() bucketKey { return bucketKey{kind: w.key(), long: w.Long} }

// bucket holds the waiting work of one kind, ordered by deadline.
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

// before estimates how many of the bucket's entries have a deadline before t,
// as if the deadlines were spread evenly.
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

// rank orders candidates; the lowest goes first.
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

// rank puts urgent long work first, then short work, then other long work.
// Within a tier the order is the expected service time less the credit for
// waiting, which is complete when no wait is left.
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

// expect returns the service time of a kind. Work that was stopped is unlike
// the rest of its kind: it takes as long as other work that ran too long.
func (p *Shortest) expect(b *board, k bucketKey, now time.Time) service {
	s := b.learned.expect(k.kind, now)
	if !k.long {
		return s
	}
	mean := p.overrunMean(now)
	return service{mean: max(s.mean, mean), capped: s.capped, typical: max(s.typical, mean)}
}

// overrunMean is zero if nothing has run past the limit for a stop lately.
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

const maxCorrection = 4

// correction is the ratio of waits to predictions of the last seconds.
func (p *Shortest) correction(now time.Time) float64 {
	predicted := p.predicted.perSecond(now)
	if predicted == 0 {
		return 1
	}
	return min(max(p.waited.perSecond(now)/predicted, 1/maxCorrection), maxCorrection)
}

// roomForLong reports whether long work may start. It keeps to the slots that
// short work leaves until it has waited long for its size, and never takes
// the last slot.
func (p *Shortest) roomForLong(b *board, w *waiter, typical float64, now time.Time) bool {
	running := b.runningLong(now)
	if running < p.softLimit(b, now) {
		return true
	}
	return running < b.hardLimit() && now.Sub(w.arrived).Seconds() >= patience*typical
}

// hardLimit is how many slots long work may hold at most.
func (b *board) hardLimit() int { return max(b.slots-1, 1) }

// softLimit is how many slots long work may hold without delaying the short
// work of the last seconds.
func (p *Shortest) softLimit(b *board, now time.Time) int {
	// A tenth of a slot more than planned is no reason to keep a whole one.
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

// predict works the slots of w's length through everything of that length
// that has less wait left.
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

// seconds converts to a duration; the longest stands for more than fits.
func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/2))
}

// running returns the expected rest of the running work that holds slots for
// work of the same length, and the number of such slots.
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
