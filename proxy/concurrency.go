package proxy

import (
	"math"
	"time"
)

const (
	// initialConcurrency is the limit for an upstream of which the proxy knows
	// neither its part of the slots nor the capacity.
	initialConcurrency = 4
	// minConcurrency is below one because one statement in flight from each
	// proxy is already too much where very many proxies share an upstream.
	minConcurrency = 0.25
	// decreaseFactor multiplies the limit when it is lowered. Additive
	// increase and multiplicative decrease lead proxies that share an
	// upstream to equal limits.
	decreaseFactor = 0.7
	// minDecreaseInterval is the least time between two decreases, so that
	// refusals of statements that were in flight together count once. It is
	// the round-trip time between regions.
	minDecreaseInterval = 50 * time.Millisecond
)

// concurrencyLimit bounds the statements that a proxy has in flight at one
// upstream. An upstream refuses statements that exceed its queue, so without a
// limit many proxies would spend their time on refusals. Statements that wait at
// the proxy instead can be sent in the order of their urgency.
type concurrencyLimit struct {
	limit       float64
	decreasedAt time.Time
	// fixed is set if limit never changes.
	fixed bool
	// share is how many slots of the upstream there are for each proxy; 0 if that
	// is not known.
	share float64
}

// unlimitedConcurrency allows as many statements as a pool of virtual connections
// can have in flight.
func unlimitedConcurrency() concurrencyLimit {
	return concurrencyLimit{limit: float64(relayedQuota.limit), fixed: true}
}

func newConcurrencyLimit() concurrencyLimit { return concurrencyLimit{limit: initialConcurrency} }

// setShare sets how many slots of the upstream there are for each proxy. Until more is
// known the limit is that share: with more, proxies that start together would fill the
// upstream's queue.
func (l *concurrencyLimit) setShare(share float64) {
	if l.fixed {
		return
	}
	known := l.share > 0
	l.share = share
	if !known && share > 0 {
		l.limit = l.fairLimit()
	}
}

// fairLimit returns the limit with which the proxies together use all slots of the
// upstream, at least one statement each.
func (l *concurrencyLimit) fairLimit() float64 { return max(math.Ceil(l.share), 1) }

// allows reports whether one more statement may be sent. While the limit is
// below one, statements are sent one at a time, and a lower limit makes the
// pause after a decrease longer.
func (l *concurrencyLimit) allows(inFlight int, at time.Time) bool {
	if l.limit >= 1 || inFlight > 0 {
		return float64(inFlight+1) <= max(l.limit, 1)
	}
	return at.Sub(l.decreasedAt) >= l.pauseAfterDecrease()
}

// pauseAfterDecrease returns how long after a decrease the next statement may be
// sent if the limit is below one.
func (l *concurrencyLimit) pauseAfterDecrease() time.Duration {
	return time.Duration(float64(minDecreaseInterval) / l.limit)
}

// onSuccess records the answer to a statement that ran without a wait. If the limit
// was reached, it grows by 1/limit, so by about one when as many statements as the
// limit allows have succeeded.
func (l *concurrencyLimit) onSuccess(inFlight int) {
	if !l.fixed && float64(inFlight+1) > l.limit {
		l.limit += l.growth() / max(l.limit, 1)
	}
}

// growth returns by how much the limit grows when as many statements as it allows have
// succeeded. The limits of all proxies may grow at the same time, together by no more
// than the upstream has slots. Below one, one success ends the pauses.
func (l *concurrencyLimit) growth() float64 {
	if l.share == 0 || l.limit < 1 {
		return 1
	}
	return min(l.share, 1)
}

// onQueueDelay lowers the limit, to no less than the fair limit, because statements seem
// to wait in the upstream's queue. With less the upstream may be slow without a queue,
// and its slots would idle.
func (l *concurrencyLimit) onQueueDelay(at time.Time) {
	lowest := l.fairLimit()
	if l.fixed || l.limit <= lowest || at.Sub(l.decreasedAt) < minDecreaseInterval {
		return
	}
	l.decreasedAt = at
	l.limit = max(l.limit*decreaseFactor, lowest)
}

// onRefusal lowers the limit because the upstream had no room for a statement.
func (l *concurrencyLimit) onRefusal(at time.Time) {
	if l.fixed || at.Sub(l.decreasedAt) < minDecreaseInterval {
		return
	}
	l.decreasedAt = at
	l.limit = max(l.limit*decreaseFactor, minConcurrency)
}

// urgency decides in which order the statements that wait for an upstream are
// sent.
type urgency struct {
	// arrivedAt is when the caller's operation began.
	arrivedAt time.Time
	// target is the time in which the whole operation should end, as its
	// route states it.
	target time.Duration
	// priority is that of the route; 0 is the highest.
	priority uint32
	// expected is the mean time that such operations take at upstreams.
	expected time.Duration
}

// backoffFactor multiplies the pause before a refused statement is sent again.
// An upstream that many proxies share picks among their statements by chance;
// the shorter pauses let urgent statements of one proxy pass those of others.
func (u urgency) backoffFactor(at time.Time) time.Duration {
	if !u.canMeetTarget(at) {
		return lateBackoffFactor
	}
	return 1 + time.Duration(min(u.priority, maxPriority))
}

const (
	lateBackoffFactor = 10
	maxPriority       = 4
)

// usableShare is the share of its target in which an operation must be expected to
// end to count as in time. The rest is for the network and, in a transaction, for
// the caller's pauses between statements.
const usableShare = 0.9

func (u urgency) canMeetTarget(at time.Time) bool {
	return u.target == math.MaxInt64 || u.spare(at) > 0
}

// spare returns how much longer an operation may wait and still be expected to end in
// time.
func (u urgency) spare(at time.Time) time.Duration {
	return time.Duration(usableShare*float64(u.target)) - at.Sub(u.arrivedAt) - u.expected
}

// mostUrgent returns the index of the statement to send next. Operations that
// can still end within their target go before late ones: if late ones were
// served in the order of arrival, all others would become late as well, until
// the backlog is gone. Then the higher priority goes first, and among equal
// priorities the earlier due time. Short work is due earlier because it delays
// fewer others; long work moves forward the longer it has waited.
func mostUrgent(waiting []urgency, at time.Time) int {
	best := 0
	for i := 1; i < len(waiting); i++ {
		if waiting[i].moreUrgentThan(waiting[best], at) {
			best = i
		}
	}
	return best
}

// expectedTimePenalty is how much later an operation is due per unit of its
// expected time: work that takes 1 ms longer is ordered as if it had arrived 8 ms
// later.
const expectedTimePenalty = 8

func (u urgency) moreUrgentThan(other urgency, at time.Time) bool {
	if u.canMeetTarget(at) != other.canMeetTarget(at) {
		return u.canMeetTarget(at)
	}
	if u.priority != other.priority {
		return u.priority < other.priority
	}
	return u.due().Before(other.due())
}

// due returns the time by which operations of equal priority are ordered, the
// earliest first.
func (u urgency) due() time.Time { return u.arrivedAt.Add(u.target + expectedTimePenalty*u.expected) }

// highestUrgency is for the proxy's own requests that many statements wait for.
func highestUrgency() urgency { return urgency{target: math.MaxInt64} }
