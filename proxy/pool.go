package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

const (
	dialTimeout = time.Second
	// surplusIdleTimeout is how long all unused connections but one stay
	// open. Opening a new one costs the upstream 12 ms of a slot.
	surplusIdleTimeout = 3 * time.Second
)

// pool holds a proxy's connections to one upstream, the statements that wait for
// them, and the upstream's health as the proxy has seen it. It is safe for
// concurrent use.
type pool struct {
	dialer Dialer
	// relays is set if the connections lead through relays; see relayed.go.
	relays Relays

	// mu guards the fields below.
	mu           sync.Mutex
	siteUpstream *pb.SiteUpstream
	// leavingSince is when the proxy learned that the upstream leaves; zero
	// unless it does. From newWorkUntil on it gets no new work then.
	leavingSince time.Time
	newWorkUntil time.Time
	quota        connectionQuota
	open         int
	idle         []*conn // most recently used last
	closed       bool
	// inFlight counts the statements that are at the upstream or about to be
	// sent to it.
	inFlight int
	// dialing is the part of open that is still being dialed.
	dialing     int
	pacer       dialPacer
	concurrency concurrencyLimit
	waiters     []*waiter
	// grantTimerSet is set while a timer is pending that calls grantLocked.
	grantTimerSet bool

	serviceTime float64 // milliseconds
	// minRTT is the shortest recent time until an answer, which is about the
	// round-trip time of the network.
	minRTT       time.Duration
	lastRunAt    time.Time
	lastAnswerAt time.Time
	checking     bool
	failures     int
	failedSince  time.Time
	backoffUntil time.Time
	// laggingPosition is what the upstream held when it last lacked a
	// position. Until laggingUntil it gets no reads that need a newer one;
	// laggingPause is the length of that pause.
	laggingPosition upstream.Position
	laggingUntil    time.Time
	laggingPause    time.Duration
}

// waiter is a statement that waits for a connection.
type waiter struct {
	urgency urgency
	granted chan grant // buffers one
}

// grant ends the wait of a statement, with a connection that counts as in
// flight or with the error why there is none.
type grant struct {
	conn *conn
	err  error
}

// conn is a pooled connection and the session state that is set on it.
type conn struct {
	Conn
	pool      *pool
	values    map[string]string
	prepared  map[string]bool
	idleSince time.Time
	// commands is the reused buffer of the commands that exchange sends.
	commands []Command
	// countedInFlight is set while the connection counts as in flight; the
	// pool's lock guards it.
	countedInFlight bool
}

func newPool(dialer Dialer, u *pb.SiteUpstream, quota connectionQuota) *pool {
	return &pool{
		dialer:       dialer,
		siteUpstream: u,
		quota:        quota,
		pacer:        dialPacer{createdAt: now()},
		concurrency:  newConcurrencyLimit(),
		serviceTime:  float64(initialServiceTime / time.Millisecond),
	}
}

// newRelayedPool returns a pool of virtual connections through relays, which limit
// the load on the upstream for all proxies of the data centre together.
func newRelayedPool(relays Relays, u *pb.SiteUpstream) *pool {
	p := newPool(relays, u, relayedQuota)
	p.relays = relays
	p.pacer = unpacedDials()
	p.concurrency = unlimitedConcurrency()
	return p
}

// update replaces the record of the upstream. newWorkUntil counts only if the
// upstream leaves.
func (p *pool) update(u *pb.SiteUpstream, newWorkUntil time.Time, quota connectionQuota) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.siteUpstream, p.newWorkUntil, p.quota = u, newWorkUntil, quota
	switch {
	case !u.Leaving:
		p.leavingSince = time.Time{}
	case p.leavingSince.IsZero():
		p.leavingSince = now()
	}
	p.grantLocked()
}

// setQuota changes the quota if it differs.
func (p *pool) setQuota(quota connectionQuota) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if quota != p.quota {
		p.quota = quota
		p.grantLocked()
	}
}

// group returns the name of the upstream's group.
func (p *pool) group() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.siteUpstream.Group
}

