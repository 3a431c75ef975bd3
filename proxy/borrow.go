package proxy

import "time"

// This file decides when a relay opens more connections to an upstream than its data
// centre's share. The load that it answers: one data centre is at its peak, or its
// transactions rest on connections, while others leave theirs unused. A relay in
// another region needs several times the connections of one beside the upstream,
// because each is in use for a round trip longer.
//
// Nobody knows how many connections the others use; only a dial shows whether there is
// room. So a connection beyond the share is borrowed for a short time. It ends whether
// others need it or not, and the next one must find room again, after a pause in which
// those below their share dial first. After a refused dial all are returned.

const (
	// borrowPeriod is how long a connection is borrowed. Opening one takes 12 ms of a
	// slot, so that each costs about a hundredth of a slot.
	borrowPeriod = time.Second
	// borrowInterval is the least time between two loans of a pool, so that few are
	// open too many before the first refusal shows it.
	borrowInterval = 50 * time.Millisecond
	// borrowAfter is how long a statement must have waited for a connection of the
	// share. Most statements end sooner.
	borrowAfter = 20 * time.Millisecond
	// borrowIdle is how long a connection may be unused before what was borrowed is
	// returned.
	borrowIdle = 100 * time.Millisecond
	// returnPause is the least time between the end of a loan and the next one: half of
	// the longest pause with which a pool without connections tries again.
	returnPause = backoffMax / 2
	// fullPeriod is how long after a decrease of the concurrency limit nothing is
	// borrowed: the upstream has a queue, and more connections would only lengthen it.
	fullPeriod = time.Second
	// refusedPause is how long nothing is borrowed after a refusal. It doubles with
	// each further one up to refusedPauseMax. A burst of load lasts for seconds.
	refusedPause    = time.Second
	refusedPauseMax = 8 * time.Second
)

// borrowing holds what a pool has borrowed.
type borrowing struct {
	// endsAt holds the end of each loan, the earliest first.
	endsAt []time.Time
	// nextAt is when the next loan may begin.
	nextAt time.Time
	// refused counts the refusals since a loan has ended by itself.
	refused int
}

func (b *borrowing) begin(at time.Time) {
	b.endsAt = append(b.endsAt, at.Add(borrowPeriod))
	b.nextAt = at.Add(borrowInterval)
}

// expire ends the loans whose time is over.
func (b *borrowing) expire(at time.Time) {
	for len(b.endsAt) > 0 && !at.Before(b.endsAt[0]) {
		b.refused = 0
		b.end(at)
	}
}

// end ends the oldest loan, if there is one.
func (b *borrowing) end(at time.Time) {
	if len(b.endsAt) == 0 {
		return
	}
	b.endsAt = b.endsAt[1:]
	b.nextAt = at.Add(jitter(returnPause))
}

// onRefusal ends all loans, because the upstream has no room.
func (b *borrowing) onRefusal(at time.Time) {
	b.endsAt = nil
	b.nextAt = at.Add(jitter(min(refusedPause<<min(b.refused, 3), refusedPauseMax)))
	b.refused++
}

// limitLocked returns how many connections the pool may have open: its quota and what
// it has borrowed.
func (p *pool) limitLocked() int { return p.quota.limit + len(p.borrowing.endsAt) }

// returnAllBorrowedLocked ends all loans after a refused dial.
func (p *pool) returnAllBorrowedLocked(at time.Time) {
	if len(p.borrowing.endsAt) > 0 {
		p.metrics.Counter("loans_refused_total").Inc(1)
		p.borrowing.onRefusal(at)
	}
}

// surplusIdleTimeout returns how long all unused connections but one of each team stay
// open. Where others may borrow them they are left to the others sooner.
func (q connectionQuota) surplusIdleTimeout() time.Duration {
	if q.borrowable > 0 {
		return min(q.idleTimeout, borrowPeriod)
	}
	return min(q.idleTimeout, surplusIdleTimeout)
}

// borrowLocked borrows a connection if the oldest waiting statement has waited long
// enough, and reports whether it did.
func (p *pool) borrowLocked(at time.Time) bool {
	if len(p.waiters) == 0 || len(p.borrowing.endsAt) >= p.quota.borrowable {
		return false
	}
	if at.Sub(p.concurrency.decreasedAt) < fullPeriod {
		return false
	}
	begin := p.borrowing.nextAt
	if waitedEnough := p.waiters[0].queuedAt.Add(borrowAfter); waitedEnough.After(begin) {
		begin = waitedEnough
	}
	if begin.After(at) {
		p.grantAfterLocked(begin.Sub(at))
		return false
	}
	p.borrowing.begin(at)
	p.metrics.Counter("connections_borrowed_total").Inc(1)
	return true
}

// returnBorrowedLocked ends the loans whose time is over, or that are not needed, and
// closes idle connections that the pool may no longer have. Others are closed as soon as
// they are released.
func (p *pool) returnBorrowedLocked(at time.Time) {
	p.borrowing.expire(at)
	for _, c := range p.idle {
		if at.Sub(c.idleSince) >= borrowIdle {
			p.borrowing.end(at)
		}
	}
	p.closeBeyondQuotaLocked(at)
}
