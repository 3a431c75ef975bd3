package proxy

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"lovageslip/balance"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
)

// Relays leads to upstreams through other proxies of the same data centre. Where
// an upstream accepts too few connections for each proxy to keep its own, one
// proxy of each data centre relays the commands of the others. Package relay
// implements it. It is safe for concurrent use.
type Relays interface {
	// SetPeers replaces the list of proxies that may be relays.
	SetPeers(peers []*pb.RelayHost)
	// HasRelay reports whether another proxy is the relay for an upstream. If
	// not, this proxy is the relay.
	HasRelay(upstreamID string) bool
	// IsSubstitute reports whether this proxy is the relay for an upstream only as
	// long as others are avoided. These go on relaying for other proxies.
	IsSubstitute(upstreamID string) bool
	// Dial opens a virtual connection. The upstream's own errors follow with
	// the first Exchange, as CodeNoConnection and CodeUnreachable. The error
	// of a connection whose relay fails is *RelayLost.
	Dial(ctx context.Context, u *pb.SiteUpstream, team string) (Conn, error)
	// Check asks the relay whether it reaches an upstream. It fails if the
	// relay itself does not answer, which is then not used for a while. If the
	// upstream is unreachable, failedFor tells for how long.
	Check(ctx context.Context, u *pb.SiteUpstream) (r Reachability, failedFor time.Duration, err error)
	// Avoid makes another proxy the relay for an upstream for a while.
	Avoid(upstreamID string)
	// FindRelay asks some other proxies whether they reach an upstream that
	// neither the relay nor this proxy reaches. If one does, it becomes the relay
	// for a while.
	FindRelay(ctx context.Context, u *pb.SiteUpstream) bool
	// DialDirectly opens a connection to the upstream itself.
	DialDirectly(ctx context.Context, u *pb.SiteUpstream) (Conn, error)
}

// RelayLost reports that a relay failed or was cut off while it ran a command. It
// tells nothing about the upstream.
type RelayLost struct {
	Relay string
	Err   error
}

func (e *RelayLost) Error() string {
	return "relay " + e.Relay + " was lost: " + e.Err.Error()
}

func (e *RelayLost) Unwrap() error { return e.Err }

// Reachability is what a proxy knows of its connections to an upstream.
type Reachability int

// Values of Reachability.
const (
	ReachabilityUnknown Reachability = iota
	Reachable
	Unreachable
)

// Turn places the commands of an operation in the queue of a relay.
type Turn struct {
	// Waited is how long the caller's operation has waited so far, and Target
	// the time in which it should end.
	Waited, Target time.Duration
	// Priority is that of the route; 0 is the highest.
	Priority uint32
	// Expected is how long such operations take.
	Expected time.Duration
	// MaxWait is how long the commands may wait for a connection.
	MaxWait time.Duration
	// Team is the team whose connections may run the commands; empty for those
	// that are opened in the proxy's own name.
	Team string
}

// turnTaker is a Conn whose commands wait for a connection elsewhere.
type turnTaker interface {
	// TakeTurn sets the turn of the next commands.
	TakeTurn(Turn)
}

func (c *conn) takeTurn(u urgency, want wanted, maxWait time.Duration) {
	taker, ok := c.Conn.(turnTaker)
	if !ok {
		return
	}
	if !want.any {
		c.passToTeam(want.team)
	}
	turn := Turn{Target: u.target, Priority: u.priority, Expected: u.expected, MaxWait: maxWait, Team: want.team}
	if !u.arrivedAt.IsZero() {
		turn.Waited = now().Sub(u.arrivedAt)
	}
	taker.TakeTurn(turn)
}

// Load is what a proxy has at an upstream and how much it lets run there.
type Load struct {
	// Outstanding is how many statements are at the upstream or wait for it.
	Outstanding int
	// Limit is how many may be at the upstream at once; 0 if unknown.
	Limit float64
}

// loadReporter is a Conn whose answers tell the load of the proxy that runs the
// commands.
type loadReporter interface {
	// Load returns the figure of the last answer and when it was received. It
	// reports false if there was none.
	Load() (l Load, receivedAt time.Time, ok bool)
}

