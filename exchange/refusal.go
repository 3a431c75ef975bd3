package exchange

import (
	"errors"

	"lovageslip/fault"
	lovageslipv1 "lovageslip/gen/lovageslip/v1"
)

// refusalToWire returns the message that carries an error of a Handler or
// Stream to the client. An error that does not say whether the batch ran is sent
// as an unknown outcome.
func refusalToWire(err error) *lovageslipv1.RunResponse {
	return &lovageslipv1.RunResponse{Message: &lovageslipv1.RunResponse_Refused{Refused: refusedFromError(err)}}
}

func refusedFromError(err error) *lovageslipv1.Refused {
	var notRun *fault.NotRun
	if errors.As(err, &notRun) {
		return &lovageslipv1.Refused{
			Reason:           wireReasons[notRun.Reason],
			Detail:           notRun.Detail,
			RetryAfterMicros: notRun.RetryAfter.Microseconds(),
			NotRun:           true,
		}
	}
	var committed *fault.AlreadyCommitted
	if errors.As(err, &committed) {
		return &lovageslipv1.Refused{
			Reason: lovageslipv1.Reason_REASON_ALREADY_COMMITTED,
			Detail: committed.RequestID,
		}
	}
	var unknown *fault.OutcomeUnknown
	if errors.As(err, &unknown) {
		return &lovageslipv1.Refused{Reason: wireReasons[unknown.Reason], Detail: unknown.Detail}
	}
	return &lovageslipv1.Refused{
		Reason: lovageslipv1.Reason_REASON_OUTCOME_UNKNOWN,
		Detail: err.Error(),
	}
}

func refusalFromWire(r *lovageslipv1.Refused) error {
	if r.GetReason() == lovageslipv1.Reason_REASON_ALREADY_COMMITTED {
		return &fault.AlreadyCommitted{RequestID: r.GetDetail()}
	}
	if r.GetNotRun() {
		return &fault.NotRun{
			Reason:     reasonFromWire(r.GetReason(), fault.ReasonUpstreamUnavailable),
			Detail:     r.GetDetail(),
			RetryAfter: micros(r.GetRetryAfterMicros()),
		}
	}
	return &fault.OutcomeUnknown{
		Reason: reasonFromWire(r.GetReason(), fault.ReasonOutcomeUnknown),
		Detail: r.GetDetail(),
	}
}

func reasonFromWire(reason lovageslipv1.Reason, fallback fault.Reason) fault.Reason {
	if mapped, ok := faultReasons[reason]; ok {
		return mapped
	}
	return fallback
}
