package admission

import (
	"math"
	"time"
)

// longAfter returns the service time in seconds from which a request counts as
// long; infinity before any has finished.
func (u *upstreamState) longAfter(now time.Time) float64 {
	median := u.estimator.distribution.medianSeconds(now)
	if median == 0 {
		return math.Inf(1)
	}
	return longFactor * median
}

// preemptAfter returns the running time in seconds after which a request may be
// preempted; infinity before any has finished.
func (u *upstreamState) preemptAfter(now time.Time) float64 {
	median := u.estimator.distribution.medianSeconds(now)
	if median == 0 {
		return math.Inf(1)
	}
	return max(preemptFactor*median, minPreemptAfter.Seconds())
}

// expectedLong reports whether waiting requests of k with the expected service
// time s count as long.
func (u *upstreamState) expectedLong(k bucketKey, s serviceTime, now time.Time) bool {
	return k.preempted || s.typical > u.longAfter(now)
}

// isLong reports whether a running request counts as long, because it was
// expected to be or because it has run for longAfter already.
func (u *upstreamState) isLong(s *Slot, now time.Time) bool {
	if !s.long {
		s.long = now.Sub(s.startedAt) >= toDuration(u.longAfter(now))
	}
	return s.long
}

func (u *upstreamState) runningLong(now time.Time) int {
	n := 0
	for _, s := range u.running {
		if u.isLong(s, now) {
			n++
		}
	}
	return n
}

// victim returns a request that was expected to be short and has run long, if
// long requests use more slots than their limit and short ones wait. The request
// runs again later as a long one. A request is preempted at most once, and the
// one that started last first, so that little work is lost.
func (p *ShortestJobFirst) victim(u *upstreamState, now time.Time) (*Slot, time.Time) {
	limit := u.preemptAfter(now)
	if math.IsInf(limit, 1) || !p.shortWorkWaits(u, now) {
		return nil, time.Time{}
	}
	if !p.preemptionPays(u, limit, now) {
		return nil, now.Add(toDuration(limit))
	}
	youngest, next := p.youngestPreemptible(u, now)
	if youngest == nil {
		return nil, next
	}
	if due := youngest.startedAt.Add(toDuration(limit)); due.After(now) {
		return nil, due
	}
	longCount := u.runningLong(now)
	young := now.Sub(youngest.startedAt).Seconds() < preemptAgeFactor*limit
	if longCount > u.hardLimit() || young && longCount > p.softLimit(u, now) {
		return youngest, next
	}
	return nil, next
}

// preemptionPays reports whether a request that has run for limit seconds is
// expected to run for much longer. Otherwise a preemption only wastes the work
// done. Requests that still run count for as long as they have run: a few that
// ended just past the limit, for example because the host was busy, say nothing
// about others that hang.
func (p *ShortestJobFirst) preemptionPays(u *upstreamState, limit float64, now time.Time) bool {
	mean := p.overrunMean(now)
	if mean == 0 || mean >= minOverrunFactor*limit {
		return true
	}
	sum, weight := p.overrun.sum, p.overrun.weight
	for _, s := range u.running {
		if age := now.Sub(s.startedAt).Seconds(); age > limit {
			sum += age
			weight++
		}
	}
	return sum >= minOverrunFactor*limit*weight
}

// youngestPreemptible returns the request that started last of those that count
// as long although they were expected to be short, and the time at which the
// next running request will count as long. It returns neither while another
// preemption is in progress.
func (p *ShortestJobFirst) youngestPreemptible(u *upstreamState, now time.Time) (youngest *Slot, next time.Time) {
	for _, s := range u.running {
		if s.preempted {
			return nil, time.Time{}
		}
		if s.preemptionDisabled || s.expectedLong || !s.request.Preemptible {
			continue
		}
		switch {
		case !u.isLong(s, now):
			next = earlier(next, s.startedAt.Add(toDuration(u.longAfter(now))))
		case youngest == nil || s.startedAt.After(youngest.startedAt):
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

func (p *ShortestJobFirst) shortWorkWaits(u *upstreamState, now time.Time) bool {
	for _, bk := range p.buckets {
		if !u.expectedLong(bk.key, p.expectedTime(u, bk.key, now), now) {
			return true
		}
	}
	return false
}
