package proxy

import (
	"context"
	"errors"
	"slices"
	"time"

	"lovageslip/fault"
	"lovageslip/upstream"
)

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
	// prepared holds the definitions by the names that it has given them.
	values   map[string]string
	prepared map[string]preparedStatement
}

// OpenRelayed returns a virtual connection to a process of an upstream.
func (p *Proxy) OpenRelayed(id, address string, bornMs int64) *RelayedConn {
	key := poolKey{id: id, address: address, bornMs: bornMs}
	return &RelayedConn{proxy: p, key: key, values: map[string]string{}, prepared: map[string]preparedStatement{}}
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
	// Without a relay the pool serves this proxy's own callers, and is checked.
	checked := p.options.Relays == nil || !p.options.Relays.HasRelay(id)
	if !ok || !pl.claimProbe(checked) {
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
	if held, withheld := r.withhold(commands); withheld {
		return append(answers, laggingAnswers(held, len(commands))...), nil
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

// withhold reports whether the upstream is likely to lack the position that the first
// command needs, and which one it holds.
func (r *RelayedConn) withhold(commands []Command) (held upstream.Position, withheld bool) {
	if r.bound != nil {
		return upstream.Position{}, false
	}
	pl, ok := r.proxy.directPool(r.key)
	if !ok {
		return upstream.Position{}, false
	}
	held, withheld = pl.withhold(commands[0].MinPosition)
	if withheld {
		r.proxy.metrics.Counter("reads_withheld_total").Inc(1)
	}
	return held, withheld
}

// laggingAnswers returns the answers to n commands that a relay refuses for an upstream
// that holds a position.
func laggingAnswers(held upstream.Position, n int) []Answer {
	return slices.Repeat([]Answer{{Code: CodeLagging, State: StateIdle, Position: held}}, n)
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
			r.prepared[c.Name] = newPreparedStatement(c.Value, c.ReadOnly)
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
	setUp, commands := r.setUp(c, commands)
	answers, err := exchange(c, time.Now().Add(timeout), setUp, commands...)
	r.exchanging = false
	if err != nil {
		r.bound = nil
		c.pool.discard(c, sentAt, err)
		return nil, &fault.IO{Op: "relay to upstream", Err: err}
	}
	c.pool.recordRelayed(commands[0], answers[0].Code, now().Sub(sentAt))
	c.pool.recordPosition(commands[0].MinPosition, answers[0], &r.proxy.group(c.pool.group()).positions)
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
	p.recordStatement(workKind{}, code, took)
	if code == CodeBusy {
		p.recordBusy(busyBackoff)
	}
}

// setUp returns the commands that give a connection the session state that the
// commands need, and the commands with the names of prepared statements there.
func (r *RelayedConn) setUp(c *conn, commands []Command) (setUp, renamed []Command) {
	setUp = setValues(c, r.values)
	renamed = commands
	for i, command := range commands {
		if command.Kind != CommandForward || command.Name == "" {
			continue
		}
		if &renamed[0] == &commands[0] {
			renamed = slices.Clone(commands)
		}
		// A name that the other proxy has not prepared is none here either.
		renamed[i].Name = unknownName
		if prepared, ok := r.prepared[command.Name]; ok {
			if definition, needed := c.prepare(prepared); needed {
				setUp = append(setUp, definition)
			}
			renamed[i].Name = c.prepared[prepared.id]
		}
	}
	return setUp, renamed
}

// unknownName is the name of no prepared statement on any connection.
const unknownName = "unknown"

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
