package failover

import (
	"context"
	"fmt"
	"time"

	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// leavingRetryInterval is the pause between two attempts to replace a leaving
// primary. A change may have chosen the same primary again.
const leavingRetryInterval = 5 * time.Second

// memberChange is the addition or removal of one member.
type memberChange struct {
	upstream string
	remove   bool
}

// decideMembers returns the next action that the members need, nil if none: the
// check that a majority has caught up, the replacement of a leaving primary, the
// change of one member, or the removal of a registration. The check does not wait
// until a member is to change, because a primary that is cut off later can be
// left out of the choice only if a majority had caught up before.
func (s *Supervisor) decideMembers(frame *controlstate.Frame, g *pb.Group, facts groupFacts, now time.Time) func(context.Context) error {
	if now.Sub(facts.membersSince) < s.leaseExpiry {
		return nil
	}
	if !facts.majorityCaughtUp {
		return func(ctx context.Context) error { return s.checkMajorityCaughtUp(ctx, g, facts) }
	}
	leaving := frame.Upstreams[g.GetPrimary()].GetLeaving()
	change, wanted := s.wantedChange(frame, g, now)
	if !leaving && !wanted {
		return s.decideUpstreamRemoval(frame, g, now)
	}
	if leaving && hasSuccessor(frame, g) && now.Sub(facts.replacementTriedAt) >= leavingRetryInterval {
		return func(ctx context.Context) error { return s.replaceLeaving(ctx, g, facts) }
	}
	if !wanted {
		return nil
	}
	return func(ctx context.Context) error { return s.changeMember(ctx, g, facts, change) }
}

func hasSuccessor(frame *controlstate.Frame, g *pb.Group) bool {
	for _, u := range membersOf(frame, g) {
		if !u.GetLeaving() {
			return true
		}
	}
	return false
}

// wantedChange returns a member that is to be added or removed, if any. Additions
// come first, so that a group whose upstreams are being replaced keeps as many
// members as possible.
func (s *Supervisor) wantedChange(frame *controlstate.Frame, g *pb.Group, now time.Time) (memberChange, bool) {
	for _, u := range followers(frame, g, g.GetPrimary()) {
		if !u.GetLeaving() && !isMember(g, u.GetName()) && s.canJoin(g, u.GetName(), now) {
			return memberChange{upstream: u.GetName()}, true
		}
	}
	for _, name := range g.GetMembers() {
		if name != g.GetPrimary() && (frame.Upstreams[name].GetLeaving() || s.isLongUnreachable(g, name, now)) {
			return memberChange{upstream: name, remove: true}, true
		}
	}
	return memberChange{}, false
}

func isMember(g *pb.Group, name string) bool {
	for _, m := range g.GetMembers() {
		if m == name {
			return true
		}
	}
	return false
}

// canJoin reports whether an upstream is reachable and follows the group's term.
func (s *Supervisor) canJoin(g *pb.Group, name string, now time.Time) bool {
	report, fresh := s.freshReport(name, now)
	return fresh && report.Reachable && uint64(report.Term) == g.GetTerm()
}

func (s *Supervisor) isLongUnreachable(g *pb.Group, name string, now time.Time) bool {
	if len(g.GetMembers()) <= minMembers {
		return false
	}
	report, fresh := s.freshReport(name, now)
	return fresh && !report.Reachable && report.Unreachable >= memberRemovalTime
}

// checkMajorityCaughtUp reads a position of the primary, the watermark, at least
// one lease after the present members came into force. Later calls check that a
// majority of the members holds everything up to it.
func (s *Supervisor) checkMajorityCaughtUp(ctx context.Context, g *pb.Group, facts groupFacts) error {
	replies, err := s.ask(ctx, membersOf(s.journal.Frame(), g), askStatus, waitForAll)
	if err != nil {
		return err
	}
	if facts.watermarkTerm == g.GetTerm() {
		if n := countHolding(replies, g, facts.watermark); n < majority(g) {
			return &MemberChangeDeferred{Database: g.GetDatabase(), Reason: fmt.Sprintf("%d members have caught up with the primary, %d are needed for a majority", n, majority(g))}
		}
		s.updateFacts(facts.watch, func(f *groupFacts) { f.majorityCaughtUp = true })
		s.log.Info("members settled", "database", g.GetDatabase(), "members", g.GetMembers())
		return nil
	}
	for _, r := range replies {
		if r.name == g.GetPrimary() && primaryAnswered(replies, g) {
			s.updateFacts(facts.watch, func(f *groupFacts) { f.watermark, f.watermarkTerm = r.status.Position(), g.GetTerm() })
			return nil
		}
	}
	return &MemberChangeDeferred{Database: g.GetDatabase(), Reason: "the primary does not answer"}
}

// countHolding returns how many of the upstreams follow the group's term and hold
// everything up to position p.
func countHolding(replies []reply, g *pb.Group, p upstream.Position) int {
	n := 0
	for _, r := range replies {
		if r.err == nil && uint64(r.status.Term) == g.GetTerm() && r.status.Includes(p) {
			n++
		}
	}
	return n
}

// changeMember logs the change of a member, after it has checked again that a
// majority of the members holds everything up to the watermark, and so does a new
// member.
func (s *Supervisor) changeMember(ctx context.Context, g *pb.Group, facts groupFacts, change memberChange) error {
	frame := s.journal.Frame()
	replies, err := s.ask(ctx, membersOf(frame, g), askStatus, waitForAll)
	if err != nil {
		return err
	}
	if countHolding(replies, g, facts.watermark) < majority(g) {
		return &MemberChangeDeferred{Database: g.GetDatabase(), Reason: fmt.Sprintf("fewer members have caught up with the primary than the %d that are a majority", majority(g))}
	}
	if !change.remove {
		if err := s.checkCaughtUp(ctx, frame, g, facts, change.upstream); err != nil {
			return err
		}
	}
	s.log.Info("change of a group member proposed", "database", g.GetDatabase(), "upstream", change.upstream, "remove", change.remove)
	return s.logStep(ctx, g, "change_member", &pb.Command{Command: &pb.Command_ChangeMember{ChangeMember: &pb.ChangeMember{
		Database: g.GetDatabase(),
		Upstream: change.upstream,
		Remove:   change.remove,
		Term:     g.GetTerm(),
	}}})
}

func (s *Supervisor) checkCaughtUp(ctx context.Context, frame *controlstate.Frame, g *pb.Group, facts groupFacts, name string) error {
	replies, err := s.ask(ctx, []*pb.Upstream{frame.Upstreams[name]}, askStatus, waitForAll)
	if err != nil {
		return err
	}
	if countHolding(replies, g, facts.watermark) == 0 {
		return &MemberChangeDeferred{Database: g.GetDatabase(), Reason: name + ", the new member, has not caught up with the primary"}
	}
	return nil
}

// replaceLeaving replaces a leaving primary while it still works. It starts the
// change only if a majority answers and a member that is not leaving has caught
// up with the watermark.
func (s *Supervisor) replaceLeaving(ctx context.Context, g *pb.Group, facts groupFacts) error {
	s.updateFacts(facts.watch, func(f *groupFacts) { f.replacementTriedAt = s.now() })
	frame := s.journal.Frame()
	replies, err := s.ask(ctx, membersOf(frame, g), askStatus, waitForAll)
	if err != nil {
		return err
	}
	caughtUp := 0
	for _, r := range replies {
		if !frame.Upstreams[r.name].GetLeaving() {
			caughtUp += countHolding([]reply{r}, g, facts.watermark)
		}
	}
	if caughtUp == 0 || len(succeeded(replies)) < majority(g) {
		return &NoMajority{Database: g.GetDatabase(), Answered: len(succeeded(replies)), Needed: majority(g)}
	}
	return s.startChange(ctx, g, nextTerm(g, replies), reasonLeaving)
}

// decideUpstreamRemoval returns the removal of the registration of a leaving
// upstream that is not a member any more and has been unreachable for
// leavingRemovalTime, nil if there is none.
func (s *Supervisor) decideUpstreamRemoval(frame *controlstate.Frame, g *pb.Group, now time.Time) func(context.Context) error {
	for _, u := range followers(frame, g, g.GetPrimary()) {
		if !u.GetLeaving() || isMember(g, u.GetName()) {
			continue
		}
		report, fresh := s.freshReport(u.GetName(), now)
		if !fresh || report.Reachable || report.Unreachable < leavingRemovalTime {
			continue
		}
		return func(ctx context.Context) error {
			return s.logStep(ctx, g, "remove_upstream", &pb.Command{Command: &pb.Command_RemoveUpstream{
				RemoveUpstream: &pb.RemoveUpstream{Name: u.GetName()},
			}})
		}
	}
	return nil
}
