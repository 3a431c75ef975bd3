package proxy

import "time"

// openingWork is the time that an upstream spends on a new connection. A
// statement for which one must be opened is ordered like longer work, so that
// connections change hands less often while many statements wait.
const openingWork = 12 * time.Millisecond

// nextWaiterLocked returns the waiter to serve next: the most urgent one, unless
// its team has its part of the statements in flight and a team with less waits
// with equal standing. One team that sends many times its usual would otherwise
// take every slot. Without waiters of other teams a team may have any number.
func (p *pool) nextWaiterLocked(eligible []*waiter, room int, at time.Time) *waiter {
	first := p.mostUrgentLocked(eligible, at)
	if first.wanted.any || len(eligible) == 1 {
		return first
	}
	parts := p.partsLocked(room, at)
	if !parts.exceededBy(first.team) {
		return first
	}
	var rivals []*waiter
	for _, w := range eligible {
		if w.team != first.team && w.urgency.sameStanding(first.urgency, at) && !parts.exceededBy(w.team) {
			rivals = append(rivals, w)
		}
	}
	if len(rivals) == 0 {
		return first
	}
	return p.mostUrgentLocked(rivals, at)
}

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

// sameStanding reports whether only the due time orders two operations.
func (u urgency) sameStanding(other urgency, at time.Time) bool {
	return u.canMeetTarget(at) == other.canMeetTarget(at) && u.priority == other.priority
}

// teamParts divides the statements that may be in flight among the teams by what
// each has sent lately. A team whose load has just grown has the part of its usual
// load.
type teamParts struct {
	at    time.Time
	room  float64
	total float64
}

func (p *pool) partsLocked(room int, at time.Time) teamParts {
	parts := teamParts{at: at, room: float64(room)}
	for _, t := range p.teams {
		parts.total += t.usage.value(at)
	}
	return parts
}

// exceededBy reports whether a team has its part. One statement is never too many.
func (s teamParts) exceededBy(t *poolTeam) bool {
	sent := t.inFlight + t.dialing
	return sent >= 1 && float64(sent)*s.total >= s.room*t.usage.value(s.at)
}