func (p *pool) id() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.siteUpstream.Id
}

// popIdleLocked returns an idle connection that is alive and counts it as in
// flight; nil if there is none.
func (p *pool) popIdleLocked() *conn {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.Alive() {
			p.inFlight++
			c.countedInFlight = true
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

// grantLocked gives idle connections to waiting statements, the most urgent
// first, as far as the concurrency limit allows, and dials connections for the
// others. Dials run in goroutines of their own, so that a connection is kept
// even if the statement that caused it stops waiting.
func (p *pool) grantLocked() {
	at := now()
	p.scheduleGrantLocked(at)
	for len(p.waiters) > 0 && p.concurrency.allows(p.inFlight, at) {
		c := p.popIdleLocked()
		if c == nil {
			break
		}
		p.popWaiterLocked(at).granted <- grant{conn: c}
	}
	room := max(int(p.concurrency.limit), 1) - p.inFlight
	if at.Before(p.pacer.nextAt) {
		return
	}
	for p.dialing < min(len(p.waiters), room, p.pacer.width(at)) && p.open < p.quota.limit && !p.closed {
		p.open++
		p.dialing++
		go p.dial()
	}
}

// scheduleGrantLocked calls grantLocked again when the pauses after a decrease of
// the concurrency limit and before the next dial have passed. The first need not be
// waited for if statements are in flight, because grantLocked is called after each
// answer.
func (p *pool) scheduleGrantLocked(at time.Time) {
	if len(p.waiters) == 0 || p.grantTimerSet {
		return
	}
	wait := p.pacer.nextAt.Sub(at)
	if p.inFlight == 0 && !p.concurrency.allows(0, at) {
		wait = max(wait, p.concurrency.pauseAfterDecrease()-at.Sub(p.concurrency.decreasedAt))
	}
	if wait <= 0 {
		return
	}
	p.grantTimerSet = true
	time.AfterFunc(wait, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.grantTimerSet = false
		p.grantLocked()
	})
}

func (p *pool) popWaiterLocked(at time.Time) *waiter {
	urgencies := make([]urgency, len(p.waiters))
	for i, w := range p.waiters {
		urgencies[i] = w.urgency
	}
	next := mostUrgent(urgencies, at)
	w := p.waiters[next]
	p.waiters = append(p.waiters[:next], p.waiters[next+1:]...)
	return w
}

// acquire returns a connection that counts as in flight, for new work of a caller.
// It waits for one until maxWait has passed or ctx ends, or the upstream gets no new
// work any more. Its errors are *DialRefused, *fault.IO and *Refusal; nothing has run
// after an error.
func (p *pool) acquire(ctx context.Context, u urgency, maxWait time.Duration) (*conn, error) {
	remaining, limited := p.newWorkTime()
	if limited {
		if remaining <= 0 {
			return nil, upstreamLeaving()
		}
		maxWait = min(maxWait, remaining)
	}
	return p.acquireForOwnCommand(ctx, u, maxWait)
}

// acquireForOwnCommand is acquire for a command of the proxy's own, which an
// upstream that leaves may get until it ends.
func (p *pool) acquireForOwnCommand(ctx context.Context, u urgency, maxWait time.Duration) (*conn, error) {
	c, err := p.acquireConn(ctx, u, maxWait)
	if err == nil {
		c.takeTurn(u, maxWait)
	}
	return c, err
}

func (p *pool) acquireConn(ctx context.Context, u urgency, maxWait time.Duration) (*conn, error) {
	c, w, err := p.acquireOrQueue(u)
	if w == nil {
		return c, err
	}
	select {
	case g := <-w.granted:
		return g.conn, g.err
	default:
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g.conn, g.err
	case <-timer.C:
		return p.cancelWait(w)
	case <-ctx.Done():
		return p.cancelWait(w)
	}
}

// acquireOrQueue returns a connection if one is free and no statement waits, and
// a queued waiter otherwise.
func (p *pool) acquireOrQueue(u urgency) (*conn, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, upstreamGone()
	}
	if len(p.waiters) == 0 && p.concurrency.allows(p.inFlight, now()) {
		if c := p.popIdleLocked(); c != nil {
			return c, nil, nil
		}
	}
	w := &waiter{urgency: u, granted: make(chan grant, 1)}
	p.waiters = append(p.waiters, w)
	p.grantLocked()
	return nil, w, nil
}

