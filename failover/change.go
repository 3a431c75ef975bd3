package failover

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// majority returns how many members of the group are a majority.
func majority(g *pb.Group) int { return len(g.GetMembers())/2 + 1 }

// membersOf returns the members of a group that are registered upstreams.
func membersOf(frame *controlstate.Frame, g *pb.Group) []*pb.Upstream {
	var members []*pb.Upstream
	for _, name := range g.GetMembers() {
		if u, ok := frame.Upstreams[name]; ok {
			members = append(members, u)
		}
	}
	return members
}

// continueChange carries out a change of primary from its logged step to its
// end.
func (s *Supervisor) continueChange(ctx context.Context, database string) error {
	for {
		frame := s.journal.Frame()
		g := frame.Groups[database]
		var err error
		switch g.GetStep() {
		case pb.PromotionStep_PROMOTION_STEP_STARTED:
			err = s.choosePrimary(ctx, frame, g)
		case pb.PromotionStep_PROMOTION_STEP_CHOSEN:
			err = s.installPrimary(ctx, frame, g)
		default:
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// startChange logs the start of a change of primary at a term and carries it
// out.
func (s *Supervisor) startChange(ctx context.Context, g *pb.Group, term upstream.Term, reason string) error {
	if err := s.logStart(ctx, g, term, reason); err != nil {
		return err
	}
	return s.continueChange(ctx, g.GetDatabase())
}

func (s *Supervisor) logStart(ctx context.Context, g *pb.Group, term upstream.Term, reason string) error {
	s.metrics.Tagged(map[string]string{"reason": reason}).Counter("changes_started_total").Inc(1)
	s.log.Info("change of primary started", "database", g.GetDatabase(), "term", term, "old_primary", g.GetPrimary(), "reason", reason)
	return s.logStep(ctx, g, "started", &pb.Command{Command: &pb.Command_PromotionStarted{
		PromotionStarted: &pb.PromotionStarted{Database: g.GetDatabase(), Term: uint64(term)},
	}})
}

func (s *Supervisor) logStep(ctx context.Context, g *pb.Group, name string, cmd *pb.Command) error {
	applied, err := s.journal.Propose(ctx, cmd)
	if err != nil {
		return err
	}
	if !applied {
		return &StepRefused{Database: g.GetDatabase(), Step: name}
	}
	return nil
}

// choosePrimary fences a majority of the members at the term of the change, and
// logs the most advanced of the fenced members as the chosen one. It starts again
// at a higher term if a member is already fenced above that one.
func (s *Supervisor) choosePrimary(ctx context.Context, frame *controlstate.Frame, g *pb.Group) error {
	term := upstream.Term(g.GetTerm())
	needed := majority(g)
	replies, err := s.ask(ctx, membersOf(frame, g), askFence(term), stopCondition{minSucceeded: needed, uncounted: g.GetReplaced(), delay: extraFenceWait})
	if err != nil {
		return err
	}
	if higher := highestBoundTerm(replies); higher > term {
		return s.logStart(ctx, g, higher+1, "fenced_higher")
	}
	fenced := succeeded(replies)
	if len(fenced) < needed {
		return &NoMajority{Database: g.GetDatabase(), Answered: len(fenced), Needed: needed}
	}
	best := mostAdvanced(fenced, s.eligible(frame, g, fenced), frame)
	return s.logStep(ctx, g, "chosen", &pb.Command{Command: &pb.Command_PromotionChosen{
		PromotionChosen: &pb.PromotionChosen{Database: g.GetDatabase(), Term: g.GetTerm(), Upstream: best.name},
	}})
}

// eligible returns the fenced members that may be chosen. It leaves out the
// replaced primary and leaving members if the others are sure to hold every
// acknowledged write: enough of them are fenced to intersect every majority, and
// they miss nothing that was acknowledged under earlier members
// (majorityCaughtUp). A replaced primary that is cut off from its group may hold
// the most entries of all; choosing it again would change nothing.
func (s *Supervisor) eligible(frame *controlstate.Frame, g *pb.Group, fenced []reply) []reply {
	var notLeaving []reply
	for _, r := range fenced {
		if r.name != g.GetReplaced() && !frame.Upstreams[r.name].GetLeaving() {
			notLeaving = append(notLeaving, r)
		}
	}
	minIntersecting := len(g.GetMembers()) - majority(g) + 1
	if len(notLeaving) >= minIntersecting && s.factsOf(g.GetDatabase()).majorityCaughtUp {
		return notLeaving
	}
	return fenced
}

// mostAdvanced returns the most advanced of the eligible replies, or of the
// fenced ones if none is eligible. Among equals it prefers one that is not
// leaving, then the first name.
func mostAdvanced(fenced, eligible []reply, frame *controlstate.Frame) reply {
	candidates := eligible
	if len(candidates) == 0 {
		candidates = fenced
	}
	return slices.MaxFunc(candidates, func(a, b reply) int {
		return cmp.Or(
			compareLogs(a.status, b.status),
			stayingRank(frame, a.name)-stayingRank(frame, b.name),
			cmp.Compare(b.name, a.name),
		)
	})
}

func stayingRank(frame *controlstate.Frame, name string) int {
	if frame.Upstreams[name].GetLeaving() {
		return 0
	}
	return 1
}

// compareLogs orders upstreams by the term of their last entry, then by offset.
// The term that an upstream follows does not order logs: a primary that returns
// may follow a new term and still hold entries past the point where the new
// primary's log branched off.
func compareLogs(a, b upstream.Status) int {
	return cmp.Or(cmp.Compare(lastTerm(a), lastTerm(b)), cmp.Compare(a.Offset, b.Offset))
}

func lastTerm(status upstream.Status) upstream.Term {
	if len(status.History) == 0 {
		return status.Term
	}
	return status.History[len(status.History)-1].Term
}

// installPrimary promotes the chosen upstream, orders the others to follow it,
// and logs the end of the change.
func (s *Supervisor) installPrimary(ctx context.Context, frame *controlstate.Frame, g *pb.Group) error {
	chosen, registered := frame.Upstreams[g.GetChosen()]
	if !registered {
		return s.logStart(ctx, g, upstream.Term(g.GetTerm())+1, "chosen_removed")
	}
	if err := s.promote(ctx, g, chosen); err != nil {
		return s.afterFailedPromotion(ctx, g, err)
	}
	if _, err := s.orderFollow(ctx, g, chosen, followers(frame, g, chosen.GetName())); err != nil {
		return err
	}
	err := s.logStep(ctx, g, "finished", &pb.Command{Command: &pb.Command_PromotionFinished{
		PromotionFinished: &pb.PromotionFinished{Database: g.GetDatabase(), Term: g.GetTerm()},
	}})
	if err != nil {
		return err
	}
	s.metrics.Counter("changes_finished_total").Inc(1)
	s.log.Info("change of primary finished", "database", g.GetDatabase(), "term", g.GetTerm(), "primary", chosen.GetName())
	return nil
}

// promote orders the chosen upstream to become the primary of the group's term.
// It may be repeated after a lost answer: it is idempotent, because an upstream
// does nothing at a term of which it is the primary already.
func (s *Supervisor) promote(ctx context.Context, g *pb.Group, chosen *pb.Upstream) error {
	term := upstream.Term(g.GetTerm())
	replies, err := s.ask(ctx, []*pb.Upstream{chosen}, askPromote(term), waitForAll)
	if err != nil {
		return err
	}
	if r := replies[0]; r.err != nil && r.boundTerm > term {
		return &CallRefused{Upstream: r.name, Call: "become primary", Fenced: uint64(r.boundTerm)}
	}
	return replies[0].err
}

// afterFailedPromotion starts the change again at a higher term if the chosen
// upstream is fenced at a higher one, or if its promotion has failed
// maxPromoteAttempts times. Otherwise it returns the cause, and the promotion is
// tried again later.
func (s *Supervisor) afterFailedPromotion(ctx context.Context, g *pb.Group, cause error) error {
	if refused, ok := asRefused(cause); ok && refused.Fenced > g.GetTerm() {
		return s.logStart(ctx, g, upstream.Term(refused.Fenced)+1, "fenced_higher")
	}
	failures := 0
	s.updateFacts(s.factsOf(g.GetDatabase()).watch, func(f *groupFacts) {
		f.promoteFailures++
		failures = f.promoteFailures
	})
	if failures < maxPromoteAttempts {
		return cause
	}
	s.updateFacts(s.factsOf(g.GetDatabase()).watch, func(f *groupFacts) { f.promoteFailures = 0 })
	return s.logStart(ctx, g, upstream.Term(g.GetTerm())+1, "chosen_lost")
}

// followers returns all registered upstreams of the database but the primary.
// Those that are not members follow it as well, but do not count for a majority.
func followers(frame *controlstate.Frame, g *pb.Group, primary string) []*pb.Upstream {
	all := frame.InDatabase(g.GetDatabase())
	others := make([]*pb.Upstream, 0, len(all))
	for _, u := range all {
		if u.GetName() != primary {
			others = append(others, u)
		}
	}
	return others
}

// orderFollow orders upstreams to follow the primary, and waits until so many
// have done so that they are a majority together with it. Those that have not
// are ordered again by repair.
func (s *Supervisor) orderFollow(ctx context.Context, g *pb.Group, primary *pb.Upstream, others []*pb.Upstream) ([]reply, error) {
	order := askFollow(upstream.Term(g.GetTerm()), primary.GetAddress())
	return s.ask(ctx, others, order, stopCondition{minSucceeded: majority(g) - 1})
}

func asRefused(err error) (*CallRefused, bool) {
	var refused *CallRefused
	return refused, errors.As(err, &refused)
}
