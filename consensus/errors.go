package consensus

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"

	"connectrpc.com/connect"

	"lovageslip/fault"
)

// Reasons that this package adds to those of package fault.
const (
	// ReasonNoLeader: no leader with a valid lease can be reached.
	ReasonNoLeader fault.Reason = "no_leader"
	// ReasonStorage: this host's disk failed, and it must be restarted.
	ReasonStorage fault.Reason = "storage_failed"
	// ReasonReplaced: another leader put another entry in the place of the
	// proposed one, which can never be committed.
	ReasonReplaced fault.Reason = "entry_replaced"
)

// ChangeRefused reports a change of membership that was not logged.
type ChangeRefused struct {
	Member string
	Detail string
}

func (e *ChangeRefused) Error() string {
	return "change of member " + e.Member + " refused: " + e.Detail
}

// WrongFolder reports a data folder that belongs to another member.
type WrongFolder struct {
	Want, Found string
}

func (e *WrongFolder) Error() string {
	return "the data folder belongs to member " + e.Found + ", not to " + e.Want
}

// BadLog reports records that are intact but don't form a log.
type BadLog struct {
	Detail string
	Err    error
}

func (e *BadLog) Error() string {
	if e.Err != nil {
		return "unusable log: " + e.Detail + ": " + e.Err.Error()
	}
	return "unusable log: " + e.Detail
}

func (e *BadLog) Unwrap() error { return e.Err }

// StorageFailed reports a host that has stopped voting and acknowledging
// because its disk failed.
type StorageFailed struct {
	Err error
}

func (e *StorageFailed) Error() string {
	return "storage failed, restart needed: " + e.Err.Error()
}

func (e *StorageFailed) Unwrap() error { return e.Err }

func noLeader(detail string) error {
	wait := electionTimeoutMin + rand.N(electionTimeoutMax)
	return &fault.NotRun{Reason: ReasonNoLeader, Detail: detail, RetryAfter: wait}
}

func unknown(detail string, err error) error {
	return &fault.OutcomeUnknown{Reason: fault.ReasonOutcomeUnknown, Detail: detail, Err: err}
}

func stopping() error {
	return &fault.NotRun{Reason: fault.ReasonShutdown, Detail: "this host is stopping"}
}

func isNoLeader(err error) bool {
	var e *fault.NotRun
	return errors.As(err, &e) && e.Reason == ReasonNoLeader
}

// Codes that tell a refusal by a peer from a failure on the way. The transport
// itself produces neither of them.
const (
	codeNotRun  = connect.CodeFailedPrecondition
	codeUnknown = connect.CodeAborted
	codeRefused = connect.CodeInvalidArgument
)

// reasonHeader carries the reason of a *fault.NotRun.
const reasonHeader = "Lovageslip-Reason"

// toWire maps an error of this package to a connect error.
func toWire(err error) error {
	if err == nil {
		return nil
	}
	var outcome *fault.OutcomeUnknown
	var refused *ChangeRefused
	var invalid *fault.Invalid
	switch {
	case errors.As(err, &outcome):
		return connect.NewError(codeUnknown, err)
	case errors.As(err, &refused), errors.As(err, &invalid):
		return connect.NewError(codeRefused, err)
	default:
		return notRunToWire(err)
	}
}

func notRunToWire(err error) error {
	wire := connect.NewError(codeNotRun, err)
	var notRun *fault.NotRun
	if errors.As(err, &notRun) {
		wire.Meta().Set(reasonHeader, string(notRun.Reason))
	}
	return wire
}

// wireMessage returns the message of a peer's error without its code.
func wireMessage(err error) string {
	var wire *connect.Error
	if errors.As(err, &wire) {
		return wire.Message()
	}
	return err.Error()
}

func notRunFromWire(err error) error {
	var wire *connect.Error
	if !errors.As(err, &wire) {
		return noLeader(err.Error())
	}
	reason := fault.Reason(wire.Meta().Get(reasonHeader))
	if reason == "" || reason == ReasonNoLeader {
		return noLeader(wire.Message())
	}
	return &fault.NotRun{Reason: reason, Detail: wire.Message(), RetryAfter: retryDelay}
}

// fromWire maps the error of a call to a leader. A connection that was never
// made has carried no request, so that case counts as not run.
func fromWire(ctx context.Context, err error, member string) error {
	if err == nil {
		return nil
	}
	code := connect.CodeOf(err)
	fromServer := connect.IsWireError(err)
	var op *net.OpError
	switch {
	case fromServer && code == codeNotRun:
		return notRunFromWire(err)
	case fromServer && code == codeRefused:
		return &ChangeRefused{Member: member, Detail: wireMessage(err)}
	case errors.As(err, &op) && op.Op == "dial":
		return noLeader("leader not reachable: " + err.Error())
	case ctx.Err() != nil:
		return unknown("no answer from the leader in time", err)
	default:
		return unknown("answer of the leader lost", err)
	}
}

func cancelled(ctx context.Context) error {
	return &fault.NotRun{Reason: fault.ReasonCancelled, Detail: context.Cause(ctx).Error()}
}
