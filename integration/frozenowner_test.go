package integration

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	ownerFreezeTime = 6 * time.Second
	// writeGapLimit allows for the owner's lease of 3 s, and for the
	// assignment and start of another owner.
	writeGapLimit = 5 * time.Second
)

// Guards against writes that stop for much longer than the lease when an owner is
// frozen, and against an owner that, once it runs again, executes writes that
// callers were told had not run.
func TestFrozenOwnerRunsNothingAfterwards(t *testing.T) {
	s := startSite(t, siteOptions{controls: 3, proxies: 3, lag: 20 * time.Millisecond})
	primary, _ := s.primary()
	owner := s.ownerOf(primary)
	stop := make(chan struct{})
	var records []*record
	var writers sync.WaitGroup
	end := sync.OnceFunc(func() { close(stop); writers.Wait() })
	t.Cleanup(end)
	for proxy := range s.proxies {
		// A writer without request ids never resends an entry, so an entry that
		// was reported as not run must stay absent.
		for _, requestIDs := range []bool{true, true, false, false} {
			if proxy == owner {
				continue
			}
			r := newRecord()
			records = append(records, r)
			writers.Go(func() { s.writeUntil(stop, proxy, requestIDs, r) })
		}
	}
	for _, r := range records {
		s.awaitMoreAcks(r, 20)
		r.resetGap()
	}
	s.proxies[owner].freeze()
	t.Cleanup(s.proxies[owner].unfreeze)
	start := time.Now()
	for _, r := range records {
		s.awaitMoreAcks(r, 20)
	}
	gap := longestGapSoFar(records)
	t.Logf("longest time without an acknowledged write: %s", gap)
	assert.Check(t, gap < writeGapLimit)
	assert.Assert(t, s.ownerOf(primary) != owner)
	time.Sleep(time.Until(start.Add(ownerFreezeTime)))
	s.proxies[owner].unfreeze()
	for _, r := range records {
		s.awaitMoreAcks(r, 20)
	}
	end()
	s.awaitServing(owner)
	s.assertExactlyOnce(owner, records...)
}

// longestGapSoFar is like longestGap, for writers that are still running.
func longestGapSoFar(records []*record) time.Duration {
	var longest time.Duration
	for _, r := range records {
		r.mu.Lock()
		longest = max(longest, r.longestGap)
		r.mu.Unlock()
	}
	return longest
}
