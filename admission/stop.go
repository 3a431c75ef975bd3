package admission

import (
	"math"
	"time"
)

// longAfter returns the service time in seconds from which a request counts as
// long; infinity before any has finished.
func (b *board) longAfter(now time.Time) float64 {
	median := b.learned.median.seconds(now)
	if median == 0 {
		return math.Inf(1)
	}
	return longFactor * median
}

// stopAfter returns the running time in seconds after which a request may be
// preempted; infinity before any has finished.
func (b *board) stopAfter(now time.Time) float64 {
	median := b.learned.median.seconds(now)
	if median == 0 {
		return math.Inf(1)
	}
	return max(stopFactor*median, minStop.Seconds())
}

// expectedLong reports whether waiting requests of k with the expected service
// time s count as long.
func (b *board) long(k bucketKey, s service, now time.Time) bool {
	return k.long || s.typical > b.longAfter(now)
}

// isLong reports whether a running request counts as long, because it was
// expected to be or because it has run for longAfter already.
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

// victim returns a request that was expected to be short and has run long, if
// long requests use more slots than their limit and short ones wait. The request
// runs again later as a long one. A request is preempted at most once, and the
// one that started last first, so that little work is lost.
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

// stopPays reports whether a request that has run for limit seconds is expected
// to run for much longer. Otherwise a preemption only wastes the work done.
func (p *Shortest) stopPays(limit float64, now time.Time) bool {
	mean := p.overrunMean(now)
	return mean == 0 || mean >= stopGain*limit
}

// stoppable returns the request that started last of those that count as long
// although they were expected to be short, and the time at which the next
// running request will count as long. It returns neither while another
// preemption is in progress.
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

// earlier returns the earlier of two times; b if a is zero.
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
