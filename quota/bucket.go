package quota

import (
	"math"
	"time"
)

// terms are what a bucket may admit. The numbers are for a share of one.
type terms struct {
	share Share
	// perWindow is how many operations may run in a window.
	perWindow float64
	// perSecond and size are those of the token bucket.
	perSecond, size float64
	// start is what new buckets may admit at once.
	start float64
}

// bucket is the state of one team at one counter. The window keeps the limit; the
// tokens spread what it allows over time, so that a team that sends many times its
// usual can't send a whole window's operations at once.
type bucket struct {
	terms      terms
	window     window
	level      float64
	refilledAt time.Time
	// creditedShare and creditedSize are the largest of the current window,
	// which began at creditedAt. Only what is above them adds to the level.
	creditedShare, creditedSize float64
	creditedAt                  time.Time
	// denied is set if operations were refused when the bucket was last asked for some.
	denied bool
	// nextTurn is when room is expected for the next operation that is refused,
	// behind those that were refused before.
	nextTurn time.Time
}

// newBucket returns a bucket that doesn't know what other counters have admitted
// before since. It takes for granted that this was all but the start.
func newBucket(since time.Time, t terms, length time.Duration) *bucket {
	b := &bucket{
		terms:         t,
		window:        newWindow(length),
		refilledAt:    since,
		creditedShare: t.share.Part,
		creditedSize:  t.size,
		creditedAt:    since,
	}
	b.level = max(t.share.Part*t.start, minTokens)
	b.window.advance(since)
	b.window.fill(t.share.Part * (t.perWindow - t.start))
	return b
}

// size is that of the bucket's share.
func (b *bucket) size() float64 { return max(b.terms.share.Part*b.terms.size, minTokens) }

func (b *bucket) levelAt(now time.Time) float64 {
	return min(b.level+b.terms.perSecond*b.terms.share.seconds(b.refilledAt, now), b.size())
}

func (b *bucket) fullAt(now time.Time) bool { return b.levelAt(now) >= b.size() }

// skipGap leaves out a part of the time in which a team that was refused did not ask: it
// has asked another counter, which had that part of the limit.
func (b *bucket) skipGap(now time.Time, part float64) {
	gap := now.Sub(b.refilledAt)
	if b.denied && gap >= minGap && b.terms.perSecond*gap.Seconds() >= gapOperations {
		b.refilledAt = b.refilledAt.Add(time.Duration(part * float64(gap)))
	}
}

func (b *bucket) refill(now time.Time) {
	b.level = b.levelAt(now)
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
	b.window.advance(now)
}

// apply changes the terms of the bucket. A part of the share that goes to other
// counters takes its part of the level along; they begin with a start of their own.
// A share that grows adds its part of the start, as if the counters that had it had
// been lost. A limit that is raised adds the room at once: a bucket that was empty
// then admits no more in a window than one that always had the new limit. Both add
// only once in a window, so that ups and downs can't be summed up.
func (b *bucket) apply(now time.Time, next terms, length time.Duration) {
	previous := b.terms
	b.terms = next
	if now.Sub(b.creditedAt) >= length {
		b.creditedShare, b.creditedSize, b.creditedAt = previous.share.Part, previous.size, now
	}
	if next.share.Part < previous.share.Part {
		b.level *= next.share.Part / previous.share.Part
		b.window.scale(next.share.Part / previous.share.Part)
	}
	if next.size > b.creditedSize {
		b.level += next.share.Part * (next.size - b.creditedSize)
		b.creditedSize = next.size
	}
	if grown := next.share.Part - previous.share.Part; grown > 0 {
		start := next.start * max(next.share.Part-b.creditedShare, 0)
		b.level += start
		b.window.fill(grown*next.perWindow - start)
		b.creditedShare = max(b.creditedShare, next.share.Part)
	}
	b.level = min(b.level, b.size())
}

// roundingError is far above that of the sums in a bucket and far below an operation.
const roundingError = 1e-9

// take takes up to n operations out of the bucket.
func (b *bucket) take(n int, draw func() float64) int {
	taken := math.Floor(min(float64(n), b.level+roundingError, max(b.room(), 0)+roundingError))
	b.spend(taken, taken)
	if taken < float64(n) && b.level >= 1 && b.takeByLot(draw) {
		taken++
	}
	return int(taken)
}

// room is what the window has left.
func (b *bucket) room() float64 { return b.terms.share.Part*b.terms.perWindow - b.window.used() }

func (b *bucket) spend(tokens, room float64) {
	b.level = max(b.level-tokens, 0)
	b.window.add(room)
}

// takeByLot admits one operation with the rest of the room as the probability, and
// spends it either way. So many counters with a fraction of an operation each
// together admit what they have and no more.
func (b *bucket) takeByLot(draw func() float64) bool {
	room := b.room()
	if room < roundingError {
		return false
	}
	won := draw() < room
	b.spend(0, min(room, 1))
	if won {
		b.spend(1, 0)
	}
	return won
}

// queue returns when n refused operations should be sent again: when room is
// expected for them, behind those that were refused before. Otherwise all would
// come back with the first room, and most be refused again.
func (b *bucket) queue(now time.Time, n int) time.Duration {
	if b.nextTurn.Before(now) {
		b.nextTurn = now
	}
	longest := now.Add(maxRetryAfter)
	if perSecond := b.terms.perSecond * b.terms.share.Part; perSecond > 0 {
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
