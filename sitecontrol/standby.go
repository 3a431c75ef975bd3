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
	// extraMembers may be voters beyond those that the tolerated losses
	// need, so that a successor can join before the host that it replaces
	// ends.
	extraMembers = 2
	// maxMembers bounds the members, whatever losses are to be tolerated.
	// With 200 of them, the control hosts of a quiet site moved 18 MB a
	// second between regions.
	maxMembers = 9
	// standbyInterval is how often a host that stands by asks whether it is
	// needed.
	standbyInterval = 2 * time.Second
)

// standby is what a host that is not needed as a member knows of the members.
type standby struct {
	members []string // internal addresses
	leader  string   // internal address; empty if unknown
}

// Join implements SiteService. A host beyond the number of members that is
// needed stands by: with each further member, each entry and each heartbeat
// costs the leader one more message.
func (s *Server) Join(ctx context.Context, r *connect.Request[pb.JoinRequest]) (*connect.Response[pb.JoinResponse], error) {
	if _, leads := s.o.Consensus.Leadership(); leads {
		return s.admit(ctx, r.Msg.Address)
	}
	members, leader := s.knownMembers()
	if leader == "" || leader == s.o.Address || r.Msg.PassedOn {
		return connect.NewResponse(&pb.JoinResponse{Members: members, Leader: leader}), nil
	}
	request := &pb.JoinRequest{Address: r.Msg.Address, PassedOn: true}
	response, err := s.clients.At(leader).Join(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, unavailable(err)
	}
	return connect.NewResponse(response.Msg), nil
}

func (s *Server) admit(ctx context.Context, address string) (*connect.Response[pb.JoinResponse], error) {
	// One at a time, so that each sees the members that those before it
	// have become.
	s.admitting.Lock()
	defer s.admitting.Unlock()
	response := &pb.JoinResponse{Outcome: pb.JoinOutcome_JOIN_OUTCOME_NOT_NEEDED, Leader: s.o.Address}
	if s.needs(address, s.o.Consensus.Status().Members) {
		if err := s.o.Consensus.AddMember(ctx, address, address); err != nil {
			return nil, unavailable(err)
		}
		response.Outcome = pb.JoinOutcome_JOIN_OUTCOME_ADDED
	}
	response.Members = s.memberAddresses()
	return connect.NewResponse(response), nil
}

// needs reports whether a host that asks may become a member: too few members
// are running, or it is one already and has lost its disk.
func (s *Server) needs(address string, members []consensus.MemberStatus) bool {
	running := 0
	for _, m := range members {
		if m.Address == address {
			return true
		}
		if !m.WrongIncarnation && m.Silent <= removeAfter {
			running++
		}
	}
	return running < min(s.neededVoters()+extraMembers, maxMembers)
}

// neededVoters is the smallest number of voters of which a majority is left
// after the tolerated losses, or maxMembers.
func (s *Server) neededVoters() int { return min(2*s.o.MaxLost+1, maxMembers) }

// knownMembers returns the members and their leader, as far as this host knows.
func (s *Server) knownMembers() (members []string, leader string) {
	if _, address, ok := s.o.Consensus.Leader(); ok {
		return s.memberAddresses(), address
	}
	s.mu.Lock()
	known := s.standby
	s.mu.Unlock()
	if known != nil {
		return known.members, known.leader
	}
	return s.memberAddresses(), ""
}

// StandbyFor returns the IP of the leading control host if this host stands by,
// so that calls are better sent there.
func (s *Server) StandbyFor() (host string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.standby == nil || s.standby.leader == "" {
		return "", false
	}
	host, _, err := net.SplitHostPort(s.standby.leader)
	return host, err == nil
}

// setStandby notes what an answer says of the members; nil if this host is one
// of them.
func (s *Server) setStandby(known *standby) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.standby = known
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
