package sitecontrol

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"

	"lovageslip/consensus"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
)

const (
	membershipInterval = 250 * time.Millisecond
	// joinDelay is how long a host waits without a leader before it asks to
	// be added. Elections take less than a second.
	joinDelay   = 1500 * time.Millisecond
	joinTimeout = time.Second
	// silentVoterTimeout is how long a voter beyond the needed number must be
	// silent before it is removed. Such a voter has usually ended after the
	// host that replaces it has joined.
	silentVoterTimeout = time.Second
)

// InitialMembers returns the members of the consensus at the first start of a
// site if the host at address is one of them, and nil if it is not: it then asks
// to be added. All hosts have the same seeds at the first start.
func InitialMembers(address string, seeds []string) []consensus.Member {
	addresses := initialAddresses(seeds)
	if !slices.Contains(addresses, address) {
		return nil
	}
	var members []consensus.Member
	for _, seed := range addresses {
		members = append(members, consensus.Member{Name: seed, Address: seed})
	}
	return members
}

// initialAddresses returns as many seeds as may be members. It picks them evenly
// from the sorted list, so that they are in different data centres.
func initialAddresses(seeds []string) []string {
	sorted := slices.Sorted(slices.Values(seeds))
	count := min(len(sorted), maxMembers)
	for i := range count {
		sorted[i] = sorted[i*len(sorted)/count]
	}
	return sorted[:count]
}

// runJoin asks for membership while this host knows no leader, because it is
// new, has lost its disk, or was replaced while it was down.
func (s *Server) runJoin(ctx context.Context) {
	lastLeaderAt := now()
	if len(s.options.Consensus.Members()) == 0 {
		lastLeaderAt = lastLeaderAt.Add(-joinDelay)
	}
	for delay := membershipInterval; ctx.Err() == nil; pause.For(ctx, delay) {
		delay = membershipInterval
		if _, _, ok := s.options.Consensus.Leader(); ok {
			lastLeaderAt = now()
			s.recordLeaderContact()
			continue
		}
		if now().Sub(lastLeaderAt) >= joinDelay && s.join(ctx) {
			delay = standbyInterval
		}
	}
}

func (s *Server) recordLeaderContact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaderAt = now()
	s.standby = nil
}

// timeWithoutLeader returns the time since this host last knew a leader, or
// since it started if it has known none.
func (s *Server) timeWithoutLeader() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now().Sub(s.lastLeaderAt)
}

// maxPeersAsked bounds the peers that are asked in one round. On a large site
// most of the seeds stand by, and each of them can name the members.
const maxPeersAsked = 5

// join asks some of the peers to add this host as a member, until one of them
// has decided. It reports whether this host stands by because it is not needed.
func (s *Server) join(ctx context.Context) (standsBy bool) {
	peers := s.peerAddresses()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range peers[:min(len(peers), maxPeersAsked)] {
		response, err := s.askToJoin(ctx, address)
		if err != nil {
			s.log.Info("request to join the control hosts failed", "through", address, "error", err)
			continue
		}
		switch response.Outcome {
		case pb.JoinOutcome_JOIN_OUTCOME_ADDED:
			s.log.Info("this host joined the control hosts", "through", address)
			s.setStandby(nil)
			return false
		case pb.JoinOutcome_JOIN_OUTCOME_NOT_NEEDED:
			if s.standbyMembers() == nil {
				s.log.Info("this host stands by: enough control hosts are members", "members", response.Members, "leader", response.Leader)
			}
			s.setStandby(&standbyInfo{members: response.Members, leader: response.Leader})
			return true
		}
	}
	return false
}

func (s *Server) askToJoin(ctx context.Context, address string) (*pb.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	response, err := s.clients.ForAddress(address).Join(ctx, connect.NewRequest(&pb.JoinRequest{Address: s.options.Address}))
	if err != nil {
		return nil, err
	}
	if response.Msg.Outcome == pb.JoinOutcome_JOIN_OUTCOME_UNSPECIFIED {
		s.setDiscoveredPeers(response.Msg.Members)
	}
	return response.Msg, nil
}

// setDiscoveredPeers stores the control hosts that a peer has named. Later rounds
// ask them, too, in case none of this host's own seeds can add it.
func (s *Server) setDiscoveredPeers(members []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discoveredPeers = members
}

// peerAddresses lists the other control hosts that may be running.
func (s *Server) peerAddresses() []string {
	s.mu.Lock()
	addresses := slices.Concat(s.discoveredPeers, s.options.Seeds())
	if s.standby != nil {
		addresses = append(addresses, s.standby.members...)
	}
	s.mu.Unlock()
	addresses = append(addresses, s.memberAddresses()...)
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return a == s.options.Address })
}

// removeUnneededMember removes one member that is not needed any more, if there
// is one.
func (s *Server) removeUnneededMember(ctx context.Context) {
	m, reason, ok := s.memberToRemove(s.options.Consensus.Status().Members)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	err := s.options.Consensus.RemoveMember(ctx, m.Name)
	s.log.Info("removal of a control host from the members requested", "member", m.Name, "reason", reason, "silent", m.ContactAge, "error", err)
}

// memberToRemove returns a member that is to be removed, and the reason. A
// member that has lost its disk has no vote until it is removed and added again.
// If there are more voters than the tolerated losses need, the one that has been
// silent for longest has been replaced.
func (s *Server) memberToRemove(members []consensus.MemberStatus) (consensus.MemberStatus, string, bool) {
	voters := 0
	var silent consensus.MemberStatus
	for _, m := range members {
		if m.WrongIncarnation {
			return m, "data folder lost", true
		}
		if m.Voter {
			voters++
		}
		if m.Voter && m.ContactAge > silent.ContactAge {
			silent = m
		}
	}
	if voters > s.neededVoters() && silent.ContactAge > silentVoterTimeout {
		return silent, "replaced", true
	}
	return consensus.MemberStatus{}, "", false
}
