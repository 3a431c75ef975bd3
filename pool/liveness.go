package pool

import (
	"context"

	"lovageslip/upstream"
)

// Activity is implemented by connections that can ask the server whether it is
// still executing a batch of another connection.
type Activity interface {
	// Active reports whether the server is executing a batch of other.
	Active(ctx context.Context, other upstream.Conn) (bool, error)
}

// ProbeResult is the state of a connection that has delivered nothing for a
// while, as found by Pool.Probe.
type ProbeResult int

// Results of a probe.
const (
	// Unreachable means that no new connection could be opened, or that the
	// upstream did not answer a status query on it.
	Unreachable ProbeResult = iota + 1
	// Working means that the server is still executing the batch.
	Working
	// Idle means that the server executes nothing for the connection: the
	// batch or its answer was lost on the network.
	Idle
	// Unclear means that new connections work, but that the server could not
	// tell whether it still executes the batch.
	Unclear
)

// Probe asks the upstream over a new connection whether it still executes the
// batch of suspect, a connection that has delivered nothing for a while. The new
// connection is one of ReservedConnections, so it can be opened at the limit too.
func (p *Pool) Probe(ctx context.Context, suspect upstream.Conn) ProbeResult {
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
