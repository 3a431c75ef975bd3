package control

import (
	"time"

	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
)

// DropOwner implements failover.Journal. It stops the renewal of the owner's
// lease if another host could own the upstream.
func (l *leadership) DropOwner(name string) {
	frame := l.Frame()
	u, known := frame.Upstreams[name]
	if !known || len(l.candidates(frame, l.acceptsUpstreams(l.server.timing.now())).hosts) < 2 {
		return
	}
	l.server.metrics.Counter("owners_dropped_total").Inc(1)
	l.server.log.Warn("owner cannot reach its upstream, its lease is no longer renewed", "upstream", name, "owner", u.GetOwner())
	l.leases.stop(u)
}

// balance asks one owner to hand one upstream over to a better owner. Rolling
// restarts of hosts leave upstreams with owners in other data centres.
func (l *leadership) balance() {
	now := l.server.timing.now()
	if now.Sub(l.balancedAt) < balanceInterval || now.Sub(l.startedAt) < l.server.timing.HostStableTime {
		return
	}
	l.balancedAt = now
	frame := l.Frame()
	u, found := l.misplaced(frame, now)
	if !found {
		return
	}
	l.server.metrics.Counter("upstreams_moved_total").Inc(1)
	l.server.log.Info("leader moves an upstream to a better owner", "upstream", u.GetName(), "owner", u.GetOwner())
	l.leases.stop(u)
}

// misplaced returns the first upstream for which another host is a better
// owner. Both hosts must have been alive without a break for HostStableTime.
func (l *leadership) misplaced(frame *controlstate.Frame, now time.Time) (*pb.Upstream, bool) {
	accepts := l.acceptsUpstreams(now)
	stable := l.candidates(frame, func(h hostContact) bool {
		return accepts(h) && now.Sub(h.aliveSince) >= l.server.timing.HostStableTime
	})
	for _, host := range stable.hosts {
		for _, u := range frame.OwnedBy(host.GetName()) {
			if !l.leases.isStopped(u) && stable.hasBetterOwner(u, host) {
				return u, true
			}
		}
	}
	return nil, false
}

// hasBetterOwner reports whether another host in the upstream's data centre
// would be a better owner. If the owner is in that data centre too, it must own
// at least two upstreams more than the other host: with a difference of one the
// next round would move the upstream back.
func (c *candidateSet) hasBetterOwner(u *pb.Upstream, owner *pb.Host) bool {
	best := c.bestOwner(u, owner.GetName())
	if best == nil || best.GetDataCentre() != u.GetDataCentre() {
		return false
	}
	if owner.GetDataCentre() != u.GetDataCentre() {
		return true
	}
	return c.ownedCount[owner.GetName()]-c.ownedCount[best.GetName()] >= 2
}
