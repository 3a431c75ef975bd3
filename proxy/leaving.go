package proxy

import (
	"slices"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
)

const (
	// defaultLeavingPeriod is the promise of docs/design.md, P7.
	defaultLeavingPeriod = 3 * time.Second
	// leavingMargin is how long before the end of its leaving period an upstream
	// gets its last new work. It covers the way there through a relay, the pauses
	// of a host with a share of a core, and the retransmission of a lost packet.
	leavingMargin = 500 * time.Millisecond
)

// newWorkUntil returns when an upstream that leaves gets its last new work. The
// leaving period begins with an acknowledgement that this proxy doesn't see, so it is
// counted from the last time before it that the view knows. If that is the zero time,
// the period counts as over.
func (p *Proxy) newWorkUntil(v *site.View, u *pb.SiteUpstream) time.Time {
	return v.LeavingNotBefore(u.Id).Add(p.options.LeavingPeriod - leavingMargin)
}

// newWorkTime returns for how long the upstream gets new work, and false if that is
// not limited because it doesn't leave. New work are single statements and the first
// statements of transactions.
func (p *pool) newWorkTime() (remaining time.Duration, limited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newWorkUntil.Sub(now()), p.siteUpstream.Leaving
}

// takesNewWork reports whether the upstream may get new work now.
func (p *pool) takesNewWork() bool {
	remaining, limited := p.newWorkTime()
	return !limited || remaining > 0
}

// isNewWork reports whether the session's next statement is new work. Transactions that
// have run a statement go on at an upstream that leaves.
func (s *Session) isNewWork() bool { return s.tx == nil || !s.tx.hasRun }

// noUpstreamTakesWork reports whether a database's group has no upstream that may get
// new work now or later: none is announced, or the leaving periods of all are over.
func (p *Proxy) noUpstreamTakesWork(database string) bool {
	v := p.View()
	route, ok := v.Route(database)
	if !ok {
		return false
	}
	g, ok := v.Group(route.Group)
	if !ok {
		return false
	}
	return !slices.ContainsFunc(g.Upstreams, func(u *pb.SiteUpstream) bool {
		pl, ok := p.pool(u)
		return ok && pl.takesNewWork()
	})
}

// leavingFor returns for how long the proxy has known that the upstream leaves,
// and false unless it does.
func (p *pool) leavingFor() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leavingSince.IsZero() {
		return 0, false
	}
	return since(p.leavingSince), true
}

func upstreamLeaving() error { return &Refusal{Code: RefusedBusy, Reason: reasonUpstreamLeaving} }

// retryLeaving returns the retry of new work whose upstream gets none any more. If
// it was the primary, a successor may be recorded soon.
func retryLeaving() attempt { return retry(reasonUpstreamLeaving, jitter(noPrimaryBackoff)) }
