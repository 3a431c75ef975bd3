package proxy

import (
	"time"

	"lovageslip/upstream"
)

// This file decides which reads a replica gets that has lacked a position. The load
// that it answers: a replica falls seconds behind, and each of many hosts finds out again
// and again, each time with a read that the replica refuses and that runs late elsewhere.
// So a host asks with one read at a time, and a relay answers for the replica what its
// last answer has shown. Nothing is sent only to find out.

const (
	// laggingPauseMin and laggingPauseMax bound how long a replica that lacked a
	// position gets no reads that need a newer position than it is known to hold.
	// The minimum is the usual lag of a replica. The maximum is how much later than
	// possible a replica that has caught up is used: below the maximum ages that
	// operators configure, so about as late as its next older reads.
	laggingPauseMin = 50 * time.Millisecond
	laggingPauseMax = time.Second
	// relayedPauseMax is the maximum where a relay answers instead of the replica.
	relayedPauseMax = 400 * time.Millisecond
)

// replicaLag is what a host knows of how far a replica is behind.
type replicaLag struct {
	// held is the newest position that the replica has shown to hold.
	held upstream.Position
	// lacked is the position that it lacked last, and lackedAge how long before the
	// primary had reached that.
	lacked    upstream.Position
	lackedAge time.Duration
	// pause is zero unless the replica has lacked a position and not caught up since.
	// One read may find out at until whether it has; trying is set from then on.
	pause  time.Duration
	until  time.Time
	trying bool
	// pauseMax bounds pause.
	pauseMax time.Duration
}

// lacks reports whether the replica is likely to lack a position.
func (l *replicaLag) lacks(position upstream.Position, at time.Time) bool {
	return at.Before(l.until) && l.held.Before(position)
}

// claim reports whether a read that needs a position may be sent. Of those that the
// replica may lack, that is one in each pause.
func (l *replicaLag) claim(position upstream.Position, at time.Time) bool {
	switch {
	case l.pause == 0 || !l.held.Before(position):
		return true
	case at.Before(l.until):
		return false
	}
	l.until, l.trying = at.Add(l.pause), true
	return true
}

// refused records that the replica lacked a position that the primary had reached so
// long ago, and which one it held. The pause doubles with each try.
func (l *replicaLag) refused(lacked, held upstream.Position, age time.Duration, at time.Time) {
	l.held, l.lacked, l.lackedAge = held, lacked, age
	if at.Before(l.until) && !l.trying {
		return
	}
	l.pause = min(max(2*l.pause, laggingPauseMin), l.pauseMax)
	l.until, l.trying = at.Add(l.pause), false
}

// served records that the replica held a position that a read needed, and which one
// after that. It was behind by so much then. It has caught up if it would have served
// the read that it refused: one that only needed less proves nothing.
func (l *replicaLag) served(needed, held upstream.Position, behind time.Duration) {
	l.held = laterPosition(l.held, held)
	if !needed.Before(l.lacked) && behind <= max(l.lackedAge, laggingPauseMin) {
		l.pause, l.until, l.trying = 0, time.Time{}, false
	}
}

// reachedFor returns for how long the primary has held a position, as far as the samples
// tell; 0 if they don't.
func (p *positions) reachedFor(position upstream.Position, at time.Time) time.Duration {
	return p.sinceFirst(at, func(s upstream.Position) bool { return !s.Before(position) })
}

// behind returns how long ago a replica that holds a position fell behind, as far as the
// samples tell; 0 if they don't.
func (p *positions) behind(held upstream.Position, at time.Time) time.Duration {
	return p.sinceFirst(at, held.Before)
}

// sinceFirst returns the age of the first sample whose position fits; 0 for none.
func (p *positions) sinceFirst(at time.Time, fits func(upstream.Position) bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.samples {
		if fits(s.position) {
			return at.Sub(s.requestedAt)
		}
	}
	return 0
}

// claimRead reports whether a read that needs a position may be sent to the replica now.
func (p *pool) claimRead(position upstream.Position) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lag.claim(position, now())
}

// recordPosition records the answer of a replica to a read that needed a position.
func (p *pool) recordPosition(needed upstream.Position, a Answer, samples *positions) {
	if needed == (upstream.Position{}) || a.Position == (upstream.Position{}) {
		return
	}
	at := now()
	switch a.Code {
	case CodeLagging:
		age := samples.reachedFor(needed, at)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.lag.refused(needed, a.Position, age, at)
	case CodeNone:
		behind := samples.behind(a.Position, at)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.lag.served(needed, a.Position, behind)
	}
}

// withhold reports whether a relay refuses a read for the replica, which is likely to lack
// the position, and which one the replica holds. A replica that has failed is asked.
func (p *pool) withhold(position upstream.Position) (held upstream.Position, withheld bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures > 0 || position == (upstream.Position{}) {
		return upstream.Position{}, false
	}
	return p.lag.held, !p.lag.claim(position, now())
}
