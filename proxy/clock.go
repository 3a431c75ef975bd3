package proxy

import (
	"context"
	"time"

	"lovageslip/bootclock"
)

func now() time.Time { return bootclock.Now() }

// pause waits and reports false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// wanted reports whether a read needed a sample of the group lately.
func wanted(g *group) bool {
	return now().UnixNano()-g.wantedAt.Load() < int64(samplesWanted)
}

func (g *group) want() { g.wantedAt.Store(now().UnixNano()) }
