package proxy

import (
	"math"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
)

const (
	// yieldMargin is how much more than its part of an upstream's slots a proxy uses
	// for work that yields, so that no slot idles while the pauses of proxies
	// coincide.
	yieldMargin = 1.2
	// yieldPeriod is for how long work yields after a statement that does not had to
	// wait, or after an answer that shows a queue. Overload lasts for seconds, and in each of them some does.
	yieldPeriod = time.Second
	// spareTargets is how many of the shortest targets of its group an operation must
	// have to spare to yield: that of the work that waits now, and that of the work
	// that arrives meanwhile.
	spareTargets = 2
)

// yielding decides when work that can wait leaves an upstream to other work. Where more
// proxies send to an upstream than it has slots, one statement of each is enough to fill
// its queue, which it serves in the order of arrival: late statements of one proxy would
// delay urgent ones of another. So work that can wait takes turns, in which it uses about
// the proxy's part of the slots.
type yielding struct {
	// part is how many slots of the upstream there are for each proxy; 0 if that is
	// not known, or others limit the load.
	part float64
	// shortestTarget is the shortest target of the group's routes.
	shortestTarget time.Duration
	// contendedAt is when work that doesn't yield last had to wait, here or in the
	// upstream's queue, and endedAt when the last statement ended.
	contendedAt, endedAt time.Time
}

// newYielding returns the decision for an upstream of a view. Relays are few enough that
// one statement of each leaves slots free.
func newYielding(v *site.View, u *pb.SiteUpstream, useRelays bool) yielding {
	if useRelays || v.Proxies == 0 {
		return yielding{}
	}
	return yielding{part: float64(u.Slots) / float64(v.Proxies), shortestTarget: v.ShortestTarget(u.Group)}
}

// applies reports whether an operation yields: it is late, or has much time left.
func (y *yielding) applies(u urgency, at time.Time) bool {
	if u.target == 0 || u.target == math.MaxInt64 {
		return false
	}
	return !u.canMeetTarget(at) || u.spare(at) > spareTargets*y.shortestTarget
}

// pause returns how long work that yields must still wait, if statements take a mean
// time. While a statement is in flight that is until it has ended.
func (y *yielding) pause(inFlight int, mean time.Duration, at time.Time) time.Duration {
	part := yieldMargin * y.part
	if part == 0 || part >= 1 || at.Sub(y.contendedAt) > yieldPeriod {
		return 0
	}
	if inFlight > 0 {
		return untilAnswer
	}
	return max(time.Duration(float64(mean)*(1/part-1))-at.Sub(y.endedAt), 0)
}

// untilAnswer is a pause that ends with the next answer.
const untilAnswer = time.Duration(math.MaxInt64)

// recordWaiting records that a statement must wait because of the concurrency limit.
func (y *yielding) recordWaiting(u urgency, at time.Time) {
	if !y.applies(u, at) {
		y.contendedAt = at
	}
}

// recordQueue records that statements wait too long in the upstream's queue, so also those
// of other proxies.
func (y *yielding) recordQueue(at time.Time) { y.contendedAt = at }

// mustYieldLocked reports whether an operation must leave the upstream to others now.
func (p *pool) mustYieldLocked(u urgency, at time.Time) bool {
	return p.yielding.applies(u, at) && p.yielding.pause(p.inFlight, p.answerTime, at) > 0
}

// skipYieldingLocked returns the waiters that need not yield now, and sees to it that the
// others are served later.
func (p *pool) skipYieldingLocked(waiters []*waiter, at time.Time) []*waiter {
	pause := p.yielding.pause(p.inFlight, p.answerTime, at)
	if pause == 0 {
		return waiters
	}
	kept := waiters[:0]
	for _, w := range waiters {
		switch {
		case !p.yielding.applies(w.urgency, at):
			kept = append(kept, w)
		case !w.yielded:
			w.yielded = true
			p.metrics.Counter("statements_yielded_total").Inc(1)
		}
	}
	if len(kept) < len(waiters) && pause != untilAnswer {
		p.grantAfterLocked(pause)
	}
	return kept
}
