package controlstate

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "lovageslip/gen/lovageslip/v1"
)

// addToNewGroup makes an upstream a member of its group if the group has never
// had a primary. This is safe because no write was acknowledged yet that a
// majority of the members would have to hold. Later members are added one at a
// time by the command ChangeMember.
func (s *State) addToNewGroup(u *pb.Upstream) {
	g, found := s.groups[u.GetDatabase()]
	if !found {
		s.groups[u.GetDatabase()] = &pb.Group{Database: u.GetDatabase(), Members: []string{u.GetName()}}
		return
	}
	if !isNewGroup(g) || isMember(g, u.GetName()) {
		return
	}
	next := proto.CloneOf(g)
	next.Members = append(next.Members, u.GetName())
	slices.Sort(next.Members)
	s.groups[u.GetDatabase()] = next
}

// isNewGroup reports whether the group has had no primary and no promotion yet.
func isNewGroup(g *pb.Group) bool {
	return g.GetStep() == pb.PromotionStep_PROMOTION_STEP_UNSPECIFIED
}

func isMember(g *pb.Group, name string) bool {
	return slices.Contains(g.GetMembers(), name)
}

// adoptPrimary records the first primary of a group. It refuses if the group
// already had a primary or a promotion.
func (s *State) adoptPrimary(a *pb.AdoptPrimary) bool {
	g, found := s.groups[a.GetDatabase()]
	if !found || !isNewGroup(g) || a.GetTerm() == 0 || !isMember(g, a.GetUpstream()) {
		return false
	}
	next := proto.CloneOf(g)
	next.Term = a.GetTerm()
	next.Primary = a.GetUpstream()
	next.Chosen = a.GetUpstream()
	next.Step = pb.PromotionStep_PROMOTION_STEP_FINISHED
	s.setGroup(next)
	return true
}

// promotionStarted starts a new term, in which the group has no primary until
// the promotion is finished. The term must be higher than the current one, so
// that only one of two leaders that start the same term succeeds.
func (s *State) promotionStarted(p *pb.PromotionStarted) bool {
	g, found := s.groups[p.GetDatabase()]
	if !found || p.GetTerm() <= g.GetTerm() {
		return false
	}
	next := proto.CloneOf(g)
	next.Term = p.GetTerm()
	next.Replaced = cmp.Or(g.GetPrimary(), g.GetReplaced())
	next.Primary = ""
	next.Chosen = ""
	next.Step = pb.PromotionStep_PROMOTION_STEP_STARTED
	s.setGroup(next)
	return true
}

// promotionChosen records which upstream is to become the primary. It accepts
// one choice per term, so that a term never has two primaries.
func (s *State) promotionChosen(p *pb.PromotionChosen) bool {
	g, found := s.groups[p.GetDatabase()]
	started := g.GetStep() == pb.PromotionStep_PROMOTION_STEP_STARTED
	if !found || !started || g.GetTerm() != p.GetTerm() || !isMember(g, p.GetUpstream()) {
		return false
	}
	next := proto.CloneOf(g)
	next.Chosen = p.GetUpstream()
	next.Step = pb.PromotionStep_PROMOTION_STEP_CHOSEN
	s.setGroup(next)
	return true
}

func (s *State) promotionFinished(p *pb.PromotionFinished) bool {
	g, found := s.groups[p.GetDatabase()]
	chosen := g.GetStep() == pb.PromotionStep_PROMOTION_STEP_CHOSEN
	if !found || !chosen || g.GetTerm() != p.GetTerm() {
		return false
	}
	next := proto.CloneOf(g)
	next.Primary = g.GetChosen()
	next.Replaced = ""
	next.Step = pb.PromotionStep_PROMOTION_STEP_FINISHED
	s.setGroup(next)
	return true
}

// changeMember adds or removes one member of a group. It refuses during a change
// of primary. Before the leader proposes the command, it checks that a majority of
// the earlier members holds all acknowledged writes; see package failover.
func (s *State) changeMember(c *pb.ChangeMember) bool {
	g, found := s.groups[c.GetDatabase()]
	finished := g.GetStep() == pb.PromotionStep_PROMOTION_STEP_FINISHED && g.GetTerm() == c.GetTerm()
	if !found || !finished || isMember(g, c.GetUpstream()) != c.GetRemove() {
		return false
	}
	next := proto.CloneOf(g)
	if c.GetRemove() {
		if g.GetPrimary() == c.GetUpstream() {
			return false
		}
		next.Members = slices.DeleteFunc(next.Members, func(n string) bool { return n == c.GetUpstream() })
		s.setGroup(next)
		return true
	}
	if s.upstreams[c.GetUpstream()].GetDatabase() != c.GetDatabase() {
		return false
	}
	next.Members = append(next.Members, c.GetUpstream())
	slices.Sort(next.Members)
	s.setGroup(next)
	return true
}

func (s *State) setGroup(g *pb.Group) {
	s.groups[g.GetDatabase()] = g
	s.incrementConfigVersion()
}
