package failover

import (
	"slices"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// groupWatch is the state that a leader keeps in memory for a group. It is lost
// when the leader's term ends.
type groupWatch struct {
	database string
	// busy is set while an action on the group is running.
	busy bool
	// backoff is the delay after the last failed action, zero after a success.
	backoff time.Duration
	groupFacts
}

// groupFacts is what this leader has observed and done in a group. Actions
// decide on a copy.
type groupFacts struct {
	watch *groupWatch
	// failed is the kind of the last action that failed. Actions of this kind
	// are not started before retryAt.
	failed  kind
	retryAt time.Time
	// seenAt is when this leader first saw the group.
	seenAt time.Time
	// stepAt is since when this leader has seen the group at step and term.
	step   pb.PromotionStep
	term   uint64
	stepAt time.Time
	// membersAt is since when this leader has seen the group with members.
	members   []string
	membersAt time.Time
	// settlePosition, the watermark, is a position of the primary that was
	// read after one lease with these members. settleTerm is the group's term
	// at that time, zero if no position was read.
	settlePosition upstream.Position
	settleTerm     uint64
	// settled is set once a majority of these members holds everything up to
	// the watermark.
	settled bool
	// promoteFailures counts failed promotions at term.
	promoteFailures int
	// orderedAt is when upstreams were last ordered to follow the primary.
	orderedAt time.Time
	// replacedAt is when the replacement of a leaving primary was last tried.
	replacedAt time.Time
}

// mayTry reports whether an action of a kind may start: it is not delayed by the
// backoff after a failure.
func (f groupFacts) mayTry(k kind, now time.Time) bool {
	return f.failed != k || !now.Before(f.retryAt)
}

// observe updates the facts of a group from its logged state. It returns a copy
// of them and whether an action on the group is running.
func (s *Supervisor) observe(g *pb.Group, now time.Time) (groupFacts, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, known := s.groups[g.GetDatabase()]
	if !known {
		w = &groupWatch{database: g.GetDatabase()}
		w.watch = w
		w.seenAt = now
		s.groups[g.GetDatabase()] = w
	}
	if !known || w.step != g.GetStep() || w.term != g.GetTerm() {
		w.step, w.term, w.stepAt = g.GetStep(), g.GetTerm(), now
		w.promoteFailures = 0
	}
	if !known || !slices.Equal(w.members, g.GetMembers()) {
		w.members, w.membersAt = g.GetMembers(), now
		w.settleTerm, w.settled = 0, false
	}
	return w.groupFacts, w.busy
}

// updateFacts changes the facts of a group.
func (s *Supervisor) remember(w *groupWatch, change func(*groupFacts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&w.groupFacts)
}

// factsOf returns a copy of the present facts of a group.
func (s *Supervisor) factsOf(database string) groupFacts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groups[database].groupFacts
}
