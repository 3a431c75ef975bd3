// Package route chooses the upstream to which an entry host sends a request. It
// decides by hints about load and replication lag, which the owners of
// upstreams add to their answers. Old hints are harmless: the owner checks each
// request again, so a wrong choice costs a refusal and a retry, but never gives
// a stale answer.
package route

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"lovageslip/class"
	"lovageslip/exchange"
	"lovageslip/fault"
	"lovageslip/metrics"
	"lovageslip/registry"
	"lovageslip/upstream"
)

// Options are the settings and dependencies that New builds a Router from. Log,
// Metrics and Now are optional.
type Options struct {
	// DataCentre is the data centre of this host.
	DataCentre string
	// Log is not used yet.
	Log     *slog.Logger
	Metrics tally.Scope
	Now     func() time.Time
}

// Request holds what the choice of an upstream for one request depends on.
type Request struct {
	View     *registry.View
	Database string
	Class    class.Class
	Mode     upstream.Mode
	// MinPosition is the position that the upstream must hold for a read.
	MinPosition upstream.Position
	// MinPositionAge is a lower bound of the time since that position was
	// committed.
	MinPositionAge time.Duration
	// Remaining is how long the request may still wait.
	Remaining time.Duration
	// Exclude lists the names of upstreams that have refused this request.
	Exclude []string
}

// Choice is the upstream that Choose has chosen.
type Choice struct {
	Upstream registry.Upstream
	Primary  bool
	// Delay is how long to wait before sending the request, so that a replica
	// is likely to hold the session's position by then.
	Delay time.Duration
}

// Router chooses upstreams and keeps what it has learned about each. It is safe
// for concurrent use.
type Router struct {
	dataCentre string
	now        func() time.Time
	// replicaReads and primaryReads count the reads sent to each role.
	replicaReads, primaryReads tally.Counter

	index atomic.Pointer[index]

	mu     sync.Mutex
	states map[string]*state // guarded by mu, by upstream
}

// New returns a router that has no hints yet.
func New(options Options) *Router {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Router{
		dataCentre:   options.DataCentre,
		now:          options.Now,
		replicaReads: readsCounter(options.Metrics, "replica"),
		primaryReads: readsCounter(options.Metrics, "primary"),
		states:       make(map[string]*state),
	}
}

func readsCounter(scope tally.Scope, role string) tally.Counter {
	return metrics.OrNoop(scope).Tagged(map[string]string{"role": role}).Counter("reads_routed_total")
}

// index lists the upstreams of each database in one view.
type index struct {
	view       *registry.View
	byDatabase map[string][]registry.Upstream
}

func (r *Router) indexOf(view *registry.View) *index {
	cached := r.index.Load()
	if cached != nil && cached.view == view {
		return cached
	}
	next := &index{view: view, byDatabase: make(map[string][]registry.Upstream)}
	for _, u := range view.Upstreams {
		next.byDatabase[u.Database] = append(next.byDatabase[u.Database], u)
	}
	r.index.Store(next)
	r.dropUnregistered(view)
	return next
}

// dropUnregistered drops the state of upstreams that are no longer in the
// registry.
func (r *Router) dropUnregistered(view *registry.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.states {
		if _, registered := view.Upstreams[name]; !registered {
			delete(r.states, name)
		}
	}
}

// Choose returns the upstream for a request: a replica or the primary for a
// read, the primary for a write.
// Errors: *fault.NotRun with ReasonNoUpstream if no upstream can take the
// request now.
func (r *Router) Choose(request Request) (Choice, error) {
	upstreams := r.indexOf(request.View).byDatabase[request.Database]
	primary := request.View.Groups[request.Database].Primary
	r.mu.Lock()
	defer r.mu.Unlock()
	bestReplica := candidate{}
	bestPrimary := candidate{}
	for _, u := range upstreams {
		isPrimary := u.Name == primary
		if !usable(u, request.Exclude) {
			continue
		}
		if isPrimary {
			bestPrimary.replaceIfCheaper(r.evaluate(u, request, true))
			continue
		}
		if request.Mode == upstream.ModeRead {
			bestReplica.replaceIfCheaper(r.evaluate(u, request, false))
		}
	}
	choice, err := choose(bestReplica, bestPrimary, request)
	if err == nil && request.Mode == upstream.ModeRead {
		r.countRead(choice)
	}
	return choice, err
}

