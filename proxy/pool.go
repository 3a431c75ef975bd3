package proxy

import (
	"context"
	"sync"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

const (
	dialTimeout = time.Second
	// surplusIdle is how long a connection beside the first one stays open
	// unused. Opening another costs the upstream 12 ms of a slot.
	surplusIdle = 3 * time.Second
)

// pool holds a proxy's connections to one upstream and what the proxy has
// learned about it. It is safe for concurrent use.
type pool struct {
	dialer Dialer

	// mu guards the fields below.
	mu     sync.Mutex
	record *pb.SiteUpstream
	share  share
	open   int
	idle   []*conn // most recently used last
	closed bool
	// inFlight counts the statements that are at the upstream, or about to
	// be sent to it.
	inFlight int
	// dialing counts the open connections that are being opened.
	dialing   int
	allowance allowance
	waiters   []*waiter
	// grantDue is set while a timer is to look for the next waiter.
	grantDue bool

	serviceTime float64 // milliseconds
	// least is the least time that an answer took lately: the way there and
	// back.
	least       time.Duration
	usedAt      time.Time
	answeredAt  time.Time
	checking    bool
	failures    int
	failedSince time.Time
	backoffTill time.Time
	// held is what the upstream held when it last lacked a position;
	// laggingTill and laggingPause are until when and for how long it is
	// not asked for more.
	held         upstream.Position
	laggingTill  time.Time
	laggingPause time.Duration
}

// waiter is a statement that waits for its turn.
type waiter struct {
	ticket  ticket
	granted chan grant // has room for one
}

// grant is a connection that counts as in flight, or the reason why there is
// none.
type grant struct {
	conn *conn
	err  error
}

// conn is a pooled connection with the session state that it carries.
type conn struct {
	Conn
	pool     *pool
	values   map[string]string
	prepared map[string]bool
	idleAt   time.Time
	// commands is a buffer of what is sent together.
	commands []Command
	// counted is set while the connection counts as in flight; the pool's
	// lock guards it.
	counted bool
}

func newPool(dialer Dialer, u *pb.SiteUpstream, part share) *pool {
	return &pool{
		dialer:      dialer,
		record:      u,
		share:       part,
		allowance:   newAllowance(),
		serviceTime: float64(firstServiceTime / time.Millisecond),
	}
}

func (p *pool) update(u *pb.SiteUpstream, part share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record, p.share = u, part
	p.grantLocked()
}

func (p *pool) id() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record.Id
}

// takeLocked returns an idle connection, counted as in flight, or nil.
func (p *pool) takeLocked() *conn {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.Alive() {
			p.inFlight++
			c.counted = true
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

// grantLocked gives free places to those who wait, the most urgent first, and
// opens connections for the others. A connection is opened beside the
// statements: one that gives up waiting must not waste it.
func (p *pool) grantLocked() {
	at := now()
	p.grantLaterLocked(at)
	for len(p.waiters) > 0 && p.allowance.allows(p.inFlight, at) {
		c := p.takeLocked()
		if c == nil {
			break
		}
		p.removeNextLocked(at).granted <- grant{conn: c}
	}
	room := max(int(p.allowance.limit), 1) - p.inFlight
	for p.dialing < min(len(p.waiters), room) && p.open < p.share.limit && !p.closed {
		p.open++
		p.dialing++
		go p.dial()
	}
}

// grantLaterLocked looks again when the pause after a refusal has passed.
func (p *pool) grantLaterLocked(at time.Time) {
	if len(p.waiters) == 0 || p.inFlight > 0 || p.grantDue || p.allowance.allows(0, at) {
		return
	}
	p.grantDue = true
	time.AfterFunc(p.allowance.pause()-at.Sub(p.allowance.cutAt), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.grantDue = false
		p.grantLocked()
	})
}

func (p *pool) removeNextLocked(at time.Time) *waiter {
	tickets := make([]ticket, len(p.waiters))
	for i, w := range p.waiters {
		tickets[i] = w.ticket
	}
	next := nextTicket(tickets, at)
	w := p.waiters[next]
	p.waiters = append(p.waiters[:next], p.waiters[next+1:]...)
	return w
}

// acquire returns a connection that counts as in flight, waiting for its turn
// until the limit has passed or ctx ends. Its errors are *DialRefused, *fault.IO
// and *Refusal; nothing has run.
func (p *pool) acquire(ctx context.Context, t ticket, limit time.Duration) (*conn, error) {
	c, w, err := p.join(t)
	if w == nil {
		return c, err
	}
	select {
	case g := <-w.granted:
		return g.conn, g.err
	default:
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g.conn, g.err
	case <-timer.C:
		return p.abandon(w)
	case <-ctx.Done():
		return p.abandon(w)
	}
}

// join returns a connection if there is one at once and nobody waits, and a
// waiter otherwise.
func (p *pool) join(t ticket) (*conn, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, upstreamGone()
	}
	if len(p.waiters) == 0 && p.allowance.allows(p.inFlight, now()) {
		if c := p.takeLocked(); c != nil {
			return c, nil, nil
		}
	}
	w := &waiter{ticket: t, granted: make(chan grant, 1)}
	p.waiters = append(p.waiters, w)
	p.grantLocked()
	return nil, w, nil
}

