package owner

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"lovageslip/fault"
	"lovageslip/registry"
	"lovageslip/upstream"
)

// confirmer learns from the other members of a group whether a majority
// follows this upstream in the group's current term, and up to which position.
// It keeps one watcher for each other member while the group names this
// upstream as primary.
type confirmer struct {
	dialer   upstream.Dialer
	log      *slog.Logger
	self     string
	database string

	// mu guards all fields below.
	mu       sync.Mutex
	group    registry.Group
	watchers map[string]*watcher
	pending  map[*confirmation]struct{}
	closed   bool
}

// report is what one member said.
type report struct {
	status upstream.Status
	// began is when the query was sent; what it says held at some moment
	// after that.
	began time.Time
}

// confirmation is a caller that waits for a majority.
type confirmation struct {
	term upstream.Term
	// position that a majority must include; zero for none.
	position upstream.Position
	// since is the time that the reports must have begun at or after.
	since time.Time
	done  chan struct{} // closed once err is final
	err   error
}

func newConfirmer(dialer upstream.Dialer, log *slog.Logger, up registry.Upstream) *confirmer {
	return &confirmer{
		dialer:   dialer,
		log:      log,
		self:     up.Name,
		database: up.Database,
		watchers: map[string]*watcher{},
		pending:  map[*confirmation]struct{}{},
	}
}

// update follows a change of the group. Confirmations of another term fail at
// once, because no majority will follow that term again.
func (c *confirmer) update(view *registry.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.group = view.Groups[c.database]
	c.updateWatchers(view)
	for p := range c.pending {
		c.settle(p)
	}
}

func (c *confirmer) updateWatchers(view *registry.View) {
	wanted := map[string]string{}
	if c.group.Primary == c.self {
		for _, name := range c.group.Members {
			if up, ok := view.Upstreams[name]; ok && name != c.self {
				wanted[name] = up.Address
			}
		}
	}
	for name, w := range c.watchers {
		if wanted[name] != w.address {
			delete(c.watchers, name)
			w.stop()
		}
	}
	for name, address := range wanted {
		if c.watchers[name] == nil {
			c.watchers[name] = c.watch(name, address)
		}
	}
}

func (c *confirmer) watch(name, address string) *watcher {
	ctx, stop := context.WithCancel(context.Background())
	w := &watcher{confirmer: c, name: name, address: address, stop: stop, kick: make(chan struct{}, 1)}
	go w.run(ctx)
	return w
}

func (c *confirmer) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.group = registry.Group{}
	for _, w := range c.watchers {
		w.stop()
	}
	c.watchers = map[string]*watcher{}
	for p := range c.pending {
		c.settle(p)
	}
}

// currentGroup returns the group as last seen.
func (c *confirmer) currentGroup() registry.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.group
}

// start registers a confirmation and wakes the watchers. The caller must call
// finish.
func (c *confirmer) start(p *confirmation) *confirmation {
	p.done = make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[p] = struct{}{}
	c.settle(p)
	if _, waits := c.pending[p]; waits {
		for _, w := range c.watchers {
			w.wake()
		}
	}
	return p
}

func (c *confirmer) finish(p *confirmation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, p)
}

// wait returns nil once a majority has confirmed p.
// Errors: *fault.NotRun with ReasonNotPrimary if the term has been replaced,
// *Unconfirmed if the time ran out.
func (c *confirmer) wait(ctx context.Context, p *confirmation, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	defer c.finish(p)
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return &Unconfirmed{Term: p.term}
	case <-timer.C:
		return &Unconfirmed{Term: p.term}
	}
}

// Unconfirmed reports that no majority of the group could be heard in time.
type Unconfirmed struct {
	Term upstream.Term
}

func (e *Unconfirmed) Error() string { return "no majority of the group confirmed the term in time" }

// observe takes a member's report and settles what it decides.
func (c *confirmer) observe(w *watcher, r report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watchers[w.name] != w {
		return
	}
	w.latest = r
	for p := range c.pending {
		c.settle(p)
	}
}

// settle completes p if its outcome is known.
func (c *confirmer) settle(p *confirmation) {
	switch {
	case c.closed || c.replaced(p.term):
		p.err = &fault.NotRun{Reason: fault.ReasonNotPrimary, Detail: "the primary has been replaced"}
	case c.leads(p.term) && c.supporters(p)+1 >= c.group.Majority():
	default:
		return
	}
	delete(c.pending, p)
	close(p.done)
}

func (c *confirmer) leads(term upstream.Term) bool {
	return c.group.Term == term && c.group.Primary == c.self
}

// replaced reports whether the group has gone past this upstream's term. A
// group that is behind term is not: its change of primary is still arriving.
func (c *confirmer) replaced(term upstream.Term) bool {
	if c.group.Term != term {
		return c.group.Term > term
	}
	return c.group.Primary != "" && c.group.Primary != c.self
}

// supporters counts the other members that confirm p.
func (c *confirmer) supporters(p *confirmation) int {
	n := 0
	for _, w := range c.watchers {
		if w.latest.follows(p.term) && !w.latest.began.Before(p.since) && w.latest.status.Includes(p.position) {
			n++
		}
	}
	return n
}

// follows reports whether the member was a replica in term and had promised
// nothing to a higher one.
func (r report) follows(term upstream.Term) bool {
	s := r.status
	return !r.began.IsZero() && s.Role == upstream.RoleReplica && s.Term == term && s.Fenced <= term
}

// confirmedAt is the latest time at which a majority is known to have
// followed this upstream in the group's term; zero if never.
func (c *confirmer) confirmedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.group.Primary != c.self {
		return time.Time{}
	}
	needed := c.group.Majority() - 1
	if needed == 0 {
		return time.Now()
	}
	var began []time.Time
	for _, w := range c.watchers {
		if w.latest.follows(c.group.Term) {
			began = append(began, w.latest.began)
		}
	}
	if len(began) < needed {
		return time.Time{}
	}
	slices.SortFunc(began, func(a, b time.Time) int { return b.Compare(a) })
	return began[needed-1]
}

// demand is what a watcher should ask next: a status if a confirmation needs
// a newer report, or else the lowest pending position that the member has not
// reported yet.
func (c *confirmer) demand(w *watcher) (status bool, position upstream.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for p := range c.pending {
		if p.since.After(w.latest.began) {
			status = true
		}
		unseen := !w.latest.status.Includes(p.position)
		if unseen && (position == upstream.Position{} || p.position.Before(position)) {
			position = p.position
		}
	}
	return status, position
}
