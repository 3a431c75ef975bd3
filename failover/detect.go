package failover

import (
	"context"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// Reasons for a change of primary; they label counters.
const (
	reasonUnreachable = "primary_unreachable"
	reasonNoContact   = "replicas_without_contact"
	reasonRole        = "primary_lost_role"
	reasonLeaving     = "primary_leaving"
	reasonElection    = "first_election"
	reasonFenced      = "fenced_higher"
)

// decideLoss judges whether the primary may be lost, from reports alone.
func (s *Supervisor) decideLoss(g *pb.Group, w groupFacts, now time.Time) func(context.Context) error {
	reason := s.suspicion(g, w, now)
	if reason == "" {
		return nil
	}
	return func(ctx context.Context) error { return s.replaceLost(ctx, g, reason) }
}

func (s *Supervisor) suspicion(g *pb.Group, w groupFacts, now time.Time) string {
	report, fresh := s.freshReport(g.GetPrimary(), now)
	if fresh && !report.Reachable && report.Unreachable+now.Sub(report.At) >= lossTime {
		return reasonUnreachable
	}
	if fresh && report.Reachable && report.At.Sub(w.stepAt) >= reportLag && (!report.Primary || uint64(report.Term) != g.GetTerm()) {
		return reasonRole
	}
	if s.contactLost(g, w, now) {
		return reasonNoContact
	}
	return ""
}

func (s *Supervisor) freshReport(name string, now time.Time) (Report, bool) {
	report, ok := s.journal.Report(name)
	return report, ok && now.Sub(report.At) <= reportAge
}

// contactLost is true if a majority of the replicas follows the present term
// and hears nothing from the primary. Replicas get lossTime after a change to
// make their first contact.
func (s *Supervisor) contactLost(g *pb.Group, w groupFacts, now time.Time) bool {
	if now.Sub(w.stepAt) < lossTime {
		return false
	}
	replicas, without := 0, 0
	for _, name := range g.GetMembers() {
		if name == g.GetPrimary() {
			continue
		}
		replicas++
		report, fresh := s.freshReport(name, now)
		follows := fresh && report.Reachable && !report.Primary && uint64(report.Term) == g.GetTerm()
		if follows && report.At.Sub(w.stepAt) >= lossTime && report.PrimaryContactAge >= lossTime {
			without++
		}
	}
	return replicas > 0 && without >= replicas/2+1
}

// replaceLost asks all members itself before it starts a change. It starts
// none without a majority, so that the primary keeps its term when the group
// could not complete the change.
func (s *Supervisor) replaceLost(ctx context.Context, g *pb.Group, reason string) error {
	frame := s.journal.Frame()
	replies, err := s.ask(ctx, membersOf(frame, g), askStatus, never)
	if err != nil {
		return err
	}
	if reason != reasonNoContact && leads(replies, g) {
		s.metrics.Counter("false_alarms_total").Inc(1)
		s.dropUnreachingOwner(g.GetPrimary())
		return &FalseAlarm{Database: g.GetDatabase(), Primary: g.GetPrimary()}
	}
	if n := len(succeeded(replies)); n < majority(g) {
		return &NoMajority{Database: g.GetDatabase(), Answered: n, Needed: majority(g)}
	}
	return s.begin(ctx, g, nextTerm(g, replies), reason)
}

// dropUnreachingOwner helps when the path from the owner to the primary is cut and
// others are not.
func (s *Supervisor) dropUnreachingOwner(primary string) {
	report, fresh := s.freshReport(primary, s.now())
	if fresh && !report.Reachable && report.Unreachable >= ownerDropTime {
		s.journal.DropOwner(primary)
	}
}

// leads reports whether the primary has answered as the primary of its term.
func leads(replies []reply, g *pb.Group) bool {
	for _, r := range replies {
		if r.name == g.GetPrimary() && r.err == nil {
			return r.status.Role == upstream.RolePrimary && uint64(r.status.Term) == g.GetTerm()
		}
	}
	return false
}

func nextTerm(g *pb.Group, replies []reply) upstream.Term {
	return max(upstream.Term(g.GetTerm()), highestFence(replies)) + 1
}
