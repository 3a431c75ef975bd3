package sitewatch

import (
	"time"

	"lovageslip/bootclock"
)

const (
	// maxViewAge is how long a watched control host may fail to confirm the view,
	// although it answers. The host then lags behind the others or is cut off from
	// them. It is longer than the report interval and an election together.
	maxViewAge = 3500 * time.Millisecond
	// unconfirmedReportInterval is how often a report is repeated until its answer
	// confirms the view.
	unconfirmedReportInterval = 500 * time.Millisecond
)

// confirmation says that a control host's state at a time had no change after the one
// of a log index.
type confirmation struct {
	index uint64
	at    time.Time
}

// confirm records a confirmation, once the view has reached its index.
func (w *Watch) confirm(c confirmation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = c
	w.applyPendingLocked()
}

func (w *Watch) applyPendingLocked() {
	if w.pending.index <= w.parts.Index && w.pending.at.After(w.currentAt) {
		w.currentAt = w.pending.at
	}
}

// NotConfirmed reports a control host that answers but cannot tell that the view is
// complete.
type NotConfirmed struct {
	Address string
	For     time.Duration
}

func (e *NotConfirmed) Error() string {
	return "control host " + e.Address + " has not confirmed the view for " + e.For.String()
}

// viewAge returns for how long the view had not been confirmed when the last report
// that was answered was sent. Unanswered reports don't count: leaving a control host
// that is only busy would add to the load of the others.
func (w *Watch) viewAge() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answeredReportAt.Sub(w.currentAt)
}

func (w *Watch) recordAnswer(reportedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answeredReportAt = reportedAt
}

// age returns the time since t on the boot clock, or -1 for the zero time.
func age(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return bootclock.Since(t)
}
