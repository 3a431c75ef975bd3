package failover

import (
	"context"
	"time"

	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// decideRepair returns an order to follow the present primary for the upstreams
// that do not, nil if there are none. Such upstreams are an old primary that has
// returned, a new replica, or a replica to which an earlier order was lost.
func (s *Supervisor) decideRepair(frame *controlstate.Frame, g *pb.Group, facts groupFacts, now time.Time) func(context.Context) error {
	primary, registered := frame.Upstreams[g.GetPrimary()]
	if !registered {
		return nil
	}
	var targets []*pb.Upstream
	for _, u := range followers(frame, g, g.GetPrimary()) {
		report, fresh := s.freshReport(u.GetName(), now)
		upToDate := fresh && report.At.Sub(facts.stepSince) >= reportLag && report.At.Sub(facts.followOrderedAt) >= reportLag
		if upToDate && s.needsFollowOrder(g, report, now) {
			targets = append(targets, u)
		}
	}
	if len(targets) == 0 {
		return nil
	}
	return func(ctx context.Context) error { return s.repair(ctx, g, facts, primary, targets) }
}

// needsFollowOrder reports whether an upstream must be ordered to follow the
// primary. A replica without contact to its primary needs the order only while
// the primary is reachable; otherwise the primary is the cause.
func (s *Supervisor) needsFollowOrder(g *pb.Group, report Report, now time.Time) bool {
	if !report.Reachable {
		return false
	}
	if report.Primary || uint64(report.Term) != g.GetTerm() {
		return true
	}
	primary, fresh := s.freshReport(g.GetPrimary(), now)
	return report.PrimaryContactAge >= lossTimeout && fresh && primary.Reachable
}

func (s *Supervisor) repair(ctx context.Context, g *pb.Group, facts groupFacts, primary *pb.Upstream, targets []*pb.Upstream) error {
	order := askFollow(upstream.Term(g.GetTerm()), primary.GetAddress())
	replies, err := s.ask(ctx, targets, order, waitForAll)
	if err != nil {
		return err
	}
	s.updateFacts(facts.watch, func(f *groupFacts) { f.followOrderedAt = s.now() })
	s.metrics.Counter("follow_orders_total").Inc(int64(len(replies)))
	if higher := highestBoundTerm(replies); uint64(higher) > g.GetTerm() {
		return s.changeAboveFence(ctx, g, higher)
	}
	for _, r := range replies {
		s.log.Info("leader sent an upstream the order to follow the primary", "upstream", r.name, "term", g.GetTerm(), "primary", primary.GetName(), "err", r.err)
	}
	return nil
}

// changeAboveFence changes the primary at a term above the one at which an
// upstream is fenced, because that upstream cannot follow at a lower term.
func (s *Supervisor) changeAboveFence(ctx context.Context, g *pb.Group, higher upstream.Term) error {
	replies, err := s.ask(ctx, membersOf(s.journal.Frame(), g), askStatus, waitForAll)
	if err != nil {
		return err
	}
	if n := len(succeeded(replies)); n < majority(g) {
		return &NoMajority{Database: g.GetDatabase(), Answered: n, Needed: majority(g)}
	}
	return s.startChange(ctx, g, max(higher+1, nextTerm(g, replies)), reasonFenced)
}
