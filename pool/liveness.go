package pool

import (
	"context"

	"lovageslip/upstream"
)

// Activity is implemented by connections that can ask the server whether it
// still works on the batch of another connection.
type Activity interface {
	// Active reports whether the server is executing a batch of other.
	Active(ctx context.Context, other upstream.Conn) (bool, error)
}

// Verdict is what a probe found out about a connection without a sign of life.
type Verdict int

// Verdicts of a probe.
const (
	// Unreachable means that a new connection does not work either.
	Unreachable Verdict = iota + 1
	// Working means that the server still executes the batch.
	Working
	// Idle means that the server executes nothing for the connection: the
	// batch or its answer was lost on the way.
	Idle
	// Unclear means that new connections work, and that the server cannot
	// tell what becomes of the old one.
	Unclear
)

// Probe asks the upstream about suspect over a new connection. The connection
// is one of those reserved, so that a pool at its limit can be probed.
func (p *Pool) Probe(ctx context.Context, suspect upstream.Conn) Verdict {
	conn, err := p.opts.Dialer.Dial(ctx, p.opts.Address, p.opts.Database)
	if err != nil {
		return Unreachable
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Status(ctx); err != nil {
		return Unreachable
	}
	activity, ok := conn.(Activity)
	if !ok {
		return Unclear
	}
	active, err := activity.Active(ctx, suspect)
	switch {
	case err != nil:
		return Unclear
	case active:
		return Working
	default:
		return Idle
	}
}
