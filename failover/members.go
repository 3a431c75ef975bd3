package failover

import (
	"context"
	"time"

	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// leavingRetry is the pause between two attempts to replace a leaving primary. A
// change may have chosen the same primary again.
const leavingRetry = 5 * time.Second

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
func (s *Supervisor) decideMembers(frame *controlstate.Frame, g *pb.Group, w groupFacts, now time.Time) func(context.Context) error {
	if now.Sub(w.membersAt) < s.expiry {
		return nil
	}
	if !w.settled {
		return func(ctx context.Context) error { return s.settle(ctx, g, w) }
	}
	leaving := frame.Upstreams[g.GetPrimary()].GetLeaving()
	change, wanted := s.wantedChange(frame, g, now)
	if !leaving && !wanted {
		return s.decideRemoval(frame, g, now)
	}
	if leaving && hasSuccessor(frame, g) && now.Sub(w.replacedAt) >= leavingRetry {
		return func(ctx context.Context) error { return s.replaceLeaving(ctx, g, w) }
	}
	if !wanted {
		return nil
	}
	return func(ctx context.Context) error { return s.changeMember(ctx, g, w, change) }
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
func (s *Supervisor) settle(ctx context.Context, g *pb.Group, w groupFacts) error {
	replies, err := s.ask(ctx, membersOf(s.journal.Frame(), g), askStatus, never)
	if err != nil {
		return err
	}
	if w.settleTerm == g.GetTerm() {
		if n := holding(replies, g, w.settlePosition); n < majority(g) {
			return &NotSettled{Database: g.GetDatabase(), Reason: "no majority has caught up"}
		}
		s.remember(w.watch, func(f *groupFacts) { f.settled = true })
		s.log.Info("members settled", "database", g.GetDatabase(), "members", g.GetMembers())
		return nil
	}
	for _, r := range replies {
		if r.name == g.GetPrimary() && leads(replies, g) {
			s.remember(w.watch, func(f *groupFacts) { f.settlePosition, f.settleTerm = r.status.Position(), g.GetTerm() })
			return nil
		}
	}
	return &NotSettled{Database: g.GetDatabase(), Reason: "the primary does not answer"}
}

// countHolding returns how many of the upstreams follow the group's term and hold
// everything up to position p.
func holding(replies []reply, g *pb.Group, p upstream.Position) int {
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
func (s *Supervisor) changeMember(ctx context.Context, g *pb.Group, w groupFacts, change memberChange) error {
	frame := s.journal.Frame()
	replies, err := s.ask(ctx, membersOf(frame, g), askStatus, never)
	if err != nil {
		return err
	}
	if holding(replies, g, w.settlePosition) < majority(g) {
		return &NotSettled{Database: g.GetDatabase(), Reason: "no majority has caught up"}
	}
	if !change.remove {
		if err := s.caughtUp(ctx, frame, g, w, change.upstream); err != nil {
			return err
		}
	}
	s.log.Info("change of a group member proposed", "database", g.GetDatabase(), "upstream", change.upstream, "remove", change.remove)
	return s.step(ctx, g, "change_member", &pb.Command{Command: &pb.Command_ChangeMember{ChangeMember: &pb.ChangeMember{
		Database: g.GetDatabase(),
		Upstream: change.upstream,
		Remove:   change.remove,
		Term:     g.GetTerm(),
	}}})
}

func (s *Supervisor) caughtUp(ctx context.Context, frame *controlstate.Frame, g *pb.Group, w groupFacts, name string) error {
	replies, err := s.ask(ctx, []*pb.Upstream{frame.Upstreams[name]}, askStatus, never)
	if err != nil {
		return err
	}
	if holding(replies, g, w.settlePosition) == 0 {
		return &NotSettled{Database: g.GetDatabase(), Reason: name + " has not caught up"}
	}
	return nil
}

// replaceLeaving changes a leaving primary while it still works. It starts the
// change only if a majority answers and a member that is not leaving has caught
// up with the watermark.
func (s *Supervisor) replaceLeaving(ctx context.Context, g *pb.Group, w groupFacts) error {
	s.remember(w.watch, func(f *groupFacts) { f.replacedAt = s.now() })
	frame := s.journal.Frame()
	replies, err := s.ask(ctx, membersOf(frame, g), askStatus, never)
	if err != nil {
		return err
	}
	ready := 0
	for _, r := range replies {
		if !frame.Upstreams[r.name].GetLeaving() {
			ready += holding([]reply{r}, g, w.settlePosition)
		}
	}
	if ready == 0 || len(succeeded(replies)) < majority(g) {
		return &NoMajority{Database: g.GetDatabase(), Answered: len(succeeded(replies)), Needed: majority(g)}
	}
	return s.begin(ctx, g, nextTerm(g, replies), reasonLeaving)
}

// decideUpstreamRemoval returns the removal of the registration of a leaving
// upstream that is not a member any more and has been unreachable for
// leavingRemovalTime, nil if there is none.
func (s *Supervisor) decideRemoval(frame *controlstate.Frame, g *pb.Group, now time.Time) func(context.Context) error {
	for _, u := range followers(frame, g, g.GetPrimary()) {
		if !u.GetLeaving() || isMember(g, u.GetName()) {
			continue
		}
		report, fresh := s.freshReport(u.GetName(), now)
		if !fresh || report.Reachable || report.Unreachable < leavingRemovalTime {
			continue
		}
		return func(ctx context.Context) error {
			return s.step(ctx, g, "remove_upstream", &pb.Command{Command: &pb.Command_RemoveUpstream{
				RemoveUpstream: &pb.RemoveUpstream{Name: u.GetName()},
			}})
		}
	}
	return nil
}
