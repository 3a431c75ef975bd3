package failover

import (
	"context"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// decideFirstPrimary returns the search for the first primary of a new group, nil
// while its members may still be announcing themselves.
func (s *Supervisor) decideFirstPrimary(g *pb.Group, facts groupFacts, now time.Time) func(context.Context) error {
	waited := now.Sub(facts.firstSeenAt)
	if waited < adoptDelay {
		return nil
	}
	return func(ctx context.Context) error { return s.findFirstPrimary(ctx, g, waited >= electDelay) }
}

// findFirstPrimary adopts an upstream that is a primary already. If there is
// none, elect is set and a majority answers, it elects one by a change of
// primary.
func (s *Supervisor) findFirstPrimary(ctx context.Context, g *pb.Group, elect bool) error {
	replies, err := s.ask(ctx, membersOf(s.journal.Frame(), g), askStatus, waitForAll)
	if err != nil {
		return err
	}
	answered := succeeded(replies)
	if primary, ok := currentPrimary(answered); ok {
		return s.adopt(ctx, g, primary)
	}
	if !elect {
		return &NoPrimary{Database: g.GetDatabase()}
	}
	if len(answered) < majority(g) {
		return &NoMajority{Database: g.GetDatabase(), Answered: len(answered), Needed: majority(g)}
	}
	return s.startChange(ctx, g, nextTerm(g, replies), reasonElection)
}

// currentPrimary returns the reply of the primary of the highest term, unless an
// upstream is fenced at a higher term.
func currentPrimary(replies []reply) (reply, bool) {
	var best reply
	for _, r := range replies {
		if r.status.Role == upstream.RolePrimary && r.status.Term > best.status.Term {
			best = r
		}
	}
	return best, best.status.Term > 0 && highestBoundTerm(replies) <= best.status.Term
}

func (s *Supervisor) adopt(ctx context.Context, g *pb.Group, primary reply) error {
	s.log.Info("leader proposes to adopt the existing primary of a new group", "database", g.GetDatabase(), "primary", primary.name, "term", primary.status.Term)
	return s.logStep(ctx, g, "adopt", &pb.Command{Command: &pb.Command_AdoptPrimary{AdoptPrimary: &pb.AdoptPrimary{
		Database: g.GetDatabase(),
		Term:     uint64(primary.status.Term),
		Upstream: primary.name,
	}}})
}
