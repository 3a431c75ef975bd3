package admission

import (
	"math"
	"time"
)

// longAfter is the service time in seconds from which work counts as long.
func (b *board) longAfter(now time.Time) float64 {
	median := b.learned.median.seconds(now)
	if median == 0 {
		return math.Inf(1)
	}
	return longFactor * median
}

// stopAfter is the service time in seconds from which work may be stopped.
func (b *board) stopAfter(now time.Time) float64 {
	median := b.learned.median.seconds(now)
	if median == 0 {
		return math.Inf(1)
	}
	return max(stopFactor*median, minStop.Seconds())
}

// long reports whether work of a kind counts as long before it starts.
func (b *board) long(k bucketKey, s service, now time.Time) bool {
	return k.long || s.typical > b.longAfter(now)
}

// isLong reports whether running work counts as long: by what was expected,
// or because it has run long already.
func (b *board) isLong(s *Slot, now time.Time) bool {
	if !s.long {
		s.long = now.Sub(s.since) >= seconds(b.longAfter(now))
	}
	return s.long
}

func (b *board) runningLong(now time.Time) int {
	n := 0
	for _, s := range b.running {
		if b.isLong(s, now) {
			n++
		}
	}
	return n
}

// victim stops work that was expected to be short and has run long, when long
// work holds more slots than it should and short work waits. The work runs
// again later as long work. It is stopped at most once, and the youngest goes
// first, so that little is lost.
func (p *Shortest) victim(b *board, now time.Time) (*Slot, time.Time) {
	limit := b.stopAfter(now)
	if math.IsInf(limit, 1) || !p.shortWaits(b, now) || !p.stopPays(limit, now) {
		return nil, time.Time{}
	}
	youngest, next := p.stoppable(b, now)
	if youngest == nil {
		return nil, next
	}
	if due := youngest.since.Add(seconds(limit)); due.After(now) {
		return nil, due
	}
	running := b.runningLong(now)
	cheap := now.Sub(youngest.since).Seconds() < stopAge*limit
	if running > b.hardLimit() || cheap && running > p.softLimit(b, now) {
		return youngest, next
	}
	return nil, next
}

// stopPays reports whether work that has run for limit seconds can be
// expected to go on for much longer. Otherwise a stop only wastes what has
// been done.
func (p *Shortest) stopPays(limit float64, now time.Time) bool {
	mean := p.overrunMean(now)
	return mean == 0 || mean >= stopGain*limit
}

// stoppable returns the youngest work that counts as long although it was
// expected to be short, and when the next work will. There is none while
// another stop is in progress.
func (p *Shortest) stoppable(b *board, now time.Time) (youngest *Slot, next time.Time) {
	for _, s := range b.running {
		if s.preempted {
			return nil, time.Time{}
		}
		if s.keep || s.expectedLong || !s.work.Preemptible {
			continue
		}
		switch {
		case !b.isLong(s, now):
			next = earlier(next, s.since.Add(seconds(b.longAfter(now))))
		case youngest == nil || s.since.After(youngest.since):
			youngest = s
		}
	}
	return youngest, next
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func (p *Shortest) shortWaits(b *board, now time.Time) bool {
	for _, bk := range p.buckets {
		if !b.long(bk.key, p.expect(b, bk.key, now), now) {
			return true
		}
	}
	return false
}
