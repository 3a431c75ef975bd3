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
	// known and backingOff are the proxy's estimate for the choice.
	known      balance.Candidate
	backingOff bool
	wait       time.Duration
}

// usualUpstreams is how many upstreams of a group are considered without an allocation.
const usualUpstreams = 8

// chooseForRead returns an upstream for a read that needs minPosition. Package balance
// decides among those that fit. An upstream that has just failed is chosen only if
// excluded leaves no other, and one that is likely to lack the position is never chosen.
// An upstream that is leaving gets no read unless all are leaving: it may end at any
// time, and others that refuse now will soon have room. It gets none at all once its
// leaving period is over.
func (p *Proxy) chooseForRead(g *site.GroupView, minPosition upstream.Position, excluded map[string]bool) (candidate, bool) {
	var room [usualUpstreams]candidate
	for {
		fitting := p.fittingForRead(g, minPosition, excluded, room[:0])
		if len(fitting) == 0 {
			return candidate{}, false
		}
		// Another read may have just begun to find out whether the replica has
		// caught up.
		if c := p.chooseAmong(fitting); c.primary || c.pool.claimRead(minPosition) {
			return c, true
		}
	}
}

func (p *Proxy) chooseAmong(fitting []candidate) candidate {
	var knownRoom [usualUpstreams]balance.Candidate
	known := knownRoom[:0]
	for _, c := range fitting {
		known = append(known, c.known)
	}
	chosen, reason := balance.Choose(known, rand.Float64)
	p.choices.count(reason, known[chosen])
	fitting[chosen].pool.upstreamMetrics.updateWait(fitting[chosen].wait)
	return fitting[chosen]
}

// fittingForRead appends to fitting the upstreams that may serve a read. Those that have
// just failed or refused a statement are left out if there are others.
func (p *Proxy) fittingForRead(g *site.GroupView, minPosition upstream.Position, excluded map[string]bool, fitting []candidate) []candidate {
	allLeaving := !slices.ContainsFunc(g.Upstreams, func(u *pb.SiteUpstream) bool { return !u.Leaving })
	for _, u := range g.Upstreams {
		if excluded[u.Id] || (u.Leaving && !allLeaving) {
			continue
		}
		pl, ok := p.pool(u)
		if !ok || !pl.takesNewWork() {
			continue
		}
		e := pl.estimate(minPosition)
		c := candidate{upstream: u, pool: pl, primary: u.Id == g.Primary, known: e.known, backingOff: e.backingOff, wait: e.wait}
		// The primary holds every position.
		if e.behind && !c.primary {
			continue
		}
		c.known.Distance = rank(p.distanceTo(u), e.known)
		if c.primary {
			c.known.Free = p.group(g.Name).mix.free(len(g.Upstreams) - 1)
		}
		fitting = append(fitting, c)
	}
	if !slices.ContainsFunc(fitting, func(c candidate) bool { return !c.backingOff }) {
		return fitting
	}
	return slices.DeleteFunc(fitting, func(c candidate) bool { return c.backingOff })
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

// choiceMetrics counts the choices for reads. Its parts are made once, because each look-up
// by tags allocates.
type choiceMetrics struct {
	onlyOne, nearest, spread tally.Counter
	loadAge                  tally.Timer
}

func newChoiceMetrics(scope tally.Scope) choiceMetrics {
	choices := func(reason balance.Reason) tally.Counter {
		return scope.Tagged(map[string]string{"reason": string(reason)}).Counter("read_choices_total")
	}
	return choiceMetrics{
		onlyOne: choices(balance.OnlyOne), nearest: choices(balance.Nearest), spread: choices(balance.Spread),
		loadAge: scope.Timer("load_figure_age_seconds"),
	}
}

func (m *choiceMetrics) count(reason balance.Reason, known balance.Candidate) {
	switch reason {
	case balance.OnlyOne:
		m.onlyOne.Inc(1)
	case balance.Nearest:
		m.nearest.Inc(1)
	default:
		m.spread.Inc(1)
	}
	if known.LoadAge != balance.Unknown {
		m.loadAge.Record(known.LoadAge)
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