// relayLoad is the last figure that a relay has sent of its load at an upstream.
type relayLoad struct {
	load Load
	at   time.Time // zero if there was none
	// sentSince counts the statements that this proxy has sent since.
	sentSince int
}

// describe fills in the relay's figures. Statements that the proxy has sent since and
// that are no longer in flight have left the upstream, even if the answer told no load.
func (l *relayLoad) describe(c *balance.Candidate, inFlight int, at time.Time) {
	c.Outstanding, c.Capacity, c.LoadAge = float64(l.load.Outstanding), initialConcurrency, ageOf(l.at, at)
	c.SentSince = min(l.sentSince, inFlight)
	if l.load.Limit > 0 {
		c.Capacity = l.load.Limit
	}
}

// recordLoad takes the figure that came with the last answer into the pool.
func (c *conn) recordLoad() {
	reporter, ok := c.Conn.(loadReporter)
	if !ok {
		return
	}
	load, at, ok := reporter.Load()
	if !ok {
		return
	}
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.relayLoad.at) {
		p.relayLoad = relayLoad{load: load, at: at}
	}
}

// Load returns the load of this proxy at the upstream; the zero value if its view no
// longer holds the process.
func (r *RelayedConn) Load() Load {
	pl, ok := r.proxy.directPool(r.key)
	if !ok {
		return Load{}
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return Load{Outstanding: pl.inFlight + len(pl.waiters), Limit: pl.concurrency.limit}
}

// passToTeam prepares a virtual connection for a session of a team. What another
// team has set or prepared is reset: names of prepared statements are hashes, and
// a caller could look for one that means another team's.
func (c *conn) passToTeam(team string) {
	if c.sessionTeam == team {
		return
	}
	c.sessionTeam = team
	c.stale = c.stale || len(c.values) > 0 || len(c.prepared) > 0
}

func (t Turn) urgency() urgency {
	return urgency{arrivedAt: now().Add(-t.Waited), target: t.Target, priority: t.Priority, expected: t.Expected}
}

// checkThroughRelay finds out whether the upstream is reachable. A relay that says
// that it is not may itself be cut off. The upstream counts as unreachable at once,
// but this proxy then tries to connect itself.
func (p *pool) checkThroughRelay(ctx context.Context, u *pb.SiteUpstream) {
	reachability, failedFor, err := p.relays.Check(ctx, u)
	reached := err == nil && reachability == Reachable
	if err == nil && reachability == Unreachable {
		p.recordFailedFor(failedFor)
	}
	if err == nil && reachability == Unreachable && failedFor >= searchAfter {
		reached, err = p.lookAround(u)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checking = false
	var lost *RelayLost
	switch {
	case reached:
		p.failures, p.backoffUntil = 0, time.Time{}
		p.lastAnswerAt = now()
	case err != nil && !errors.As(err, &lost):
		p.recordDialFailureLocked(err, p.open-p.dialing)
	}
}

// lookAround finds out whether this proxy or another one reaches an upstream that the
// relay does not reach. Both are tried at once, because a host that is cut off doesn't
// answer until the timeout.
func (p *pool) lookAround(u *pb.SiteUpstream) (reached bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	var others conc.WaitGroup
	found := false
	others.Go(func() { found = p.relays.FindRelay(ctx, u) })
	err = p.tryDirectly(ctx, u)
	others.Wait()
	switch {
	case found:
		return true, nil
	case err != nil:
		return false, err
	}
	p.relays.Avoid(u.Id)
	return true, nil
}

// recordFailedFor records a failure that began some time ago.
func (p *pool) recordFailedFor(failedFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.failures == 0
	p.recordFailureLocked()
	if first {
		p.failedSince = now().Add(-failedFor)
	}
}

// tryDirectly opens a connection to the upstream, to find out whether this proxy reaches
// it.
func (p *pool) tryDirectly(ctx context.Context, u *pb.SiteUpstream) error {
	c, err := p.relays.DialDirectly(ctx, u)
	if err == nil {
		// Nothing was sent on the connection, so an error of Close loses nothing.
		_ = c.Close()
	}
	if noRoom(err) {
		return nil
	}
	return err
}

// RelayedConn runs the commands that another proxy sends on one of its virtual
// connections. It takes a connection from this proxy's pool for each group of
// commands, and keeps it while a transaction is open. It is used by one goroutine
// at a time.
type RelayedConn struct {
	proxy *Proxy
	key   poolKey
	// bound is the connection that holds the open transaction, or nil.
	bound *conn
	// exchanging is set while an exchange on the bound connection is incomplete.
	exchanging bool
	// values and prepared are the session state that the other proxy has set.
	values   map[string]string
	prepared map[string]Command
}

// OpenRelayed returns a virtual connection to a process of an upstream.
func (p *Proxy) OpenRelayed(id, address string, bornMs int64) *RelayedConn {
	key := poolKey{id: id, address: address, bornMs: bornMs}
	return &RelayedConn{proxy: p, key: key, values: map[string]string{}, prepared: map[string]Command{}}
}

// directPool returns the pool of the connections to a process of an upstream that
// this proxy dials itself. It reports false if the view doesn't hold that process.
func (p *Proxy) directPool(key poolKey) (*pool, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.pools[key]
	return found, ok
}

// Probe connects to a process of an upstream unless something is known of it, so that
// Reachability has an answer afterwards. It takes up to probeTimeout.
func (p *Proxy) Probe(ctx context.Context, id, address string, bornMs int64) {
	pl, ok := p.directPool(poolKey{id: id, address: address, bornMs: bornMs})
	if !ok || !pl.claimProbe() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	pl.probe(ctx)
}

// Reachability returns what this proxy knows of its connections to a process of an
// upstream, and for how long they have failed.
func (p *Proxy) Reachability(id, address string, bornMs int64) (r Reachability, failedFor time.Duration) {
	pl, ok := p.directPool(poolKey{id: id, address: address, bornMs: bornMs})
	if !ok {
		return Unreachable, 0
	}
	failedFor = pl.unreachableFor()
	switch {
	case failedFor > 0:
		return Unreachable, failedFor
	case pl.sinceAnswer() < stalledAfter:
		return Reachable, 0
	default:
		return ReachabilityUnknown, 0
	}
}

// Bound reports whether a transaction is open.
func (r *RelayedConn) Bound() bool { return r.bound != nil }

// Run runs a group of commands and returns their answers. They may wait for a
// connection as turn says, and then take up to timeout. If none was granted, all
// answers carry CodeNoConnection or CodeUnreachable, and nothing has run. After an
// error whether they ran is unknown, and an open transaction is rolled back. The
// error is *TeamChanged, and nothing has run, if the open transaction is that of
// another team.
func (r *RelayedConn) Run(ctx context.Context, turn Turn, timeout time.Duration, commands []Command) ([]Answer, error) {
	settings := r.applySettings(commands)
	answers := make([]Answer, settings, len(commands))
	for i := range answers {
		answers[i].State = StateIdle
	}
	commands = commands[settings:]
	if len(commands) == 0 {
		return answers, nil
	}
	if r.bound != nil && carriesCaller(commands) && r.bound.team.name != turn.Team {
		return nil, &TeamChanged{Bound: r.bound.team.name, Team: turn.Team}
	}
	if err := r.bind(ctx, turn, commands); err != nil {
		return append(answers, notConnected(err, len(commands))...), nil
	}
	run, err := r.exchange(timeout, commands)
	if err != nil {
		return nil, err
	}
	return append(answers, run...), nil
}

// TeamChanged reports a command of one team in the transaction of another.
type TeamChanged struct {
	Bound, Team string
}

func (e *TeamChanged) Error() string {
	return "relay: command of team " + e.Team + " in a transaction of team " + e.Bound
}

// carriesCaller reports whether commands carry a caller's statement, or open a
// transaction in which one may follow.
func carriesCaller(commands []Command) bool {
	for _, c := range commands {
		switch c.Kind {
		case CommandBegin, CommandBeginRead, CommandRollback:
		default:
			return true
		}
	}
	return commands[len(commands)-1].Kind != CommandRollback
}

// bind takes a connection from the pool unless a transaction holds one.
func (r *RelayedConn) bind(ctx context.Context, turn Turn, commands []Command) error {
	if r.bound != nil {
		r.bound.pool.resume(r.bound)
		return nil
	}
	pl, ok := r.proxy.directPool(r.key)
	if !ok {
		return upstreamGone()
	}
	pl.recordRelaying()
	want := wanted{team: turn.Team, any: !carriesCaller(commands)}
	c, err := pl.acquireForNewWork(ctx, turn.urgency(), want, turn.MaxWait)
	r.bound = c
	return err
}

// applySettings applies the commands at the start of a group that set session
// values or prepare statements, and returns their number. The upstream gets them
// with the next statement that needs them.
func (r *RelayedConn) applySettings(commands []Command) int {
	for i, c := range commands {
		switch c.Kind {
		case CommandReset:
			clear(r.values)
			clear(r.prepared)
		case CommandSet:
			r.values[c.Name] = c.Value
		case CommandPrepare:
			r.prepared[c.Name] = c
		default:
			return i
		}
	}
	return len(commands)
}

// notConnected returns the answers to n commands for which the pool gave no
// connection.
func notConnected(err error, n int) []Answer {
	code := CodeUnreachable
	var refused *DialRefused
	var refusal *Refusal
	if errors.As(err, &refused) && refused.Code != CodeWrongUpstream || errors.As(err, &refusal) && refusal.Reason != reasonUpstreamGone {
		code = CodeNoConnection
	}
	return NotRunAnswers(code, n)
}

// NotRunAnswers returns the answers to n commands that did not reach an upstream, with
// the code that says why.
func NotRunAnswers(code Code, n int) []Answer {
	return slices.Repeat([]Answer{{Code: code, State: StateIdle}}, n)
}

// exchange runs the commands on the bound connection and releases it unless a
// transaction is open afterwards.
func (r *RelayedConn) exchange(timeout time.Duration, commands []Command) ([]Answer, error) {
	c := r.bound
	sentAt := now()
	r.exchanging = true
	answers, err := exchange(c, time.Now().Add(timeout), r.setUp(c, commands), commands...)
	r.exchanging = false
	if err != nil {
		r.bound = nil
		c.pool.discard(c, sentAt, err)
		return nil, &fault.IO{Op: "relay to upstream", Err: err}
	}
	c.pool.recordRelayed(commands[0], answers[0].Code, now().Sub(sentAt))
	// The connection reuses the slice as soon as it is back in the pool.
	answers = slices.Clone(answers)
	if answers[len(answers)-1].State == StateIdle {
		r.bound = nil
		c.pool.release(c)
	} else {
		c.pool.suspend(c)
	}
	return answers, nil
}

// recordRelayed records the answer to the first command of a group that was run
// for another proxy.
func (p *pool) recordRelayed(command Command, code Code, took time.Duration) {
	if command.Kind != CommandForward {
		p.recordCommand(code, took)
		return
	}
	p.recordStatement(code, took)
	if code == CodeBusy {
		p.recordBusy(busyBackoff)
	}
}

// setUp returns the commands that give a connection the session state that the
// commands need.
func (r *RelayedConn) setUp(c *conn, commands []Command) []Command {
	setUp := setValues(c, r.values)
	for _, command := range commands {
		if definition, ok := r.prepared[command.Name]; ok && command.Kind == CommandForward && command.Name != "" {
			setUp = appendPrepare(setUp, c, definition)
		}
	}
	return setUp
}

// Close ends the virtual connection and rolls an open transaction back. After a
// panic in Run it closes the connection to the upstream instead, on which an answer
// may be outstanding.
func (r *RelayedConn) Close() {
	switch {
	case r.bound == nil:
	case r.exchanging:
		r.bound.pool.discardUnclean(r.bound)
	default:
		rollBackAndReturn(r.bound)
	}
	r.bound = nil
}
