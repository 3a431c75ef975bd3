package sitecontrol

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
)

const (
	leadInterval = 50 * time.Millisecond
	// proxiesSettle is how long the number of running proxies must stay below
	// the recorded one before the lower number is recorded, so that the
	// restart of a proxy changes nothing.
	proxiesSettle = 10 * time.Second
)

// Run runs the background tasks of a control host until ctx ends: it joins the
// members, relays the proxies' reports, and does the leader's duties while this
// host leads.
func (s *Server) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { s.runJoin(ctx) })
	group.Go(func() { s.runRelay(ctx) })
	group.Go(func() { s.runLeadership(ctx) })
}

// runLeadership runs the leader's duties in each term in which this host leads.
func (s *Server) runLeadership(ctx context.Context) {
	for pause.For(ctx, leadInterval) {
		if term, leads := s.o.Consensus.Leadership(); leads {
			s.lead(ctx, term)
		}
	}
}

func (s *Server) lead(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	s.log.Info("this host leads the control hosts", "term", term)
	s.startSeen()
	group.Go(func() { s.runMembership(ctx) })
	group.Go(func() { s.runGroups(ctx) })
	group.Go(func() { s.runProxyCount(ctx) })
	for pause.For(ctx, leadInterval) {
		// An expired lease may be renewed within the same term, so it does not
		// end the duties. Each of them checks the lease by proposing to the log
		// what it does.
		if s.o.Consensus.Status().Term != term {
			break
		}
		if _, _, known := s.o.Consensus.Leader(); !known {
			break
		}
	}
	s.log.Info("this host no longer leads the control hosts", "term", term)
}

// resetAnnouncementTimes counts each recorded upstream as announced at the
// start of a term, because a new leader does not know when the last
// announcement reached the one before it.
func (s *Server) startSeen() {
	state, _, _ := s.o.State.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range state.Upstreams {
		last, ok := s.seen[u.Id]
		if !ok {
			last.upstream = u
		}
		last.at = now()
		s.seen[u.Id] = last
	}
}

func (s *Server) runMembership(ctx context.Context) {
	for pause.For(ctx, membershipInterval) {
		s.keepMembership(ctx)
	}
}

// runProxyCount records how many proxies share the upstreams' connections. A
// higher number is recorded at once, because the upstreams would run out of
// connections otherwise.
func (s *Server) runProxyCount(ctx context.Context) {
	lowerSince := now()
	for pause.For(ctx, time.Second) {
		state, _, _ := s.o.State.Current()
		count := s.gatherReports(true).Proxies
		if count >= state.Proxies {
			lowerSince = now()
		}
		if count <= state.Proxies && now().Sub(lowerSince) < proxiesSettle {
			continue
		}
		if count == 0 || count == state.Proxies {
			continue
		}
		command := &pb.RecordProxies{Proxies: count}
		_, err := s.propose(ctx, &pb.SiteCommand{Command: &pb.SiteCommand_RecordProxies{RecordProxies: command}})
		s.log.Info("count of proxies recorded", "proxies", count, "error", err)
	}
}
