package sitecontrol

import (
	"context"
	"net"
	"time"

	"connectrpc.com/connect"

	"lovageslip/consensus"
	pb "lovageslip/gen/lovageslip/v1"
)

const (
	// extraMembers is how many voters there may be beyond those that the
	// tolerated losses need, so that a successor can join before the host that
	// it replaces ends.
	extraMembers = 2
	// maxMembers bounds the members, however many losses are to be tolerated.
	// With 200 members, the control hosts of an idle site sent 18 MB a second
	// between regions.
	maxMembers = 9
	// standbyInterval is how often a host that stands by asks whether it is
	// needed.
	standbyInterval = 2 * time.Second
)

// standbyInfo is what a host that stands by, because it is not needed as a
// member, knows of the members.
type standbyInfo struct {
	members []string // internal addresses
	leader  string   // internal address; empty if unknown
}

// Join implements SiteService. The leader adds the calling host as a member if
// one is needed; any other host passes the call on to the leader, or names the
// members that it knows. A host that is not needed stands by, because each
// further member costs the leader one more message for each entry and heartbeat.
func (s *Server) Join(ctx context.Context, r *connect.Request[pb.JoinRequest]) (*connect.Response[pb.JoinResponse], error) {
	if _, leads := s.options.Consensus.Leadership(); leads {
		return s.admit(ctx, r.Msg.Address)
	}
	members, leader := s.knownMembers()
	if leader == "" || leader == s.options.Address || r.Msg.PassedOn {
		return connect.NewResponse(&pb.JoinResponse{Members: members, Leader: leader}), nil
	}
	request := &pb.JoinRequest{Address: r.Msg.Address, PassedOn: true}
	response, err := s.clients.ForAddress(leader).Join(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, unavailable(err)
	}
	return connect.NewResponse(response.Msg), nil
}

func (s *Server) admit(ctx context.Context, address string) (*connect.Response[pb.JoinResponse], error) {
	// Hosts are added one at a time, so that each decision counts the hosts
	// that were added before it.
	s.admitMu.Lock()
	defer s.admitMu.Unlock()
	response := &pb.JoinResponse{Outcome: pb.JoinOutcome_JOIN_OUTCOME_NOT_NEEDED, Leader: s.options.Address}
	if s.mayBecomeMember(address, s.options.Consensus.Status().Members) {
		if err := s.options.Consensus.AddMember(ctx, address, address); err != nil {
			return nil, unavailable(err)
		}
		response.Outcome = pb.JoinOutcome_JOIN_OUTCOME_ADDED
	}
	response.Members = s.memberAddresses()
	return connect.NewResponse(response), nil
}

// mayBecomeMember reports whether the host at an address is to be added: it is a
// member already and has lost its disk, or too few members are running.
func (s *Server) mayBecomeMember(address string, members []consensus.MemberStatus) bool {
	running := 0
	for _, m := range members {
		if m.Address == address {
			return true
		}
		if !m.WrongIncarnation && m.ContactAge <= silentVoterTimeout {
			running++
		}
	}
	return running < min(s.neededVoters()+extraMembers, maxMembers)
}

// neededVoters returns the smallest number of voters of which a majority is left
// after the tolerated losses, but at most maxMembers.
func (s *Server) neededVoters() int { return min(2*s.options.MaxLost+1, maxMembers) }

// knownMembers returns the internal addresses of the members and of their leader
// as far as this host knows them. The leader is empty if it is unknown.
func (s *Server) knownMembers() (members []string, leader string) {
	if _, address, ok := s.options.Consensus.Leader(); ok {
		return s.memberAddresses(), address
	}
	s.mu.Lock()
	info := s.standby
	s.mu.Unlock()
	if info != nil {
		return info.members, info.leader
	}
	return s.memberAddresses(), ""
}

// StandbyLeaderHost returns the IP of the leading control host if this host
// stands by and knows the leader. Calls are to be sent there, because a host that
// stands by cannot serve them.
func (s *Server) StandbyLeaderHost() (host string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.standby == nil || s.standby.leader == "" {
		return "", false
	}
	host, _, err := net.SplitHostPort(s.standby.leader)
	return host, err == nil
}

// setStandby stores what this host knows of the members while it stands by; nil
// if it is a member itself.
func (s *Server) setStandby(info *standbyInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.standby = info
}

// standbyMembers returns the members if this host stands by, and nil otherwise.
func (s *Server) standbyMembers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.standby == nil {
		return nil
	}
	return s.standby.members
}
