package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	pb "lovageslip/gen/lovageslip/v1"
)

const (
	dialTimeout = time.Second
	// surplusIdleTimeout is how long all unused connections but one of each
	// team stay open. Opening a new one costs the upstream 12 ms of a slot.
	surplusIdleTimeout = 3 * time.Second
)

// pool holds a proxy's connections to one upstream, the statements that wait for
// them, and the upstream's health as the proxy has seen it. It is safe for
// concurrent use.
type pool struct {
	dialer Dialer
	// relays is set if the connections lead through relays; see relayed.go.
	relays          Relays
	metrics         tally.Scope
	upstreamMetrics *upstreamMetrics

	// mu guards the fields below.
	mu           sync.Mutex
	siteUpstream *pb.SiteUpstream
	// leavingSince is when the proxy learned that the upstream leaves; zero
	// unless it does. From newWorkUntil on it gets no new work then.
	leavingSince time.Time
	newWorkUntil time.Time
	quota        connectionQuota
	borrowing    borrowing
	open         int
	idle         []*conn // most recently used last
	closed       bool
	// inFlight counts the statements that are at the upstream or about to be
	// sent to it.
	inFlight int
	// dialing is the part of open that is still being dialed.
	dialing int
	// relayedAt is when a command of another proxy last asked for a connection.
	relayedAt   time.Time
	pacer       dialPacer
	concurrency concurrencyLimit
	yielding    yielding
	waiters     []*waiter
	// teams holds the teams that share the connections, by name.
	teams map[string]*poolTeam
	// rounds and rankings number the calls of grantLocked and rankIdleLocked.
	rounds, rankings uint64
	// grantTimerAt is when the next timer calls grantLocked; zero for none.
	grantTimerAt time.Time

	// workTimes is shared by the proxy's pools.
	workTimes   *workTimes
	queueDelay  queueDelay
	serviceTime float64 // milliseconds
	// answerTime is like serviceTime, but follows rare answers sooner.
	answerTime time.Duration
	// minRTT is the shortest recent time until an answer, which is about the
	// round-trip time of the network.
	minRTT time.Duration
	// relayLoad is the last figure from the relay; unused without relays.
	relayLoad    relayLoad
	lastRunAt    time.Time
	lastAnswerAt time.Time
	checking     bool
	failures     int
	failedSince  time.Time
	backoffUntil time.Time
	// lag is what is known of how far a replica is behind.
	lag replicaLag
}

// waiter is a statement that waits for a connection.
type waiter struct {
	urgency  urgency
	wanted   wanted
	team     *poolTeam
	queuedAt time.Time
	granted  chan grant // buffers one
	// passedIn is the last round of grants that could give it no connection.
	passedIn uint64
	// yielded is set once it was left out for other work.
	yielded bool
}

// wanted says which connections serve a statement.
type wanted struct {
	team string
	// any is set for commands that carry nothing of a caller: they may use the
	// connection of any team.
	any bool
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
	pool *pool
	// team is the one for which the connection was opened.
	team   *poolTeam
	usage  usage
	values map[string]string
	// prepared holds the names of the statements that the connection has prepared.
	prepared  map[definitionID]string
	idleSince time.Time
	// sessionTeam is the team of the session that a virtual connection served
	// last. stale is set if another team has left values or prepared statements
	// on it, which must be reset first.
	sessionTeam string
	stale       bool
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
		teams:        map[string]*poolTeam{},
		workTimes:    &workTimes{},
		metrics:      tally.NoopScope,

		upstreamMetrics: newUpstreamMetrics(tally.NoopScope, "", ""),
		serviceTime:     float64(initialServiceTime / time.Millisecond),
		answerTime:      initialServiceTime,
		lag:             replicaLag{pauseMax: laggingPauseMax},
	}
}

// newRelayedPool returns a pool of virtual connections through relays, which limit
// the load on the upstream for all proxies of the data centre together.
func newRelayedPool(relays Relays, u *pb.SiteUpstream) *pool {
	p := newPool(relays, u, relayedQuota)
	p.relays = relays
	p.lag.pauseMax = relayedPauseMax
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

// setShare replaces what the view says of the proxy's part of the upstream's slots and
// of the work that yields.
func (p *pool) setShare(y yielding) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.yielding.part, p.yielding.shortestTarget = y.part, y.shortestTarget
	p.concurrency.setShare(y.part)
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

// record returns the upstream as the view holds it.
func (p *pool) record() *pb.SiteUpstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.siteUpstream
}

func (p *pool) id() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.siteUpstream.Id
}

