package control

import (
	"sync"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
)

// leaseTable is the leader's memory of renewals. It decides when an upstream
// may get a new owner. A renewal is refused once a new owner may have been
// chosen, so two hosts never hold a lease on one upstream.
type leaseTable struct {
	expiry time.Duration
	// since is when this leader began. Leases of earlier leaders run out
	// within one expiry of it.
	since time.Time

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

func newLeaseTable(expiry time.Duration, since time.Time) *leaseTable {
	return &leaseTable{expiry: expiry, since: since, entries: map[string]lease{}}
}

// renew extends the lease of u's owner if it is still in force.
func (t *leaseTable) renew(u *pb.Upstream, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[u.GetName()]
	if !known {
		e = lease{epoch: u.GetOwnerEpoch(), until: t.since.Add(t.expiry)}
	}
	if e.epoch != u.GetOwnerEpoch() || e.released || e.stopped || !now.Before(e.until) {
		return false
	}
	e.until = now.Add(t.expiry)
	t.entries[u.GetName()] = e
	return true
}

// stop ends the renewals of u, so that another host can own it once the lease
// has run out or is released.
func (t *leaseTable) stop(u *pb.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[u.GetName()]
	if !known {
		e = lease{epoch: u.GetOwnerEpoch(), until: t.since.Add(t.expiry)}
	}
	if e.epoch != u.GetOwnerEpoch() {
		return
	}
	e.stopped = true
	t.entries[u.GetName()] = e
}

// isStopped reports whether stop was called for u's present epoch.
func (t *leaseTable) isStopped(u *pb.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[u.GetName()]
	return e.stopped && e.epoch == u.GetOwnerEpoch()
}

// release ends the lease at the request of the owner, who no longer uses it.
func (t *leaseTable) release(u *pb.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, known := t.entries[u.GetName()]; known && e.epoch > u.GetOwnerEpoch() {
		return
	}
	t.entries[u.GetName()] = lease{epoch: u.GetOwnerEpoch(), released: true}
}

// free reports whether u may get a new owner.
func (t *leaseTable) free(u *pb.Upstream, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isFree(u, now)
}

func (t *leaseTable) isFree(u *pb.Upstream, now time.Time) bool {
	if u.GetOwnerEpoch() == 0 {
		return true
	}
	e, known := t.entries[u.GetName()]
	switch {
	case !known:
		return !now.Before(t.since.Add(t.expiry))
	case e.epoch > u.GetOwnerEpoch():
		// A new epoch was proposed before, and its outcome is not known.
		return true
	case e.released && e.epoch == u.GetOwnerEpoch():
		return true
	}
	return !now.Before(e.until)
}

// reserve keeps u for a new owner under the next epoch, if it is free. From
// then on the old epoch is never renewed, even if the proposal fails.
func (t *leaseTable) reserve(u *pb.Upstream, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isFree(u, now) {
		return false
	}
	t.entries[u.GetName()] = lease{epoch: u.GetOwnerEpoch() + 1, until: now.Add(t.expiry)}
	return true
}