// Reasons for which a pool refuses a statement.
const (
	reasonUpstreamGone    = "upstream_gone"
	reasonUpstreamLeaving = "upstream_leaving"
	reasonNotGranted      = "no_turn"
)

func upstreamGone() error { return &Refusal{Code: RefusedBusy, Reason: reasonUpstreamGone} }

// cancelWait removes a waiter from the queue. If it has been granted a
// connection or an error meanwhile, that is returned instead.
func (p *pool) cancelWait(w *waiter) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return nil, &Refusal{Code: RefusedBusy, Reason: reasonNotGranted}
		}
	}
	g := <-w.granted
	return g.conn, g.err
}

// putIdleLocked returns a connection to the idle ones.
func (p *pool) putIdleLocked(c *conn) {
	p.endInFlightLocked(c)
	c.idleSince = now()
	p.idle = append(p.idle, c)
}

func (p *pool) endInFlightLocked(c *conn) {
	if c.countedInFlight {
		c.countedInFlight = false
		p.inFlight--
	}
}

// suspend keeps a connection for an open transaction but no longer counts it as
// in flight while the caller has not sent the next statement.
func (p *pool) suspend(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endInFlightLocked(c)
	p.grantLocked()
}

// resume counts a transaction's connection as in flight again. It doesn't wait
// for the concurrency limit, so that transactions that hold a connection end
// soon.
func (p *pool) resume(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.countedInFlight {
		c.countedInFlight = true
		p.inFlight++
	}
}

// closeLocked closes a connection and stops counting it.
func (p *pool) closeLocked(c *conn) {
	p.endInFlightLocked(c)
	p.open--
	// The connection is not used again, whether closing it fails or not.
	_ = c.Close()
}

func (p *pool) discardLocked(c *conn) {
	p.closeLocked(c)
	p.grantLocked()
}

// release returns a connection to the pool. Its last exchange must be complete
// and no transaction open on it.
func (p *pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.quota.limit {
		p.discardLocked(c)
		return
	}
	p.putIdleLocked(c)
	p.grantLocked()
}

// discard closes a connection on which a statement that was sent at sentAt has
// failed with err. Unless the upstream has answered anything since, or a relay
// was lost, the failure counts against the upstream, and its idle connections are
// closed too, because they may be dead as well.
func (p *pool) discard(c *conn, sentAt time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
	var lost *RelayLost
	if !p.lastAnswerAt.After(sentAt) && !errors.As(err, &lost) {
		p.recordFailureLocked()
		p.closeAllIdleLocked()
	}
	p.grantLocked()
}

func (p *pool) closeAllIdleLocked() {
	for _, c := range p.idle {
		p.closeLocked(c)
	}
	p.idle = nil
}

// discardUnclean closes a connection whose transaction could not be rolled
// back. It does not count as a failure of the upstream, which has answered.
func (p *pool) discardUnclean(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardLocked(c)
}

// closeIdle closes connections that were unused for a while. All but one are
// closed early: when hosts lose power, an upstream goes on counting the
// connections of their proxies against its limit until it has noticed the loss.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for i, c := range p.idle {
		maxIdle := min(p.quota.idleTimeout, surplusIdleTimeout)
		if i == len(p.idle)-1 {
			maxIdle = p.quota.idleTimeout
		}
		if since(c.idleSince) < maxIdle {
			kept = append(kept, c)
			continue
		}
		p.closeLocked(c)
	}
	p.idle = kept
}

// close closes idle connections now, the others when they are released, and
// ends the wait of all statements.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeAllIdleLocked()
	for _, w := range p.waiters {
		w.granted <- grant{err: upstreamGone()}
	}
	p.waiters = nil
}
