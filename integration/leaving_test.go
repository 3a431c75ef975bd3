package integration

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// leaveLimit is how long a leaving upstream may still get new work (P7).
const leaveLimit = 3 * time.Second

// Guards against an upstream that is sent work although it is about to stop,
// and against callers that suffer from an orderly departure.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	s := startSite(t, siteOptions{controls: 3, proxies: 3, service: 2 * time.Millisecond})
	for _, role := range []string{"replica", "primary"} {
		ok := s.in(role, func(t *testing.T) {
			writers, stop := s.runWriters(2, false)
			defer stop()
			readers, stopReaders := s.runReaders()
			defer stopReaders()
			records := append(writers, readers...)
			for _, r := range records {
				s.awaitMore(r, 5)
			}
			name, server := s.primary()
			if role == "replica" {
				name, server = "diary-3", s.upstreams["diary-3"]
			}
			assert.Assert(t, server.Statements() > 0, "%s had no work before", name)
			ctx, cancel := context.WithTimeout(context.Background(), setUpTimeout)
			defer cancel()
			assert.NilError(t, server.AnnounceLeaving(ctx))
			time.Sleep(leaveLimit)
			before := server.Statements()
			if role == "primary" {
				s.awaitOtherPrimary(name)
			}
			for _, r := range records {
				s.awaitMore(r, 20)
			}
			stop()
			stopReaders()
			assert.Equal(t, server.Statements(), before, "%s got statements later than %s after its announcement", name, leaveLimit)
			for _, r := range records {
				assert.Equal(t, len(r.unknown), 0, "unknown outcomes or other errors: %v", r.failures)
			}
			s.assertEachOnce(0, writers...)
		})
		if !ok {
			return
		}
	}
}
