package controlstate

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "lovageslip/gen/lovageslip/v1"
)

// joinNewGroup makes an upstream a member at once if its group has never had
// a primary: nothing was acknowledged that a majority would have to hold.
// Later members are added one at a time with ChangeMember.
func (s *State) joinNewGroup(u *pb.Upstream) {
	g, known := s.groups[u.GetDatabase()]
	if !known {
		s.groups[u.GetDatabase()] = &pb.Group{Database: u.GetDatabase(), Members: []string{u.GetName()}}
		return
	}
	if !isNew(g) || isMember(g, u.GetName()) {
		return
	}
	next := proto.CloneOf(g)
	next.Members = append(next.Members, u.GetName())
	slices.Sort(next.Members)
	s.groups[u.GetDatabase()] = next
}

// isNew is true until the group has its first primary or promotion.
func isNew(g *pb.Group) bool {
	return g.GetStep() == pb.PromotionStep_PROMOTION_STEP_UNSPECIFIED
}

func isMember(g *pb.Group, name string) bool {
	return slices.Contains(g.GetMembers(), name)
}

// adoptPrimary accepts only the first primary of a group.
func (s *State) adoptPrimary(a *pb.AdoptPrimary) bool {
	g, known := s.groups[a.GetDatabase()]
	if !known || !isNew(g) || a.GetTerm() == 0 || !isMember(g, a.GetUpstream()) {
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

// promotionStarted accepts only rising terms, so that of two leaders that
// start the same term one wins. The group has no primary from here on.
func (s *State) promotionStarted(p *pb.PromotionStarted) bool {
	g, known := s.groups[p.GetDatabase()]
	if !known || p.GetTerm() <= g.GetTerm() {
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

// promotionChosen accepts one choice per term: two primaries of one term can
// never be promoted.
func (s *State) promotionChosen(p *pb.PromotionChosen) bool {
	g, known := s.groups[p.GetDatabase()]
	started := g.GetStep() == pb.PromotionStep_PROMOTION_STEP_STARTED
	if !known || !started || g.GetTerm() != p.GetTerm() || !isMember(g, p.GetUpstream()) {
		return false
	}
	next := proto.CloneOf(g)
	next.Chosen = p.GetUpstream()
	next.Step = pb.PromotionStep_PROMOTION_STEP_CHOSEN
	s.setGroup(next)
	return true
}

func (s *State) promotionFinished(p *pb.PromotionFinished) bool {
	g, known := s.groups[p.GetDatabase()]
	chosen := g.GetStep() == pb.PromotionStep_PROMOTION_STEP_CHOSEN
	if !known || !chosen || g.GetTerm() != p.GetTerm() {
		return false
	}
	next := proto.CloneOf(g)
	next.Primary = g.GetChosen()
	next.Replaced = ""
	next.Step = pb.PromotionStep_PROMOTION_STEP_FINISHED
	s.setGroup(next)
	return true
}

// changeMember adds or removes one member between changes of primary. The
// leader checks before that earlier members hold what was acknowledged; see
// package failover.
func (s *State) changeMember(c *pb.ChangeMember) bool {
	g, known := s.groups[c.GetDatabase()]
	settled := g.GetStep() == pb.PromotionStep_PROMOTION_STEP_FINISHED && g.GetTerm() == c.GetTerm()
	if !known || !settled || isMember(g, c.GetUpstream()) != c.GetRemove() {
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
	s.bumpConfig()
}
