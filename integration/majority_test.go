package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a write that is acknowledged although two of three upstreams are
// lost, and against a change of primary without a majority, which could lose
// acknowledged writes.
func TestNoWriteAcknowledgedWithoutMajority(t *testing.T) {
	s := startSite(t, siteOptions{controls: 1, proxies: 2})
	writers, stop := s.runWriters(2, true)
	defer stop()
	for _, r := range writers {
		s.awaitMoreAcks(r, 5)
	}
	name, _ := s.primary()
	term := s.group("diary").GetTerm()
	var lost []string
	for other, server := range s.upstreams {
		if other != name {
			server.Kill()
			lost = append(lost, other)
		}
	}
	// Acknowledgements from before the loss may still be on their way to callers.
	time.Sleep(500 * time.Millisecond)
	before := acknowledged(writers)
	readers, stopReaders := s.runReaders()
	defer stopReaders()
	// This is longer than it takes to detect a lost primary and to change the
	// primary.
	time.Sleep(4 * time.Second)
	assert.Equal(t, acknowledged(writers), before, "writes were acknowledged without a majority")
	group := s.group("diary")
	assert.Equal(t, group.GetPrimary(), name, "the primary changed without a majority")
	assert.Equal(t, group.GetTerm(), term, "the term changed without a majority")
	for _, r := range readers {
		r.mu.Lock()
		t.Logf("%d reads, %d refused, the last one with: %v", len(r.acked), len(r.notRun), r.lastRefusal)
		r.mu.Unlock()
	}
	for _, r := range readers {
		s.awaitMoreAcks(r, 5)
	}
	assert.NilError(t, s.upstreams[lost[0]].Restart())
	for _, r := range writers {
		s.awaitMoreAcks(r, 5)
	}
	stop()
	stopReaders()
	s.assertExactlyOnce(0, writers...)
}

func acknowledged(records []*record) int {
	n := 0
	for _, r := range records {
		n += r.ackCount()
	}
	return n
}
