package sitecontrol

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"lovageslip/consensus"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
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

// runJoin asks for membership while this host hears from no leader: it is new,
// has lost its disk, or was replaced while it was away.
func (s *Server) runJoin(ctx context.Context) {
	lastLeader := now()
	if len(s.o.Consensus.Members()) == 0 {
		lastLeader = lastLeader.Add(-joinAfter)
	}
	for ; ctx.Err() == nil; pause.For(ctx, membershipInterval) {
		if _, _, ok := s.o.Consensus.Leader(); ok {
			lastLeader = now()
			s.noteLeader()
			continue
		}
		if now().Sub(lastLeader) >= joinAfter {
			s.join(ctx)
		}
	}
}

func (s *Server) noteLeader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaderAt = now()
}

// leaderlessFor returns how long this host has known no leader, or has run
// without one.
func (s *Server) leaderlessFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now().Sub(s.leaderAt)
}

func (s *Server) join(ctx context.Context) {
	for _, address := range s.peerAddresses() {
		ctx, cancel := context.WithTimeout(ctx, joinTimeout)
		client := lovageslipv1connect.NewMemberServiceClient(s.o.HTTPClient, "http://"+address)
		request := &pb.AddMemberRequest{Name: s.o.Address, Address: s.o.Address}
		_, err := client.AddMember(ctx, connect.NewRequest(request))
		cancel()
		if err == nil {
			s.log.Info("joined the control hosts", "through", address)
			return
		}
		s.log.Info("not joined", "through", address, "error", err)
	}
}

// peerAddresses lists the other control hosts that may be running.
func (s *Server) peerAddresses() []string {
	addresses := slices.Concat(s.memberAddresses(), s.o.Seeds())
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
	if voters > 2*s.o.MaxLost+1 && silent.Silent > removeAfter {
		return silent, "replaced", true
	}
	return consensus.MemberStatus{}, "", false
}
