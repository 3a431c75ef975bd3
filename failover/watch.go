package failover

import (
	"slices"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// groupWatch is what a leader remembers of a group.
type groupWatch struct {
	database string
	busy     bool
	backoff  time.Duration
	groupFacts
}

// groupFacts are times and findings of this leader.
type groupFacts struct {
	watch *groupWatch
	// failed is the kind of the last action that failed; it is due again at
	// retryAt.
	failed  kind
	retryAt time.Time
	// seenAt is when this leader first saw the group without a primary ever.
	seenAt time.Time
	// step, term and stepAt say since when this leader has seen the group at
	// its step.
	step   pb.PromotionStep
	term   uint64
	stepAt time.Time
	// members and membersAt say since when this leader has seen the members.
	members   []string
	membersAt time.Time
	// settlePosition is a position of the primary that was read after one lease with
	// these members; settleTerm is zero if none was read.
	settlePosition upstream.Position
	settleTerm     uint64
	// settled is true once a majority of these members has settlePosition.
	settled bool
	// promoteFailures counts failed promotions at term.
	promoteFailures int
	// orderedAt is when an upstream was last ordered to follow.
	orderedAt time.Time
	// replacedAt is when a leaving primary was last tried to be replaced.
	replacedAt time.Time
}

// mayTry reports whether an action of a kind is not delayed by a failure.
func (f groupFacts) mayTry(k kind, now time.Time) bool {
	return f.failed != k || !now.Before(f.retryAt)
}

// observe updates what is known of a group and returns it, and whether an
// action is running.
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

// remember changes what is known of a group.
func (s *Supervisor) remember(w *groupWatch, change func(*groupFacts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&w.groupFacts)
}

// factsOf returns what is known of a group now.
func (s *Supervisor) factsOf(database string) groupFacts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groups[database].groupFacts
}
