package quota

import (
	"slices"
	"time"
)

// Share is the part of a limit that one counter has.
type Share struct {
	// Part is that of all proxies, for which the counter counts.
	Part float64
	// Settling is the part of the rate until SettledAt; later it is Part.
	Settling  float64
	SettledAt time.Time
	// Since is when the counter began to count for its group of callers. It knows
	// all that it has admitted from then on, so a team without a bucket has sent
	// nothing. The zero time stands for now.
	Since time.Time
}

// Fixed returns a share that doesn't change.
func Fixed(part float64) Share { return Share{Part: part, Settling: part} }

// Times returns a part of the share.
func (s Share) Times(part float64) Share {
	s.Part *= part
	s.Settling *= part
	return s
}

func (s Share) countsSince(now time.Time) time.Time {
	if s.Since.IsZero() || s.Since.After(now) {
		return now
	}
	return s.Since
}

// seconds returns the time between two times, weighted with the part of the rate.
func (s Share) seconds(from, to time.Time) float64 {
	if !to.After(from) {
		return 0
	}
	settling := min(max(s.SettledAt.Sub(from), 0), to.Sub(from))
	settled := to.Sub(from) - settling
	return s.Settling*settling.Seconds() + s.Part*settled.Seconds()
}

const (
	// settlingTime is how long a share that has grown, or that belongs to a new
	// group of callers, has less than its rate: as long as the proxies of a lost
	// control host need to find others, within which a counter that was asked
	// before may still count for some of them.
	settlingTime = 1500 * time.Millisecond
	// settlingRate is the part of the rate until then. Teams use about two thirds
	// of their limit, and together with what new buckets start with, this refuses
	// them next to nothing.
	settlingRate = 0.55
	// regrouped is the part of the share before below which a share belongs to
	// another group of callers. The loss of a few hosts takes less.
	regrouped = 0.5
)

// Shares follows the share of one counter. The zero value is that of a counter that
// has just started. It is not safe for concurrent use.
type Shares struct {
	share float64
	// since is when the current group of callers began.
	since time.Time
	// earlier are the shares of the last settlingTime.
	earlier []earlierShare
}

type earlierShare struct {
	share float64
	until time.Time
}

// Update sets the part of all proxies for which the counter counts. A lower one
// takes effect at once.
func (s *Shares) Update(now time.Time, share float64) Share {
	if share != s.share {
		if share < regrouped*s.share {
			s.share = 0
		}
		if s.share == 0 {
			s.since = now
		}
		s.earlier = append(s.earlier, earlierShare{s.share, now})
		s.share = share
	}
	s.earlier = slices.DeleteFunc(s.earlier, func(e earlierShare) bool { return now.Sub(e.until) >= settlingTime })
	next := Share{Part: share, Settling: share, Since: s.since}
	for _, e := range s.earlier {
		if e.share < share {
			next.Settling = min(next.Settling, e.share+settlingRate*(share-e.share))
			next.SettledAt = e.until.Add(settlingTime)
		}
	}
	return next
}
