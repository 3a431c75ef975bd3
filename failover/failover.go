// Package failover finds the first primary of a group, replaces a primary that is
// lost or leaving, and adds and removes members of the group. Package control
// runs it on the control leader. Each step is logged before it takes effect, so
// that another leader can continue from the logged step.
//
// # Majorities while members change
//
// A write is acknowledged once a majority of the members in the owner's view
// has it, and a new primary is chosen from a majority of the logged members
// that are fenced. Both use len(members)/2+1. Members are changed one at a
// time, because any majority of a set intersects any majority of a set that
// differs by one member. Before the next change (see checkMajorityCaughtUp):
//
//   - one lease has passed since the last change was logged, so that no owner
//     with a lease still counts majorities by the members before it, and
//   - a majority of the present members follows the present term and holds
//     everything up to a position (the watermark) that was read from the
//     primary after that time, so that whatever was acknowledged under earlier
//     members is held by a majority of the present ones.
//
// Members do not change during a change of primary. Upstreams that announce
// themselves before the group has had its first primary are members at once.
// Later ones become members when they have caught up. An upstream that leaves
// stops being a member, unless it is the primary, which is replaced first. A
// member that has been unreachable for long is removed only while at least
// three members remain and a majority has caught up.
package failover

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/upstream"
)

const (
	// callTimeout bounds a call to an upstream, including the dialing.
	callTimeout = 300 * time.Millisecond
	// lossTimeout is how long a primary must be unreachable to its owner or to
	// its replicas before it counts as lost. With a shorter time, working
	// primaries are reported as lost at 40 ms round trips with 20 ms jitter.
	lossTimeout = time.Second
	// ownerDropTime is how long an owner may report a primary as unreachable
	// that the leader reaches, before it is replaced as the owner.
	ownerDropTime = 3 * time.Second
	// maxReportAge is how old a report may be to be used: three intervals of
	// the owners' heartbeats.
	maxReportAge = 1500 * time.Millisecond
	// reportLag is how long after a change owners may still report what they
	// saw before it: the intervals of a poll and of a heartbeat.
	reportLag = 700 * time.Millisecond
	// adoptDelay is how long a new group waits before it adopts its primary, so
	// that its members can announce themselves and need not be added later.
	adoptDelay = time.Second
	// electDelay is how long a new group waits for a primary before it elects
	// one. It is longer than adoptDelay, because an election may discard what
	// only a member holds that has not answered yet.
	electDelay = 5 * time.Second
	// extraFenceWait is how long further replies are awaited after a majority
	// has been fenced, because a member that replies later may be more advanced.
	extraFenceWait = 50 * time.Millisecond
	// memberRemovalTime is how long a member must be unreachable to be removed.
	// It becomes a member again when it returns.
	memberRemovalTime = time.Minute
	// leavingRemovalTime is how long a leaving upstream must be unreachable
	// before its registration is removed.
	leavingRemovalTime = time.Minute
	// minMembers is how many members must remain when an unreachable one is
	// removed.
	minMembers = 3
	// maxPromoteAttempts is how many times in a row the promotion of the chosen
	// upstream may fail before the change starts again at the next term.
	maxPromoteAttempts = 3

	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Report is an owner's report on an upstream.
type Report struct {
	// At is when the leader received the report.
	At        time.Time
	Reachable bool
	// Unreachable is the time since the upstream last answered its owner, if
	// it is not Reachable.
	Unreachable time.Duration
	Primary     bool
	Term        upstream.Term
	Offset      upstream.Offset
	// PrimaryContactAge is the time since a replica last had contact with its
	// primary.
	PrimaryContactAge time.Duration
}

// Journal gives one control leader access to the replicated state and to the
// owners' reports. It is bound to one term of the control log: Propose fails once
// that term has ended.
type Journal interface {
	// Leading reports whether this host still leads in that term.
	Leading() bool
	// Frame returns the current state.
	Frame() *controlstate.Frame
	// Propose logs a command. applied is false if the command did not fit the
	// logged state any more and changed nothing. After an error the command
	// may still be applied.
	Propose(ctx context.Context, cmd *pb.Command) (applied bool, err error)
	// Report returns the latest report on an upstream.
	Report(name string) (Report, bool)
	// DropOwner asks for another owner of an upstream that the leader
	// reaches and its owner does not.
	DropOwner(name string)
}

// Options configures a Supervisor; New takes it.
type Options struct {
	Log     *slog.Logger
	Metrics tally.Scope
	Dialer  upstream.Dialer
	Journal Journal
	// LeaseExpiry is how long after a change of the state an owner with a
	// lease may still act on the previous state.
	LeaseExpiry time.Duration
	// Now replaces the clock; time.Now if nil.
	Now func() time.Time
}

// Supervisor supervises all groups for one term of a control leader. Tick must be
// called by one goroutine only; it runs at most one action per group at a time.
type Supervisor struct {
	log         *slog.Logger
	metrics     tally.Scope
	dialer      upstream.Dialer
	journal     Journal
	leaseExpiry time.Duration
	now         func() time.Time
	running     conc.WaitGroup

	// mu guards groups and the fields of each groupWatch.
	mu     sync.Mutex
	groups map[string]*groupWatch
}

// New returns a supervisor for one leader term.
func New(o Options) *Supervisor {
	now := o.Now
	if now == nil {
		now = time.Now
	}
	return &Supervisor{
		log:         logging.For(o.Log, "failover"),
		metrics:     metrics.OrNoop(o.Metrics).SubScope("failover"),
		dialer:      o.Dialer,
		journal:     o.Journal,
		leaseExpiry: o.LeaseExpiry,
		now:         now,
		groups:      map[string]*groupWatch{},
	}
}

// Wait returns once all actions have ended. The context given to Tick must end
// before, because that is what stops them.
func (s *Supervisor) Wait() { s.running.Wait() }

// Tick starts the action that is due in each group and does not wait for its end.
func (s *Supervisor) Tick(ctx context.Context) {
	frame := s.journal.Frame()
	now := s.now()
	for _, g := range frame.Groups {
		facts, busy := s.observe(g, now)
		if busy {
			continue
		}
		todo, due := s.decide(frame, g, facts, now)
		if due && facts.mayTry(todo.kind, now) {
			s.start(ctx, facts.watch, todo)
		}
	}
}

// kind is the purpose of an action. The backoff after a failed action delays only
// actions of the same kind, so that the replacement of a lost primary never waits
// for less urgent work.
type kind string

const (
	kindChange       kind = "change"
	kindFirstPrimary kind = "first_primary"
	kindLoss         kind = "loss"
	kindRepair       kind = "repair"
	kindMembers      kind = "members"
)

// action is work on one group that Tick starts; act returns an error if it has
// to be tried again.
type action struct {
	kind kind
	act  func(context.Context) error
}

func (s *Supervisor) start(ctx context.Context, w *groupWatch, todo action) {
	s.mu.Lock()
	w.busy = true
	s.mu.Unlock()
	s.running.Go(func() {
		err := todo.act(ctx)
		s.finish(w, todo.kind, err)
	})
}

func (s *Supervisor) finish(w *groupWatch, k kind, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.busy = false
	if err == nil {
		w.backoff = 0
		return
	}
	if w.failed != k {
		w.failed, w.backoff = k, 0
	}
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	w.retryAt = s.now().Add(w.backoff)
	s.metrics.Tagged(map[string]string{"kind": string(k)}).Counter("attempts_failed_total").Inc(1)
	s.log.Info("action on a group failed", "database", w.database, "kind", k, "err", err, "retry_after", w.backoff)
}

// decide returns the most urgent action on a group, and whether any is due.
func (s *Supervisor) decide(frame *controlstate.Frame, g *pb.Group, facts groupFacts, now time.Time) (action, bool) {
	switch g.GetStep() {
	case pb.PromotionStep_PROMOTION_STEP_STARTED, pb.PromotionStep_PROMOTION_STEP_CHOSEN:
		return action{kindChange, func(ctx context.Context) error { return s.continueChange(ctx, g.GetDatabase()) }}, true
	case pb.PromotionStep_PROMOTION_STEP_UNSPECIFIED:
		act := s.decideFirstPrimary(g, facts, now)
		return action{kindFirstPrimary, act}, act != nil
	}
	if act := s.decideLoss(g, facts, now); act != nil {
		return action{kindLoss, act}, true
	}
	if act := s.decideRepair(frame, g, facts, now); act != nil {
		return action{kindRepair, act}, true
	}
	act := s.decideMembers(frame, g, facts, now)
	return action{kindMembers, act}, act != nil
}
