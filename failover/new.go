package failover

import (
	"context"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// decideFirstPrimary returns the search for the first primary of a new group, nil
// while its members may still be announcing themselves.
func (s *Supervisor) decideNew(g *pb.Group, w groupFacts, now time.Time) func(context.Context) error {
	waited := now.Sub(w.seenAt)
	if waited < adoptTime {
		return nil
	}
	return func(ctx context.Context) error { return s.findFirst(ctx, g, waited >= electTime) }
}

// findFirstPrimary adopts an upstream that is a primary already. If there is
// none, elect is set and a majority answers, it elects one by a change of
// primary.
func (s *Supervisor) findFirst(ctx context.Context, g *pb.Group, elect bool) error {
	replies, err := s.ask(ctx, membersOf(s.journal.Frame(), g), askStatus, never)
	if err != nil {
		return err
	}
	good := succeeded(replies)
	if primary, ok := leader(good); ok {
		return s.adopt(ctx, g, primary)
	}
	if !elect {
		return &NoPrimary{Database: g.GetDatabase()}
	}
	if len(good) < majority(g) {
		return &NoMajority{Database: g.GetDatabase(), Answered: len(good), Needed: majority(g)}
	}
	return s.begin(ctx, g, nextTerm(g, replies), reasonElection)
}

// currentPrimary returns the reply of the primary of the highest term, unless an
// upstream is fenced at a higher term.
func leader(replies []reply) (reply, bool) {
	var best reply
	for _, r := range replies {
		if r.status.Role == upstream.RolePrimary && r.status.Term > best.status.Term {
			best = r
		}
	}
	return best, best.status.Term > 0 && highestFence(replies) <= best.status.Term
}

func (s *Supervisor) adopt(ctx context.Context, g *pb.Group, primary reply) error {
	s.log.Info("primary adopted", "database", g.GetDatabase(), "primary", primary.name, "term", primary.status.Term)
	return s.step(ctx, g, "adopt", &pb.Command{Command: &pb.Command_AdoptPrimary{AdoptPrimary: &pb.AdoptPrimary{
		Database: g.GetDatabase(),
		Term:     uint64(primary.status.Term),
		Upstream: primary.name,
	}}})
}
