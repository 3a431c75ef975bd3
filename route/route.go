// Package route chooses the upstream for one request from hints. Hints may be
// old without harm: the owner checks every answer, so a wrong choice costs a
// refusal and never a stale answer.
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

// Options configures a Router. Log, Metrics and Now are optional.
type Options struct {
	// DataCentre is the data centre of this host.
	DataCentre string
	// Log takes no messages yet.
	Log     *slog.Logger
	Metrics tally.Scope
	Now     func() time.Time
}

// Request is what the choice for one request depends on.
type Request struct {
	View     *registry.View
	Database string
	Class    class.Class
	Mode     upstream.Mode
	// Min is the position that a read must include.
	Min upstream.Position
	// SinceMin is the least time since Min was committed.
	SinceMin time.Duration
	// Remaining is how long the request may still wait.
	Remaining time.Duration
	// Exclude names upstreams that have refused this request.
	Exclude []string
}

// Choice is the chosen upstream.
type Choice struct {
	Upstream registry.Upstream
	Primary  bool
	// Delay is how long to wait before the request is sent, so that a
	// replica includes the session's position by then.
	Delay time.Duration
}

// Router chooses upstreams. It is safe for concurrent use.
type Router struct {
	dataCentre string
	now        func() time.Time
	// onReplica and onPrimary count where reads were sent.
	onReplica, onPrimary tally.Counter

	index atomic.Pointer[index]

	mu     sync.Mutex
	states map[string]*state // guarded by mu, by upstream
}

// New returns a router without any hints.
func New(options Options) *Router {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Router{
		dataCentre: options.DataCentre,
		now:        options.Now,
		onReplica:  readsOn(options.Metrics, "replica"),
		onPrimary:  readsOn(options.Metrics, "primary"),
		states:     make(map[string]*state),
	}
}

func readsOn(scope tally.Scope, role string) tally.Counter {
	return metrics.OrNoop(scope).Tagged(map[string]string{"role": role}).Counter("reads_routed_total")
}

// index lists the upstreams of each database of one view.
type index struct {
	view       *registry.View
	byDatabase map[string][]registry.Upstream
}

func (r *Router) indexOf(view *registry.View) *index {
	current := r.index.Load()
	if current != nil && current.view == view {
		return current
	}
	next := &index{view: view, byDatabase: make(map[string][]registry.Upstream)}
	for _, u := range view.Upstreams {
		next.byDatabase[u.Database] = append(next.byDatabase[u.Database], u)
	}
	r.index.Store(next)
	r.forget(view)
	return next
}

// forget drops the state of upstreams that have left the registry.
func (r *Router) forget(view *registry.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.states {
		if _, registered := view.Upstreams[name]; !registered {
			delete(r.states, name)
		}
	}
}

// Choose returns the upstream for a request.
// Errors: *fault.NotRun with ReasonNoUpstream if none can take it now.
func (r *Router) Choose(request Request) (Choice, error) {
	upstreams := r.indexOf(request.View).byDatabase[request.Database]
	primary := request.View.Groups[request.Database].Primary
	r.mu.Lock()
	defer r.mu.Unlock()
	best := pick{}
	fallback := pick{}
	for _, u := range upstreams {
		isPrimary := u.Name == primary
		if !usable(u, request.Exclude) {
			continue
		}
		if isPrimary {
			fallback.offer(r.candidate(u, request, true))
			continue
		}
		if request.Mode == upstream.ModeRead {
			best.offer(r.candidate(u, request, false))
		}
	}
	choice, err := choose(best, fallback, request)
	if err == nil && request.Mode == upstream.ModeRead {
		r.count(choice)
	}
	return choice, err
}

func (r *Router) count(choice Choice) {
	if choice.Primary {
		r.onPrimary.Inc(1)
		return
	}
	r.onReplica.Inc(1)
}

func usable(u registry.Upstream, exclude []string) bool {
	if u.Leaving || u.OwnerAddress == "" {
		return false
	}
	return !slices.Contains(exclude, u.Name)
}

// choose prefers a replica. The primary takes a read if no replica is
// eligible, or if the replicas are so busy that the read would spend half of
// its remaining wait there and the primary is quicker.
func choose(replica, primary pick, request Request) (Choice, error) {
	if !replica.found && !primary.found {
		return Choice{}, none(request)
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

func none(request Request) error {
	detail := "no upstream of " + request.Database + " can take the read now"
	if request.Mode == upstream.ModeWrite {
		detail = "no primary of " + request.Database + " can take the write now"
	}
	return &fault.NotRun{Reason: fault.ReasonNoUpstream, Detail: detail}
}

// pick is the cheapest candidate so far.
type pick struct {
	found  bool
	cost   time.Duration
	choice Choice
}

func (p *pick) offer(c pick) {
	if !c.found {
		return
	}
	// Equal costs are common before hints arrive; a random choice spreads
	// the load then.
	cheaper := !p.found || c.cost < p.cost
	equal := p.found && c.cost == p.cost && rand.IntN(2) == 0
	if cheaper || equal {
		*p = c
	}
}

// candidate judges one upstream. The caller holds mu.
func (r *Router) candidate(u registry.Upstream, request Request, primary bool) pick {
	s := r.state(u.Name)
	now := r.now()
	delay := time.Duration(0)
	if !primary {
		if now.Before(s.downUntil) || !s.fresh(request.Class, now) {
			return pick{}
		}
		delay = s.delay(request)
		if delay > request.Remaining/2 {
			return pick{}
		}
	}
	cost := r.distance(u, s) + s.expectedWait(now) + delay
	return pick{found: true, cost: cost, choice: Choice{Upstream: u, Primary: primary, Delay: delay}}
}

// state returns the state of an upstream. The caller holds mu.
func (r *Router) state(name string) *state {
	s := r.states[name]
	if s == nil {
		s = &state{outFor: make(map[string]bool)}
		r.states[name] = s
	}
	return s
}

// distance is the network time to an upstream's owner.
func (r *Router) distance(u registry.Upstream, s *state) time.Duration {
	if s.network > 0 {
		return s.network
	}
	if u.DataCentre == r.dataCentre {
		return nearDistance
	}
	return farDistance
}

// Observe takes an owner's hint.
func (r *Router) Observe(hint exchange.Hint) {
	if hint.Upstream == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state(hint.Upstream).observe(hint, r.now())
}

// Started counts a request that was sent to an upstream.
func (r *Router) Started(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state(name).outstanding++
}

// Finished counts the end of a request and learns the network time: its
// duration less the time that the owner spent; zero if it was not answered.
func (r *Router) Finished(name string, network time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(name)
	s.outstanding--
	s.learnNetwork(network)
}

// Stale learns from an upstream's refusal of a request as stale.
func (r *Router) Stale(name string, request Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state(name).stale(request, r.now())
}

// Unavailable learns that an upstream could not take a request. If it is a
// replica, reads go elsewhere for a while, so that a lost replica does not cost
// each of them a retry.
func (r *Router) Unavailable(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state(name).unavailable(r.now())
}
