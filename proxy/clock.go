package proxy

import (
	"time"

	"lovageslip/bootclock"
)

func now() time.Time { return bootclock.Now() }

// wanted reports whether a read needed a sample of the group lately.
func wanted(g *group) bool {
	return now().UnixNano()-g.wantedAt.Load() < int64(samplesWanted)
}

func (g *group) want() { g.wantedAt.Store(now().UnixNano()) }
