package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"lovageslip/control/controlclient"
	"lovageslip/controlstate"
	"lovageslip/failover"
	pb "lovageslip/gen/lovageslip/v1"
)

// leadership is one term in which this host acts as the control leader. What
// it holds in memory is lost with it; a new leader waits one lease instead.
type leadership struct {
	server *Server
	term   uint64
	since  time.Time
	leases *leaseTable
	groups *failover.Supervisor
	ctx    context.Context
	cancel context.CancelFunc
	// acting is true while act runs in tasks.
	acting atomic.Bool
	tasks  conc.WaitGroup

	// balancedAt is when an upstream was last moved; only act uses it.
	balancedAt time.Time

	// mu guards the maps below.
	mu       sync.Mutex
	hosts    map[string]hostSeen
	reports  map[string]failover.Report
	messages map[string]*pb.UpstreamHealth
}

// hostSeen is the last heartbeat of a host.
type hostSeen struct {
	at time.Time
	// steadySince is when the host came to be alive without a break.
	steadySince time.Time
	incarnation uint64
	leaving     bool
}

func (h hostSeen) next(now time.Time, r *pb.HeartbeatRequest, alive time.Duration) hostSeen {
	steady := h.steadySince
	if h.incarnation != r.GetIncarnation() || now.Sub(h.at) > alive {
		steady = now
	}
	return hostSeen{at: now, steadySince: steady, incarnation: r.GetIncarnation(), leaving: r.GetLeaving()}
}

// Run acts as the leader whenever this host leads, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(s.timing.Tick)
	defer ticker.Stop()
	defer s.stepDown()
	for {
		s.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.wake:
		}
	}
}

func (s *Server) tick(ctx context.Context) {
	term, leads := s.consensus.Leadership()
	l := s.currentLeadership()
	if l != nil && (!leads || term != l.term) {
		s.stepDown()
		l = nil
	}
	if leads && l == nil {
		l = s.begin(ctx, term)
	}
	if l != nil && l.acting.CompareAndSwap(false, true) {
		// In the background, so that the loop sees the loss of leadership
		// and cancels proposals that cannot succeed.
		l.tasks.Go(func() {
			defer l.acting.Store(false)
			l.act()
		})
	}
}

func (s *Server) currentLeadership() *leadership {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// begin logs the start of a term. Once that is applied here, every decision
// of earlier leaders is applied too, and later ones of theirs are refused.
func (s *Server) begin(running context.Context, term uint64) *leadership {
	ctx, cancel := context.WithTimeout(running, beginTimeout)
	defer cancel()
	cmd := &pb.Command{LeaderTerm: term, Command: &pb.Command_LeaderStarted{LeaderStarted: &pb.LeaderStarted{}}}
	result, err := s.propose(ctx, cmd)
	if err != nil || !result.GetApplied() || s.state.LeaderTerm() != term || !s.leads(term) {
		s.log.Warn("leader start not logged", "term", term, "err", err)
		return nil
	}
	l := s.newLeadership(running, term)
	s.mu.Lock()
	s.current = l
	s.mu.Unlock()
	s.metrics.Counter("leaderships_total").Inc(1)
	s.log.Info("leading", "term", term)
	return l
}

func (s *Server) newLeadership(ctx context.Context, term uint64) *leadership {
	now := s.timing.now()
	l := &leadership{
		server:   s,
		term:     term,
		since:    now,
		leases:   newLeaseTable(s.timing.LeaseExpiry, now),
		hosts:    map[string]hostSeen{},
		reports:  map[string]failover.Report{},
		messages: map[string]*pb.UpstreamHealth{},
	}
	l.ctx, l.cancel = context.WithCancel(ctx)
	if s.dialer != nil {
		l.groups = failover.New(failover.Options{
			Log:         s.failoverLog,
			Metrics:     s.failoverMetrics,
			Dialer:      s.dialer,
			Journal:     l,
			LeaseExpiry: s.timing.LeaseExpiry,
			Now:         s.timing.Now,
		})
	}
	return l
}

func (s *Server) stepDown() {
	s.mu.Lock()
	l := s.current
	s.current = nil
	s.mu.Unlock()
	if l == nil {
		return
	}
	l.cancel()
	l.tasks.Wait()
	if l.groups != nil {
		l.groups.Wait()
	}
	s.log.Info("no longer leading", "term", l.term)
}

// leads reports whether this host leads now and in this term.
func (s *Server) leads(term uint64) bool {
	now, ok := s.consensus.Leadership()
	return ok && now == term
}

// leading returns the leadership if this host may answer for it now.
func (s *Server) leading() (*leadership, bool) {
	l := s.currentLeadership()
	if l == nil || !s.leads(l.term) {
		return nil, false
	}
	return l, true
}

// act does what is due. It waits only for proposals.
func (l *leadership) act() {
	var due conc.WaitGroup
	due.Go(func() { l.assignOwners() })
	due.Go(func() { l.removeHosts() })
	due.Go(func() { l.balance() })
	if l.groups != nil {
		l.groups.Tick(l.ctx)
	}
	due.Wait()
}

// Leading implements failover.Journal.
func (l *leadership) Leading() bool { return l.server.leads(l.term) }

// Frame implements failover.Journal.
func (l *leadership) Frame() *controlstate.Frame { return l.server.state.Frame() }

// Propose implements failover.Journal. It refuses if the term has ended; the
// term in the command stops it if the term ends on the way.
func (l *leadership) Propose(ctx context.Context, cmd *pb.Command) (bool, error) {
	if !l.Leading() {
		return false, &controlclient.Unavailable{Detail: "this host leads no longer"}
	}
	cmd.LeaderTerm = l.term
	result, err := l.server.propose(ctx, cmd)
	return result.GetApplied(), err
}

// Report implements failover.Journal.
func (l *leadership) Report(name string) (failover.Report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.reports[name]
	return r, ok
}
