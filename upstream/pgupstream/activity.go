package pgupstream

import (
	"context"
	"strconv"

	"lovageslip/fault"
	"lovageslip/pool"
	"lovageslip/upstream"
)

var _ pool.ActivityChecker = (*Conn)(nil)

const (
	activitySQL = "SELECT state, wait_event FROM pg_stat_activity WHERE pid = "
	stateActive = "active"
	// waitClientWrite is the wait event of a server process that is blocked
	// while it sends its answer.
	waitClientWrite = "ClientWrite"
)

// Active reports whether the server is executing a batch of other. It runs a
// query of pg_stat_activity on c. A server process that waits for its client to
// read the answer does not count as executing.
// Errors: *fault.Unsupported, *fault.Database, *fault.OutcomeUnknown.
func (c *Conn) Active(ctx context.Context, other upstream.Conn) (bool, error) {
	examined, ok := other.(*Conn)
	if !ok {
		return false, &fault.Unsupported{Feature: "activity of another adapter's connection"}
	}
	if err := c.checkUsable(); err != nil {
		return false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.socket.Close() })
	defer stop()
	result, err := c.query(activitySQL + strconv.FormatUint(uint64(examined.pid), 10))
	if err != nil {
		return false, err
	}
	if result.failure != nil {
		return false, result.failure
	}
	if len(result.values) != 1 || len(result.values[0]) != 2 {
		return false, nil
	}
	state, wait := result.values[0][0], result.values[0][1]
	return string(state) == stateActive && string(wait) != waitClientWrite, nil
}
