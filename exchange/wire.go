package exchange

import (
	"time"

	"lovageslip/fault"
	lovageslipv1 "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// faultReasons maps wire reasons to fault reasons. wireReasons is its inverse.
var faultReasons = map[lovageslipv1.Reason]fault.Reason{
	lovageslipv1.Reason_REASON_NOT_OWNER:            fault.ReasonNotOwner,
	lovageslipv1.Reason_REASON_LEASE_LAPSED:         fault.ReasonLeaseLapsed,
	lovageslipv1.Reason_REASON_CONFIG_BEHIND:        fault.ReasonConfigBehind,
	lovageslipv1.Reason_REASON_STALE:                fault.ReasonStale,
	lovageslipv1.Reason_REASON_READ_ONLY:            fault.ReasonReadOnly,
	lovageslipv1.Reason_REASON_NOT_PRIMARY:          fault.ReasonNotPrimary,
	lovageslipv1.Reason_REASON_QUEUE_FULL:           fault.ReasonQueueFull,
	lovageslipv1.Reason_REASON_WAIT_EXCEEDED:        fault.ReasonWaitExceeded,
	lovageslipv1.Reason_REASON_UPSTREAM_UNAVAILABLE: fault.ReasonUpstreamUnavailable,
	lovageslipv1.Reason_REASON_LEAVING:              fault.ReasonLeaving,
	lovageslipv1.Reason_REASON_CANCELLED:            fault.ReasonCancelled,
	lovageslipv1.Reason_REASON_SHUTDOWN:             fault.ReasonShutdown,
	lovageslipv1.Reason_REASON_OUTCOME_UNKNOWN:      fault.ReasonOutcomeUnknown,
	lovageslipv1.Reason_REASON_ALREADY_COMMITTED:    fault.ReasonAlreadyCommitted,
	lovageslipv1.Reason_REASON_UNCONFIRMED_POSITION: fault.ReasonUnconfirmedPosition,
	lovageslipv1.Reason_REASON_SILENT_CONNECTION:    fault.ReasonSilentConnection,
	lovageslipv1.Reason_REASON_NO_UPSTREAM:          fault.ReasonNoUpstream,
	lovageslipv1.Reason_REASON_PROTOCOL:             fault.ReasonProtocol,
	lovageslipv1.Reason_REASON_RETRY_BUDGET:         fault.ReasonRetryBudget,
}

var wireReasons = invert(faultReasons)

func invert(m map[lovageslipv1.Reason]fault.Reason) map[fault.Reason]lovageslipv1.Reason {
	inverse := make(map[fault.Reason]lovageslipv1.Reason, len(m))
	for wire, reason := range m {
		inverse[reason] = wire
	}
	return inverse
}

func openToWire(o Open, requestID string) *lovageslipv1.RunRequest {
	open := &lovageslipv1.Open{
		Upstream:      o.Upstream,
		Class:         o.Class,
		ConfigVersion: o.ConfigVersion,
		MinPosition:   PositionToWire(o.MinPosition),
		Caller:        o.Caller,
		RequestId:     requestID,
		EntryHost:     o.EntryHost,
	}
	return &lovageslipv1.RunRequest{Message: &lovageslipv1.RunRequest_Open{Open: open}}
}

func openFromWire(o *lovageslipv1.Open) Open {
	return Open{
		Upstream:      o.GetUpstream(),
		Class:         o.GetClass(),
		ConfigVersion: o.GetConfigVersion(),
		MinPosition:   PositionFromWire(o.GetMinPosition()),
		Caller:        o.GetCaller(),
		EntryHost:     o.GetEntryHost(),
	}
}

func batchToWire(b upstream.Batch) *lovageslipv1.RunRequest {
	batch := &lovageslipv1.Batch{
		Mode:                lovageslipv1.Mode(b.Mode),
		Payload:             b.Payload,
		WaitRemainingMicros: b.WaitRemaining.Microseconds(),
		WaitedMicros:        b.Waited.Microseconds(),
		Shape:               b.Shape,
	}
	for _, p := range b.Prepared {
		prepared := &lovageslipv1.Prepared{Name: p.Name, Sql: p.SQL, ParameterOids: p.ParameterOIDs}
		batch.Prepared = append(batch.Prepared, prepared)
	}
	return &lovageslipv1.RunRequest{Message: &lovageslipv1.RunRequest_Batch{Batch: batch}}
}

func batchFromWire(b *lovageslipv1.Batch, requestID string) upstream.Batch {
	batch := upstream.Batch{
		Mode:          upstream.Mode(b.GetMode()),
		Payload:       b.GetPayload(),
		RequestID:     requestID,
		Waited:        micros(b.GetWaitedMicros()),
		WaitRemaining: micros(b.GetWaitRemainingMicros()),
		Shape:         b.GetShape(),
	}
	for _, p := range b.GetPrepared() {
		prepared := upstream.Prepared{Name: p.GetName(), SQL: p.GetSql(), ParameterOIDs: p.GetParameterOids()}
		batch.Prepared = append(batch.Prepared, prepared)
	}
	return batch
}

func doneToWire(d BatchResult) *lovageslipv1.RunResponse {
	done := &lovageslipv1.BatchDone{
		State:         lovageslipv1.TransactionState(d.State),
		Commit:        PositionToWire(d.Commit),
		Hint:          hintToWire(d.Hint),
		DatabaseError: d.DatabaseError,
		SpentMicros:   d.OwnerTime.Microseconds(),
	}
	return &lovageslipv1.RunResponse{Message: &lovageslipv1.RunResponse_Done{Done: done}}
}

func doneFromWire(d *lovageslipv1.BatchDone) BatchResult {
	return BatchResult{
		State:         upstream.TransactionState(d.GetState()),
		Commit:        PositionFromWire(d.GetCommit()),
		DatabaseError: d.GetDatabaseError(),
		OwnerTime:     micros(d.GetSpentMicros()),
		Hint:          hintFromWire(d.GetHint()),
	}
}

func hintToWire(h Hint) *lovageslipv1.UpstreamHint {
	return &lovageslipv1.UpstreamHint{
		Upstream:           h.Upstream,
		Term:               uint64(h.Position.Term),
		Offset:             uint64(h.Position.Offset),
		Primary:            h.Primary,
		DataAgeMicros:      h.DataAge.Microseconds(),
		ExpectedWaitMicros: h.ExpectedWait.Microseconds(),
		Queued:             uint32(h.Queued),
		IntervalMicros:     h.StartInterval.Microseconds(),
		Slots:              uint32(h.Slots),
	}
}

func hintFromWire(h *lovageslipv1.UpstreamHint) Hint {
	return Hint{
		Upstream:      h.GetUpstream(),
		Position:      upstream.Position{Term: upstream.Term(h.GetTerm()), Offset: upstream.Offset(h.GetOffset())},
		Primary:       h.GetPrimary(),
		DataAge:       micros(h.GetDataAgeMicros()),
		ExpectedWait:  micros(h.GetExpectedWaitMicros()),
		Queued:        int(h.GetQueued()),
		StartInterval: micros(h.GetIntervalMicros()),
		Slots:         int(h.GetSlots()),
	}
}

// PositionToWire encodes a position; the zero position is encoded as nil.
func PositionToWire(p upstream.Position) *lovageslipv1.Position {
	if p == (upstream.Position{}) {
		return nil
	}
	return &lovageslipv1.Position{Term: uint64(p.Term), Offset: uint64(p.Offset)}
}

// PositionFromWire decodes a position; nil stands for the zero position.
func PositionFromWire(p *lovageslipv1.Position) upstream.Position {
	return upstream.Position{Term: upstream.Term(p.GetTerm()), Offset: upstream.Offset(p.GetOffset())}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
