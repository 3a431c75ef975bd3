package control

import (
	"sync"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
)

// leaseTable records the leases that the leader has renewed, and decides when
// an upstream may get a new owner. A renewal is refused once a new owner may
// have been chosen, so two hosts never hold a lease on one upstream.
type leaseTable struct {
	expiry time.Duration
	// leaderStartedAt is when this leader's term began. Leases that earlier
	// leaders have renewed end within one expiry of it.
	leaderStartedAt time.Time

	// mu guards entries.
	mu      sync.Mutex
	entries map[string]lease
}

type lease struct {
	epoch    uint64
	until    time.Time
	released bool
	// stopped means that the lease is not renewed any more.
	stopped bool
}

func newLeaseTable(expiry time.Duration, leaderStartedAt time.Time) *leaseTable {
	return &leaseTable{expiry: expiry, leaderStartedAt: leaderStartedAt, entries: map[string]lease{}}
}

// renew extends the lease of u's owner if it is still in force.
func (t *leaseTable) renew(u *pb.Upstream, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[u.GetName()]
	if !known {
		e = lease{epoch: u.GetOwnerEpoch(), until: t.leaderStartedAt.Add(t.expiry)}
	}
	if e.epoch != u.GetOwnerEpoch() || e.released || e.stopped || !now.Before(e.until) {
		return false
	}
	e.until = now.Add(t.expiry)
	t.entries[u.GetName()] = e
	return true
}

// stop ends the renewals of u's lease, so that another host can own u once the
// lease has expired or is released.
func (t *leaseTable) stop(u *pb.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[u.GetName()]
	if !known {
		e = lease{epoch: u.GetOwnerEpoch(), until: t.leaderStartedAt.Add(t.expiry)}
	}
	if e.epoch != u.GetOwnerEpoch() {
		return
	}
	e.stopped = true
	t.entries[u.GetName()] = e
}

// isStopped reports whether stop was called for u's current epoch.
func (t *leaseTable) isStopped(u *pb.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[u.GetName()]
	return e.stopped && e.epoch == u.GetOwnerEpoch()
}

// release ends the lease at the request of the owner, which no longer uses it.
func (t *leaseTable) release(u *pb.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, known := t.entries[u.GetName()]; known && e.epoch > u.GetOwnerEpoch() {
		return
	}
	t.entries[u.GetName()] = lease{epoch: u.GetOwnerEpoch(), released: true}
}

// isFree reports whether u may get a new owner.
func (t *leaseTable) isFree(u *pb.Upstream, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isFreeLocked(u, now)
}

// isFreeLocked is isFree for callers that hold t.mu.
func (t *leaseTable) isFreeLocked(u *pb.Upstream, now time.Time) bool {
	if u.GetOwnerEpoch() == 0 {
		return true
	}
	e, known := t.entries[u.GetName()]
	switch {
	case !known:
		return !now.Before(t.leaderStartedAt.Add(t.expiry))
	case e.epoch > u.GetOwnerEpoch():
		// reserve was called earlier, but the proposal of the new owner has
		// failed or its outcome is unknown.
		return true
	case e.released && e.epoch == u.GetOwnerEpoch():
		return true
	}
	return !now.Before(e.until)
}

// reserve reserves u for a new owner under the next epoch, if it is free. The
// lease of the old epoch is never renewed after that, even if the proposal of
// the new owner fails.
func (t *leaseTable) reserve(u *pb.Upstream, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isFreeLocked(u, now) {
		return false
	}
	t.entries[u.GetName()] = lease{epoch: u.GetOwnerEpoch() + 1, until: now.Add(t.expiry)}
	return true
}
