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
	// preRunConfirmTimeout bounds the wait for a majority before a request runs.
	preRunConfirmTimeout = time.Second
	// promptConfirmationAge is the age up to which the last confirmation
	// suggests that the next one will come at once. A job may then hold a
	// slot while it waits for the next one.
	promptConfirmationAge = 500 * time.Millisecond
)

// freshness obtains the proof for one request that the primary has not been
// replaced. The class of the request says how old the proof may be.
type freshness struct {
	upstream *ownedUpstream
	maxAge   time.Duration
	// pending is a confirmation by reports from after the request's arrival;
	// nil if the last one may be recent enough.
	pending *confirmation
}

// freshness starts a confirmation if the last one is not recent enough, so
// that it is obtained while the request queues. The caller must call done.
func (u *ownedUpstream) freshness(c class.Class, arrived time.Time) *freshness {
	f := &freshness{upstream: u, maxAge: c.Age}
	group := u.confirmer.currentGroup()
	if group.Primary != u.name {
		return f
	}
	if c.Age > 0 && time.Since(u.confirmer.confirmedAt()) < c.Age/2 {
		return f
	}
	f.pending = u.confirmer.start(&confirmation{term: group.Term, notBefore: arrived})
	return f
}

func (f *freshness) done() {
	if f.pending != nil {
		f.upstream.confirmer.finish(f.pending)
	}
}

// expectsNoWait reports whether wait is expected to return at once.
func (f *freshness) expectsNoWait() bool {
	return f.pending == nil || time.Since(f.upstream.confirmer.confirmedAt()) < promptConfirmationAge
}

// wait returns nil once the primary's confirmation is recent enough for the
// request. Errors: as of confirmer.wait.
func (f *freshness) wait(ctx context.Context, timeout time.Duration) error {
	if f.maxAge > 0 && time.Since(f.upstream.confirmer.confirmedAt()) <= f.maxAge {
		return nil
	}
	if f.pending == nil {
		group := f.upstream.confirmer.currentGroup()
		f.pending = f.upstream.confirmer.start(&confirmation{term: group.Term, notBefore: time.Now()})
	}
	return f.upstream.confirmer.wait(ctx, f.pending, min(timeout, preRunConfirmTimeout))
}

// minReadTerm returns the lowest term whose servers may answer reads. While a
// group has no primary, no write of the new term can have been acknowledged,
// so that servers of the term before it may still answer.
func minReadTerm(g registry.Group) upstream.Term {
	if g.Primary == "" && g.Term > 0 {
		return g.Term - 1
	}
	return g.Term
}

func (u *ownedUpstream) isPrimary(s upstream.Status) bool {
	group := u.confirmer.currentGroup()
	return s.Role == upstream.RolePrimary && group.Primary == u.name && group.Term == s.Term
}

// unconfirmedDataAge is reported as the age of the data of a primary that no
// majority has confirmed.
const unconfirmedDataAge = 24 * time.Hour

// dataAge returns an upper bound of the age of the data now, from a status
// whose query was sent at sentAt.
func (u *ownedUpstream) dataAge(s upstream.Status, sentAt time.Time) time.Duration {
	if s.Role == upstream.RoleReplica {
		return s.DataAge + time.Since(sentAt)
	}
	confirmed := u.confirmer.confirmedAt()
	if confirmed.IsZero() {
		return unconfirmedDataAge
	}
	return time.Since(confirmed)
}

// checkRead refuses a read unless the status that the server sent before the
// answer, on the same connection, shows data recent enough for the request.
func (s *stream) checkRead(ctx context.Context, c class.Class, f *freshness, status upstream.Status) error {
	if !status.Includes(s.open.MinPosition) {
		return s.refuse(fault.ReasonStale, "the upstream is behind the session")
	}
	if status.Term < minReadTerm(s.upstream.confirmer.currentGroup()) {
		return s.refuse(fault.ReasonStale, "the upstream follows a replaced primary")
	}
	if status.Role == upstream.RoleReplica {
		return s.checkReplica(c, status)
	}
	if !s.upstream.isPrimary(status) {
		return s.refuse(fault.ReasonStale, "the primary has been replaced")
	}
	if err := f.wait(ctx, preRunConfirmTimeout); err != nil {
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

// checkWrite refuses a write before it runs unless this upstream is the primary
// in the registry's view, in a term no older than the session's position.
// confirmCommit confirms the primary again after the commit.
func (s *stream) checkWrite() error {
	group := s.upstream.confirmer.currentGroup()
	if group.Primary != s.upstream.name {
		return s.refuse(fault.ReasonNotPrimary, "the upstream is not the primary")
	}
	if s.open.MinPosition.Term > group.Term {
		return s.refuse(fault.ReasonNotPrimary, "the session has seen a newer primary")
	}
	return nil
}
