package control

import (
	"time"

	"github.com/sourcegraph/conc/pool"

	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
)

// maxProposals bounds the proposals in flight when many upstreams lose their
// owner together, for example with a data centre.
const maxProposals = 16

// assignment is an owner chosen for an upstream.
type assignment struct {
	upstream *pb.Upstream
	host     string
}

// assignOwners gives every upstream whose lease has ended a new owner.
func (l *leadership) assignOwners() {
	due := l.dueAssignments(l.Frame())
	if len(due) == 0 {
		return
	}
	proposals := pool.New().WithMaxGoroutines(maxProposals)
	for _, a := range due {
		proposals.Go(func() { l.assign(a) })
	}
	proposals.Wait()
}

func (l *leadership) dueAssignments(frame *controlstate.Frame) []assignment {
	now := l.server.timing.now()
	var due []assignment
	var candidates *candidateSet
	for _, u := range frame.Upstreams {
		if !l.needsOwner(u, now) {
			continue
		}
		if candidates == nil {
			candidates = l.candidates(frame, l.alive(now))
		}
		if host, ok := candidates.choose(u, l.avoided(u)); ok {
			due = append(due, assignment{upstream: u, host: host})
		}
	}
	return due
}

func (l *leadership) needsOwner(u *pb.Upstream, now time.Time) bool {
	if u.GetOwnerEpoch() == 0 && now.Before(l.since.Add(l.server.timing.HostSettle)) {
		return false
	}
	return l.leases.free(u, now)
}

func (l *leadership) assign(a assignment) {
	if !l.leases.reserve(a.upstream, l.server.timing.now()) {
		return
	}
	applied, err := l.Propose(l.ctx, &pb.Command{Command: &pb.Command_Assign{Assign: &pb.AssignOwner{
		Upstream:      a.upstream.GetName(),
		Host:          a.host,
		ExpectedEpoch: a.upstream.GetOwnerEpoch(),
	}}})
	if err != nil || !applied {
		l.server.log.Warn("owner not assigned", "upstream", a.upstream.GetName(), "host", a.host, "err", err)
		return
	}
	l.server.metrics.Counter("owners_assigned_total").Inc(1)
	l.server.log.Info("owner assigned", "upstream", a.upstream.GetName(), "host", a.host, "epoch", a.upstream.GetOwnerEpoch()+1)
}

// candidateSet holds the hosts that may become owners and how many upstreams
// each owns, counting those chosen in this round.
type candidateSet struct {
	hosts []*pb.Host
	owned map[string]int
}

// alive returns a test for hosts that may get an upstream.
func (l *leadership) alive(now time.Time) func(hostSeen) bool {
	return func(h hostSeen) bool {
		return !h.leaving && now.Sub(h.at) <= l.server.timing.HostAlive
	}
}

// avoided returns the host that upstream u is taken from, empty if none.
func (l *leadership) avoided(u *pb.Upstream) string {
	if l.leases.isStopped(u) {
		return u.GetOwner()
	}
	return ""
}

func (l *leadership) candidates(frame *controlstate.Frame, fit func(hostSeen) bool) *candidateSet {
	c := &candidateSet{owned: map[string]int{}}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, seen := range l.hosts {
		host, known := frame.Hosts[name]
		if !known || !fit(seen) {
			continue
		}
		c.hosts = append(c.hosts, host)
		c.owned[name] = len(frame.OwnedBy(name))
	}
	return c
}

// choose prefers the upstream's data centre, then the host that owns fewest,
// then the first name. The avoided host is chosen only if it is the only one.
func (c *candidateSet) choose(u *pb.Upstream, avoid string) (string, bool) {
	best := c.best(u, avoid)
	if best == nil {
		best = c.best(u, "")
	}
	if best == nil {
		return "", false
	}
	c.owned[best.GetName()]++
	return best.GetName(), true
}

func (c *candidateSet) best(u *pb.Upstream, avoid string) *pb.Host {
	var best *pb.Host
	for _, h := range c.hosts {
		if h.GetName() == avoid {
			continue
		}
		if best == nil || c.better(h, best, u.GetDataCentre()) {
			best = h
		}
	}
	return best
}

func (c *candidateSet) better(a, b *pb.Host, dataCentre string) bool {
	nearA, nearB := a.GetDataCentre() == dataCentre, b.GetDataCentre() == dataCentre
	if nearA != nearB {
		return nearA
	}
	if c.owned[a.GetName()] != c.owned[b.GetName()] {
		return c.owned[a.GetName()] < c.owned[b.GetName()]
	}
	return a.GetName() < b.GetName()
}

// removeHosts removes the registration of hosts that have been silent for
// long and own nothing.
func (l *leadership) removeHosts() {
	now := l.server.timing.now()
	if now.Sub(l.since) < l.server.timing.HostRemoval {
		return
	}
	frame := l.Frame()
	for name := range frame.Hosts {
		if l.silentSince(name, now) < l.server.timing.HostRemoval || len(frame.OwnedBy(name)) > 0 {
			continue
		}
		applied, err := l.Propose(l.ctx, &pb.Command{Command: &pb.Command_RemoveHost{RemoveHost: &pb.RemoveHost{Name: name}}})
		l.server.log.Info("silent host removed", "host", name, "applied", applied, "err", err)
	}
}

func (l *leadership) silentSince(host string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen, ok := l.hosts[host]
	if !ok {
		return now.Sub(l.since)
	}
	return now.Sub(seen.at)
}
