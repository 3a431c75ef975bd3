package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/quota"
	"lovageslip/site"
)

// newLimitedSite returns a site of four proxies, with long timeouts, whose only team may
// run 40 operations a second and 40 at once. counter counts them for asker.
func newLimitedSite(t *testing.T) (s *fakeSite, asker, counter *fakeProxy) {
	s = newLongTimeoutSite(t, 4, 8)
	rate, burst := 40.0, 40.0
	s.parts.Config.Teams = []*pb.SiteTeam{{Name: "t", RatePerSecond: &rate, Burst: &burst}}
	s.applyView()
	for _, p := range s.proxies {
		if chosen := p.limits.counter("t"); chosen != nil {
			return s, p, s.find(chosen.host.Name)
		}
	}
	t.Fatal("all proxies count themselves")
	return nil, nil, nil
}

func (p *fakeProxy) admit(t *testing.T) (ok bool, retryAfter time.Duration) {
	t.Helper()
	team, found := p.View().TeamByName("t")
	assert.Assert(t, found)
	return p.limits.Admit(context.Background(), team)
}

// admitted returns how many of n operations that arrive in turn at all proxies but
// one are admitted.
func (s *fakeSite) admitted(t *testing.T, n int, without *fakeProxy) (admitted int) {
	for i := range n {
		p := s.proxies[i%len(s.proxies)]
		if p == without {
			continue
		}
		if ok, _ := p.admit(t); ok {
			admitted++
		}
	}
	return admitted
}

func (p *fakeProxy) freeze() (wake func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = make(chan struct{})
	frozen := p.frozen
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.frozen = nil
		close(frozen)
	}
}

// atMost is what one counter may admit: what a new one starts with, and the rate.
func atMost(since time.Time) int { return 20 + int(40*time.Since(since).Seconds()) + 1 }

// Guards against proxies that each count for themselves.
func TestOneCounterHoldsForAllProxies(t *testing.T) {
	s, _, _ := newLimitedSite(t)
	begunAt := time.Now()
	admitted := s.admitted(t, 200, nil)
	assert.Assert(t, admitted >= 20 && admitted <= atMost(begunAt), "%d admitted", admitted)
}

func TestNextProxyCountsAfterACounterIsLost(t *testing.T) {
	s, asker, counter := newLimitedSite(t)
	ok, _ := asker.admit(t)
	assert.Assert(t, ok)
	counter.http.CloseClientConnections()
	counter.http.Close()
	begunAt := time.Now()
	admitted := s.admitted(t, 200, counter)
	assert.Assert(t, admitted >= 20 && admitted <= atMost(begunAt), "%d admitted", admitted)
	next := asker.limits.counter("t")
	assert.Assert(t, next == nil || next.host.Name != counter.name)
}

// Guards against callers who wait for a counter that is suspended.
func TestSuspendedCounterIsReplacedInTime(t *testing.T) {
	_, asker, counter := newLimitedSite(t)
	asker.limits.admitTimeout = admitTimeout
	wake := counter.freeze()
	defer wake()
	begunAt := time.Now()
	ok, _ := asker.admit(t)
	assert.Assert(t, ok)
	assert.Assert(t, time.Since(begunAt) < maxCounters*admitTimeout+500*time.Millisecond)
	next := asker.limits.counter("t")
	assert.Assert(t, next == nil || next.host.Name != counter.name)
	assert.Assert(t, asker.client.relay(quota.CounterKey("t")) == next, "the counter is avoided as a relay of everything")
}

// Guards against a proxy that goes on counting for itself while the others already
// use another counter.
func TestLeavingCounterAsksTheNextOne(t *testing.T) {
	s, asker, counter := newLimitedSite(t)
	counter.server.Leave()
	asker.admit(t)
	next := counter.limits.counter("t")
	assert.Assert(t, next != nil && next.host.Name != counter.name)
	if chosen := asker.limits.counter("t"); chosen != nil {
		assert.Equal(t, chosen.host.Name, next.host.Name)
	} else {
		assert.Equal(t, asker.name, next.host.Name)
	}
	ok, _ := counter.admit(t)
	assert.Assert(t, ok)
	_ = s
}

// Guards against a counter that refuses or admits all operations of a team which its
// view doesn't hold yet.
func TestProxyDecidesAloneIfTheCounterDoesNotKnowTheTeam(t *testing.T) {
	s, asker, counter := newLimitedSite(t)
	older := s.parts
	older.Config = &pb.SiteConfig{Version: 1}
	counter.SetView(site.NewView(older))
	admitted := 0
	for range 100 {
		if ok, _ := asker.admit(t); ok {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 5 && admitted <= 15, "%d admitted; a quarter of the start is 5", admitted)
	assert.Assert(t, asker.limits.counter("t") != nil, "a counter with an older view was avoided")
}

// Guards against one message for each operation of a large team while its counter
// is slow.
func TestWaitingOperationsAreAskedForTogether(t *testing.T) {
	var b batches
	var requests, admitted atomic.Int64
	first := make(chan struct{})
	ask := func(operations int) verdict {
		if requests.Add(1) == 1 {
			<-first
		}
		return verdict{admitted: operations - 1, retryAfter: time.Second}
	}
	var callers sync.WaitGroup
	for range 50 {
		callers.Go(func() {
			ok, retryAfter := b.admit(ask)
			if ok {
				admitted.Add(1)
			}
			assert.Check(t, retryAfter == time.Second)
		})
	}
	waitFor(t, "all to wait", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.waiting != nil && requests.Load() == 1 && b.waiting.operations == 49
	})
	close(first)
	callers.Wait()
	assert.Equal(t, requests.Load(), int64(2))
	assert.Equal(t, admitted.Load(), int64(48))
}

func TestHighestNumberOfProxiesIsRemembered(t *testing.T) {
	h := highest{period: proxiesMemory}
	start := time.Unix(1000, 0)
	assert.Equal(t, h.add(start, 139), 139)
	assert.Equal(t, h.add(start.Add(proxiesMemory), 20), 139)
	assert.Equal(t, h.add(start.Add(2*proxiesMemory-time.Millisecond), 20), 139)
	assert.Equal(t, h.add(start.Add(2*proxiesMemory), 20), 20)
}
