package owner

import (
	"time"

	"lovageslip/upstream"
)

// Health is the state of one owned upstream, which this host reports in its
// heartbeats.
type Health struct {
	Upstream  string
	Reachable bool
	// Unreachable is the time since the last successful status query; zero
	// while the upstream is reachable.
	Unreachable time.Duration
	Primary     bool
	Term        upstream.Term
	Offset      upstream.Offset
	DataAge     time.Duration
	// PrimaryContactAge is the time since a replica last heard from its
	// primary.
	PrimaryContactAge time.Duration
}

// HealthReporter supplies the health of owned upstreams for heartbeats.
type HealthReporter interface {
	Health() []Health
}

var _ HealthReporter = (*Owner)(nil)

// Health reports on all owned upstreams, in no particular order.
func (o *Owner) Health() []Health {
	upstreams := o.ownedUpstreams()
	reports := make([]Health, 0, len(upstreams))
	for _, u := range upstreams {
		reports = append(reports, u.health())
	}
	return reports
}

func (o *Owner) ownedUpstreams() []*ownedUpstream {
	o.mu.Lock()
	defer o.mu.Unlock()
	upstreams := make([]*ownedUpstream, 0, len(o.upstreams))
	for _, u := range o.upstreams {
		upstreams = append(upstreams, u)
	}
	return upstreams
}

func (u *ownedUpstream) health() Health {
	status, sentAt, hasStatus := u.poller.lastStatus()
	unreachable := u.poller.unreachable()
	h := Health{Upstream: u.name, Reachable: hasStatus && unreachable == 0, Unreachable: unreachable}
	if !hasStatus {
		return h
	}
	statusAge := time.Since(sentAt)
	h.Primary = status.Role == upstream.RolePrimary
	h.Term = status.Term
	h.Offset = status.Offset
	if !h.Primary {
		h.DataAge = status.DataAge + statusAge
		h.PrimaryContactAge = status.PrimaryContactAge + statusAge
	}
	return h
}
