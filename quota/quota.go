// Package quota counts the operations of teams against their limits. A team's limit
// holds over all hosts of a site, so each counter gets a share of it; the shares of
// all counters of a team add up to at most one. The package uses neither a network
// nor a clock; callers pass the time.
//
// It answers the load of a team that sends many times its usual: what is beyond the
// limit is refused at once, so that it takes no time of an upstream, and what is
// below it is not.
package quota

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// The parts of the tolerance. steady parts are added to the limit at each
	// counter, for callers that are not spread evenly over counters and for shares
	// of a few operations. start parts are what all new buckets start with
	// together, so that the tolerance also holds if all counters start anew within
	// one window. What is left is for counters that overlap while proxies change
	// their lists, which costs the more the higher the rate is. So small teams, for
	// which the slack matters, get more of it.
	steadyOver, startOver   = 0.1, 0.4
	steadySlack, startSlack = 0.5, 0.3
	// startWithoutTolerance is the part of the burst that new buckets start with
	// if the site states no tolerance. It serves the first operations after a
	// restart; without a tolerance no rule bounds it.
	startWithoutTolerance = 0.5
	// minTokens is the least size of one bucket, and what it has from its start. So
	// few operations at once don't matter to an upstream, and the window limits what
	// many small buckets admit together.
	minTokens = 3
	// minPerWindow is the least that a team that may run anything may run in a
	// window. With less, a limit without a burst would hardly ever admit one.
	minPerWindow = 1
	// maxLimit bounds the rate, in operations a second, and the burst of a limit. It is
	// far above what a site can run, and sums of such numbers are exact to a
	// thousandth of an operation; those of the largest numbers overflow.
	maxLimit = 1e12
	// minRetryAfter is the shortest time to come back. Earlier than after a few
	// round trips the answer is hardly ever another one.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the longest. Callers give up after 5 s and more, and a
	// surge ends within seconds.
	maxRetryAfter = 2 * time.Second
	// minGap is how long a team that was refused must not ask, and gapOperations how many
	// operations its rate must allow in that time, until it counts as having asked
	// elsewhere. Data centres whose callers are refused ask again each 0.1 s. Fewer
	// operations are covered by the slack, and a small team asks seldom.
	minGap        = 250 * time.Millisecond
	gapOperations = 20
	// idleTimeout is how long a full bucket that nobody asks for is kept.
	idleTimeout = time.Minute
)

// Limit is a limit of a team over all counters.
type Limit struct {
	// RatePerSecond is how many operations may run in the long run, and Burst
	// how many at once.
	RatePerSecond, Burst float64
}

// none reports whether nothing may run.
func (l Limit) none() bool { return l.RatePerSecond <= 0 && l.Burst <= 0 }

// Options configure a Limiter; New takes them. In each Window, at most
// (RatePerSecond x Window + Burst) x (1 + Over) + Slack operations of a team may run
// over all counters. Draw is optional.
type Options struct {
	Window time.Duration
	Over   float64
	Slack  float64
	// Substitutes is the part of a limit that other counters admit while this one is not
	// reached; 0 if there are none.
	Substitutes float64
	// Draw returns a random number in [0, 1).
	Draw func() float64
}

// DefaultWindow is the window of a site that states none.
const DefaultWindow = 5 * time.Second

// Limiter holds a token bucket for each team that it was asked for. It is safe for
// concurrent use.
type Limiter struct {
	options Options

	// mu guards the fields below.
	mu      sync.Mutex
	buckets map[string]*bucket
	sweptAt time.Time
}

// New returns a limiter without buckets.
func New(o Options) *Limiter {
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	if o.Draw == nil {
		o.Draw = rand.Float64
	}
	return &Limiter{options: o, buckets: make(map[string]*bucket)}
}

// Admit asks whether n operations of a team may run now, for a counter that has a
// share of the limit. It returns how many may, and when the others should be sent
// again.
func (l *Limiter) Admit(now time.Time, team string, limit Limit, share Share, n int) (admitted int, retryAfter time.Duration) {
	if limit.none() {
		return 0, maxRetryAfter
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweepLocked(now)
	t := l.termsOf(limit, share)
	b, ok := l.buckets[team]
	if !ok || l.mayHaveMissed(b, share, now) {
		b = newBucket(share.countsSince(now), t, l.options.Window)
		l.buckets[team] = b
	}
	b.skipGap(now, l.options.Substitutes)
	b.refill(now)
	b.apply(now, t, l.options.Window)
	admitted = b.take(n, l.options.Draw)
	b.denied = admitted < n
	if admitted < n {
		retryAfter = b.queue(now, n-admitted)
	}
	return admitted, retryAfter
}

// mayHaveMissed reports whether another counter may have admitted what counts now
// instead of a bucket that has counted nothing for a window.
func (l *Limiter) mayHaveMissed(b *bucket, share Share, now time.Time) bool {
	return now.Sub(b.refilledAt) >= l.options.Window && share.countsSince(now).After(b.refilledAt)
}

// Len returns the number of buckets.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.buckets)
}

// sweepLocked forgets the buckets that are full and were not asked for lately.
func (l *Limiter) sweepLocked(now time.Time) {
	if now.Sub(l.sweptAt) < idleTimeout {
		return
	}
	l.sweptAt = now
	for team, b := range l.buckets {
		if now.Sub(b.refilledAt) >= idleTimeout && b.fullAt(now) {
			delete(l.buckets, team)
		}
	}
}

// termsOf returns the terms of a counter with a share of a limit. All counters
// together admit at most RatePerSecond x Window + Burst and the steady parts of the
// tolerance in a window, however it lies; new ones add their start.
func (l *Limiter) termsOf(limit Limit, share Share) terms {
	rate, burst := min(max(limit.RatePerSecond, 0), maxLimit), min(max(limit.Burst, 0), maxLimit)
	seconds := l.options.Window.Seconds()
	over := l.options.Over * (rate*seconds + burst)
	steady := steadyOver*over + steadySlack*l.options.Slack
	t := terms{
		share:     share,
		perWindow: max(rate*seconds+burst+steady, minPerWindow),
		perSecond: rate + steadySlack*l.options.Slack/seconds,
		size:      burst + steady,
		start:     startOver*over + startSlack*l.options.Slack,
	}
	if over+l.options.Slack <= 0 {
		t.start = startWithoutTolerance * burst
	}
	t.start = min(max(t.start, minPerWindow), t.perWindow)
	return t
}
