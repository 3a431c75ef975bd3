package proxy

import (
	"time"

	"lovageslip/bootclock"
)

// now is the clock of this package. The load model in the tests replaces it with
// virtual time.
var now = bootclock.Now

func since(t time.Time) time.Duration { return now().Sub(t) }

// inDemand reports whether a read has needed a position sample of the group
// within the last sampleDemandWindow.
func inDemand(g *group) bool {
	return now().UnixNano()-g.lastDemandAt.Load() < int64(sampleDemandWindow)
}

func (g *group) recordDemand() { g.lastDemandAt.Store(now().UnixNano()) }
