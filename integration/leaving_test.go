package integration

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// leaveLimit is how long an upstream that has announced that it leaves may still
// get new work. It is the 3 s of promise P7 in docs/design.md.
const leaveLimit = 3 * time.Second

// Guards against an upstream that still gets work after it has announced that it
// leaves, and against errors for callers when an upstream leaves in this way.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	s := startSite(t, siteOptions{controls: 3, proxies: 3, serviceTime: 2 * time.Millisecond})
	for _, role := range []string{"replica", "primary"} {
		ok := s.runSubtest(role, func(t *testing.T) {
			writers, stop := s.runWriters(2, false)
			defer stop()
			readers, stopReaders := s.runReaders()
			defer stopReaders()
			records := append(writers, readers...)
			for _, r := range records {
				s.awaitMoreAcks(r, 5)
			}
			name, server := s.primary()
			if role == "replica" {
				name, server = "diary-3", s.upstreams["diary-3"]
			}
			assert.Assert(t, server.Statements() > 0, "%s got no statements before it left", name)
			ctx, cancel := context.WithTimeout(context.Background(), setUpTimeout)
			defer cancel()
			assert.NilError(t, server.AnnounceLeaving(ctx))
			time.Sleep(leaveLimit)
			before := server.Statements()
			if role == "primary" {
				s.awaitOtherPrimary(name)
			}
			for _, r := range records {
				s.awaitMoreAcks(r, 20)
			}
			stop()
			stopReaders()
			assert.Equal(t, server.Statements(), before, "%s got statements later than %s after its announcement", name, leaveLimit)
			for _, r := range records {
				assert.Equal(t, len(r.unknown), 0, "unknown outcomes or other errors: %v", r.failures)
			}
			s.assertExactlyOnce(0, writers...)
		})
		if !ok {
			return
		}
	}
}
