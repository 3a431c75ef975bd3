package sitewatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/bootclock"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/tlsconf"
)

// Guards against proxies of a data centre that prefer different control hosts although
// they measure nearly the same, and against a choice in another region.
func TestProxiesOfADataCentrePreferTheSameControlHost(t *testing.T) {
	distances := map[string]time.Duration{
		"near-1": 200 * time.Microsecond, "near-2": 1800 * time.Microsecond,
		"far-1": 24 * time.Millisecond, "far-2": 24 * time.Millisecond,
	}
	for _, dataCentre := range []string{"a", "b", "c", "d"} {
		measure := func(without ...string) string {
			times := make(map[string]connectTime)
			for address, distance := range distances {
				times[address] = connectTime{shortest: distance + rand.N(2*time.Millisecond), measured: 1}
			}
			for _, address := range without {
				delete(times, address)
			}
			return preferred(times, dataCentre)
		}
		first, firstFar := measure(), measure("near-1", "near-2")
		assert.Assert(t, first == "near-1" || first == "near-2", "%s prefers %s", dataCentre, first)
		for range 100 {
			assert.Equal(t, measure(), first)
			assert.Equal(t, measure("near-1", "near-2"), firstFar)
		}
	}
	assert.Equal(t, preferred(nil, "a"), "")
}

// Guards against a proxy that watches another control host than its neighbours for as
// long as it runs, because the preferred one was slow when it started.
func TestProxyReturnsToThePreferredControlHost(t *testing.T) {
	update := &pb.SiteUpdate{Index: 5, Config: &pb.SiteConfig{Version: 1}, Topology: true}
	hosts := make([]string, 2)
	for i := range hosts {
		hosts[i] = startFakeControlHost(t, &fakeControlHost{state: update})
	}
	update.ControlHosts = hosts
	times := map[string]connectTime{hosts[0]: {}, hosts[1]: {}}
	better := preferred(times, "here")
	other := hosts[0]
	if other == better {
		other = hosts[1]
	}
	w := New(Options{
		Name: "p1", DataCentre: "here", HTTPClient: tlsconf.HTTPClient(nil), Log: slog.New(slog.DiscardHandler),
		Seeds: func() []string { return []string{other} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); w.Run(ctx, make(viewChannel, 10)) }()
	defer func() { cancel(); <-ended }()
	deadline := time.Now().Add(2 * (connectsMeasured + 2) * measureInterval)
	for watched := ""; watched != better; time.Sleep(10 * time.Millisecond) {
		watched, _ = w.reportTarget()
		assert.Assert(t, time.Now().Before(deadline), "still watches %q, not %q", watched, better)
	}
}

// Guards against a proxy that returns again and again to a control host that accepts
// connections and does not serve it.
func TestNoReturnToAControlHostThatHasJustFailed(t *testing.T) {
	w := New(Options{DataCentre: "here", Log: slog.New(slog.DiscardHandler)})
	w.parts.ControlHosts = []string{"a", "b"}
	w.connectTimes["a"] = connectTime{shortest: time.Millisecond, measured: 1}
	w.connectTimes["b"] = connectTime{shortest: time.Second, measured: 1}
	w.watchedAddress = "b"
	w.mostRelays = 1 // none are listed now, so proxies of the data centre are apart
	assert.Equal(t, w.returnTarget(bootclock.Now()), "a")
	w.recordFailure("a")
	assert.Equal(t, w.returnTarget(bootclock.Now()), "")
	assert.Equal(t, w.returnTarget(bootclock.Now().Add(returnAfter)), "a")
	w.Leave()
	assert.Equal(t, w.returnTarget(bootclock.Now().Add(returnAfter)), "")
}

// Guards against proxies of a data centre that leave the host to which all of them have
// turned, each at another moment, so that they use different relays meanwhile.
func TestProxiesThatAreTogetherStay(t *testing.T) {
	w := New(Options{DataCentre: "here", Log: slog.New(slog.DiscardHandler)})
	relays := func(index uint64, n int) {
		update := &pb.SiteUpdate{Index: index, RelaysChanged: true, Relays: make([]*pb.RelayHost, n)}
		assert.Assert(t, w.applyUpdate("b", update, make(viewChannel, 10)))
	}
	relays(1, 2)
	assert.Assert(t, w.mayReturn(), "no watch has failed; others may have chosen before")
	w.recordFailure("a")
	relays(2, 5)
	assert.Assert(t, !w.mayReturn())
	relays(3, 2)
	assert.Assert(t, w.mayReturn())
	relays(4, 5)
	assert.Assert(t, !w.mayReturn())
}
