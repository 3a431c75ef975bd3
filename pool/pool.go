// Package pool implements the pool of an owner's connections to one upstream. It
// limits the dials in progress, backs off after failed dials, keeps to the number
// of connections that the upstream accepts, and resets connections with session
// state before they are used again.
package pool

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"lovageslip/fault"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/upstream"
)

const (
	// ReservedConnections is how many of the connections that an upstream
	// accepts are left to status queries, the watchers of package owner,
	// probes and promotion.
	ReservedConnections = 4
	// maxDials bounds the dials in progress, so that the loss of all
	// connections does not flood an upstream that has just recovered.
	maxDials = 2

	defaultDialTimeout = 2 * time.Second
	defaultIdleTimeout = 5 * time.Minute
	resetTimeout       = 2 * time.Second
	minRedialBackoff   = 20 * time.Millisecond
	maxRedialBackoff   = 500 * time.Millisecond
	// maxWaiting bounds the calls of Get that wait for a connection.
	maxWaiting = 1024
)

// Options configures the Pool of one upstream. Log, Metrics and zero durations
// are optional.
type Options struct {
	Log     *slog.Logger
	Metrics tally.Scope
	Dialer  upstream.Dialer
	// Address is the upstream's IP number and port.
	Address  string
	Database string
	// MaxConnections is how many connections the upstream accepts; the pool
	// uses ReservedConnections fewer, and at least 1.
	MaxConnections int
	DialTimeout    time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
}

// Pool holds the connections to one upstream. It is safe for concurrent use.
type Pool struct {
	opts    Options
	log     *slog.Logger
	metrics tally.Scope
	ctx     context.Context
	stop    context.CancelFunc
	tasks   conc.WaitGroup

	// mu guards all fields below.
	mu           sync.Mutex
	limit        int
	open         int // connections that exist, idle or in use
	dialing      int
	idle         []idleConn // the most recently used last
	waiting      []*request
	dialFailures int
	redialAt     time.Time
	closed       bool
}

type idleConn struct {
	conn      upstream.Conn
	idleSince time.Time
}

// request is a call of Get that waits for a connection.
type request struct {
	result chan getResult // buffered; gets one result
}

// getResult is what a waiting call of Get returns.
type getResult struct {
	conn upstream.Conn
	err  error
}

// New returns a pool without connections. It dials none before the first Get.
func New(o Options) *Pool {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	p := &Pool{opts: o, log: logging.For(o.Log, "pool"), metrics: metrics.OrNoop(o.Metrics)}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.limit = usableConnections(o.MaxConnections)
	p.tasks.Go(p.trimLoop)
	return p
}

func usableConnections(maxConnections int) int { return max(1, maxConnections-ReservedConnections) }

// SetLimit sets how many connections the upstream accepts. The pool uses
// ReservedConnections fewer, and at least 1.
func (p *Pool) SetLimit(maxConnections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = usableConnections(maxConnections)
	p.startDials()
}

// TryGet returns an idle connection if there is one.
func (p *Pool) TryGet() (upstream.Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.popIdle()
	return c, c != nil
}

// popIdle removes and returns the idle connection that was used last; nil if
// there is none. It closes broken ones.
func (p *Pool) popIdle() upstream.Conn {
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last].conn
		p.idle = p.idle[:last]
		if !c.Broken() {
			return c
		}
		p.removeConn(c)
	}
	return nil
}

// removeConn removes a connection from the count and closes it.
func (p *Pool) removeConn(c upstream.Conn) {
	p.open--
	go func() { _ = c.Close() }()
}

// Get returns an idle connection, or waits until one is returned or dialed.
// Errors: *fault.NotRun with ReasonUpstreamUnavailable, ReasonQueueFull or
// ReasonCancelled.
func (p *Pool) Get(ctx context.Context) (upstream.Conn, error) {
	r, c, err := p.requestConn()
	if r == nil {
		return c, err
	}
	select {
	case a := <-r.result:
		return a.conn, a.err
	case <-ctx.Done():
		return nil, p.abandon(r)
	}
}

// requestConn returns an idle connection, or else the request that waits for one.
func (p *Pool) requestConn() (*request, upstream.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, unavailable("the pool is closed", 0)
	}
	if c := p.popIdle(); c != nil {
		return nil, c, nil
	}
	if len(p.waiting) >= maxWaiting {
		return nil, nil, &fault.NotRun{Reason: fault.ReasonQueueFull, Detail: "too many requests wait for a connection"}
	}
	if backoff := time.Until(p.redialAt); backoff > 0 && p.open == 0 {
		return nil, nil, unavailable("the upstream cannot be reached", backoff)
	}
	r := &request{result: make(chan getResult, 1)}
	p.waiting = append(p.waiting, r)
	p.startDials()
	return r, nil, nil
}

func unavailable(detail string, retryAfter time.Duration) *fault.NotRun {
	return &fault.NotRun{Reason: fault.ReasonUpstreamUnavailable, Detail: detail, RetryAfter: retryAfter}
}

