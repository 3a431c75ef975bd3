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
	// ReasonNoLeader says that no leader with a valid lease can be reached.
	ReasonNoLeader fault.Reason = "no_leader"
	// ReasonStorage says that this host's disk failed, and that the host must
	// be restarted.
	ReasonStorage fault.Reason = "storage_failed"
	// ReasonReplaced says that another leader has committed a different entry
	// at the index of the proposed one, which can never be committed now.
	ReasonReplaced fault.Reason = "entry_replaced"
)

// ChangeRefused reports a change of membership that the leader refused, so that
// nothing was appended to the log.
type ChangeRefused struct {
	Member string
	Detail string
}

func (e *ChangeRefused) Error() string {
	return "change of member " + e.Member + " refused: " + e.Detail
}

// WrongFolder reports that Start found a data folder that belongs to another
// member.
type WrongFolder struct {
	Want, Found string
}

func (e *WrongFolder) Error() string {
	return "the data folder belongs to member " + e.Found + ", not to " + e.Want
}

// UnusableLog reports that the records or the snapshot in a data folder are
// undamaged but can't be used together, for example because entries are missing.
type UnusableLog struct {
	Detail string
	Err    error
}

func (e *UnusableLog) Error() string {
	if e.Err != nil {
		return "unusable log: " + e.Detail + ": " + e.Err.Error()
	}
	return "unusable log: " + e.Detail
}

func (e *UnusableLog) Unwrap() error { return e.Err }

// StorageFailed reports that a host no longer votes, acknowledges entries or
// leads, because a write or sync failed.
type StorageFailed struct {
	Err error
}

func (e *StorageFailed) Error() string {
	return "storage failed, restart needed: " + e.Err.Error()
}

func (e *StorageFailed) Unwrap() error { return e.Err }

// noLeader returns a *fault.NotRun that suggests a retry after about the time that
// an election takes. The time is random, so that callers don't retry all at once.
func noLeader(detail string) error {
	wait := electionTimeoutMin + rand.N(electionTimeoutMax)
	return &fault.NotRun{Reason: ReasonNoLeader, Detail: detail, RetryAfter: wait}
}

func outcomeUnknown(detail string, err error) error {
	return &fault.OutcomeUnknown{Reason: fault.ReasonOutcomeUnknown, Detail: detail, Err: err}
}

func hostStopping() error {
	return &fault.NotRun{Reason: fault.ReasonShutdown, Detail: "this host is stopping"}
}

func isNoLeader(err error) bool {
	var e *fault.NotRun
	return errors.As(err, &e) && e.Reason == ReasonNoLeader
}

// Connect codes that mark an error of this package, so that a refusal by a peer
// can be told from a failure on the way. The transport itself produces none of
// these codes.
const (
	codeNotRun         = connect.CodeFailedPrecondition
	codeOutcomeUnknown = connect.CodeAborted
	codeRefused        = connect.CodeInvalidArgument
)

// reasonHeader carries the reason of a *fault.NotRun.
const reasonHeader = "Lovageslip-Reason"

// toWire maps an error of this package to the connect error that a peer receives.
func toWire(err error) error {
	if err == nil {
		return nil
	}
	var outcome *fault.OutcomeUnknown
	var refused *ChangeRefused
	var invalid *fault.Invalid
	switch {
	case errors.As(err, &outcome):
		return connect.NewError(codeOutcomeUnknown, err)
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

// wireMessage returns the message of a peer's error without the connect code.
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

// fromWire maps the error of a call to the leader back to an error of this
// package. If the connection could not be made, the leader has received no
// request, so that case is *fault.NotRun. After any other failure of the network
// the outcome is unknown. member is the one that the call was to change, if any.
func fromWire(ctx context.Context, err error, member string) error {
	if err == nil {
		return nil
	}
	code := connect.CodeOf(err)
	fromServer := connect.IsWireError(err)
	var opErr *net.OpError
	switch {
	case fromServer && code == codeNotRun:
		return notRunFromWire(err)
	case fromServer && code == codeRefused:
		return &ChangeRefused{Member: member, Detail: wireMessage(err)}
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return noLeader("leader not reachable: " + err.Error())
	case ctx.Err() != nil:
		return outcomeUnknown("no answer from the leader in time", err)
	default:
		return outcomeUnknown("answer of the leader lost", err)
	}
}

func cancelled(ctx context.Context) error {
	return &fault.NotRun{Reason: fault.ReasonCancelled, Detail: context.Cause(ctx).Error()}
}
