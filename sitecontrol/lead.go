package sitecontrol

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
)

const (
	leaderCheckInterval = 50 * time.Millisecond
	// proxyDecreaseDelay is how long the number of running proxies must stay
	// below the recorded one before the lower number is recorded, so that the
	// restart of a proxy changes nothing.
	proxyDecreaseDelay = 10 * time.Second
)

// Run runs the background tasks of a control host until ctx ends: it joins the
// members and follows them, relays the proxies' reports, and does the leader's duties
// while this host leads.
func (s *Server) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { s.runJoin(ctx) })
	group.Go(func() { s.runRelay(ctx) })
	group.Go(func() { s.runMembers(ctx) })
	group.Go(func() { s.runConfirmations(ctx) })
	group.Go(func() { s.runLeadership(ctx) })
}

// runLeadership runs the leader's duties in each term in which this host leads.
func (s *Server) runLeadership(ctx context.Context) {
	for pause.For(ctx, leaderCheckInterval) {
		if term, leads := s.options.Consensus.Leadership(); leads {
			s.runLeaderDuties(ctx, term)
		}
	}
}

func (s *Server) runLeaderDuties(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	s.log.Info("this host leads the control hosts", "term", term)
	s.resetAnnouncementTimes()
	group.Go(func() { s.runMembership(ctx) })
	group.Go(func() { s.runGroups(ctx, term) })
	group.Go(func() { s.runProxyCount(ctx) })
	for pause.For(ctx, leaderCheckInterval) {
		// An expired lease may be renewed within the same term, so it does not
		// end the duties. Each of them checks the lease by proposing to the log
		// what it does.
		if s.options.Consensus.Status().Term != term {
			break
		}
		if _, _, known := s.options.Consensus.Leader(); !known {
			break
		}
	}
	s.log.Info("this host no longer leads the control hosts", "term", term)
}

// resetAnnouncementTimes counts each recorded upstream as announced at the
// start of a term, because a new leader does not know when the last
// announcement reached the one before it.
func (s *Server) resetAnnouncementTimes() {
	state, _, _ := s.options.State.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range state.Upstreams {
		last, ok := s.announcements[u.Id]
		if !ok {
			last.upstream = u
		}
		last.receivedAt = now()
		s.announcements[u.Id] = last
	}
}

func (s *Server) runMembership(ctx context.Context) {
	for pause.For(ctx, membershipInterval) {
		s.removeUnneededMember(ctx)
	}
}

// runProxyCount records how many proxies share the upstreams' connections. A
// higher number is recorded at once, because the upstreams would run out of
// connections otherwise.
func (s *Server) runProxyCount(ctx context.Context) {
	lowerSince := now()
	for pause.For(ctx, time.Second) {
		state, _, _ := s.options.State.Current()
		count := s.gatherReports(true).Proxies
		if count >= state.Proxies {
			lowerSince = now()
		}
		if count <= state.Proxies && now().Sub(lowerSince) < proxyDecreaseDelay {
			continue
		}
		if count == 0 || count == state.Proxies {
			continue
		}
		command := &pb.RecordProxies{Proxies: count}
		_, err := s.propose(ctx, &pb.SiteCommand{Command: &pb.SiteCommand_RecordProxies{RecordProxies: command}})
		s.log.Info("leader proposed to record the number of proxies", "proxies", count, "error", err)
	}
}
