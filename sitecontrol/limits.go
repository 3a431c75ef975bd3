package sitecontrol

import (
	"context"
	"math"
	"slices"
	"time"

	"connectrpc.com/connect"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
	"lovageslip/quota"
)

// substitutePart is the part of a limit that a control host grants in the place of
// another one that did not answer, and which may still count for other proxies. It
// covers what teams usually send: limits are stated at about 1.6 times of it.
const substitutePart = 0.65

const (
	// substituteBurst is the burst of a team's limit at a substitute, as time at the
	// team's rate: data centres ask for what they need in about as long. A
	// substitute that could grant a whole burst of its own would let a team have
	// two of them in a window each time that its counter is lost for a moment.
	substituteBurst = 250 * time.Millisecond
	// counterSlack is the part of the tolerance's slack that control hosts use. The
	// rest is left for substitutes and for counters that forget what they granted.
	counterSlack = 0.5
)

// Admit implements SiteService. The host grants out of the limit of its own state. It
// needs no leader: proxies choose one host for each team.
func (s *Server) Admit(ctx context.Context, r *connect.Request[pb.AdmitRequest]) (*connect.Response[pb.AdmitResponse], error) {
	team := s.team(r.Msg.Team)
	if team == nil {
		return nil, connect.NewError(connect.CodeNotFound, &UnknownTeam{Team: r.Msg.Team})
	}
	if team.RatePerSecond == nil {
		return connect.NewResponse(&pb.AdmitResponse{Admitted: r.Msg.Operations}), nil
	}
	if !r.Msg.Substitute {
		return connect.NewResponse(s.grant(team, s.roleAsFirst(), r.Msg.Operations)), nil
	}
	return connect.NewResponse(s.admitInPlace(ctx, team, r.Msg.Operations, r.Header().Get(passedOnHeader) != "")), nil
}

// grant grants operations of a team in a role. A request for none changes nothing.
func (s *Server) grant(team *pb.SiteTeam, as role, operations uint32) *pb.AdmitResponse {
	if operations == 0 {
		return &pb.AdmitResponse{}
	}
	limit := quota.Limit{RatePerSecond: team.GetRatePerSecond(), Burst: team.GetBurst()}
	share, limit := counterTerms(limit, as, s.countingSince())
	admitted, retryAfter := s.limiter.Admit(now(), team.Name, limit, share, int(operations))
	s.metrics.Tagged(map[string]string{"role": as.String()}).Counter("operations_granted_total").Inc(int64(admitted))
	s.metrics.Counter("operations_denied_total").Inc(int64(operations) - int64(admitted))
	return &pb.AdmitResponse{
		Admitted:     uint32(admitted),
		RetryAfterMs: uint32(min(retryAfter.Milliseconds(), int64(math.MaxUint32))),
	}
}

func (s *Server) countingSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countsSince
}

// memberCheckInterval is how often the members are compared. Proxies ask the counter that
// follows from a change once their view has it, up to watchInterval later.
const memberCheckInterval = 50 * time.Millisecond

// runMembers follows the members of the consensus.
func (s *Server) runMembers(ctx context.Context) {
	for pause.For(ctx, memberCheckInterval) {
		s.followMembers(s.memberAddresses())
	}
}

// followMembers records when the members change. A team whose counter is another host
// then may have had its whole limit there within the last window.
func (s *Server) followMembers(members []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(members, s.members) {
		s.members, s.countsSince = members, now()
	}
}

// counterQuota returns the tolerance that control hosts use.
func counterQuota(o quota.Options) quota.Options {
	o.Slack *= counterSlack
	o.Substitutes = substitutePart
	return o
}

// counterTerms returns the share and the limit of a team at a control host that counts it
// in a role, and has counted since a time.
func counterTerms(limit quota.Limit, as role, since time.Time) (quota.Share, quota.Limit) {
	switch as {
	case roleSubstitute, roleSuccessor:
		limit.Burst = min(limit.Burst, limit.RatePerSecond*substituteBurst.Seconds())
		return quota.Fixed(as.part()), limit
	default:
		share := quota.Fixed(as.part())
		share.Since = since
		return share, limit
	}
}

// team returns a team of the configuration in force, or nil.
func (s *Server) team(name string) *pb.SiteTeam {
	state, _, _ := s.options.State.Current()
	for _, t := range state.Config.GetTeams() {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// UnknownTeam reports a team that the state of a control host does not hold.
type UnknownTeam struct{ Team string }

func (e *UnknownTeam) Error() string { return "control: no team " + e.Team }

// admitTimeout bounds a proxy's request for operations of a team, for which callers
// wait. It covers three round trips between regions.
const admitTimeout = 120 * time.Millisecond

// Admit asks the control host at an address to grant operations of a team.
func (c *Clients) Admit(address, team string, operations int, substitute bool) (granted int, retryAfter time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), admitTimeout)
	defer cancel()
	request := &pb.AdmitRequest{Team: team, Operations: uint32(operations), Substitute: substitute}
	response, err := c.ForAddress(address).Admit(ctx, connect.NewRequest(request))
	if err != nil {
		return 0, 0, err
	}
	return int(response.Msg.Admitted), time.Duration(response.Msg.RetryAfterMs) * time.Millisecond, nil
}