// popIdleLocked returns an idle connection of a team that is alive and counts it
// as in flight; nil if there is none. With anyTeam it may be that of another team.
func (p *pool) popIdleLocked(t *poolTeam, anyTeam bool) *conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.team != t && !anyTeam {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		c.team.idle--
		if c.Alive() {
			p.beginInFlightLocked(c)
			if !anyTeam {
				c.recordUseLocked(now())
			}
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

// hasIdleLocked reports whether a waiter can use an idle connection.
func (p *pool) hasIdleLocked(w *waiter) bool {
	return w.team.idle > 0 || (w.wanted.any && len(p.idle) > 0)
}

func (p *pool) removeIdleLocked(c *conn) {
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
		c.team.idle--
	}
}

func (p *pool) beginInFlightLocked(c *conn) {
	c.countedInFlight = true
	c.team.inFlight++
	p.inFlight++
	p.relayLoad.sentSince++
}

func (p *pool) addWaiterLocked(w *waiter) {
	p.waiters = append(p.waiters, w)
	w.team.waiting++
}

// removeWaiterLocked reports whether the waiter was in the queue.
func (p *pool) removeWaiterLocked(w *waiter) bool {
	i := slices.Index(p.waiters, w)
	if i < 0 {
		return false
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
	w.team.waiting--
	return true
}

// failWaitersLocked ends the wait of the statements that a condition holds for, with an
// error.
func (p *pool) failWaitersLocked(err error, fails func(*waiter) bool) {
	for _, w := range slices.Clone(p.waiters) {
		if fails(w) {
			p.removeWaiterLocked(w)
			w.granted <- grant{err: err}
		}
	}
}

func anyWaiter(*waiter) bool { return true }

// acquire returns a connection that counts as in flight, for new work of a caller
// of a team. It is one that was opened for that team. acquire waits for one until
// maxWait has passed or ctx ends, or the upstream gets no new work any more. Its
// errors are *DialRefused, *fault.IO and *Refusal; nothing has run after an error.
func (p *pool) acquire(ctx context.Context, u urgency, team string, maxWait time.Duration) (*conn, error) {
	return p.acquireForNewWork(ctx, u, wanted{team: team}, maxWait)
}

func (p *pool) acquireForNewWork(ctx context.Context, u urgency, want wanted, maxWait time.Duration) (*conn, error) {
	remaining, limited := p.newWorkTime()
	if limited {
		if remaining <= 0 {
			return nil, upstreamLeaving()
		}
		maxWait = min(maxWait, remaining)
	}
	return p.acquireConn(ctx, u, want, maxWait)
}

// acquireForOwnCommand is acquire for a command of the proxy's own, which an
// upstream that leaves may get until it ends. The connection may be that of any
// team, so it must carry nothing of a caller.
func (p *pool) acquireForOwnCommand(ctx context.Context, u urgency, maxWait time.Duration) (*conn, error) {
	return p.acquireConn(ctx, u, wanted{any: true}, maxWait)
}

func (p *pool) acquireConn(ctx context.Context, u urgency, want wanted, maxWait time.Duration) (*conn, error) {
	c, err := p.waitForConn(ctx, u, want, maxWait)
	if err == nil {
		c.takeTurn(u, want, maxWait)
	}
	return c, err
}

func (p *pool) waitForConn(ctx context.Context, u urgency, want wanted, maxWait time.Duration) (*conn, error) {
	c, w, err := p.acquireOrQueue(u, want)
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
func (p *pool) acquireOrQueue(u urgency, want wanted) (*conn, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, upstreamGone()
	}
	at, t := now(), p.teamLocked(want.team)
	allowed := p.concurrency.allows(p.inFlight, at)
	if !allowed {
		p.yielding.recordWaiting(u, at)
	}
	if len(p.waiters) == 0 && allowed && !p.mustYieldLocked(u, at) {
		if c := p.popIdleLocked(t, want.any); c != nil {
			return c, nil, nil
		}
	}
	w := &waiter{urgency: u, wanted: want, team: t, queuedAt: at, granted: make(chan grant, 1)}
	p.addWaiterLocked(w)
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
	if p.removeWaiterLocked(w) {
		return nil, &Refusal{Code: RefusedBusy, Reason: reasonNotGranted}
	}
	g := <-w.granted
	return g.conn, g.err
}

// putIdleLocked returns a connection to the idle ones.
func (p *pool) putIdleLocked(c *conn) {
	p.endInFlightLocked(c)
	c.idleSince = now()
	p.idle = append(p.idle, c)
	c.team.idle++
}

func (p *pool) endInFlightLocked(c *conn) {
	if c.countedInFlight {
		c.countedInFlight = false
		p.yielding.endedAt = now()
		c.team.inFlight--
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
		p.beginInFlightLocked(c)
	}
}
