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
	// firstSeenAt is when this leader first saw the group.
	firstSeenAt time.Time
	// step and term are the logged step and term of the group. This leader has
	// seen the group at them since stepSince.
	step      pb.PromotionStep
	term      uint64
	stepSince time.Time
	// members are the logged members of the group. This leader has seen the
	// group with them since membersSince.
	members      []string
	membersSince time.Time
	// watermark is a position of the primary that was read after one lease
	// with these members. watermarkTerm is the group's term at that time, zero
	// if no position was read.
	watermark     upstream.Position
	watermarkTerm uint64
	// majorityCaughtUp is set once a majority of these members holds
	// everything up to the watermark.
	majorityCaughtUp bool
	// promoteFailures counts failed promotions at term.
	promoteFailures int
	// followOrderedAt is when upstreams were last ordered to follow the primary.
	followOrderedAt time.Time
	// replacementTriedAt is when the replacement of a leaving primary was last
	// tried.
	replacementTriedAt time.Time
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
		w.firstSeenAt = now
		s.groups[g.GetDatabase()] = w
	}
	if !known || w.step != g.GetStep() || w.term != g.GetTerm() {
		w.step, w.term, w.stepSince = g.GetStep(), g.GetTerm(), now
		w.promoteFailures = 0
	}
	if !known || !slices.Equal(w.members, g.GetMembers()) {
		w.members, w.membersSince = g.GetMembers(), now
		w.watermarkTerm, w.majorityCaughtUp = 0, false
	}
	return w.groupFacts, w.busy
}

// updateFacts changes the facts of a group.
func (s *Supervisor) updateFacts(w *groupWatch, change func(*groupFacts)) {
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
