package proxy

import "time"

// ownReleaseWait is how long a statement waits for a connection of its team that
// is in use before another one is opened. Most statements take less, and opening
// costs the upstream 12 ms and a round trip.
const ownReleaseWait = 40 * time.Millisecond

// dialReserve is how long less urgent statements leave room for one whose
// connection is being dialed. Opening takes 12 ms and up to two round trips of
// 40 ms; a dial that takes longer has lost a packet or its host.
const dialReserve = 100 * time.Millisecond

// grantLocked gives idle connections to waiting statements, the most urgent
// first, as far as the concurrency limit allows, and dials connections for the
// others. Dials run in goroutines of their own, so that a connection is kept
// even if the statement that caused it stops waiting.
func (p *pool) grantLocked() {
	at := now()
	p.scheduleGrantLocked(at)
	p.rounds++
	r := grantRound{pool: p, at: at, number: p.rounds}
	for r.serveNext() {
	}
}

// grantRound is one pass over the waiters of a pool.
type grantRound struct {
	pool   *pool
	at     time.Time
	number uint64
	// reserved counts the waiters that a dial will serve. Less urgent ones leave
	// room in the concurrency limit for them: opening takes part of a slot too.
	reserved int
	// idleOnly is set once no more connections can be opened.
	idleOnly bool
}

// serveNext serves the next waiter. It reports false at the end of the round.
func (r *grantRound) serveNext() bool {
	p := r.pool
	total := max(int(p.concurrency.limit), 1)
	if total-p.inFlight-r.reserved <= 0 {
		return false
	}
	eligible := r.eligible()
	if len(eligible) == 0 {
		return false
	}
	w := p.nextWaiterLocked(eligible, total, r.at)
	if p.hasIdleLocked(w) {
		if !p.concurrency.allows(p.inFlight+r.reserved, r.at) {
			return false
		}
		if c := p.popIdleLocked(w.team, w.wanted.any); c != nil {
			p.removeWaiterLocked(w)
			w.granted <- grant{conn: c}
			return true
		}
	}
	w.passedIn = r.number
	r.connect(w)
	return true
}

// eligible returns the waiters that this round can still serve.
func (r *grantRound) eligible() []*waiter {
	p := r.pool
	if len(p.idle) == 0 && !r.mayOpen() {
		return nil
	}
	var list []*waiter
	for _, w := range p.waiters {
		if w.passedIn != r.number && (!r.idleOnly || p.hasIdleLocked(w)) {
			list = append(list, w)
		}
	}
	return p.skipYieldingLocked(list, r.at)
}

// mayOpen reports whether a connection can be opened while none is idle.
func (r *grantRound) mayOpen() bool {
	p := r.pool
	return !r.idleOnly && !p.closed && p.mayDialLocked(r.at) && (p.open < p.limitLocked() || p.borrowLocked(r.at))
}

// connect finds a connection for a waiter whose team has none idle: one that is
// being dialed, one that the team soon releases, or a new one.
func (r *grantRound) connect(w *waiter) {
	p, t := r.pool, w.team
	if t.round != r.number {
		t.round, t.claimedDials, t.claimedReleases = r.number, 0, 0
	}
	waited := r.at.Sub(w.queuedAt)
	switch {
	case t.claimedDials < t.dialing:
		t.claimedDials++
		r.reserve(t)
	case p.closed:
		r.idleOnly = true
	case !p.mayDialLocked(r.at):
		r.idleOnly = true
		if wait := p.pacer.wait(r.at); wait > 0 {
			p.grantAfterLocked(wait)
		}
	case t.name != "" && t.claimedReleases < t.inFlight && waited < ownReleaseWait:
		t.claimedReleases++
		p.grantAfterLocked(ownReleaseWait - waited)
	case p.makeRoomLocked(r.at):
		t.claimedDials++
		p.startDialLocked(t, r.at)
		r.reserve(t)
	default:
		r.idleOnly = true
	}
}

// mayDialLocked reports whether a connection may be dialed, in addition to those that
// are open, or instead of one of them if there are as many as the pool may have.
func (p *pool) mayDialLocked(at time.Time) bool {
	return p.pacer.allows(at, min(p.open, p.limitLocked()-1), p.dialing)
}

// reserve leaves room for a waiter whose connection is being dialed.
func (r *grantRound) reserve(t *poolTeam) {
	if t.name == "" {
		r.reserved++
		return
	}
	if dialedFor := r.at.Sub(t.dialedAt); dialedFor < dialReserve {
		r.reserved++
		r.pool.grantAfterLocked(dialReserve - dialedFor)
	}
}

func (p *pool) startDialLocked(t *poolTeam, at time.Time) {
	t.dialedAt = at
	p.open++
	p.dialing++
	t.open++
	t.dialing++
	go p.dial(t)
}

// scheduleGrantLocked calls grantLocked again when the pauses after a decrease of
// the concurrency limit and before the next dial have passed. The first need not be
// waited for if statements are in flight, because grantLocked is called after each
// answer.
func (p *pool) scheduleGrantLocked(at time.Time) {
	if len(p.waiters) == 0 {
		return
	}
	wait := p.pacer.wait(at)
	if p.inFlight == 0 && !p.concurrency.allows(0, at) {
		wait = max(wait, p.concurrency.pauseAfterDecrease()-at.Sub(p.concurrency.decreasedAt))
	}
	if wait > 0 {
		p.grantAfterLocked(wait)
	}
}

// grantAfterLocked calls grantLocked after a time, unless that will be called
// earlier.
func (p *pool) grantAfterLocked(wait time.Duration) {
	due := now().Add(wait)
	if !p.grantTimerAt.IsZero() && !due.Before(p.grantTimerAt) {
		return
	}
	p.grantTimerAt = due
	time.AfterFunc(wait, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.grantTimerAt.Equal(due) {
			p.grantTimerAt = time.Time{}
		}
		p.grantLocked()
	})
}
