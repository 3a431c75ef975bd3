// Package proxy serves callers' sessions on the upstreams of a site. Each
// proxy speaks to the upstreams itself; what it may rely on comes from the
// answers of the upstreams, never from what another host believes:
//
//   - A read that must contain every acknowledged commit runs inside a
//     transaction that only a leading primary accepts.
//   - Any other read carries the position that the upstream must hold. The
//     position comes from an answer of a leading primary, which holds whatever
//     was acknowledged before it was asked.
//
// One goroutine runs each session.
package proxy

import (
	"context"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// Kind is what a statement does.
type Kind int

// Kinds of statements.
const (
	KindRead Kind = iota
	KindWrite
	KindBegin
	KindCommit
	KindRollback
	KindSet
	KindPrepare
	KindExecute
	KindDeallocate
	KindMalformed
)

// Statement is one statement of a caller.
type Statement struct {
	ID   string
	Kind Kind
	// Text is the statement as the caller sent it.
	Text string
	// ReadOnly is set on a BEGIN that announces only reads, and on a
	// PREPARE of a read.
	ReadOnly bool
	// Name is a session value or a prepared statement.
	Name string
	// Value is the new session value, the shape of a prepared statement, or
	// the arguments of an EXECUTE.
	Value string
}

// CommandKind tells a command of the proxy itself from a caller's statement.
type CommandKind int

// Kinds of commands.
const (
	// CommandForward runs a caller's statement under the caller's id.
	CommandForward CommandKind = iota
	CommandBegin
	CommandBeginRead
	CommandRollback
	// CommandReset clears session values and prepared statements.
	CommandReset
	CommandSet
	CommandPrepare
)

// Command is one message to an upstream.
type Command struct {
	Kind CommandKind
	// Statement is what CommandForward runs.
	Statement *Statement
	// After makes the upstream refuse with CodeLagging if its log lacks the
	// position. It applies to reads and to CommandBeginRead.
	After upstream.Position
	// Name and Value are those of CommandSet and CommandPrepare (value: the
	// shape); Name is also what CommandForward finds its prepared statement
	// under.
	Name, Value string
	// ReadOnly is set on a CommandPrepare of a read.
	ReadOnly bool
}

// Code says how an upstream refused or failed a statement.
type Code int

// Codes of upstreams. The first group promises that the statement did not run.
const (
	CodeNone Code = iota
	CodeBusy
	CodeNoStatement
	CodeLagging
	CodeReadOnly
	CodeWrongUpstream
	CodeTooManyConnections

	// CodeFailed and all below ran, or may have.
	CodeFailed
	CodeTimeout
	CodeOther
)

// NotRun reports whether the code promises that the statement did not run.
func (c Code) NotRun() bool { return c > CodeNone && c < CodeFailed }

func (c Code) String() string {
	names := [...]string{"none", "busy", "no_statement", "lagging", "read_only", "wrong_upstream",
		"too_many_connections", "failed", "timeout", "other"}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// TransactionState is the state of a session after an answer.
type TransactionState byte

// Transaction states.
const (
	StateIdle   TransactionState = 'I'
	StateOpen   TransactionState = 'T'
	StateFailed TransactionState = 'E'
)

// Answer is the complete answer of an upstream to one command.
type Answer struct {
	// Body is the rows and the signature or error, as they go to the caller.
	Body []byte
	Code Code
	// State and Position are those of the upstream's session and log. The
	// zero position means that the upstream named none.
	State    TransactionState
	Position upstream.Position
}

// Conn is a connection to an upstream. It is used by one goroutine at a time.
type Conn interface {
	// Exchange sends the commands together and returns their answers in
	// order. After an error, the connection is unusable, and whether a
	// command without an answer ran is unknown. The slice, but not the
	// bodies in it, is valid until the next Exchange.
	Exchange(deadline time.Time, commands ...Command) ([]Answer, error)
	// Alive reports whether the connection is open and nothing unexpected
	// has arrived on it. It does not block.
	Alive() bool
	Close() error
}

// Dialer opens connections to upstreams.
type Dialer interface {
	// Dial returns *DialRefused if the upstream answered with a refusal.
	Dial(ctx context.Context, u *pb.SiteUpstream) (Conn, error)
}

// DialRefused reports an upstream that refused a connection.
type DialRefused struct {
	Upstream string
	Code     Code
}

func (e *DialRefused) Error() string {
	return "upstream " + e.Upstream + " refused the connection: " + e.Code.String()
}

// RefusalCode is the proxy's own answer to a statement.
type RefusalCode int

// Refusals. Those up to RefusedAborted promise that nothing of the caller's
// operation is kept.
const (
	// RefusedBusy: the statement did not run.
	RefusedBusy RefusalCode = iota
	// RefusedAborted: the transaction was rolled back.
	RefusedAborted
	// RefusedUnknown: the statement may or may not have run.
	RefusedUnknown
	RefusedNoStatement
	RefusedMalformed
	RefusedNoDatabase
	RefusedTooLarge
)

// Refusal is the proxy's own final answer to a statement.
type Refusal struct {
	Code   RefusalCode
	Reason string
	// RetryAfter is when the caller should come back; 0 if it should not.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string { return "refused: " + r.Reason }

// Reply is what the caller gets for one statement: the answer of an upstream,
// a refusal, or, if both are empty, the proxy's own confirmation.
type Reply struct {
	Body    []byte
	Refusal *Refusal
	State   TransactionState
}
