// Package consensus keeps a replicated log among the control hosts: terms,
// elections, replication, snapshots and membership changes, one at a time. It
// knows nothing of what the commands mean.
package consensus

import "context"

// StateMachine is what committed commands are applied to. Calls come from one
// goroutine, in index order.
type StateMachine interface {
	// Apply applies a committed command. It must be deterministic.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Log is a replicated log as seen by its user. It is safe for concurrent use.
type Log interface {
	// Propose appends a command through the current leader and returns the
	// result of its application, or an error. After *OutcomeUnknown the
	// command may still be committed.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadIndex returns once the local state machine has applied everything
	// that a quorum had committed when the call began. It fails on a host
	// that cannot reach a leader with a valid lease.
	ReadIndex(ctx context.Context) (index uint64, err error)
	// Leadership returns the term in which this host leads with a valid
	// lease now, and false if it does not.
	Leadership() (term uint64, ok bool)
	// Leader returns the address of the leader, as far as is known.
	Leader() (name, address string, ok bool)
	// Applied returns the last applied index and a channel that is closed
	// at the next application.
	Applied() (index uint64, changed <-chan struct{})
}
