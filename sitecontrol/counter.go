package sitecontrol

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"lovageslip/consensus"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
	"lovageslip/quota"
)

// A team's operations are counted by the first control host in the team's order. While that
// one is suspended or cut off, others grant part of the limit in its place, since it may
// still count for some proxies. This file finds out when it can't, so that the rest of the
// limit isn't lost to the team for as long as the failure lasts.

const (
	// countingConfirmation is how old the confirmation of its state may be for a host to
	// grant whole limits. It is longer than most elections.
	countingConfirmation = 1500 * time.Millisecond
	// firstLostAfter is how long the leader must have had no contact with a host until it
	// takes its place: the host's last confirmation is too old by then. The difference
	// covers the way of the answer and clocks that drift.
	firstLostAfter = countingConfirmation + 250*time.Millisecond
	// successorPart is the part of a limit that the leader grants in the place of a host that
	// can't count. The rest is for the burst that this host has when it is back.
	successorPart = 0.9
	// passOnTimeout bounds a request that is passed on to another control host. It covers a
	// round trip between regions; the proxy that asks waits for admitTimeout in all.
	passOnTimeout = 60 * time.Millisecond
	// reachInterval is how often a host that others stand in for is checked, and for
	// how long one that does not answer gets no request.
	reachInterval = 300 * time.Millisecond
	// passedOnHeader marks a request that a control host has passed on, which is not passed
	// on to a leader again.
	passedOnHeader = "Lovageslip-Passed-On"
)

// role says in whose place a control host counts the operations of a team.
type role int

const (
	// roleFirst is that of the first host in the team's order.
	roleFirst role = iota
	// roleUnsure is that of the first host while it has not confirmed its state lately:
	// the leader may have taken its place.
	roleUnsure
	// roleSubstitute is that of any other host, while the first one may still count.
	roleSubstitute
	// roleSuccessor is that of the leader while the first one can't have confirmed its
	// state lately.
	roleSuccessor
)

func (r role) String() string {
	return [...]string{"first", "unsure", "substitute", "successor"}[r]
}

// part returns the part of a limit that a host grants in the role.
func (r role) part() float64 {
	switch r {
	case roleFirst:
		return 1
	case roleSuccessor:
		return successorPart
	default:
		return substitutePart
	}
}

// firstRole returns the role of the first host with a confirmation of an age.
func firstRole(confirmedAge time.Duration) role {
	if confirmedAge < countingConfirmation {
		return roleFirst
	}
	return roleUnsure
}

// substituteRole returns the role of a host that the first one doesn't answer. silentFor is
// for how long the leader has had no contact with the first one.
func substituteRole(leads bool, silentFor time.Duration) role {
	if leads && silentFor >= firstLostAfter {
		return roleSuccessor
	}
	return roleSubstitute
}

// roleAsFirst returns the role of this host for the teams that it is first for.
func (s *Server) roleAsFirst() role { return firstRole(now().Sub(s.lastConfirmation().begunAt)) }

// runConfirmations keeps the confirmation of this host's state recent while teams have
// limits.
func (s *Server) runConfirmations(ctx context.Context) {
	for pause.For(ctx, confirmInterval/4) {
		state, _, _ := s.options.State.Current()
		if slices.ContainsFunc(state.Config.GetTeams(), func(t *pb.SiteTeam) bool { return t.RatePerSecond != nil }) {
			s.confirmState(ctx)
		}
	}
}

// admitInPlace answers a proxy to which the first host of a team did not answer. If this
// host reaches it, the request is passed on, so that one host counts; otherwise to the
// leader, which knows whether the first one can still count.
func (s *Server) admitInPlace(ctx context.Context, team *pb.SiteTeam, operations uint32, passedOn bool) *pb.AdmitResponse {
	first := s.firstCounter(team.Name)
	switch {
	case first == "":
		return s.grant(team, roleSubstitute, operations)
	case first == s.options.Address:
		return s.grant(team, s.roleAsFirst(), operations)
	}
	if s.reach.answers(first, now()) {
		if response, ok := s.passOn(ctx, first, team.Name, operations, false); ok {
			return response
		}
	}
	if s.reach.claimCheck(first, now()) {
		go s.checkCounter(first, team.Name)
	}
	if _, leads := s.options.Consensus.Leadership(); leads {
		as := substituteRole(true, s.silentFor(first))
		if as == roleSuccessor && s.reach.succeed(first) {
			s.log.Warn("leader takes the place of a control host that counts teams", "counter", first, "part", successorPart)
		}
		return s.grant(team, as, operations)
	}
	_, leader, known := s.options.Consensus.Leader()
	if known && !passedOn && leader != first && leader != s.options.Address && !s.reach.fails(leader, now()) {
		if response, ok := s.passOn(ctx, leader, team.Name, operations, true); ok {
			return response
		}
	}
	return s.grant(team, roleSubstitute, operations)
}

// firstCounter returns the address of the first control host in a team's order; empty if
// the members are not known.
func (s *Server) firstCounter(team string) string {
	s.mu.Lock()
	members := s.members
	s.mu.Unlock()
	if len(members) == 0 {
		return ""
	}
	return quota.RankCounters(members, team)[0]
}

// silentFor returns for how long this host, as the leader, has had no contact with a
// member.
func (s *Server) silentFor(address string) time.Duration {
	members := s.options.Consensus.Status().Members
	i := slices.IndexFunc(members, func(m consensus.MemberStatus) bool { return m.Address == address })
	if i < 0 {
		return 0
	}
	return members[i].ContactAge
}

// passOn asks another control host in the place of a proxy. It reports false if that one
// does not answer in time.
func (s *Server) passOn(ctx context.Context, address, team string, operations uint32, substitute bool) (*pb.AdmitResponse, bool) {
	ctx, cancel := context.WithTimeout(ctx, passOnTimeout)
	defer cancel()
	request := connect.NewRequest(&pb.AdmitRequest{Team: team, Operations: operations, Substitute: substitute})
	request.Header().Set(passedOnHeader, "1")
	response, err := s.clients.ForAddress(address).Admit(ctx, request)
	if s.reach.record(address, err == nil, now()) {
		s.log.Info("control host for which this one stands in changed", "counter", address, "answers", err == nil, "error", err)
	}
	if err != nil {
		return nil, false
	}
	s.metrics.Counter("admit_requests_passed_on_total").Inc(1)
	return response.Msg, true
}

// checkCounter finds out whether a control host answers, by a request for no operations.
func (s *Server) checkCounter(address, team string) {
	s.passOn(context.Background(), address, team, 0, false)
}