// Reasons of refusals by a pool.
const (
	reasonUpstreamGone = "upstream_gone"
	reasonNoTurn       = "no_turn"
)

func upstreamGone() error { return &Refusal{Code: RefusedBusy, Reason: reasonUpstreamGone} }

// abandon takes a waiter out; what it was granted meanwhile is used.
func (p *pool) abandon(w *waiter) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return nil, &Refusal{Code: RefusedBusy, Reason: reasonNoTurn}
		}
	}
	g := <-w.granted
	return g.conn, g.err
}

// idleLocked puts a connection back.
func (p *pool) idleLocked(c *conn) {
	p.leaveLocked(c)
	c.idleAt = now()
	p.idle = append(p.idle, c)
}

func (p *pool) leaveLocked(c *conn) {
	if c.counted {
		c.counted = false
		p.inFlight--
	}
}

// rest keeps a connection for a transaction whose caller is to send the next
// statement.
func (p *pool) rest(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaveLocked(c)
	p.grantLocked()
}

// resume counts a transaction's connection as in flight again. It doesn't wait:
// a transaction that holds a connection shall end soon.
func (p *pool) resume(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.counted {
		c.counted = true
		p.inFlight++
	}
}

// dial opens a connection that grantLocked has counted as open.
func (p *pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	p.mu.Lock()
	u := p.record
	p.mu.Unlock()
	dialed, err := p.dialer.Dial(ctx, u)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err != nil {
		p.open--
		p.dialFailedLocked(err)
		p.failWaitersLocked(err)
		return
	}
	c := p.newConn(dialed)
	if p.closed {
		p.closeLocked(c)
		return
	}
	p.idleLocked(c)
	p.grantLocked()
}

func (p *pool) newConn(opened Conn) *conn {
	return &conn{Conn: opened, pool: p, values: map[string]string{}, prepared: map[string]bool{}}
}

// failWaitersLocked lets those who wait choose another upstream, unless
// connections remain that they can wait for.
func (p *pool) failWaitersLocked(err error) {
	if p.open > p.dialing {
		return
	}
	for _, w := range p.waiters {
		w.granted <- grant{err: err}
	}
	p.waiters = nil
}

// closeLocked closes a connection that cannot be used again.
func (p *pool) closeLocked(c *conn) {
	p.leaveLocked(c)
	p.open--
	// The connection is lost in any case; its close error tells nothing.
	_ = c.Close()
}

func (p *pool) discardLocked(c *conn) {
	p.closeLocked(c)
	p.grantLocked()
}

// release returns a connection whose last exchange was complete and that is in
// no transaction.
func (p *pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.share.limit {
		p.discardLocked(c)
		return
	}
	p.idleLocked(c)
	p.grantLocked()
}

// discard closes a connection after a failure of a statement that was sent at
// sentAt. Unless the upstream has answered another one since, its other idle
// connections may have gone silent as well, so they are closed too.
func (p *pool) discard(c *conn, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
	if !p.answeredAt.After(sentAt) {
		p.failedLocked()
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

// drop closes a connection that is in an unwanted state although the upstream
// works.
func (p *pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardLocked(c)
}

// closeIdle closes connections that were not used for a while. One stays open
// for longer than the others: what many proxies hold in reserve is missing
// after a loss of power, until the upstream has noticed the loss.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for i, c := range p.idle {
		limit := min(p.share.idle, surplusIdle)
		if i == len(p.idle)-1 {
			limit = p.share.idle
		}
		if since(c.idleAt) < limit {
			kept = append(kept, c)
			continue
		}
		p.closeLocked(c)
	}
	p.idle = kept
}

// close closes idle connections now and the others when they are released.
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
