package sitewatch

import (
	"time"

	"lovageslip/bootclock"
	"lovageslip/sitecontrol"
)

const (
	// maxViewAge is how long a watched control host may fail to confirm the view,
	// although it answers. The host then lags behind the others or is cut off from
	// them. It is longer than the report interval and an election together.
	maxViewAge = 3500 * time.Millisecond
	// lagShare is the share of Options.MaxViewAge after which such a host is left.
	// The rest covers a silent host and the first update of the next one.
	lagShare = 0.7
	// confirmShare is the share of Options.MaxViewAge after which reports become
	// more frequent. The rest covers the loss of the leader and an election, or a
	// silent control host and the first update of the next one.
	confirmShare = 0.4
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

// ViewConfirmedAt returns the latest time, on the boot clock, at which the view that
// the proxy has was complete; the zero time if none is known.
func (w *Watch) ViewConfirmedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.currentAt
}

// confirm records a confirmation, once the proxy's view has reached its index.
func (w *Watch) confirm(c confirmation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = c
	w.applyPendingLocked()
}

// viewShown records that the proxy has the view of an index. A confirmation must not
// be visible earlier, or it would be taken for one of the view before.
func (w *Watch) viewShown(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shownIndex = index
	w.applyPendingLocked()
}

func (w *Watch) applyPendingLocked() {
	if w.pending.index <= w.shownIndex && w.pending.at.After(w.currentAt) {
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

// lagLimit returns for how long a watched control host may fail to confirm the view.
func (w *Watch) lagLimit() time.Duration {
	if w.options.MaxViewAge <= 0 {
		return maxViewAge
	}
	return min(maxViewAge, time.Duration(lagShare*float64(w.options.MaxViewAge)))
}

// confirmationDue reports whether reports should be frequent, because the view has not
// been confirmed for a while.
func (w *Watch) confirmationDue() bool {
	if w.viewAge() > sitecontrol.ReportInterval {
		return true
	}
	limit := time.Duration(confirmShare * float64(w.options.MaxViewAge))
	return limit > 0 && bootclock.Since(w.ViewConfirmedAt()) > limit
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
