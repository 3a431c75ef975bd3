package sitecontrol

import (
	"sync"
	"time"
)

// reach is what a control host knows of whether others answer it. The zero value knows
// nothing. It is safe for concurrent use.
type reach struct {
	// mu guards byAddress.
	mu        sync.Mutex
	byAddress map[string]reached
}

type reached struct {
	answered  bool
	succeeded bool      // this host has taken its place since it last answered
	at        time.Time // of the last answer or failure
	checkedAt time.Time // of the begin of the last check
}

// answers reports whether a host has answered lately, and not failed since.
func (r *reach) answers(address string, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.byAddress[address]
	return ok && known.answered && at.Sub(known.at) < 2*reachInterval
}

// fails reports whether a host has failed to answer lately.
func (r *reach) fails(address string, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.byAddress[address]
	return ok && !known.answered && at.Sub(known.at) < reachInterval
}

// claimCheck reports whether a check of a host is due, which the caller then begins.
func (r *reach) claimCheck(address string, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byAddress[address]
	if at.Sub(known.checkedAt) < reachInterval {
		return false
	}
	known.checkedAt = at
	r.setLocked(address, known)
	return true
}

// record stores whether a host has answered, and reports whether that is a change.
func (r *reach) record(address string, answered bool, at time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byAddress[address]
	changed = known.answered != answered
	known.answered, known.at = answered, at
	known.succeeded = known.succeeded && !answered
	r.setLocked(address, known)
	return changed
}

// succeed records that this host has taken the place of another one. It reports whether
// that is so for the first time since the other one answered.
func (r *reach) succeed(address string) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byAddress[address]
	first = !known.succeeded
	known.succeeded = true
	r.setLocked(address, known)
	return first
}

func (r *reach) setLocked(address string, known reached) {
	if r.byAddress == nil {
		r.byAddress = make(map[string]reached)
	}
	r.byAddress[address] = known
}
