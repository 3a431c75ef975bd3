package failover

import (
	"context"
	"time"

	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// decideRepair finds upstreams that do not follow the present primary: an old
// primary that has returned, a new replica, or one whose order was lost.
func (s *Supervisor) decideRepair(frame *controlstate.Frame, g *pb.Group, w groupFacts, now time.Time) func(context.Context) error {
	primary, registered := frame.Upstreams[g.GetPrimary()]
	if !registered {
		return nil
	}
	var astray []*pb.Upstream
	for _, u := range followers(frame, g, g.GetPrimary()) {
		report, fresh := s.freshReport(u.GetName(), now)
		current := fresh && report.At.Sub(w.stepAt) >= reportLag && report.At.Sub(w.orderedAt) >= reportLag
		if current && s.isAstray(g, report, now) {
			astray = append(astray, u)
		}
	}
	if len(astray) == 0 {
		return nil
	}
	return func(ctx context.Context) error { return s.repair(ctx, g, w, primary, astray) }
}

// isAstray counts a replica without contact only while the primary is well,
// because otherwise the primary is at fault.
func (s *Supervisor) isAstray(g *pb.Group, report Report, now time.Time) bool {
	if !report.Reachable {
		return false
	}
	if report.Primary || uint64(report.Term) != g.GetTerm() {
		return true
	}
	primary, fresh := s.freshReport(g.GetPrimary(), now)
	return report.PrimaryContactAge >= lossTime && fresh && primary.Reachable
}

func (s *Supervisor) repair(ctx context.Context, g *pb.Group, w groupFacts, primary *pb.Upstream, astray []*pb.Upstream) error {
	order := askFollow(upstream.Term(g.GetTerm()), primary.GetAddress())
	replies, err := s.ask(ctx, astray, order, never)
	if err != nil {
		return err
	}
	s.remember(w.watch, func(f *groupFacts) { f.orderedAt = s.now() })
	s.metrics.Counter("follow_orders_total").Inc(int64(len(replies)))
	if higher := highestFence(replies); uint64(higher) > g.GetTerm() {
		return s.outbid(ctx, g, higher)
	}
	for _, r := range replies {
		s.log.Info("ordered to follow", "upstream", r.name, "term", g.GetTerm(), "primary", primary.GetName(), "err", r.err)
	}
	return nil
}

// outbid changes the primary at a term above one that an upstream has promised
// to, because that upstream can join at no lower term.
func (s *Supervisor) outbid(ctx context.Context, g *pb.Group, higher upstream.Term) error {
	replies, err := s.ask(ctx, membersOf(s.journal.Frame(), g), askStatus, never)
	if err != nil {
		return err
	}
	if n := len(succeeded(replies)); n < majority(g) {
		return &NoMajority{Database: g.GetDatabase(), Answered: n, Needed: majority(g)}
	}
	return s.begin(ctx, g, max(higher+1, nextTerm(g, replies)), reasonFenced)
}
