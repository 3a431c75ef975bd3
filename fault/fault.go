// Package fault holds the error types that cross package boundaries. Every
// error says whether the request ran, so that callers and retry code never
// have to guess. Adapters map these types to the wire once, at the edge.
package fault

import (
	"fmt"
	"time"
)

// Reason names why a request was refused or retried. It labels counters and
// goes to callers in the error detail.
type Reason string

// Reasons for refusals and retries.
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
	// RetryAfter is when the caller should come back; zero if unknown.
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

// AlreadyCommitted reports a resent transaction whose first try committed.
type AlreadyCommitted struct {
	RequestID string
}

func (e *AlreadyCommitted) Error() string {
	return "request " + e.RequestID + " has committed before"
}

// Database is an error that the database server answered. The statement ran
// and was refused by the database.
type Database struct {
	Code     string // SQLSTATE
	Severity string
	Message  string
}

func (e *Database) Error() string {
	return e.Severity + " " + e.Code + ": " + e.Message
}

// UnknownClass reports a class that no operator has defined. Nothing ran.
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

// Unsupported reports a feature that pooled connections cannot carry. Nothing
// ran.
type Unsupported struct {
	Feature string
}

func (e *Unsupported) Error() string { return e.Feature + " is not supported with pooled connections" }

// Invalid reports bad input together with the field and the allowed range.
type Invalid struct {
	Field   string
	Value   string
	Allowed string
}

func (e *Invalid) Error() string {
	return fmt.Sprintf("%s: %q is not valid; allowed: %s", e.Field, e.Value, e.Allowed)
}

// IO wraps a failed read, write or dial. Nothing can be said of whether a
// request in flight ran.
type IO struct {
	Op  string
	Err error
}

func (e *IO) Error() string { return e.Op + ": " + e.Err.Error() }

func (e *IO) Unwrap() error { return e.Err }
