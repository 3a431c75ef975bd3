package route

import (
	"time"

	"lovageslip/class"
	"lovageslip/exchange"
)

const (
	// nearDistance and farDistance stand in for the network time to an owner
	// until it has been measured.
	nearDistance = time.Millisecond
	farDistance  = 10 * time.Millisecond
	// hintLife is how long a hint's data age is believed. After it the
	// upstream is tried again, which brings a new hint.
	hintLife = time.Second
	// returnShare is the share of a class's age under which a replica
	// returns to the class's set. The gap to the full age keeps a replica
	// near the limit from leaving and returning with every hint.
	returnShare = 0.8
	// minHold and maxHold bound how long a replica that refused a read as
	// too old, or could not take it, is left alone.
	minHold = 100 * time.Millisecond
	maxHold = 2 * time.Second
	// maxLag bounds the learned replication lag.
	maxLag = time.Minute
	// lagDecay and networkRise are the shares by which learned values move
	// towards smaller, or larger, observations.
	lagDecay    = 8
	networkRise = 64
	// outstandingCost is the wait that each request of this host that is
	// still with the owner adds to the last hint.
	outstandingCost = 50 * time.Microsecond
)

// state is what a router knows of one upstream.
type state struct {
	hint   exchange.Hint
	hintAt time.Time
	// lag is how long after its commit a write is expected to be applied.
	lag time.Duration
	// network is the shortest recent network time of an exchange.
	network     time.Duration
	outstanding int
	// outFor holds the classes whose set the replica has left.
	outFor map[string]bool
	// downUntil keeps reads away from a replica that could not take any, and
	// down is for how long the last time.
	downUntil time.Time
	down      time.Duration
	// heldUntil keeps reads of classes with an age up to heldAge away.
	heldUntil time.Time
	heldAge   time.Duration
	hold      time.Duration
}

func (s *state) observe(hint exchange.Hint, now time.Time) {
	s.hint = hint
	s.hintAt = now
	s.downUntil, s.down = time.Time{}, 0
	if hint.Primary {
		return
	}
	s.lag = max(hint.DataAge, s.lag-s.lag/lagDecay)
	if hint.DataAge < share(s.heldAge) {
		s.heldUntil = time.Time{}
		s.hold = 0
	}
}

func (s *state) learnNetwork(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	if s.network == 0 || elapsed < s.network {
		s.network = elapsed
		return
	}
	s.network += (elapsed - s.network) / networkRise
}

// stale notes a refusal. If the session's position can explain it, the lag is
// longer than the position's age; otherwise the data are older than the
// class's age.
func (s *state) stale(request Request, now time.Time) {
	positioned := request.Min.Term != 0
	if positioned && (s.hintAt.IsZero() || s.hint.Position.Before(request.Min)) {
		s.lag = min(maxLag, max(s.lag, request.SinceMin+request.SinceMin/2+time.Millisecond))
		return
	}
	s.hold = min(maxHold, max(minHold, 2*s.hold))
	s.heldUntil = now.Add(s.hold)
	s.heldAge = request.Class.Age
}

// unavailable notes that the upstream could not take a request.
func (s *state) unavailable(now time.Time) {
	if now.Before(s.downUntil) {
		return
	}
	s.down = min(maxHold, max(minHold, 2*s.down))
	s.downUntil = now.Add(s.down)
}

// fresh reports whether the replica is in the class's set.
func (s *state) fresh(c class.Class, now time.Time) bool {
	if c.Age == 0 {
		return false
	}
	if now.Before(s.heldUntil) && c.Age <= s.heldAge {
		return false
	}
	if s.hintAt.IsZero() || now.Sub(s.hintAt) > hintLife {
		delete(s.outFor, c.Name)
		return true
	}
	if s.hint.DataAge >= c.Age {
		s.outFor[c.Name] = true
	}
	if s.hint.DataAge < share(c.Age) {
		delete(s.outFor, c.Name)
	}
	return !s.outFor[c.Name]
}

func share(age time.Duration) time.Duration {
	return time.Duration(returnShare * float64(age))
}

// delay is how long until the replica is expected to include the session's
// position.
func (s *state) delay(request Request) time.Duration {
	if request.Min.Term == 0 {
		return 0
	}
	if !s.hintAt.IsZero() && !s.hint.Position.Before(request.Min) {
		return 0
	}
	return max(0, s.lag-request.SinceMin)
}

// expectedWait is the hinted wait, less the time since the hint, or the wait
// behind this host's own requests if that is longer: they may have been sent
// after the hint.
func (s *state) expectedWait(now time.Time) time.Duration {
	outstanding := max(0, s.outstanding)
	load := time.Duration(outstanding) * outstandingCost
	if s.hintAt.IsZero() {
		return load
	}
	hinted := s.hint.ExpectedWait - now.Sub(s.hintAt)
	own := time.Duration(outstanding-s.hint.Slots+1) * s.hint.Interval
	return load + max(0, hinted, own)
}
