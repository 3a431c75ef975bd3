package pool

import (
	"context"

	"lovageslip/upstream"
)

// ActivityChecker is implemented by connections that can ask the server whether
// it is still executing a batch of another connection.
type ActivityChecker interface {
	// Active reports whether the server is executing a batch of other.
	Active(ctx context.Context, other upstream.Conn) (bool, error)
}

// ProbeResult is the state of a connection that has delivered nothing for a
// while, as found by Pool.Probe.
type ProbeResult int

// Results of a probe.
const (
	// ProbeUnreachable means that no new connection could be opened, or that
	// the upstream did not answer a status query on it.
	ProbeUnreachable ProbeResult = iota + 1
	// ProbeExecuting means that the server is still executing the batch.
	ProbeExecuting
	// ProbeIdle means that the server executes nothing for the connection: the
	// batch or its answer was lost on the network.
	ProbeIdle
	// ProbeInconclusive means that new connections work, but that the server
	// could not tell whether it still executes the batch.
	ProbeInconclusive
)

// Probe asks the upstream over a new connection whether it still executes the
// batch of suspect, a connection that has delivered nothing for a while. The new
// connection is one of ReservedConnections, so it can be opened at the limit too.
func (p *Pool) Probe(ctx context.Context, suspect upstream.Conn) ProbeResult {
	conn, err := p.opts.Dialer.Dial(ctx, p.opts.Address, p.opts.Database)
	if err != nil {
		return ProbeUnreachable
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Status(ctx); err != nil {
		return ProbeUnreachable
	}
	activity, ok := conn.(ActivityChecker)
	if !ok {
		return ProbeInconclusive
	}
	active, err := activity.Active(ctx, suspect)
	switch {
	case err != nil:
		return ProbeInconclusive
	case active:
		return ProbeExecuting
	default:
		return ProbeIdle
	}
}
