package quota

import (
	"math"
	"time"
)

// terms are what a bucket may admit. The numbers are for a share of one.
type terms struct {
	share Share
	// rate is in operations per second, size in operations.
	rate, size float64
	// start is what new buckets contain.
	start float64
}

// bucket is the state of one team at one counter.
type bucket struct {
	terms      terms
	level      float64
	refilledAt time.Time
	// creditedShare and creditedSize are the largest of the current window,
	// which began at creditedAt. Only what is above them adds to the level.
	creditedShare, creditedSize float64
	creditedAt                  time.Time
	// unused is set until the bucket was first asked.
	unused bool
	// nextTurn is when room is expected for the next operation that is refused,
	// behind those that were refused before.
	nextTurn time.Time
}

func newBucket(now time.Time, t terms) *bucket {
	return &bucket{
		terms:         t,
		level:         t.share.Part * t.start,
		refilledAt:    now,
		creditedShare: t.share.Part,
		creditedSize:  t.size,
		creditedAt:    now,
		unused:        true,
	}
}

// size is that of the bucket's share.
func (b *bucket) size() float64 { return b.terms.share.Part * b.terms.size }

func (b *bucket) levelAt(now time.Time) float64 {
	return min(b.level+b.terms.rate*b.terms.share.seconds(b.refilledAt, now), b.size())
}

func (b *bucket) fullAt(now time.Time) bool { return b.levelAt(now) >= b.size() }

func (b *bucket) refill(now time.Time) {
	b.level = b.levelAt(now)
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}

// apply changes the terms of the bucket. A part of the share that goes to other
// counters takes its part of the level along; they begin with a start of their own.
// A share that grows adds its part of the start, as if the counters that had it had
// been lost. A limit that is raised adds the room at once: a bucket that was empty
// then admits no more in a window than one that always had the new limit. Both add
// only once in a window, so that ups and downs can't be summed up.
func (b *bucket) apply(now time.Time, next terms, window time.Duration) {
	previous := b.terms
	b.terms = next
	if now.Sub(b.creditedAt) >= window {
		b.creditedShare, b.creditedSize, b.creditedAt = previous.share.Part, previous.size, now
	}
	if next.share.Part < previous.share.Part {
		b.level *= next.share.Part / previous.share.Part
	}
	if next.size > b.creditedSize {
		b.level += next.share.Part * (next.size - b.creditedSize)
		b.creditedSize = next.size
	}
	if next.share.Part > b.creditedShare {
		b.level += next.start * (next.share.Part - b.creditedShare)
		b.creditedShare = next.share.Part
	}
	b.level = min(b.level, b.size())
}

// take takes up to n operations out of the bucket.
func (b *bucket) take(n int, draw func() float64) int {
	if n > 0 && b.level < 1 && (b.unused || b.size() < 1) {
		return b.takeByLot(draw)
	}
	taken := int(min(float64(n), math.Floor(b.level+roundingError)))
	b.level = max(b.level-float64(taken), 0)
	b.unused = false
	return taken
}

// takeByLot admits one operation with the level as the probability, and spends the
// level either way. So many small buckets together admit what they contain and no
// more, where each for itself would never have room for a whole operation, or not
// for the first one after a start.
func (b *bucket) takeByLot(draw func() float64) int {
	level := b.level
	b.level, b.unused = 0, false
	if draw() < level {
		return 1
	}
	return 0
}

// roundingError is far above that of the sums in a bucket and far below an operation.
const roundingError = 1e-9

// queue returns when n refused operations should be sent again: when room is
// expected for them, behind those that were refused before. Otherwise all would
// come back with the first room, and most be refused again.
func (b *bucket) queue(now time.Time, n int) time.Duration {
	if b.nextTurn.Before(now) {
		b.nextTurn = now
	}
	longest := now.Add(maxRetryAfter)
	if perSecond := b.terms.rate * b.terms.share.Part; perSecond > 0 {
		wait := min(float64(n)/perSecond, maxRetryAfter.Seconds())
		b.nextTurn = b.nextTurn.Add(time.Duration(wait * float64(time.Second)))
	} else {
		b.nextTurn = longest
	}
	if b.nextTurn.After(longest) {
		b.nextTurn = longest
	}
	return max(b.nextTurn.Sub(now), minRetryAfter)
}
