package integration

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	ownerFrozen = 6 * time.Second
	// writesWithin is the lease of 3 s, and the assignment and start of another
	// owner.
	writesWithin = 5 * time.Second
)

// Guards against writes that stop for longer than the lease when an owner is
// frozen, and against a thawed owner that runs what was reported as not run.
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
		// A writer without request ids never sends an entry again, so an entry
		// that was reported as not run must stay absent.
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
		s.awaitMore(r, 20)
		r.resetGap()
	}
	s.proxies[owner].freeze()
	t.Cleanup(s.proxies[owner].thaw)
	start := time.Now()
	for _, r := range records {
		s.awaitMore(r, 20)
	}
	gap := longestGapNow(records)
	t.Logf("longest time without an acknowledged write: %s", gap)
	assert.Check(t, gap < writesWithin)
	assert.Assert(t, s.ownerOf(primary) != owner)
	time.Sleep(time.Until(start.Add(ownerFrozen)))
	s.proxies[owner].thaw()
	for _, r := range records {
		s.awaitMore(r, 20)
	}
	end()
	s.awaitServing(owner)
	s.assertEachOnce(owner, records...)
}

// longestGapNow is longestGap while writers run.
func longestGapNow(records []*record) time.Duration {
	var longest time.Duration
	for _, r := range records {
		r.mu.Lock()
		longest = max(longest, r.gap)
		r.mu.Unlock()
	}
	return longest
}
