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
	// backoffBase and backoffCap bound the full-jitter backoff.
	backoffBase = 10 * time.Millisecond
	backoffCap  = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the hint of a refusal that has
	// none of its own.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// remedy is what has to happen before a refused request is sent again.
type remedy int

const (
	giveUp remedy = iota
	// elsewhere sends a read to another upstream at once, and a write again
	// after a pause.
	elsewhere
	// elsewhereOnly sends a read to another upstream at once; a write is
	// given up.
	elsewhereOnly
	// afterChange waits for the registry to change, or for the backoff.
	afterChange
)

// remedies lists the refusals after which a request is sent again. All of
// them are NotRun, so the first try cannot have taken effect.
var remedies = map[fault.Reason]remedy{
	fault.ReasonNotOwner:            afterChange,
	fault.ReasonConfigBehind:        afterChange,
	fault.ReasonNotPrimary:          afterChange,
	fault.ReasonNoUpstream:          afterChange,
	fault.ReasonUnconfirmedPosition: afterChange,
	fault.ReasonLeaseLapsed:         elsewhere,
	fault.ReasonLeaving:             elsewhere,
	fault.ReasonShutdown:            elsewhere,
	fault.ReasonUpstreamUnavailable: elsewhere,
	fault.ReasonSilentConnection:    elsewhere,
	fault.ReasonStale:               elsewhere,
	fault.ReasonQueueFull:           elsewhereOnly,
	fault.ReasonWaitExceeded:        elsewhereOnly,
}

// again decides whether to try once more after err, and waits until then.
func (a *attempt) again(ctx context.Context, err error, changed <-chan struct{}) bool {
	if ctx.Err() != nil {
		return false
	}
	var notRun *fault.NotRun
	if errors.As(err, &notRun) {
		return a.againNotRun(ctx, notRun, changed)
	}
	var unknown *fault.OutcomeUnknown
	if errors.As(err, &unknown) {
		return a.againUnknown(ctx, unknown, changed)
	}
	return false
}

func (a *attempt) againNotRun(ctx context.Context, refused *fault.NotRun, changed <-chan struct{}) bool {
	if a.answered() {
		// The caller has a part of an answer, so a second answer cannot follow.
		return false
	}
	if refused.Reason == fault.ReasonReadOnly {
		return a.reroute()
	}
	a.learn(refused.Reason)
	next := remedies[refused.Reason]
	if next == giveUp {
		return false
	}
	nothingSent := a.chosen.Upstream.Name == ""
	if nothingSent {
		return a.awaitUpstream(ctx, refused, changed)
	}
	a.refusal = refused
	// Every branch below is reached only by NotRun: the owner or the server
	// has proved that the first try did not run and cannot run later.
	read := a.mode == upstream.ModeRead
	switch {
	case next == elsewhere && read, next == elsewhereOnly && read:
		a.exclude()
		return a.spend(refused.Reason)
	case next == elsewhere, next == afterChange:
		return a.afterChange(ctx, refused.Reason, changed)
	}
	return false
}

// learn tells the router what a refusal says of the upstream.
func (a *attempt) learn(reason fault.Reason) {
	name := a.chosen.Upstream.Name
	if name == "" {
		return
	}
	switch reason {
	case fault.ReasonStale:
		a.entry.router.Stale(name, a.asked)
	case fault.ReasonUpstreamUnavailable, fault.ReasonLeaseLapsed, fault.ReasonShutdown, fault.ReasonSilentConnection:
		a.entry.router.Unavailable(name)
	}
}

// againUnknown retries where a second run is harmless.
func (a *attempt) againUnknown(ctx context.Context, unknown *fault.OutcomeUnknown, changed <-chan struct{}) bool {
	a.unknown = unknown
	if a.answered() {
		// The caller has a part of the first answer.
		return false
	}
	if a.mode == upstream.ModeRead {
		// The server refuses writes in read mode, so the first try changed
		// nothing and a second run is harmless.
		a.entry.router.Unavailable(a.chosen.Upstream.Name)
		a.exclude()
		return a.spend(unknown.Reason)
	}
	if a.requestID != "" {
		// The ledger row of the request id makes a second run return the
		// first one's answer, or makes the first one unable to commit.
		return a.afterChange(ctx, unknown.Reason, changed)
	}
	return false
}

// reroute sends a batch that the server refused as read only to the primary in
// write mode. The server's refusal proves that nothing was written. It happens
// at most once, because the mode is then write.
func (a *attempt) reroute() bool {
	if a.mode != upstream.ModeRead || declaredReadOnly(a.request.Texts) {
		return false
	}
	a.mode = upstream.ModeWrite
	a.excluded = nil
	a.entry.writes.learn(a.request.Texts)
	metrics.Retried(a.entry.metrics, a.class.Name, fault.ReasonReadOnly)
	return a.remaining() > 0
}

func (a *attempt) exclude() {
	a.excluded = append(a.excluded, a.chosen.Upstream.Name)
}

// awaitUpstream handles a choice that found no upstream. Nothing was sent, so
// waiting costs no budget.
func (a *attempt) awaitUpstream(ctx context.Context, refused *fault.NotRun, changed <-chan struct{}) bool {
	if refused.Reason != fault.ReasonNoUpstream {
		return false
	}
	if remedies[reasonOf(a.refusal)] == elsewhereOnly {
		// Every eligible upstream is too busy. Asking them again would only
		// add load.
		return false
	}
	if len(a.excluded) == 0 {
		return a.pause(ctx, a.remaining(), changed) && a.remaining() > 0
	}
	a.excluded = nil
	return a.afterChange(ctx, reasonOf(a.refusal), changed)
}

// afterChange waits for the registry to change or for the backoff. A retry
// after a change costs no budget: a request sees few changes within its wait.
func (a *attempt) afterChange(ctx context.Context, reason fault.Reason, changed <-chan struct{}) bool {
	wait := min(a.backoff(), a.remaining())
	if a.pause(ctx, wait, changed) {
		metrics.Retried(a.entry.metrics, a.class.Name, reason)
		return a.remaining() > 0
	}
	if ctx.Err() != nil {
		return false
	}
	return a.spend(reason)
}

// backoff returns a random time up to a limit that doubles with every try.
func (a *attempt) backoff() time.Duration {
	limit := backoffBase << min(a.tries, 10)
	return rand.N(min(limit, backoffCap)) + 1
}

// pause returns true if the registry changed before the wait had passed.
func (a *attempt) pause(ctx context.Context, wait time.Duration, changed <-chan struct{}) bool {
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

// spend takes one retry from the budget.
func (a *attempt) spend(reason fault.Reason) bool {
	if a.remaining() == 0 {
		return false
	}
	if !a.entry.budget.take(time.Now()) {
		metrics.Refused(a.entry.metrics, a.class.Name, fault.ReasonRetryBudget)
		return false
	}
	metrics.Retried(a.entry.metrics, a.class.Name, reason)
	return true
}

func isNotRun(err error) bool {
	var notRun *fault.NotRun
	return errors.As(err, &notRun)
}

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

// final counts an error that goes to the caller, and randomizes when the
// caller should come back, so that callers do not all return at once.
func (e *Entry) final(err error, class string, wait time.Duration) error {
	metrics.Refused(e.metrics, class, reasonOf(err))
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
