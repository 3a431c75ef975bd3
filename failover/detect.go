package failover

import (
	"context"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// Reasons for a change of primary. They are values of a metric label.
const (
	reasonUnreachable = "primary_unreachable"
	reasonNoContact   = "replicas_without_contact"
	reasonRole        = "primary_lost_role"
	reasonLeaving     = "primary_leaving"
	reasonElection    = "first_election"
	reasonFenced      = "fenced_higher"
)

// decideLoss returns the replacement of the primary if the owners' reports show
// that it may be lost, and nil otherwise. The replacement checks this with the
// members before it changes anything.
func (s *Supervisor) decideLoss(g *pb.Group, facts groupFacts, now time.Time) func(context.Context) error {
	reason := s.lossReason(g, facts, now)
	if reason == "" {
		return nil
	}
	return func(ctx context.Context) error { return s.replaceLost(ctx, g, reason) }
}

func (s *Supervisor) lossReason(g *pb.Group, facts groupFacts, now time.Time) string {
	report, fresh := s.freshReport(g.GetPrimary(), now)
	if fresh && !report.Reachable && report.Unreachable+now.Sub(report.At) >= lossTimeout {
		return reasonUnreachable
	}
	if fresh && report.Reachable && report.At.Sub(facts.stepSince) >= reportLag && (!report.Primary || uint64(report.Term) != g.GetTerm()) {
		return reasonRole
	}
	if s.contactLost(g, facts, now) {
		return reasonNoContact
	}
	return ""
}

func (s *Supervisor) freshReport(name string, now time.Time) (Report, bool) {
	report, ok := s.journal.Report(name)
	return report, ok && now.Sub(report.At) <= maxReportAge
}

// contactLost reports whether a majority of the replicas follows the present term
// and has had no contact with the primary for lossTimeout. After a change,
// replicas have lossTimeout to make their first contact.
func (s *Supervisor) contactLost(g *pb.Group, facts groupFacts, now time.Time) bool {
	if now.Sub(facts.stepSince) < lossTimeout {
		return false
	}
	replicas, withoutContact := 0, 0
	for _, name := range g.GetMembers() {
		if name == g.GetPrimary() {
			continue
		}
		replicas++
		report, fresh := s.freshReport(name, now)
		follows := fresh && report.Reachable && !report.Primary && uint64(report.Term) == g.GetTerm()
		if follows && report.At.Sub(facts.stepSince) >= lossTimeout && report.PrimaryContactAge >= lossTimeout {
			withoutContact++
		}
	}
	return replicas > 0 && withoutContact >= replicas/2+1
}

// replaceLost asks all members for their status and starts a change of primary.
// It starts none if the primary itself answers, unless the replicas have lost
// contact with it, and none without answers of a majority: the group could not
// complete the change, and the primary would lose its term for nothing.
func (s *Supervisor) replaceLost(ctx context.Context, g *pb.Group, reason string) error {
	frame := s.journal.Frame()
	replies, err := s.ask(ctx, membersOf(frame, g), askStatus, waitForAll)
	if err != nil {
		return err
	}
	if reason != reasonNoContact && primaryAnswered(replies, g) {
		s.metrics.Counter("false_alarms_total").Inc(1)
		s.dropCutOffOwner(g.GetPrimary())
		return &PrimaryReachable{Database: g.GetDatabase(), Primary: g.GetPrimary()}
	}
	if n := len(succeeded(replies)); n < majority(g) {
		return &NoMajority{Database: g.GetDatabase(), Answered: n, Needed: majority(g)}
	}
	return s.startChange(ctx, g, nextTerm(g, replies), reason)
}

// dropCutOffOwner asks for another owner of a primary that the leader reaches but
// the owner does not: the network path between those two has failed.
func (s *Supervisor) dropCutOffOwner(primary string) {
	report, fresh := s.freshReport(primary, s.now())
	if fresh && !report.Reachable && report.Unreachable >= ownerDropTime {
		s.journal.DropOwner(primary)
	}
}

// primaryAnswered reports whether the group's primary has answered as the primary
// of the group's term.
func primaryAnswered(replies []reply, g *pb.Group) bool {
	for _, r := range replies {
		if r.name == g.GetPrimary() && r.err == nil {
			return r.status.Role == upstream.RolePrimary && uint64(r.status.Term) == g.GetTerm()
		}
	}
	return false
}

func nextTerm(g *pb.Group, replies []reply) upstream.Term {
	return max(upstream.Term(g.GetTerm()), highestBoundTerm(replies)) + 1
}
