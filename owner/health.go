package owner

import (
	"time"

	"lovageslip/upstream"
)

// Health is a report on one owned upstream, for the heartbeat of this host.
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
	units := o.owned()
	reports := make([]Health, 0, len(units))
	for _, u := range units {
		reports = append(reports, u.health())
	}
	return reports
}

func (o *Owner) owned() []*unit {
	o.mu.Lock()
	defer o.mu.Unlock()
	units := make([]*unit, 0, len(o.units))
	for _, u := range o.units {
		units = append(units, u)
	}
	return units
}

func (u *unit) health() Health {
	status, at, known := u.poller.last()
	unreachable := u.poller.unreachable()
	h := Health{Upstream: u.name, Reachable: known && unreachable == 0, Unreachable: unreachable}
	if !known {
		return h
	}
	since := time.Since(at)
	h.Primary = status.Role == upstream.RolePrimary
	h.Term = status.Term
	h.Offset = status.Offset
	if !h.Primary {
		h.DataAge = status.DataAge + since
		h.PrimaryContactAge = status.PrimaryContactAge + since
	}
	return h
}
