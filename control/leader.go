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

// leadership is one term in which this host acts as the control leader. Its
// leases, heartbeats and reports are held in memory only. A new leader does not
// have them, and waits one lease expiry before it reassigns upstreams.
type leadership struct {
	server     *Server
	term       uint64
	startedAt  time.Time
	leases     *leaseTable
	supervisor *failover.Supervisor
	ctx        context.Context
	cancel     context.CancelFunc
	// roundRunning is true while a goroutine of tasks executes runRound.
	roundRunning atomic.Bool
	tasks        conc.WaitGroup

	// balancedAt is when balance last looked for an upstream to move; only
	// runRound uses it.
	balancedAt time.Time

	// mu guards the maps below.
	mu             sync.Mutex
	hostContacts   map[string]hostContact
	reports        map[string]failover.Report
	upstreamHealth map[string]*pb.UpstreamHealth
}

// hostContact describes the last heartbeat of a host.
type hostContact struct {
	lastHeartbeat time.Time
	// aliveSince is the start of the current series of heartbeats without a
	// restart or a gap longer than HostTimeout.
	aliveSince  time.Time
	incarnation uint64
	leaving     bool
}

func (h hostContact) afterHeartbeat(now time.Time, r *pb.HeartbeatRequest, timeout time.Duration) hostContact {
	aliveSince := h.aliveSince
	if h.incarnation != r.GetIncarnation() || now.Sub(h.lastHeartbeat) > timeout {
		aliveSince = now
	}
	return hostContact{lastHeartbeat: now, aliveSince: aliveSince, incarnation: r.GetIncarnation(), leaving: r.GetLeaving()}
}

// Run acts as the control leader whenever this host leads the replicated log,
// until ctx ends.
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
		l = s.startLeadership(ctx, term)
	}
	if l != nil && l.roundRunning.CompareAndSwap(false, true) {
		// The round runs in the background, so that the loop notices a loss
		// of leadership and cancels proposals that can no longer succeed.
		l.tasks.Go(func() {
			defer l.roundRunning.Store(false)
			l.runRound()
		})
	}
}

func (s *Server) currentLeadership() *leadership {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leadership
}

// startLeadership writes the start of a term to the replicated log. Once this
// host has applied that entry, it has applied every decision of earlier leaders
// too, and later commands of theirs are refused.
func (s *Server) startLeadership(parent context.Context, term uint64) *leadership {
	ctx, cancel := context.WithTimeout(parent, leaderStartTimeout)
	defer cancel()
	cmd := &pb.Command{LeaderTerm: term, Command: &pb.Command_LeaderStarted{LeaderStarted: &pb.LeaderStarted{}}}
	result, err := s.propose(ctx, cmd)
	if err != nil || !result.GetApplied() || s.state.LeaderTerm() != term || !s.leads(term) {
		s.log.Warn("this host could not start its term as control leader", "term", term, "err", err)
		return nil
	}
	l := s.newLeadership(parent, term)
	s.mu.Lock()
	s.leadership = l
	s.mu.Unlock()
	s.metrics.Counter("leaderships_total").Inc(1)
	s.log.Info("this host became control leader", "term", term)
	return l
}

func (s *Server) newLeadership(ctx context.Context, term uint64) *leadership {
	now := s.timing.now()
	l := &leadership{
		server:         s,
		term:           term,
		startedAt:      now,
		leases:         newLeaseTable(s.timing.LeaseExpiry, now),
		hostContacts:   map[string]hostContact{},
		reports:        map[string]failover.Report{},
		upstreamHealth: map[string]*pb.UpstreamHealth{},
	}
	l.ctx, l.cancel = context.WithCancel(ctx)
	if s.dialer != nil {
		l.supervisor = failover.New(failover.Options{
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
	l := s.leadership
	s.leadership = nil
	s.mu.Unlock()
	if l == nil {
		return
	}
	l.cancel()
	l.tasks.Wait()
	if l.supervisor != nil {
		l.supervisor.Wait()
	}
	s.log.Info("this host is no longer control leader", "term", l.term)
}

// leads reports whether this host leads in the given term now.
func (s *Server) leads(term uint64) bool {
	currentTerm, ok := s.consensus.Leadership()
	return ok && currentTerm == term
}

// activeLeadership returns the leadership if its term still holds, so that this
// host may answer calls.
func (s *Server) activeLeadership() (*leadership, bool) {
	l := s.currentLeadership()
	if l == nil || !s.leads(l.term) {
		return nil, false
	}
	return l, true
}

// runRound does the leader's work that is due. It waits only for proposals.
func (l *leadership) runRound() {
	var tasks conc.WaitGroup
	tasks.Go(func() { l.assignOwners() })
	tasks.Go(func() { l.removeSilentHosts() })
	tasks.Go(func() { l.balance() })
	if l.supervisor != nil {
		l.supervisor.Tick(l.ctx)
	}
	tasks.Wait()
}

// Leading implements failover.Journal.
func (l *leadership) Leading() bool { return l.server.leads(l.term) }

// Frame implements failover.Journal.
func (l *leadership) Frame() *controlstate.Frame { return l.server.state.Frame() }

// Propose implements failover.Journal. It fails if the term has ended. If the
// term ends during the proposal and a later leader has logged its start before
// the command, the state machine refuses the command by its LeaderTerm.
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
