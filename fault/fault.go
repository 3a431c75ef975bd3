// Package fault defines the errors that packages return to each other. The type
// of an error says whether the request ran, did not run, or may have run, so that
// callers and retries can rely on it. Only the packages that speak a protocol map
// the types to messages on the wire.
package fault

import (
	"fmt"
	"time"
)

// Reason is why a request was refused or retried. It is a label of counters and
// part of the error detail that callers get.
type Reason string

// Reasons of refusals and retries.
const (
	ReasonNotOwner            Reason = "not_owner"
	ReasonLeaseLapsed         Reason = "lease_lapsed"
	ReasonConfigBehind        Reason = "config_behind"
	ReasonStale               Reason = "stale"
	ReasonReadOnly            Reason = "read_only"
	ReasonNotPrimary          Reason = "not_primary"
	ReasonQueueFull           Reason = "queue_full"
	ReasonWaitExceeded        Reason = "wait_exceeded"
	ReasonUpstreamUnavailable Reason = "upstream_unavailable"
	ReasonLeaving             Reason = "leaving"
	ReasonCancelled           Reason = "cancelled"
	ReasonShutdown            Reason = "shutdown"
	ReasonOutcomeUnknown      Reason = "outcome_unknown"
	ReasonAlreadyCommitted    Reason = "already_committed"
	ReasonUnconfirmedPosition Reason = "unconfirmed_position"
	ReasonSilentConnection    Reason = "silent_connection"
	ReasonNoUpstream          Reason = "no_upstream"
	ReasonProtocol            Reason = "protocol"
	ReasonRetryBudget         Reason = "retry_budget"
)

// NotRun reports a request that did not run and cannot run later. A retry is
// always safe.
type NotRun struct {
	Reason Reason
	Detail string
	// RetryAfter is how long the caller should wait before a retry; zero if
	// unknown.
	RetryAfter time.Duration
}

func (e *NotRun) Error() string {
	return fmt.Sprintf("not run (%s): %s", e.Reason, e.Detail)
}

// OutcomeUnknown reports a request that may or may not have run. A retry is
// safe only for reads and for writes that carry a request id.
type OutcomeUnknown struct {
	Reason Reason
	Detail string
	Err    error
}

func (e *OutcomeUnknown) Error() string {
	return fmt.Sprintf("outcome unknown (%s): %s", e.Reason, e.Detail)
}

func (e *OutcomeUnknown) Unwrap() error { return e.Err }

// AlreadyCommitted reports a transaction with a request id under which an earlier
// try has committed.
type AlreadyCommitted struct {
	RequestID string
}

func (e *AlreadyCommitted) Error() string {
	return "request " + e.RequestID + " has committed before"
}

// Database is an error in the answer of the database server. The statement ran
// and failed there.
type Database struct {
	Code     string // SQLSTATE
	Severity string
	Message  string
}

func (e *Database) Error() string {
	return e.Severity + " " + e.Code + ": " + e.Message
}

// UnknownClass reports a class that operators have not defined. Nothing ran.
type UnknownClass struct {
	Class string
}

func (e *UnknownClass) Error() string { return "unknown class " + e.Class }

// BadToken reports a session token that is damaged, forged or belongs to
// another database. Nothing ran.
type BadToken struct {
	Detail string
}

func (e *BadToken) Error() string { return "session token refused: " + e.Detail }

// Unsupported reports a feature that does not work with pooled connections.
// Nothing ran.
type Unsupported struct {
	Feature string
}

func (e *Unsupported) Error() string { return e.Feature + " is not supported with pooled connections" }

// Invalid reports an invalid value, the field it was given for and the values
// that are allowed.
type Invalid struct {
	Field   string
	Value   string
	Allowed string
}

func (e *Invalid) Error() string {
	return fmt.Sprintf("%s: %q is not valid; allowed: %s", e.Field, e.Value, e.Allowed)
}

// IO reports a failed read, write or dial. Op is the operation. A request that was
// in flight may or may not have run.
type IO struct {
	Op  string
	Err error
}

func (e *IO) Error() string { return e.Op + ": " + e.Err.Error() }

func (e *IO) Unwrap() error { return e.Err }
