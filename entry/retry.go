package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lovageslip/fault"
	"lovageslip/metrics"
	"lovageslip/upstream"
)

const (
	// backoffBase and backoffCap limit the exponential backoff with full
	// jitter.
	backoffBase = 10 * time.Millisecond
	backoffCap  = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the RetryAfter of refusals that
	// came without one.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// retryAction is what to do before a refused request is sent again.
type retryAction int

const (
	noRetry retryAction = iota
	// retryElsewhere sends a read to another upstream at once. A write is
	// sent again after the backoff or a change of the registry.
	retryElsewhere
	// retryReadElsewhere sends a read to another upstream at once. A write
	// is not retried.
	retryReadElsewhere
	// retryAfterChange sends the request again after the backoff or a change
	// of the registry.
	retryAfterChange
)

// retryActions lists the refusals after which a request is sent again. They all
// come as fault.NotRun, so the refused try had no effect.
var retryActions = map[fault.Reason]retryAction{
	fault.ReasonNotOwner:            retryAfterChange,
	fault.ReasonConfigBehind:        retryAfterChange,
	fault.ReasonNotPrimary:          retryAfterChange,
	fault.ReasonNoUpstream:          retryAfterChange,
	fault.ReasonUnconfirmedPosition: retryAfterChange,
	fault.ReasonLeaseLapsed:         retryElsewhere,
	fault.ReasonLeaving:             retryElsewhere,
	fault.ReasonShutdown:            retryElsewhere,
	fault.ReasonUpstreamUnavailable: retryElsewhere,
	fault.ReasonSilentConnection:    retryElsewhere,
	fault.ReasonStale:               retryElsewhere,
	fault.ReasonQueueFull:           retryReadElsewhere,
	fault.ReasonWaitExceeded:        retryReadElsewhere,
}

// prepareRetry reports whether the request is to be tried again after err. It
// returns when the next try may start.
func (a *attempt) prepareRetry(ctx context.Context, err error, changed <-chan struct{}) bool {
	if ctx.Err() != nil {
		return false
	}
	var notRun *fault.NotRun
	if errors.As(err, &notRun) {
		return a.prepareRetryNotRun(ctx, notRun, changed)
	}
	var unknown *fault.OutcomeUnknown
	if errors.As(err, &unknown) {
		return a.prepareRetryUnknown(ctx, unknown, changed)
	}
	return false
}

// prepareRetryNotRun is prepareRetry after a refusal that proves that the request
// did not run.
func (a *attempt) prepareRetryNotRun(ctx context.Context, refused *fault.NotRun, changed <-chan struct{}) bool {
	if a.callerHasAnswer() {
		// The caller has received a part of an answer; another answer must
		// not follow it.
		return false
	}
	if refused.Reason == fault.ReasonReadOnly {
		return a.retryAsWrite()
	}
	a.updateRouter(refused.Reason)
	action := retryActions[refused.Reason]
	if action == noRetry {
		return false
	}
	nothingSent := a.chosen.Upstream.Name == ""
	if nothingSent {
		return a.awaitUpstream(ctx, refused, changed)
	}
	a.refusal = refused
	// All retries below are safe: by NotRun, the owner or the server states
	// that the last try did not run and cannot run later.
	read := a.mode == upstream.ModeRead
	switch {
	case action == retryElsewhere && read, action == retryReadElsewhere && read:
		a.exclude()
		return a.spendRetry(refused.Reason)
	case action == retryElsewhere, action == retryAfterChange:
		return a.awaitRetry(ctx, refused.Reason, changed)
	}
	return false
}

// updateRouter tells the router what a refusal implies for the chosen upstream:
// that it is stale or unavailable.
func (a *attempt) updateRouter(reason fault.Reason) {
	name := a.chosen.Upstream.Name
	if name == "" {
		return
	}
	switch reason {
	case fault.ReasonStale:
		a.entry.router.RecordStale(name, a.routeRequest)
	case fault.ReasonUpstreamUnavailable, fault.ReasonLeaseLapsed, fault.ReasonShutdown, fault.ReasonSilentConnection:
		a.entry.router.RecordUnavailable(name)
	}
}

// prepareRetryUnknown is prepareRetry after an unknown outcome. The request is
// retried only if running it twice does no harm.
func (a *attempt) prepareRetryUnknown(ctx context.Context, unknown *fault.OutcomeUnknown, changed <-chan struct{}) bool {
	a.unknown = unknown
	if a.callerHasAnswer() {
		// The caller has received a part of an answer; another answer must
		// not follow it.
		return false
	}
	if a.mode == upstream.ModeRead {
		// The server refuses writes in read mode, so the last try changed
		// nothing and a second run does no harm.
		a.entry.router.RecordUnavailable(a.chosen.Upstream.Name)
		a.exclude()
		return a.spendRetry(unknown.Reason)
	}
	if a.requestID != "" {
		// The request id makes the write idempotent: because of its row in the
		// ledger, a second run returns the first one's answer or prevents the
		// first one from committing.
		return a.awaitRetry(ctx, unknown.Reason, changed)
	}
	return false
}

// retryAsWrite switches a batch that the server refused in read mode to write
// mode, so that it is sent to the primary. The refusal proves that nothing was
// written. This happens at most once, because the mode is write from then on.
func (a *attempt) retryAsWrite() bool {
	if a.mode != upstream.ModeRead || declaredReadOnly(a.request.Texts) {
		return false
	}
	a.mode = upstream.ModeWrite
	a.excluded = nil
	a.entry.writes.add(a.request.Texts)
	metrics.CountRetry(a.entry.metrics, a.class.Name, fault.ReasonReadOnly)
	return a.remaining() > 0
}

func (a *attempt) exclude() {
	a.excluded = append(a.excluded, a.chosen.Upstream.Name)
}

// awaitUpstream handles a try for which the router found no upstream. It waits
// for a change of the registry, or considers the excluded upstreams again.
// Nothing was sent, so waiting for a change costs no retry of the budget.
func (a *attempt) awaitUpstream(ctx context.Context, refused *fault.NotRun, changed <-chan struct{}) bool {
	if refused.Reason != fault.ReasonNoUpstream {
		return false
	}
	if retryActions[reasonOf(a.refusal)] == retryReadElsewhere {
		// All upstreams that could serve the request are overloaded. Another
		// try would only add to their load.
		return false
	}
	if len(a.excluded) == 0 {
		return a.awaitChange(ctx, a.remaining(), changed) && a.remaining() > 0
	}
	a.excluded = nil
	return a.awaitRetry(ctx, reasonOf(a.refusal), changed)
}

// awaitRetry waits for the backoff, or until the registry changes, and reports
// whether the request may be retried. A retry after a change costs no retry of the
// budget, because there are few changes within the wait of a request.
func (a *attempt) awaitRetry(ctx context.Context, reason fault.Reason, changed <-chan struct{}) bool {
	wait := min(a.backoff(), a.remaining())
	if a.awaitChange(ctx, wait, changed) {
		metrics.CountRetry(a.entry.metrics, a.class.Name, reason)
		return a.remaining() > 0
	}
	if ctx.Err() != nil {
		return false
	}
	return a.spendRetry(reason)
}

// backoff returns a random time up to a limit that doubles with every try (full
// jitter).
func (a *attempt) backoff() time.Duration {
	limit := backoffBase << min(a.tries, 10)
	return rand.N(min(limit, backoffCap)) + 1
}

// awaitChange waits until the registry changes. It returns false if the wait ends
// or ctx is cancelled first.
func (a *attempt) awaitChange(ctx context.Context, wait time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// spendRetry takes one retry from the budget. It returns false if the budget is
// empty or the request's wait has ended.
func (a *attempt) spendRetry(reason fault.Reason) bool {
	if a.remaining() == 0 {
		return false
	}
	if !a.entry.budget.takeRetry(time.Now()) {
		metrics.CountRefusal(a.entry.metrics, a.class.Name, fault.ReasonRetryBudget)
		return false
	}
	metrics.CountRetry(a.entry.metrics, a.class.Name, reason)
	return true
}

func isNotRun(err error) bool {
	var notRun *fault.NotRun
	return errors.As(err, &notRun)
}

// reasonOf returns the reason of an error; empty for errors that have none.
func reasonOf(err error) fault.Reason {
	var notRun *fault.NotRun
	if errors.As(err, &notRun) {
		return notRun.Reason
	}
	var unknown *fault.OutcomeUnknown
	if errors.As(err, &unknown) {
		return unknown.Reason
	}
	var committed *fault.AlreadyCommitted
	if errors.As(err, &committed) {
		return fault.ReasonAlreadyCommitted
	}
	return ""
}

// finalError counts an error that goes to the caller. It randomizes RetryAfter, so
// that callers do not all retry at the same moment.
func (e *Entry) finalError(err error, class string, wait time.Duration) error {
	metrics.CountRefusal(e.metrics, class, reasonOf(err))
	var notRun *fault.NotRun
	if !errors.As(err, &notRun) {
		return err
	}
	after := notRun.RetryAfter
	if after <= 0 {
		after = min(maxRetryAfter, max(minRetryAfter, wait))
	}
	randomized := after/2 + rand.N(after)
	return &fault.NotRun{Reason: notRun.Reason, Detail: notRun.Detail, RetryAfter: randomized}
}
