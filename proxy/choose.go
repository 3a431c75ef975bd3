package proxy

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"lovageslip/balance"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
	"lovageslip/upstream"
)

// candidate is an upstream that may serve a read.
type candidate struct {
	upstream *pb.SiteUpstream
	pool     *pool
	primary  bool
}

// chooseForRead returns an upstream for a read that needs minPosition. Package balance
// decides among those that fit. An upstream that has just failed is chosen only if
// excluded leaves no other, and one that is likely to lack the position is never chosen.
// An upstream that is leaving gets no read unless all are leaving: it may end at any
// time, and others that refuse now will soon have room. It gets none at all once its
// leaving period is over.
func (p *Proxy) chooseForRead(g *site.GroupView, minPosition upstream.Position, excluded map[string]bool) (candidate, bool) {
	var ready, backingOff candidates
	ready.init()
	backingOff.init()
	p.findCandidates(g, minPosition, excluded, &ready, &backingOff)
	from := &ready
	if len(from.upstreams) == 0 {
		from = &backingOff
	}
	if len(from.upstreams) == 0 {
		return candidate{}, false
	}
	chosen, reason := balance.Choose(from.known, rand.Float64)
	p.countChoice(reason, from.known[chosen])
	return from.upstreams[chosen], true
}

// candidates are upstreams that may serve a read, and what is known of each. The slices
// begin in the arrays, so that a choice among few upstreams allocates nothing.
type candidates struct {
	upstreams      []candidate
	known          []balance.Candidate
	firstUpstreams [balance.FewCandidates]candidate
	firstKnown     [balance.FewCandidates]balance.Candidate
}

func (c *candidates) init() {
	c.upstreams, c.known = c.firstUpstreams[:0], c.firstKnown[:0]
}

func (c *candidates) add(u candidate, known balance.Candidate) {
	c.upstreams, c.known = append(c.upstreams, u), append(c.known, known)
}

// findCandidates finds the upstreams that may serve a read. Those that have just failed
// or refused a statement are kept apart.
func (p *Proxy) findCandidates(g *site.GroupView, minPosition upstream.Position, excluded map[string]bool, ready, backingOff *candidates) {
	allLeaving := !slices.ContainsFunc(g.Upstreams, func(u *pb.SiteUpstream) bool { return !u.Leaving })
	for _, u := range g.Upstreams {
		if excluded[u.Id] || (u.Leaving && !allLeaving) {
			continue
		}
		pl, ok := p.pool(u)
		if !ok || !pl.takesNewWork() {
			continue
		}
		c := candidate{upstream: u, pool: pl, primary: u.Id == g.Primary}
		e := pl.estimate(minPosition)
		// The primary holds every position.
		if e.behind && !c.primary {
			continue
		}
		e.known.Distance = rank(p.distanceTo(u), e.known)
		if c.primary {
			e.known.Free = p.group(g.Name).mix.free(len(g.Upstreams) - 1)
		}
		if e.backingOff {
			backingOff.add(c, e.known)
			continue
		}
		ready.add(c, e.known)
	}
}

// choiceMetrics are the metrics of choices, which are made for each read.
type choiceMetrics struct {
	reasons map[balance.Reason]tally.Counter
	loadAge tally.Timer
}

func newChoiceMetrics(scope tally.Scope) choiceMetrics {
	m := choiceMetrics{reasons: make(map[balance.Reason]tally.Counter), loadAge: scope.Timer("load_figure_age_seconds")}
	for _, reason := range []balance.Reason{balance.OnlyOne, balance.Nearest, balance.Spread} {
		m.reasons[reason] = scope.Tagged(map[string]string{"reason": string(reason)}).Counter("read_choices_total")
	}
	return m
}

// rank orders upstreams by distance, and at equal distance those to which a scarce
// connection must be opened first behind the others, so that a proxy keeps to its home
// replica while that has room.
func rank(d distance, known balance.Candidate) int {
	r := 2 * int(d)
	if known.Overhead > 0 {
		r++
	}
	return r
}

func (p *Proxy) countChoice(reason balance.Reason, known balance.Candidate) {
	p.choices.reasons[reason].Inc(1)
	if known.LoadAge != balance.Unknown {
		p.choices.loadAge.Record(known.LoadAge)
	}
}

// mixHalfLife is the half-life of the work that workMix remembers: some waves of load
// pass within it, so that the primary's part stays even.
const mixHalfLife = 20 * time.Second

// workMix is how much of a group's work only the primary can do, and how much could run
// at any of its upstreams, as this proxy's own callers send it. It is safe for
// concurrent use.
type workMix struct {
	mu             sync.Mutex
	forced, chosen float64 // seconds at upstreams, halved after each mixHalfLife
	at             time.Time
}

// add records that a statement took a time at an upstream.
func (m *workMix) add(at time.Time, took time.Duration, forced bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	decay := math.Exp2(-float64(at.Sub(m.at)) / float64(mixHalfLife))
	m.forced, m.chosen, m.at = m.forced*decay, m.chosen*decay, at
	if forced {
		m.forced += took.Seconds()
	} else {
		m.chosen += took.Seconds()
	}
}

// free returns the part of the primary that is left for work that replicas can do.
func (m *workMix) free(replicas int) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return balance.Free(m.forced, m.chosen, replicas)
}
