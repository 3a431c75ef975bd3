package quota

import (
	"math"
	"time"
)

const (
	// reserveLifetime is how long operations that were granted to a data centre may
	// begin. A window of the rule then spans the grants of a window and that time
	// more, which the tolerance covers.
	reserveLifetime = 250 * time.Millisecond
	// deniedFor is how long nobody asks again after a refusal. It spans some round
	// trips between regions; the callers that are refused meanwhile are those of a
	// team that sends more than its limit.
	deniedFor = 100 * time.Millisecond
)

// Reserve holds operations of one team that were granted to a data centre in advance,
// for callers that are spread unevenly over data centres: a limit that was divided
// among them would refuse callers of a team that has all of them in one place. It
// asks for as many as it has used lately, so that a large team costs a few requests
// a second and a small one no more than one for each operation. It is not safe for
// concurrent use.
type Reserve struct {
	tokens    int
	expiresAt time.Time
	// used counts what was taken since askedAt.
	used    int
	askedAt time.Time

	deniedUntil time.Time
	retryAfter  time.Duration
}

// Take takes up to n operations. It reports whether the others are refused, and not
// only missing: then they should come back after retryAfter.
func (r *Reserve) Take(now time.Time, n int) (taken int, refused bool, retryAfter time.Duration) {
	if !now.Before(r.expiresAt) {
		r.tokens = 0
	}
	taken = min(n, r.tokens)
	r.tokens -= taken
	r.used += taken
	if taken < n && now.Before(r.deniedUntil) {
		return taken, true, r.retryAfter
	}
	return taken, false, 0
}

// Want returns for how many operations to ask if n are missing.
func (r *Reserve) Want(now time.Time, n int) int {
	ahead := 0.0
	if elapsed := now.Sub(r.askedAt); !r.askedAt.IsZero() && elapsed > 0 {
		ahead = float64(r.used) * min(float64(reserveLifetime)/float64(elapsed), 1)
	}
	r.used, r.askedAt = 0, now
	return n + int(math.Floor(ahead))
}

// Grant adds what a request that began at askedAt was granted out of wanted.
func (r *Reserve) Grant(askedAt time.Time, now time.Time, wanted, granted int, retryAfter time.Duration) {
	r.tokens = min(granted, wanted)
	r.expiresAt = askedAt.Add(reserveLifetime)
	if latest := now.Add(reserveLifetime / 2); r.expiresAt.Before(latest) {
		// A slow answer is used by those that wait for it.
		r.expiresAt = latest
	}
	if granted < wanted {
		r.deniedUntil, r.retryAfter = now.Add(deniedFor), retryAfter
	}
}
