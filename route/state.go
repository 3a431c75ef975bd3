package route

import (
	"time"

	"lovageslip/class"
	"lovageslip/exchange"
)

const (
	// localNetworkTime and remoteNetworkTime are assumed for owners in the
	// same and in another data centre until the network time is measured.
	localNetworkTime  = time.Millisecond
	remoteNetworkTime = 10 * time.Millisecond
	// hintTTL is how long the data age in a hint is used. After it the
	// upstream is tried again, which brings a new hint.
	hintTTL = time.Second
	// readmissionShare is the share of a class's age below which a replica
	// that was too old for the class becomes eligible again. The gap to the
	// full age keeps a replica near the limit from changing with every
	// hint.
	readmissionShare = 0.8
	// minBackoff and maxBackoff bound how long a replica gets no reads
	// after it refused one because its data were too old, or could not take
	// one.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxLag bounds the estimated replication lag.
	maxLag = time.Minute
	// With each observation, the lag falls by at most 1/lagDecay of itself,
	// and the network time rises by 1/networkTimeRise of the difference.
	lagDecay        = 8
	networkTimeRise = 64
	// outstandingCost is the wait that each outstanding request of this host
	// adds to the one in the last hint.
	outstandingCost = 50 * time.Microsecond
)

// state is what a router has learned about one upstream.
type state struct {
	hint   exchange.Hint
	hintAt time.Time
	// lag is how long after its commit a write is expected to be applied by a
	// replica.
	lag time.Duration
	// networkTime is the shortest recent network time of an exchange.
	networkTime time.Duration
	outstanding int
	// tooOldFor holds the names of the classes for which the replica's data
	// are too old.
	tooOldFor map[string]bool
	// Until unavailableUntil, a replica that could not take a request gets
	// no reads. unavailableBackoff is the length of that pause.
	unavailableUntil   time.Time
	unavailableBackoff time.Duration
	// Until staleUntil, a replica that refused a read because its data were
	// too old gets no reads of classes with an age of up to staleAge.
	// staleBackoff is the length of that pause.
	staleUntil   time.Time
	staleAge     time.Duration
	staleBackoff time.Duration
}

func (s *state) recordHint(hint exchange.Hint, now time.Time) {
	s.hint = hint
	s.hintAt = now
	s.unavailableUntil, s.unavailableBackoff = time.Time{}, 0
	if hint.Primary {
		return
	}
	s.lag = max(hint.DataAge, s.lag-s.lag/lagDecay)
	if hint.DataAge < readmissionAge(s.staleAge) {
		s.staleUntil = time.Time{}
		s.staleBackoff = 0
	}
}

func (s *state) recordNetworkTime(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	if s.networkTime == 0 || elapsed < s.networkTime {
		s.networkTime = elapsed
		return
	}
	s.networkTime += (elapsed - s.networkTime) / networkTimeRise
}

// recordStale records a refusal because of old data. If the replica may have
// lacked the session's position, the lag must be longer than the time since its
// commit; otherwise the data are older than the class's age.
func (s *state) recordStale(request Request, now time.Time) {
	hasPosition := request.MinPosition.Term != 0
	if hasPosition && (s.hintAt.IsZero() || s.hint.Position.Before(request.MinPosition)) {
		s.lag = min(maxLag, max(s.lag, request.MinPositionAge+request.MinPositionAge/2+time.Millisecond))
		return
	}
	s.staleBackoff = min(maxBackoff, max(minBackoff, 2*s.staleBackoff))
	s.staleUntil = now.Add(s.staleBackoff)
	s.staleAge = request.Class.Age
}

// recordUnavailable records that the upstream could not take a request.
func (s *state) recordUnavailable(now time.Time) {
	if now.Before(s.unavailableUntil) {
		return
	}
	s.unavailableBackoff = min(maxBackoff, max(minBackoff, 2*s.unavailableBackoff))
	s.unavailableUntil = now.Add(s.unavailableBackoff)
}

// freshEnough reports whether the replica's data are expected to be young
// enough for a class.
func (s *state) freshEnough(c class.Class, now time.Time) bool {
	if c.Age == 0 {
		return false
	}
	if now.Before(s.staleUntil) && c.Age <= s.staleAge {
		return false
	}
	if s.hintAt.IsZero() || now.Sub(s.hintAt) > hintTTL {
		delete(s.tooOldFor, c.Name)
		return true
	}
	if s.hint.DataAge >= c.Age {
		s.tooOldFor[c.Name] = true
	}
	if s.hint.DataAge < readmissionAge(c.Age) {
		delete(s.tooOldFor, c.Name)
	}
	return !s.tooOldFor[c.Name]
}

func readmissionAge(age time.Duration) time.Duration {
	return time.Duration(readmissionShare * float64(age))
}

// catchUpDelay returns the time until the replica is expected to hold the
// session's position.
func (s *state) catchUpDelay(request Request) time.Duration {
	if request.MinPosition.Term == 0 {
		return 0
	}
	if !s.hintAt.IsZero() && !s.hint.Position.Before(request.MinPosition) {
		return 0
	}
	return max(0, s.lag-request.MinPositionAge)
}

// expectedWait returns the wait that a request is expected to have at the
// owner: the one in the hint less the time since the hint, or the wait behind
// this host's own outstanding requests if that is longer, because they may have
// been sent after the hint.
func (s *state) expectedWait(now time.Time) time.Duration {
	outstanding := max(0, s.outstanding)
	load := time.Duration(outstanding) * outstandingCost
	if s.hintAt.IsZero() {
		return load
	}
	hintedWait := s.hint.ExpectedWait - now.Sub(s.hintAt)
	ownWait := time.Duration(outstanding-s.hint.Slots+1) * s.hint.StartInterval
	return load + max(0, hintedWait, ownWait)
}
