// Package consensus keeps a replicated log among the control hosts: terms,
// elections, replication, snapshots and membership changes, one at a time. It
// knows nothing of what the commands mean.
//
// # Durability
//
// Votes, terms and entries count only once synced. They are queued in order and
// written by one goroutine with one sync for all that have gathered. Memory may
// run ahead of the disk, but each answer waits for what it depends on. After a
// failed write or sync, the host neither votes nor acknowledges nor leads until
// it is restarted.
//
// # Lease
//
// A leader answers reads and accepts changes only within 300 ms of the send
// time of requests that a quorum has answered. A host gives no vote within
// 400 ms of hearing from a leader or of its own start, since it may have
// answered a leader just before a restart. A leader that hears from no quorum
// for 800 ms steps down, because followers may still hear it.
//
// # Forming a cluster, and wiped hosts
//
// Each data folder has a random incarnation, and the membership in the log
// names the incarnation of each member. A host votes only if the membership
// names its own; answers of other incarnations count towards no quorum. A host
// with an empty log can't tell whether it is new or was wiped. So a cluster
// forms only with the votes of all initial members, and logs nothing after its
// first entry, the membership, until all of them hold it. A wiped host
// therefore can never help to elect a candidate that lacks a committed entry.
//
// A data folder that is put back from an old copy keeps its incarnation and
// can't be told from the original. Never restore one: wipe the host, remove it
// and add it again.
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
