package proxy

import (
	"slices"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
	"lovageslip/upstream"
)

// primaryPenalty multiplies the expected wait at the primary for reads that a
// replica can serve, because writes can run at the primary only.
const primaryPenalty = 1.5

// remotePenalty is added to the expected wait at an upstream in another data
// centre, because its answers cross links that are shared and charged.
const remotePenalty = 10 * time.Millisecond

// candidate is an upstream that may serve a read.
type candidate struct {
	upstream *pb.SiteUpstream
	pool     *pool
	primary  bool
}

// chooseForRead returns the upstream with the least expected wait for a read that
// needs minPosition. An upstream that has just failed is chosen only if excluded
// leaves no other, and one that is likely to lack the position is never chosen. An
// upstream that is leaving gets no read unless all are leaving: it may end at any
// time, and others that refuse now will soon have room. It gets none at all once its
// leaving period is over.
func (p *Proxy) chooseForRead(g *site.GroupView, minPosition upstream.Position, excluded map[string]bool) (candidate, bool) {
	var best candidate
	var bestWait time.Duration
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
		wait, fits := p.expectedWait(c, minPosition)
		if !fits {
			continue
		}
		if best.pool == nil || wait < bestWait {
			best, bestWait = c, wait
		}
	}
	return best, best.pool != nil
}

// backoffPenalty is added to the expected wait at an upstream that has just
// failed or refused a statement; it outweighs any expected wait.
const backoffPenalty = 20 * time.Second

// expectedWait returns the expected wait at an upstream with its penalties. It
// reports false for a replica that lately lacked minPosition and so would
// probably refuse the read. The primary holds every position.
func (p *Proxy) expectedWait(c candidate, minPosition upstream.Position) (time.Duration, bool) {
	e := c.pool.estimate(minPosition)
	if e.behind && !c.primary {
		return 0, false
	}
	wait := e.wait
	if c.primary {
		wait = time.Duration(float64(wait) * primaryPenalty)
	}
	if c.upstream.DataCentre != p.options.DataCentre {
		wait += remotePenalty
	}
	if e.backingOff {
		wait += backoffPenalty
	}
	return wait, true
}
