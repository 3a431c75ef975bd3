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

// confirmer finds out whether a majority of the group follows this upstream in
// the group's current term, and up to which log position. Reads and writes on a
// primary and acknowledgements of commits depend on it. It runs one watcher for
// each other member while this upstream is the group's primary.
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

// statusReport is one member's answer to a query.
type statusReport struct {
	status upstream.Status
	// sentAt is when the query was sent. The status was true at some moment
	// after that.
	sentAt time.Time
}

// confirmation is one caller's request for proof that a majority follows this
// upstream.
type confirmation struct {
	term upstream.Term
	// position is what the logs of a majority must include; zero for none.
	position upstream.Position
	// notBefore is the earliest time at which the queries behind the counted
	// reports may have been sent.
	notBefore time.Time
	done      chan struct{} // closed once err is final
	err       error
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

// update applies a change of the registry's view. Confirmations of a replaced
// term fail at once, because no majority will follow that term again.
func (c *confirmer) update(view *registry.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.group = view.Groups[c.database]
	c.updateWatchers(view)
	for p := range c.pending {
		c.completeIfDecided(p)
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
			c.watchers[name] = c.startWatcher(name, address)
		}
	}
}

func (c *confirmer) startWatcher(name, address string) *watcher {
	ctx, stop := context.WithCancel(context.Background())
	w := &watcher{confirmer: c, name: name, address: address, stop: stop, wakeup: make(chan struct{}, 1)}
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
		c.completeIfDecided(p)
	}
}

// currentGroup returns the group as of the last update.
func (c *confirmer) currentGroup() registry.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.group
}

// start registers a confirmation and wakes the watchers. The caller must call
// wait or finish, which remove it.
func (c *confirmer) start(p *confirmation) *confirmation {
	p.done = make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[p] = struct{}{}
	c.completeIfDecided(p)
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
// Errors: *fault.NotRun with ReasonNotPrimary if the term has been replaced or
// the confirmer is closed, *Unconfirmed if the timeout passed or ctx ended first.
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

// Unconfirmed reports that no majority of the group was proven in time to
// follow the primary of Term.
type Unconfirmed struct {
	Term upstream.Term
}

func (e *Unconfirmed) Error() string { return "no majority of the group confirmed the term in time" }

// observe stores a member's report and completes the confirmations that it
// decides. Reports of watchers that have been replaced are ignored.
func (c *confirmer) observe(w *watcher, r statusReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watchers[w.name] != w {
		return
	}
	w.latest = r
	for p := range c.pending {
		c.completeIfDecided(p)
	}
}

// completeIfDecided completes p with an error if its term has been replaced or
// the confirmer is closed, and with success if a majority, which includes this
// upstream, confirms it. The caller holds mu.
func (c *confirmer) completeIfDecided(p *confirmation) {
	switch {
	case c.closed || c.replaced(p.term):
		p.err = &fault.NotRun{Reason: fault.ReasonNotPrimary, Detail: "the primary has been replaced"}
	case c.leads(p.term) && c.countConfirming(p)+1 >= c.group.Majority():
	default:
		return
	}
	delete(c.pending, p)
	close(p.done)
}

func (c *confirmer) leads(term upstream.Term) bool {
	return c.group.Term == term && c.group.Primary == c.self
}

// replaced reports whether the group has a higher term, or another primary in
// this term. A group with a lower term has not replaced it: the view that
// names this upstream as primary has yet to arrive.
func (c *confirmer) replaced(term upstream.Term) bool {
	if c.group.Term != term {
		return c.group.Term > term
	}
	return c.group.Primary != "" && c.group.Primary != c.self
}

// countConfirming returns how many other members confirm p.
func (c *confirmer) countConfirming(p *confirmation) int {
	n := 0
	for _, w := range c.watchers {
		if w.latest.follows(p.term) && !w.latest.sentAt.Before(p.notBefore) && w.latest.status.Includes(p.position) {
			n++
		}
	}
	return n
}

// follows reports whether the member was a replica in term and was not fenced at
// a higher one.
func (r statusReport) follows(term upstream.Term) bool {
	s := r.status
	return !r.sentAt.IsZero() && s.Role == upstream.RoleReplica && s.Term == term && s.FencedTerm <= term
}

// confirmedAt returns the latest time at which a majority is known to have
// followed this upstream in the group's term; zero if there is none.
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
	var sentTimes []time.Time
	for _, w := range c.watchers {
		if w.latest.follows(c.group.Term) {
			sentTimes = append(sentTimes, w.latest.sentAt)
		}
	}
	if len(sentTimes) < needed {
		return time.Time{}
	}
	slices.SortFunc(sentTimes, func(a, b time.Time) int { return b.Compare(a) })
	return sentTimes[needed-1]
}

// nextQuery returns what a watcher should query next: a status if a
// confirmation needs a newer report, otherwise a wait for the lowest pending
// position that the member has not reported yet. Both results are zero if no
// confirmation needs a query.
func (c *confirmer) nextQuery(w *watcher) (needStatus bool, position upstream.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for p := range c.pending {
		if p.notBefore.After(w.latest.sentAt) {
			needStatus = true
		}
		unseen := !w.latest.status.Includes(p.position)
		if unseen && (position == upstream.Position{} || p.position.Before(position)) {
			position = p.position
		}
	}
	return needStatus, position
}
