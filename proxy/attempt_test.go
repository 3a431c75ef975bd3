package proxy

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// withVirtualClock runs a test with the clock of its bubble, until all goroutines of the
// test have ended.
func withVirtualClock(t *testing.T, test func(t *testing.T)) {
	realNow := now
	defer func() { now = realNow }()
	synctest.Test(t, func(t *testing.T) {
		now = time.Now
		test(t)
	})
}

// Guards against a statement that arrives dozens of times at an upstream that has no
// room.
func TestBusyUpstreamGetsFewArrivalsOfOneStatement(t *testing.T) {
	withVirtualClock(t, func(t *testing.T) {
		f := newFixture(t)
		const refuses = 1000
		f.group.update("p1", func(u *fakeUpstream) { u.busy = refuses })
		session := f.open("latest")
		defer session.Close()
		reply := session.Do(context.Background(), write("w"))
		assert.Assert(t, reply.Refusal != nil && reply.Refusal.Code == RefusedBusy)
		arrivals := 0
		f.group.update("p1", func(u *fakeUpstream) { arrivals = refuses - u.busy })
		// 30, 60, 120 and 240 ms, then half a second each in the 3 s.
		assert.Assert(t, arrivals <= 12, "%d arrivals", arrivals)
	})
}

// Guards against operations that are refused in overload and come back while the backlog
// lasts, where they look like new ones that can still be in time.
func TestRefusedWorkComesBackAfterTheBacklog(t *testing.T) {
	withVirtualClock(t, func(t *testing.T) {
		f := newFixture(t)
		for _, u := range f.parts.Upstreams {
			pl, _ := f.proxy.pool(u)
			pl.inFlight, pl.answerTime = 8*initialConcurrency, 100*time.Millisecond
		}
		session := f.open("latest")
		defer session.Close()
		reply := session.Do(context.Background(), write("w"))
		assert.Assert(t, reply.Refusal != nil)
		// Each runs four at once: eight times 100 ms, and as long for new work. The
		// time is drawn from half to one and a half times that.
		assert.Assert(t, reply.Refusal.RetryAfter >= maxBacklogTime/2, "%v", reply.Refusal.RetryAfter)
	})
}