func (r *Router) countRead(choice Choice) {
	if choice.Primary {
		r.primaryReads.Inc(1)
		return
	}
	r.replicaReads.Inc(1)
}

func usable(u registry.Upstream, exclude []string) bool {
	if u.Leaving || u.OwnerAddress == "" {
		return false
	}
	return !slices.Contains(exclude, u.Name)
}

// choose returns the replica unless no replica is eligible, or the read would
// spend more than half of its remaining wait there and the primary is quicker.
func choose(replica, primary candidate, request Request) (Choice, error) {
	if !replica.found && !primary.found {
		return Choice{}, noUpstream(request)
	}
	if !replica.found {
		return primary.choice, nil
	}
	slow := replica.cost > request.Remaining/2
	if slow && primary.found && primary.cost < replica.cost {
		return primary.choice, nil
	}
	return replica.choice, nil
}

func noUpstream(request Request) error {
	detail := "no upstream of " + request.Database + " can take the read now"
	if request.Mode == upstream.ModeWrite {
		detail = "no primary of " + request.Database + " can take the write now"
	}
	return &fault.NotRun{Reason: fault.ReasonNoUpstream, Detail: detail}
}

// candidate is an upstream that may be chosen. Its cost is the expected time of
// a request on the network and in the owner's queue, plus the delay until a
// replica holds the session's position.
type candidate struct {
	found  bool
	cost   time.Duration
	choice Choice
}

func (best *candidate) replaceIfCheaper(c candidate) {
	if !c.found {
		return
	}
	// Before hints arrive, many costs are equal; a random choice among them
	// spreads the load.
	cheaper := !best.found || c.cost < best.cost
	equal := best.found && c.cost == best.cost && rand.IntN(2) == 0
	if cheaper || equal {
		*best = c
	}
}

// evaluate returns the candidate for one upstream; found is false for a replica
// that is not eligible. The caller holds mu.
func (r *Router) evaluate(u registry.Upstream, request Request, primary bool) candidate {
	s := r.state(u.Name)
	now := r.now()
	delay := time.Duration(0)
	if !primary {
		if now.Before(s.unavailableUntil) || !s.freshEnough(request.Class, now) {
			return candidate{}
		}
		delay = s.catchUpDelay(request)
		if delay > request.Remaining/2 {
			return candidate{}
		}
	}
	cost := r.networkTime(u, s) + s.expectedWait(now) + delay
	return candidate{found: true, cost: cost, choice: Choice{Upstream: u, Primary: primary, Delay: delay}}
}

// state returns the state of an upstream. The caller holds mu.
func (r *Router) state(name string) *state {
	s := r.states[name]
	if s == nil {
		s = &state{tooOldFor: make(map[string]bool)}
		r.states[name] = s
	}
	return s
}

// networkTime returns the network time of an exchange with an upstream's owner:
// the measured one if there is one, else a default.
func (r *Router) networkTime(u registry.Upstream, s *state) time.Duration {
	if s.networkTime > 0 {
		return s.networkTime
	}
	if u.DataCentre == r.dataCentre {
		return localNetworkTime
	}
	return remoteNetworkTime
}

// RecordHint stores the hint that an owner sent with an answer.
func (r *Router) RecordHint(hint exchange.Hint) {
	if hint.Upstream == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state(hint.Upstream).recordHint(hint, r.now())
}

// RequestStarted counts a request that was sent to an upstream as outstanding.
func (r *Router) RequestStarted(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state(name).outstanding++
}

// RequestFinished counts a request as no longer outstanding and records its
// network time: its duration less the time that the owner spent on it; zero if
// it was not answered.
func (r *Router) RequestFinished(name string, network time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(name)
	s.outstanding--
	s.recordNetworkTime(network)
}

// RecordStale records that an upstream refused a request because its data were
// too old.
func (r *Router) RecordStale(name string, request Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state(name).recordStale(request, r.now())
}

// RecordUnavailable records that an upstream could not take a request. A replica
// gets no reads for a while after it, so that a lost replica does not cost each
// read a retry.
func (r *Router) RecordUnavailable(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state(name).recordUnavailable(r.now())
}
