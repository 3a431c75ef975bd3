// Package proxy runs the statements of callers' sessions on the upstreams of a
// site: it chooses an upstream for each, pools connections, limits the load on
// each upstream and retries what did not run. Package platform opens a session
// for each caller's connection, and package sitewatch passes each new view of the
// site to SetView.
//
// Whether data are fresh enough is decided by answers of the upstreams alone,
// because the view of the site that other hosts send may be out of date:
//
//   - A read that must contain every acknowledged commit runs inside a
//     transaction that only a leading primary accepts.
//   - Any other read carries the position that the upstream must hold. The
//     position comes from an answer of a leading primary, which holds every
//     commit that was acknowledged before the request was sent.
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
	// ReadOnly is set on a BEGIN of a read-only transaction and on a PREPARE
	// of a read.
	ReadOnly bool
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Value is the new session value, the shape of a prepared statement, or
	// the arguments of an EXECUTE.
	Value string
}

// CommandKind is what a command to an upstream does: run a caller's statement
// or do one of the proxy's own tasks.
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
	// Statement is the statement that CommandForward runs.
	Statement *Statement
	// MinPosition is the position that a read or a CommandBeginRead needs.
	// The upstream refuses it with CodeLagging if its log lacks the position.
	MinPosition upstream.Position
	// Name and Value are the name and value of the session value that
	// CommandSet sets, or the name and shape of the statement that
	// CommandPrepare prepares. CommandForward has in Name the prepared
	// statement that it executes, if any.
	Name, Value string
	// ReadOnly is set on a CommandPrepare of a read.
	ReadOnly bool
}

// Code says how an upstream refused or failed a statement.
type Code int

// Codes of upstreams. Those of the first group but CodeNone promise that the
// statement did not run.
const (
	CodeNone Code = iota
	CodeBusy
	CodeNoStatement
	CodeLagging
	CodeReadOnly
	CodeWrongUpstream
	CodeTooManyConnections
	// CodeNoConnection is a relay's: it had no connection to the upstream for
	// the command in time.
	CodeNoConnection
	// CodeUnreachable is a relay's: it could not connect to the upstream.
	CodeUnreachable

	// After CodeFailed and the codes below it, the statement ran or may have
	// run.
	CodeFailed
	CodeTimeout
	CodeOther
)

// fromUpstream reports whether the upstream itself has answered, not a relay.
func (c Code) fromUpstream() bool { return c != CodeNoConnection && c != CodeUnreachable }

// NotRun reports whether the code promises that the statement did not run.
func (c Code) NotRun() bool { return c > CodeNone && c < CodeFailed }

func (c Code) String() string {
	names := [...]string{"none", "busy", "no_statement", "lagging", "read_only", "wrong_upstream",
		"too_many_connections", "no_connection", "unreachable", "failed", "timeout", "other"}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// TransactionState is the state of a session's transaction after an answer.
type TransactionState byte

// Transaction states.
const (
	StateIdle   TransactionState = 'I'
	StateOpen   TransactionState = 'T'
	StateFailed TransactionState = 'E'
)

// Answer is the complete answer of an upstream to one command.
type Answer struct {
	// Body is the rows and the signature, or the error, as they are passed to
	// the caller. Only the answer to a CommandForward has one.
	Body []byte
	Code Code
	// State is that of the session at the upstream, and Position that of the
	// upstream's log; zero if the upstream sent none.
	State    TransactionState
	Position upstream.Position
}

// Conn is a connection to an upstream. The proxy uses it from one goroutine at
// a time.
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
	// Dial returns *DialRefused if the upstream answered with a refusal. The
	// connection is opened in the name of a team, or of the proxy if team is
	// empty.
	Dial(ctx context.Context, u *pb.SiteUpstream, team string) (Conn, error)
}

// DialRefused reports an upstream that refused a connection.
type DialRefused struct {
	Upstream string
	Code     Code
}

func (e *DialRefused) Error() string {
	return "upstream " + e.Upstream + " refused the connection: " + e.Code.String()
}

// RefusalCode is the kind of a refusal.
type RefusalCode int

// Codes of refusals. RefusedBusy and RefusedAborted promise that nothing of the
// caller's operation is kept.
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
	// RefusedUnknownKey: no team holds the caller's key, or none does any more.
	// The statement did not run.
	RefusedUnknownKey
)

// Refusal is the proxy's own final answer to a statement, in place of an
// upstream's.
type Refusal struct {
	Code   RefusalCode
	Reason string
	// RetryAfter is the time after which the caller should try again; 0 if it
	// should not.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string { return "refused: " + r.Reason }

// Reply is the answer to one statement: the body of an upstream's answer, a
// refusal, or, if both are empty, the proxy's confirmation of a statement that
// needs no upstream.
type Reply struct {
	Body    []byte
	Refusal *Refusal
	State   TransactionState
}
