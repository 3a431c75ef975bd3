package control

import (
	"time"

	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
)

// DropOwner implements failover.Journal. The lease is not renewed any more if
// another host could own the upstream.
func (l *leadership) DropOwner(name string) {
	frame := l.Frame()
	u, known := frame.Upstreams[name]
	if !known || len(l.candidates(frame, l.alive(l.server.timing.now())).hosts) < 2 {
		return
	}
	l.server.metrics.Counter("owners_dropped_total").Inc(1)
	l.server.log.Warn("owner does not reach its upstream", "upstream", name, "owner", u.GetOwner())
	l.leases.stop(u)
}

// balance asks one owner to hand one upstream over to a better owner. Owners
// drift away from their upstreams while hosts restart one after another.
func (l *leadership) balance() {
	now := l.server.timing.now()
	if now.Sub(l.balancedAt) < balanceInterval || now.Sub(l.since) < l.server.timing.HostSteady {
		return
	}
	l.balancedAt = now
	frame := l.Frame()
	u, found := l.misplaced(frame, now)
	if !found {
		return
	}
	l.server.metrics.Counter("upstreams_moved_total").Inc(1)
	l.server.log.Info("upstream is to move to a better owner", "upstream", u.GetName(), "owner", u.GetOwner())
	l.leases.stop(u)
}

// misplaced returns the first upstream for which a steady host is better than
// its owner, which must be steady too.
func (l *leadership) misplaced(frame *controlstate.Frame, now time.Time) (*pb.Upstream, bool) {
	alive := l.alive(now)
	steady := l.candidates(frame, func(h hostSeen) bool {
		return alive(h) && now.Sub(h.steadySince) >= l.server.timing.HostSteady
	})
	for _, host := range steady.hosts {
		for _, u := range frame.OwnedBy(host.GetName()) {
			if !l.leases.isStopped(u) && steady.improves(u, host) {
				return u, true
			}
		}
	}
	return nil, false
}

// improves reports whether a host in the upstream's data centre would be a
// better owner. A difference of one is no improvement: it would move back.
func (c *candidateSet) improves(u *pb.Upstream, owner *pb.Host) bool {
	best := c.best(u, owner.GetName())
	if best == nil || best.GetDataCentre() != u.GetDataCentre() {
		return false
	}
	if owner.GetDataCentre() != u.GetDataCentre() {
		return true
	}
	return c.owned[owner.GetName()]-c.owned[best.GetName()] >= 2
}
