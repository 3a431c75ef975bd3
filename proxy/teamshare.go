package proxy

import "time"

// openingWork is the time that an upstream spends on a new connection. A
// statement for which one must be opened is ordered like longer work, so that
// connections change hands less often while many statements wait.
const openingWork = 12 * time.Millisecond

func (p *pool) mostUrgentLocked(eligible []*waiter, at time.Time) *waiter {
	urgencies := make([]urgency, len(eligible))
	for i, w := range eligible {
		urgencies[i] = w.urgency
		if !p.hasIdleLocked(w) {
			urgencies[i].expected += openingWork
		}
	}
	return eligible[mostUrgent(urgencies, at)]
}
