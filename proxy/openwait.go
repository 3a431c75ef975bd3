package proxy

import "time"

// This file counts the time for which a caller has waited for its session as time of
// its first operation. The load that it answers: all hosts start at once after a loss
// of power. Callers connect again at different times and all wait for the first view,
// so that their statements arrive together. Counted from there, they would all seem
// equally urgent, and those that can't be in time any more would be served before
// those that can.

// promptStatement is how soon after the last answer a statement must arrive to belong
// to what the caller has opened the session for: a round trip between regions and a
// busy caller. Others of the long sessions come seconds apart.
const promptStatement = 100 * time.Millisecond

// openWait is the wait for a session, for the operations that may have begun with it.
// The zero value is that of a session without a wait.
type openWait struct {
	since time.Time
	// answeredAt is when the session was opened or last answered a statement that
	// prepares it for an operation.
	answeredAt time.Time
}

// operationStart returns when the operation of a statement that arrives at a time
// began. Statements that prepare the session don't end the wait.
func (w *openWait) operationStart(at time.Time, kind Kind) time.Time {
	start := w.since
	if start.IsZero() || at.Sub(w.answeredAt) > promptStatement {
		*w = openWait{}
		return at
	}
	switch kind {
	case KindSet, KindPrepare, KindDeallocate:
		w.answeredAt = at
	default:
		*w = openWait{}
	}
	return start
}