// abandon removes r, whose caller has gone. A connection that r has received in
// the meantime goes back to the pool.
func (p *Pool) abandon(r *request) error {
	p.mu.Lock()
	for i, w := range p.waiting {
		if w == r {
			p.waiting = append(p.waiting[:i:i], p.waiting[i+1:]...)
			break
		}
	}
	p.mu.Unlock()
	select {
	case a := <-r.result:
		if a.conn != nil {
			p.Put(a.conn, false)
		}
	default:
	}
	return &fault.NotRun{Reason: fault.ReasonCancelled, Detail: "left before a connection was free"}
}

// startDials starts as many dials as the waiting requests need and the limits
// allow. It starts none during the backoff after a failed dial.
func (p *Pool) startDials() {
	if p.closed || time.Now().Before(p.redialAt) {
		return
	}
	for p.dialing < min(maxDials, len(p.waiting)) && p.open+p.dialing < p.limit {
		p.dialing++
		p.tasks.Go(p.dialOne)
	}
}

func (p *Pool) dialOne() {
	ctx, cancel := context.WithTimeout(p.ctx, p.opts.DialTimeout)
	defer cancel()
	c, err := p.opts.Dialer.Dial(ctx, p.opts.Address, p.opts.Database)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err != nil {
		p.dialFailed(err)
		return
	}
	p.metrics.Counter("dialed_total").Inc(1)
	p.dialFailures = 0
	p.open++
	p.deliver(c)
	p.startDials()
}

// dialFailed starts the backoff until the next dial. If no connection exists and
// no dial is in progress, no connection can become free and the waiting requests
// fail.
func (p *Pool) dialFailed(err error) {
	p.metrics.Counter("dial_failed_total").Inc(1)
	backoff := min(minRedialBackoff<<min(p.dialFailures, 10), maxRedialBackoff)
	backoff = backoff/2 + rand.N(backoff)
	p.dialFailures++
	p.redialAt = time.Now().Add(backoff)
	p.log.Warn("dialing the upstream failed", "address", p.opts.Address, "err", err)
	time.AfterFunc(backoff, p.redial)
	if p.open > 0 || p.dialing > 0 {
		return
	}
	p.failWaiting(unavailable("the upstream refuses connections: "+err.Error(), backoff))
}

// failWaiting returns err to all waiting requests.
func (p *Pool) failWaiting(err error) {
	for _, r := range p.waiting {
		r.result <- getResult{err: err}
	}
	p.waiting = nil
}

func (p *Pool) redial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startDials()
}

// deliver passes a clean connection to the request that has waited longest, or
// keeps it idle. It closes the connection if the pool is closed or over its limit.
func (p *Pool) deliver(c upstream.Conn) {
	if p.closed || p.open > p.limit {
		p.removeConn(c)
		p.startDials()
		return
	}
	if len(p.waiting) == 0 {
		p.idle = append(p.idle, idleConn{conn: c, idleSince: time.Now()})
		return
	}
	r := p.waiting[0]
	p.waiting = p.waiting[1:]
	r.result <- getResult{conn: c}
}

// Put returns a connection to the pool. No transaction may be open on it. dirty
// says that session state may be left on it; the pool then resets it before its
// next use.
func (p *Pool) Put(c upstream.Conn, dirty bool) {
	if c.Broken() {
		p.Discard(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if dirty && !p.closed {
		p.tasks.Go(func() { p.reset(c) })
		return
	}
	p.deliver(c)
}

func (p *Pool) reset(c upstream.Conn) {
	ctx, cancel := context.WithTimeout(p.ctx, resetTimeout)
	defer cancel()
	if err := c.Reset(ctx); err != nil {
		p.Discard(c)
		return
	}
	p.Put(c, false)
}

// Discard closes a connection that came from the pool and must not be used again.
func (p *Pool) Discard(c upstream.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeConn(c)
	p.startDials()
}

// Size returns how many connections exist and how many of them are idle.
func (p *Pool) Size() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// CanDial reports whether the limit allows another connection.
func (p *Pool) CanDial() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open+p.dialing < p.limit
}

// Close closes idle connections, refuses new requests and waits for dials in
// progress. Connections in use are closed when they are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.closeIdle()
	p.failWaiting(unavailable("the pool is closed", 0))
	p.mu.Unlock()
	p.stop()
	p.tasks.Wait()
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle()
}

func (p *Pool) closeIdle() {
	for _, i := range p.idle {
		p.removeConn(i.conn)
	}
	p.idle = nil
}

// trimLoop closes connections that have been idle for IdleTimeout.
func (p *Pool) trimLoop() {
	ticker := time.NewTicker(max(p.opts.IdleTimeout/4, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
			p.trim()
		}
	}
}

func (p *Pool) trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && time.Since(p.idle[0].idleSince) >= p.opts.IdleTimeout {
		p.removeConn(p.idle[0].conn)
		p.idle = p.idle[1:]
	}
}
