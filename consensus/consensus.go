// Package consensus replicates a log of commands among the control hosts with
// the Raft algorithm: terms, elections with pre-votes, replication, snapshots,
// and membership changes one at a time. Packages daemon and platform start a
// Node on each control host. Packages control and sitecontrol propose commands
// through it, and the state machines in controlstate and site apply them. To
// this package, commands are opaque bytes.
//
// # Durability
//
// A vote, term or entry counts only once it is synced to disk. One goroutine
// writes them in the order in which they were queued, with one sync for
// everything in the queue. The state in memory may be ahead of the disk, but
// each response waits for the syncs that it depends on. After a failed write or
// sync, the host neither votes, nor acknowledges entries, nor leads until it is
// restarted.
//
// # Lease
//
// A leader answers reads and accepts changes only while it holds a lease, which
// ends 300 ms after it sent the latest requests that a quorum has answered. A
// host grants no vote within 400 ms of a leader's last request or of its own
// start, since it may have renewed a leader's lease just before a restart. A
// leader that no quorum has answered for 800 ms steps down: its followers may
// still receive its heartbeats, and then none of them would start an election.
//
// # Forming a cluster, and wiped hosts
//
// Each data folder has a random identifier, its incarnation, and the membership
// in the log records the incarnation of each member. A host votes only if the
// membership records its own incarnation, and responses from any other
// incarnation count towards no quorum. A host with an empty log can't tell
// whether it is new or was wiped. So a cluster forms only with the votes of all
// initial members, and appends nothing after its first entry, the membership,
// until all of them hold that entry. A wiped host therefore can never help to
// elect a candidate that lacks a committed entry.
//
// A data folder that is restored from an old copy keeps its incarnation and
// can't be told from the original. Never restore one: wipe the host, remove it
// and add it again.
package consensus

import "context"

// StateMachine holds the state that the replicated commands change. A Node calls
// its methods from one goroutine, and Apply in index order.
type StateMachine interface {
	// Apply applies a committed command. It must be deterministic, because
	// every host applies the same commands to its own copy of the state.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state, encoded for Restore.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by one that Snapshot returned.
	Restore(data []byte) error
}

// Log is the replicated log, as the packages that propose commands and read the
// replicated state use it. It is safe for concurrent use.
type Log interface {
	// Propose appends a command through the current leader and returns the
	// result of its application, or an error. After *OutcomeUnknown the
	// command may still be committed.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadIndex returns once the local state machine has applied everything
	// that was committed when the call began. A read of the state machine
	// afterwards is linearizable. The call fails on a host that can't reach a
	// leader with a valid lease.
	ReadIndex(ctx context.Context) (index uint64, err error)
	// Leadership returns the term in which this host leads with a valid
	// lease now, and false if it does not.
	Leadership() (term uint64, ok bool)
	// Leader returns the name and the address of the leader, and false if
	// this host knows of none.
	Leader() (name, address string, ok bool)
	// Applied returns the index of the last applied entry and a channel that
	// is closed when a later entry has been applied.
	Applied() (index uint64, changed <-chan struct{})
}
