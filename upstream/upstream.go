// Package upstream defines the interface to database servers: the status that a
// server reports and the operations of a connection to it. Owners, pools and the
// failover of primaries use it. Adapters such as pgupstream implement Dialer and
// Conn for a wire protocol.
package upstream

import (
	"context"
	"time"
)

// Term is the number of a primary's period in a group. It grows with each change
// of primary.
type Term uint64

// Offset is an index into a server's log, in log entries. A new term does not
// restart the count.
type Offset uint64

// Position identifies a point in the log history of a group. The zero value
// precedes every position.
type Position struct {
	Term   Term
	Offset Offset
}

// Before reports whether p orders before q by term, then by offset. The order
// only means "older data" if both positions belong to one history.
func (p Position) Before(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Offset < q.Offset
}

// TermStart records that the entries of Term begin after offset Start.
type TermStart struct {
	Term  Term
	Start Offset
}

// History lists the terms that make up a server's log, oldest first. Start
// never decreases.
type History []TermStart

// Role is the replication role that a server reports for itself.
type Role int

// Roles of a server.
const (
	RoleReplica Role = iota
	RolePrimary
)

func (r Role) String() string {
	if r == RolePrimary {
		return "primary"
	}
	return "replica"
}

// Status is what a server reports about itself at one moment.
type Status struct {
	Role Role
	// Term is the term that the server follows or leads.
	Term Term
	// Offset is the last entry that the server has applied and not discarded.
	Offset Offset
	// FencedTerm is the lowest term that the server still accepts. It refuses
	// everything from lower terms and never lowers FencedTerm.
	FencedTerm Term
	History    History
	// DataAge bounds how old the server's data are, by its own monotonic
	// clock. Zero for a primary.
	DataAge time.Duration
	// PrimaryContactAge is the time since a replica last heard from its
	// primary.
	PrimaryContactAge time.Duration
}

// Position returns the end of the server's log.
func (s Status) Position() Position { return Position{Term: s.Term, Offset: s.Offset} }

// Includes reports whether the server's log contains position p: p's term is
// part of the server's history, p lies at or before the end of that term there,
// and the server has applied it. A position of a replaced term that the server's
// history does not have is never included.
func (s Status) Includes(p Position) bool {
	if p == (Position{}) {
		return true
	}
	if s.Offset < p.Offset {
		return false
	}
	for i, t := range s.History {
		if t.Term != p.Term {
			continue
		}
		last := i == len(s.History)-1
		return last || p.Offset <= s.History[i+1].Start
	}
	return false
}

// Mode says whether a batch may write.
type Mode int

// Modes of a batch. A batch that succeeds in ModeRead is provably a read,
// because the server refuses writes in that mode.
const (
	ModeRead Mode = iota + 1
	ModeWrite
)

// TransactionState is the transaction state that the server reports after a
// batch.
type TransactionState int

// Transaction states.
const (
	StateIdle TransactionState = iota + 1
	StateOpen
	StateFailed
)

// Prepared is a prepared statement under its global name, which is derived from
// its definition. Any connection can prepare it under that name when it is needed.
type Prepared struct {
	Name          string
	SQL           string
	ParameterOIDs []uint32
}

// Batch is one request: protocol messages that the server answers as a unit. Only
// adapters interpret Payload.
type Batch struct {
	Mode     Mode
	Payload  []byte
	Prepared []Prepared
	// RequestID makes a write idempotent; empty for none. At most 128 bytes.
	RequestID string
	// Waited is how long the caller has waited already, WaitRemaining how
	// long it may still wait until the batch starts.
	Waited        time.Duration
	WaitRemaining time.Duration
	// Shape is a hash of the statement texts. Service times are learnt for
	// each shape.
	Shape uint64
}

// Result is the outcome of a batch that the server answered completely.
type Result struct {
	State TransactionState
	// StatusAfter is the server's status after a write that left no transaction
	// open. Its position is at or after that of the commit.
	StatusAfter Status
	// Committed is true if StatusAfter is set and the batch may have committed
	// a write.
	Committed bool
	// AnswerTail is the end of the answer to a committing write, from the first
	// acknowledgement on. The adapter withholds it from the sink, because
	// the owner may pass it on only once the commit is confirmed.
	AnswerTail []byte
	// DatabaseError is true if the answer holds an error of the database.
	DatabaseError bool
	// Replayed is true if the batch did not run, because an earlier one with
	// the same request id has committed; its answer stands in, if stored.
	Replayed bool
}

// Sink receives the parts of an answer in order. The slice is only valid during
// the call. An error from the sink ends the batch.
type Sink func(chunk []byte) error

// StatusCheck decides by a server's status whether its answer may be passed on, for
// example whether its data are fresh enough. An error discards the answer.
type StatusCheck func(Status) error

// Conn is one connection to a server. It is used by one goroutine at a time,
// except for Cancel and Close, which are safe to call at any time.
type Conn interface {
	// Run executes a batch. A read is pipelined behind a status query on the
	// same connection; check sees that status before the first answer byte
	// reaches the sink, and if it fails, the rest of the answer is drained
	// and the check's error returned. check may be nil.
	//
	// Errors: *fault.NotRun if the server proved that nothing ran (for
	// example ReasonReadOnly for a write refused in ModeRead before any
	// answer byte reached the sink); *fault.OutcomeUnknown if the
	// connection broke after the batch was sent; *fault.AlreadyCommitted.
	// An error that the database answers is part of the answer, not an error
	// of Run.
	Run(ctx context.Context, batch Batch, check StatusCheck, sink Sink) (Result, error)
	// Status queries the server's status.
	Status(ctx context.Context) (Status, error)
	// Wait returns once the server includes p or the timeout has passed,
	// with the status at that moment.
	Wait(ctx context.Context, p Position, timeout time.Duration) (Status, error)
	// Fence makes the server refuse everything from terms below term.
	Fence(ctx context.Context, term Term) (Status, error)
	// Promote makes the server the primary of term. Repeating it is safe.
	Promote(ctx context.Context, term Term) (Status, error)
	// Follow makes the server a replica of the primary at address in term.
	Follow(ctx context.Context, term Term, address string) (Status, error)
	// Cancel asks the server to cancel what the connection is running.
	Cancel(ctx context.Context) error
	// Reset discards session state. After success the connection is clean.
	Reset(ctx context.Context) error
	// Broken reports whether the connection must not be used again.
	Broken() bool
	Close() error
}

// Dialer opens connections. It is safe for concurrent use.
type Dialer interface {
	// Dial connects to the server at address (IP number and port).
	// Errors: *fault.NotRun with ReasonUpstreamUnavailable.
	Dial(ctx context.Context, address, database string) (Conn, error)
}
