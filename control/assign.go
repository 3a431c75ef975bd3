package control

import (
	"time"

	"github.com/sourcegraph/conc/pool"

	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
)

// maxProposals bounds the proposals in flight when many upstreams lose their
// owner at the same time, for example because a data centre has failed.
const maxProposals = 16

// assignment is an owner chosen for an upstream.
type assignment struct {
	upstream *pb.Upstream
	host     string
}

// assignOwners proposes a new owner for every upstream whose lease has ended.
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
			candidates = l.candidates(frame, l.acceptsUpstreams(now))
		}
		if host, ok := candidates.choose(u, l.avoided(u)); ok {
			due = append(due, assignment{upstream: u, host: host})
		}
	}
	return due
}

func (l *leadership) needsOwner(u *pb.Upstream, now time.Time) bool {
	if u.GetOwnerEpoch() == 0 && now.Before(l.startedAt.Add(l.server.timing.FirstAssignDelay)) {
		return false
	}
	return l.leases.isFree(u, now)
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
		l.server.log.Warn("owner of upstream not assigned", "upstream", a.upstream.GetName(), "host", a.host, "err", err)
		return
	}
	l.server.metrics.Counter("owners_assigned_total").Inc(1)
	l.server.log.Info("owner of upstream assigned", "upstream", a.upstream.GetName(), "host", a.host, "epoch", a.upstream.GetOwnerEpoch()+1)
}

// candidateSet holds the hosts that may become owners and how many upstreams
// each of them owns, including those assigned to it in this round.
type candidateSet struct {
	hosts      []*pb.Host
	ownedCount map[string]int
}

// acceptsUpstreams returns a filter for hosts that may become owners: they are
// not leaving and have sent a heartbeat within HostTimeout.
func (l *leadership) acceptsUpstreams(now time.Time) func(hostContact) bool {
	return func(h hostContact) bool {
		return !h.leaving && now.Sub(h.lastHeartbeat) <= l.server.timing.HostTimeout
	}
}

// avoided returns the host that upstream u is being moved away from, empty if
// there is none.
func (l *leadership) avoided(u *pb.Upstream) string {
	if l.leases.isStopped(u) {
		return u.GetOwner()
	}
	return ""
}

func (l *leadership) candidates(frame *controlstate.Frame, accepts func(hostContact) bool) *candidateSet {
	c := &candidateSet{ownedCount: map[string]int{}}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, contact := range l.hostContacts {
		host, registered := frame.Hosts[name]
		if !registered || !accepts(contact) {
			continue
		}
		c.hosts = append(c.hosts, host)
		c.ownedCount[name] = len(frame.OwnedBy(name))
	}
	return c
}

// choose returns the new owner of u. It prefers hosts in the upstream's data
// centre, then the host that owns the fewest upstreams, then the first by name.
// The host avoid is chosen only if there is no other.
func (c *candidateSet) choose(u *pb.Upstream, avoid string) (string, bool) {
	best := c.bestOwner(u, avoid)
	if best == nil {
		best = c.bestOwner(u, "")
	}
	if best == nil {
		return "", false
	}
	c.ownedCount[best.GetName()]++
	return best.GetName(), true
}

func (c *candidateSet) bestOwner(u *pb.Upstream, avoid string) *pb.Host {
	var best *pb.Host
	for _, h := range c.hosts {
		if h.GetName() == avoid {
			continue
		}
		if best == nil || c.isBetterOwner(h, best, u.GetDataCentre()) {
			best = h
		}
	}
	return best
}

func (c *candidateSet) isBetterOwner(a, b *pb.Host, dataCentre string) bool {
	localA, localB := a.GetDataCentre() == dataCentre, b.GetDataCentre() == dataCentre
	if localA != localB {
		return localA
	}
	if c.ownedCount[a.GetName()] != c.ownedCount[b.GetName()] {
		return c.ownedCount[a.GetName()] < c.ownedCount[b.GetName()]
	}
	return a.GetName() < b.GetName()
}

// removeSilentHosts removes the registration of hosts that have sent no
// heartbeat for HostRemovalDelay and own no upstream.
func (l *leadership) removeSilentHosts() {
	now := l.server.timing.now()
	if now.Sub(l.startedAt) < l.server.timing.HostRemovalDelay {
		return
	}
	frame := l.Frame()
	for name := range frame.Hosts {
		if l.silentFor(name, now) < l.server.timing.HostRemovalDelay || len(frame.OwnedBy(name)) > 0 {
			continue
		}
		applied, err := l.Propose(l.ctx, &pb.Command{Command: &pb.Command_RemoveHost{RemoveHost: &pb.RemoveHost{Name: name}}})
		l.server.log.Info("removal of silent host proposed", "host", name, "applied", applied, "err", err)
	}
}

func (l *leadership) silentFor(host string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	contact, ok := l.hostContacts[host]
	if !ok {
		return now.Sub(l.startedAt)
	}
	return now.Sub(contact.lastHeartbeat)
}
