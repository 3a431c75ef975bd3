package owner

import (
	"context"
	"time"

	"lovageslip/class"
	"lovageslip/fault"
	"lovageslip/registry"
	"lovageslip/upstream"
)

const (
	// freshTimeout bounds the wait for a majority before a request runs.
	freshTimeout = time.Second
	// healthyAge is the age up to which the last confirmation suggests that
	// the next one will come at once, so that it may be awaited with a slot
	// in hand.
	healthyAge = 500 * time.Millisecond
)

// freshness is the proof that a primary had not been replaced, as recent as
// one request needs it.
type freshness struct {
	unit *unit
	age  time.Duration
	// pending is a confirmation begun after the request arrived; nil if the
	// last one may be recent enough.
	pending *confirmation
}

// freshness starts a confirmation if the last one is not recent enough. It
// runs while the request queues. done must be called.
func (u *unit) freshness(c class.Class, arrived time.Time) *freshness {
	f := &freshness{unit: u, age: c.Age}
	group := u.confirm.currentGroup()
	if group.Primary != u.name {
		return f
	}
	if c.Age > 0 && time.Since(u.confirm.confirmedAt()) < c.Age/2 {
		return f
	}
	f.pending = u.confirm.start(&confirmation{term: group.Term, since: arrived})
	return f
}

func (f *freshness) done() {
	if f.pending != nil {
		f.unit.confirm.finish(f.pending)
	}
}

// healthy reports whether wait is expected to return at once.
func (f *freshness) healthy() bool {
	return f.pending == nil || time.Since(f.unit.confirm.confirmedAt()) < healthyAge
}

// wait returns nil once the primary's data are known to be recent enough.
func (f *freshness) wait(ctx context.Context, timeout time.Duration) error {
	if f.age > 0 && time.Since(f.unit.confirm.confirmedAt()) <= f.age {
		return nil
	}
	if f.pending == nil {
		group := f.unit.confirm.currentGroup()
		f.pending = f.unit.confirm.start(&confirmation{term: group.Term, since: time.Now()})
	}
	return f.unit.confirm.wait(ctx, f.pending, min(timeout, freshTimeout))
}

// minTerm is the lowest term whose servers may answer reads. While a group
// has no primary, no write of the new term can have been acknowledged.
func minTerm(g registry.Group) upstream.Term {
	if g.Primary == "" && g.Term > 0 {
		return g.Term - 1
	}
	return g.Term
}

func (u *unit) isPrimary(s upstream.Status) bool {
	group := u.confirm.currentGroup()
	return s.Role == upstream.RolePrimary && group.Primary == u.name && group.Term == s.Term
}

// unknownAge stands for the age of a primary that no majority has confirmed.
const unknownAge = 24 * time.Hour

// dataAge bounds how old the data are now, by a status asked for at a time.
func (u *unit) dataAge(s upstream.Status, at time.Time) time.Duration {
	if s.Role == upstream.RoleReplica {
		return s.DataAge + time.Since(at)
	}
	confirmed := u.confirm.confirmedAt()
	if confirmed.IsZero() {
		return unknownAge
	}
	return time.Since(confirmed)
}

// checkRead judges the status that preceded a read on the same connection.
func (s *stream) checkRead(ctx context.Context, c class.Class, f *freshness, status upstream.Status) error {
	if !status.Includes(s.open.MinPosition) {
		return s.refuse(fault.ReasonStale, "the upstream is behind the session")
	}
	if status.Term < minTerm(s.unit.confirm.currentGroup()) {
		return s.refuse(fault.ReasonStale, "the upstream follows a replaced primary")
	}
	if status.Role == upstream.RoleReplica {
		return s.checkReplica(c, status)
	}
	if !s.unit.isPrimary(status) {
		return s.refuse(fault.ReasonStale, "the primary has been replaced")
	}
	if err := f.wait(ctx, freshTimeout); err != nil {
		return s.refuse(fault.ReasonStale, "no majority confirms the primary: "+err.Error())
	}
	return nil
}

func (s *stream) checkReplica(c class.Class, status upstream.Status) error {
	if c.Age == 0 {
		return s.refuse(fault.ReasonNotPrimary, "current data are asked of a replica")
	}
	if status.DataAge > c.Age {
		return s.refuse(fault.ReasonStale, "the replica is "+status.DataAge.String()+" behind")
	}
	return nil
}

// checkWrite refuses a write before it runs unless this upstream is known to
// lead its group. The commit is confirmed again after it ran.
func (s *stream) checkWrite() error {
	group := s.unit.confirm.currentGroup()
	if group.Primary != s.unit.name {
		return s.refuse(fault.ReasonNotPrimary, "the upstream is not the primary")
	}
	if s.open.MinPosition.Term > group.Term {
		return s.refuse(fault.ReasonNotPrimary, "the session has seen a newer primary")
	}
	return nil
}
