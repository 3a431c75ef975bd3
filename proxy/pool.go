package proxy

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"lovageslip/bootclock"
	pb "lovageslip/gen/lovageslip/v1"
)

const (
	dialTimeout = time.Second
	// firstServiceTime is assumed before an upstream has answered anything.
	firstServiceTime = 20 * time.Millisecond
	// serviceTimeWeight is the weight of one answer in the estimate.
	serviceTimeWeight = 0.15
	// forgetHalfLife makes the proxy try an upstream again that was slow.
	forgetHalfLife = time.Second
	// backoffMin and backoffMax bound how long an upstream is left alone
	// after a failure. The first is a round trip between regions.
	backoffMin = 50 * time.Millisecond
	backoffMax = 500 * time.Millisecond
	// idleLimit is how long an unused connection is kept. It is below the
	// time after which servers close idle connections.
	idleLimit = 45 * time.Second
)

// pool holds a proxy's connections to one upstream and what the proxy has
// learned about it. It is safe for concurrent use.
type pool struct {
	dialer Dialer

	// mu guards the fields below.
	mu       sync.Mutex
	upstream *pb.SiteUpstream
	limit    int
	open     int
	idle     []*conn // most recently used last
	waiters  []chan struct{}
	closed   bool

	serviceTime float64 // milliseconds
	usedAt      time.Time
	failures    int
	failedSince time.Time
	backoffTill time.Time
	laggingTill time.Time
}

// conn is a pooled connection with the session state that it carries.
type conn struct {
	Conn
	pool     *pool
	values   map[string]string
	prepared map[string]bool
	idleAt   time.Time
}

func newPool(dialer Dialer, u *pb.SiteUpstream, limit int) *pool {
	return &pool{
		dialer:      dialer,
		upstream:    u,
		limit:       limit,
		serviceTime: float64(firstServiceTime / time.Millisecond),
	}
}

func (p *pool) update(u *pb.SiteUpstream, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream, p.limit = u, limit
	p.wakeLocked()
}

func (p *pool) id() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream.Id
}

// wakeLocked lets one waiter try again.
func (p *pool) wakeLocked() {
	if len(p.waiters) > 0 && (len(p.idle) > 0 || p.open < p.limit) {
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
	}
}

// acquire returns a connection, waiting for one until ctx ends. Its errors are
// *DialRefused, *fault.IO and *Refusal; nothing has run.
func (p *pool) acquire(ctx context.Context) (*conn, error) {
	for {
		c, wait, err := p.take()
		if c != nil || err != nil {
			return c, err
		}
		if wait == nil {
			return p.dial(ctx)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			p.abandon(wait)
			return nil, &Refusal{Code: RefusedBusy, Reason: "no_connection"}
		}
	}
}

// take returns an idle connection, a channel to wait on, or neither if the
// caller may dial.
func (p *pool) take() (*conn, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, &Refusal{Code: RefusedBusy, Reason: "upstream_gone"}
	}
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.Alive() {
			return c, nil, nil
		}
		p.discardLocked(c)
	}
	if p.open < p.limit {
		p.open++
		return nil, nil, nil
	}
	wait := make(chan struct{})
	p.waiters = append(p.waiters, wait)
	return nil, wait, nil
}

// abandon takes a waiter out; if it has been woken already, the next one is
// woken in its place.
func (p *pool) abandon(wait chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range p.waiters {
		if w == wait {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return
		}
	}
	p.wakeLocked()
}

// dial opens a connection for which the caller has counted one open already.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	p.mu.Lock()
	u := p.upstream
	p.mu.Unlock()
	dialed, err := p.dialer.Dial(ctx, u)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		p.dialFailedLocked(err)
		p.wakeLocked()
		return nil, err
	}
	return &conn{Conn: dialed, pool: p, values: map[string]string{}, prepared: map[string]bool{}}, nil
}

func (p *pool) dialFailedLocked(err error) {
	var refused *DialRefused
	if errors.As(err, &refused) && refused.Code != CodeWrongUpstream {
		// It is alive, but has no connection or slot to spare.
		p.backoffTill = bootclock.Now().Add(backoffMin)
		return
	}
	p.failedLocked()
}

// failedLocked notes a failure that says nothing good about the upstream.
func (p *pool) failedLocked() {
	if p.failures == 0 {
		p.failedSince = bootclock.Now()
	}
	pause := min(backoffMin<<min(p.failures, 5), backoffMax)
	p.failures++
	p.backoffTill = bootclock.Now().Add(pause)
}

// discardLocked closes a connection that cannot be used again.
func (p *pool) discardLocked(c *conn) {
	p.open--
	// The connection is lost in any case; its close error tells nothing.
	_ = c.Close()
	p.wakeLocked()
}

// release returns a connection whose last exchange was complete and that is in
// no transaction.
func (p *pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.limit {
		p.discardLocked(c)
		return
	}
	c.idleAt = bootclock.Now()
	p.idle = append(p.idle, c)
	p.wakeLocked()
}

// discard closes a connection after a failure. Other idle connections may have
// gone silent with it, so they are closed too.
func (p *pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardLocked(c)
	p.failedLocked()
	for _, other := range p.idle {
		p.discardLocked(other)
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

// closeIdle closes connections that were not used for a while.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if bootclock.Since(c.idleAt) < idleLimit {
			kept = append(kept, c)
			continue
		}
		p.discardLocked(c)
	}
	p.idle = kept
}

// close closes idle connections now and the others when they are released.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.discardLocked(c)
	}
	p.idle = nil
	for _, w := range p.waiters {
		close(w)
	}
	p.waiters = nil
}

// succeeded notes an answer and, if it is that of a statement, its time.
func (p *pool) succeeded(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures, p.backoffTill = 0, time.Time{}
	if took > 0 {
		ms := float64(took) / float64(time.Millisecond)
		p.serviceTime += serviceTimeWeight * (ms - p.serviceTime)
		p.usedAt = bootclock.Now()
	}
}

// busy notes that the upstream had no room for a statement.
func (p *pool) busy(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoffTill = bootclock.Now().Add(pause)
}

// lagging notes that the upstream lacked a position.
func (p *pool) lagging(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.laggingTill = bootclock.Now().Add(pause)
}

// estimate is what the proxy expects of one more statement.
type estimate struct {
	// wait is the expected time until the answer.
	wait time.Duration
	// backsOff is set after a failure or a refusal, behind after the
	// upstream lacked a position.
	backsOff, behind bool
}

func (p *pool) estimate() estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := bootclock.Now()
	forgotten := math.Exp2(-float64(at.Sub(p.usedAt)) / float64(forgetHalfLife))
	service := p.serviceTime * max(forgotten, 0.1)
	active := float64(p.open - len(p.idle) + len(p.waiters))
	service *= 1 + active/float64(max(p.upstream.Slots, 1))
	return estimate{
		wait:     time.Duration(service * float64(time.Millisecond)),
		backsOff: at.Before(p.backoffTill),
		behind:   at.Before(p.laggingTill),
	}
}

// unreachableFor returns how long nothing but failures came from the upstream.
func (p *pool) unreachableFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures == 0 {
		return 0
	}
	return bootclock.Since(p.failedSince)
}
