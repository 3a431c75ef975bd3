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
	// joinAfter is how long a host without a leader waits before it asks to
	// be added. Elections take less than a second.
	joinAfter   = 1500 * time.Millisecond
	joinTimeout = time.Second
	// removeAfter is how long a surplus voter is silent before it is
	// removed. A voter whose successor has joined is meant.
	removeAfter = time.Second
)

// InitialMembers returns the hosts that form the cluster at the first start of a
// site, and nil for any other host, which asks to be added. The seeds of the
// first start are the same on all hosts.
func InitialMembers(address string, seeds []string) []consensus.Member {
	chosen := founders(seeds)
	if !slices.Contains(chosen, address) {
		return nil
	}
	var members []consensus.Member
	for _, seed := range chosen {
		members = append(members, consensus.Member{Name: seed, Address: seed})
	}
	return members
}

// founders returns as many seeds as may be members, spread over the sorted list,
// so that they are in different data centres.
func founders(seeds []string) []string {
	sorted := slices.Sorted(slices.Values(seeds))
	count := min(len(sorted), maxMembers)
	for i := range count {
		sorted[i] = sorted[i*len(sorted)/count]
	}
	return sorted[:count]
}

// runJoin asks for membership while this host hears from no leader: it is new,
// has lost its disk, or was replaced while it was away.
func (s *Server) runJoin(ctx context.Context) {
	lastLeader := now()
	if len(s.o.Consensus.Members()) == 0 {
		lastLeader = lastLeader.Add(-joinAfter)
	}
	for next := membershipInterval; ctx.Err() == nil; pause.For(ctx, next) {
		next = membershipInterval
		if _, _, ok := s.o.Consensus.Leader(); ok {
			lastLeader = now()
			s.noteLeader()
			continue
		}
		if now().Sub(lastLeader) >= joinAfter && s.join(ctx) {
			next = standbyInterval
		}
	}
}

func (s *Server) noteLeader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaderAt = now()
	s.standby = nil
}

// leaderlessFor returns how long this host has known no leader, or has run
// without one.
func (s *Server) leaderlessFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now().Sub(s.leaderAt)
}

// maxAsked bounds the peers that are asked in one round: on a large site most of
// the seeds only stand by, and name the members.
const maxAsked = 5

// join asks some of the peers until one has an answer. It reports whether this
// host is not needed.
func (s *Server) join(ctx context.Context) (standsBy bool) {
	peers := s.peerAddresses()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range peers[:min(len(peers), maxAsked)] {
		response, err := s.askToJoin(ctx, address)
		if err != nil {
			s.log.Info("not joined", "through", address, "error", err)
			continue
		}
		switch response.Outcome {
		case pb.JoinOutcome_JOIN_OUTCOME_ADDED:
			s.log.Info("joined the control hosts", "through", address)
			s.setStandby(nil)
			return false
		case pb.JoinOutcome_JOIN_OUTCOME_NOT_NEEDED:
			if s.standbyMembers() == nil {
				s.log.Info("standing by, enough control hosts are members", "members", response.Members, "leader", response.Leader)
			}
			s.setStandby(&standby{members: response.Members, leader: response.Leader})
			return true
		}
	}
	return false
}

func (s *Server) askToJoin(ctx context.Context, address string) (*pb.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	response, err := s.clients.At(address).Join(ctx, connect.NewRequest(&pb.JoinRequest{Address: s.o.Address}))
	if err != nil {
		return nil, err
	}
	if response.Msg.Outcome == pb.JoinOutcome_JOIN_OUTCOME_UNSPECIFIED {
		s.learn(response.Msg.Members)
	}
	return response.Msg, nil
}

// learn keeps the addresses of hosts that may know more, for a host whose own
// seeds do not.
func (s *Server) learn(members []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learned = members
}

// peerAddresses lists the other control hosts that may be running.
func (s *Server) peerAddresses() []string {
	s.mu.Lock()
	addresses := slices.Concat(s.learned, s.o.Seeds())
	if s.standby != nil {
		addresses = append(addresses, s.standby.members...)
	}
	s.mu.Unlock()
	addresses = append(addresses, s.memberAddresses()...)
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return a == s.o.Address })
}

// keepMembership removes members that no longer count, one at a time.
func (s *Server) keepMembership(ctx context.Context) {
	m, reason, ok := s.superfluous(s.o.Consensus.Status().Members)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	err := s.o.Consensus.RemoveMember(ctx, m.Name)
	s.log.Info("removing a control host", "member", m.Name, "reason", reason, "silent", m.Silent, "error", err)
}

// superfluous returns a member to be removed. A member that lost its disk has
// no vote until it is added again. Of more voters than the tolerated losses
// need, the one that is silent for longest has been replaced.
func (s *Server) superfluous(members []consensus.MemberStatus) (consensus.MemberStatus, string, bool) {
	voters := 0
	var silent consensus.MemberStatus
	for _, m := range members {
		if m.WrongIncarnation {
			return m, "data folder lost", true
		}
		if m.Voter {
			voters++
		}
		if m.Voter && m.Silent > silent.Silent {
			silent = m
		}
	}
	if voters > s.neededVoters() && silent.Silent > removeAfter {
		return silent, "replaced", true
	}
	return consensus.MemberStatus{}, "", false
}
