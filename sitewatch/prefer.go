package sitewatch

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"lovageslip/bootclock"
	"lovageslip/internal/pause"
)

// The proxies of a data centre should watch the same control host: each control host
// lists only the proxies that watch it, and proxies with different lists choose different
// relays and counters, with a quota of connections each. A proxy that has started while
// that host was slow, or that has lost it, watches another one. This file decides which
// host all of them prefer, and when a proxy returns to it.

const (
	// regionGap separates control hosts that are about equally far from those further
	// away. Data centres of a region are up to 2 ms apart, regions more than 10 ms;
	// the rest covers hosts that are short of processor time.
	regionGap = 4 * time.Millisecond
	// connectsMeasured is how often the time to connect to a control host is measured.
	// The shortest counts.
	connectsMeasured = 3
	// measureInterval is the mean time between two measurements, and returnInterval
	// that between later attempts to return to the preferred host. Proxies that find
	// a host back then come one after the other.
	measureInterval = time.Second
	returnInterval  = 10 * time.Second
	// returnAfter is how long no proxy returns to a control host whose watch has
	// failed: a multiple of an election or a restart, so that a host that fails again
	// and again costs a proxy little.
	returnAfter = 30 * time.Second
	// preferredHeadStart is how much longer than the first control host to accept a
	// connection a proxy waits for the preferred one.
	preferredHeadStart = 50 * time.Millisecond
)

// connectTime is the shortest of some measured times to connect.
type connectTime struct {
	shortest time.Duration
	measured int
}

// preferred returns the control host that the proxies of a data centre prefer: by
// rendezvous hashing among those that are about as near as the nearest. It is empty if
// nothing was measured.
func preferred(times map[string]connectTime, dataCentre string) string {
	byTime := slices.SortedFunc(maps.Keys(times), func(a, b string) int {
		return cmp.Compare(times[a].shortest, times[b].shortest)
	})
	best, highest := "", uint64(0)
	last := time.Duration(math.MaxInt64)
	for _, address := range byTime {
		if times[address].shortest-regionGap > last {
			break
		}
		last = times[address].shortest
		if s := xxhash.Sum64String(dataCentre + " " + address); best == "" || s > highest {
			best, highest = address, s
		}
	}
	return best
}

// preferredOf returns the preferred control host of some addresses; empty if it is not
// known.
func (w *Watch) preferredOf(addresses []string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := maps.Clone(w.connectTimes)
	maps.DeleteFunc(known, func(address string, _ connectTime) bool { return !slices.Contains(addresses, address) })
	return preferred(known, w.options.DataCentre)
}

// runPreference makes the proxy return to the preferred control host.
func (w *Watch) runPreference(ctx context.Context) {
	interval := measureInterval
	for rounds := 0; pause.For(ctx, jitter(interval)); rounds++ {
		if w.followMembers() {
			rounds = 0
		}
		w.measure(ctx)
		interval = measureInterval
		if rounds >= connectsMeasured {
			interval = returnInterval
			w.returnToPreferred(ctx)
		}
	}
}

// followMembers forgets the connect times of hosts that are no longer members. It reports
// whether the members have changed since the last call.
func (w *Watch) followMembers() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	members := w.parts.ControlHosts
	maps.DeleteFunc(w.connectTimes, func(address string, _ connectTime) bool { return !slices.Contains(members, address) })
	changed := !slices.Equal(members, w.measuredMembers)
	w.measuredMembers = members
	return changed
}

// measure connects to the members that were not measured often enough.
func (w *Watch) measure(ctx context.Context) {
	w.mu.Lock()
	due := slices.DeleteFunc(slices.Clone(w.parts.ControlHosts), func(address string) bool {
		return w.connectTimes[address].measured >= connectsMeasured
	})
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, address := range due {
		tasks.Go(func() {
			if r := probe(ctx, address); r.accepted {
				w.recordConnectTime(address, r.took)
			}
		})
	}
}

func (w *Watch) recordConnectTime(address string, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.connectTimes[address]
	if !ok || took < known.shortest {
		known.shortest = took
	}
	known.measured++
	w.connectTimes[address] = known
}

// returnToPreferred makes the watch turn to the preferred control host if it watches
// another one and that host accepts a connection.
func (w *Watch) returnToPreferred(ctx context.Context) {
	target := w.returnTarget(bootclock.Now())
	if target == "" {
		return
	}
	if _, ok := firstReachable(ctx, []string{target}, "", false); !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.returnTo = target
}

// returnTarget returns the control host that the proxy should watch instead of the
// present one; empty if there is none, or if its watch has failed lately.
func (w *Watch) returnTarget(now time.Time) string {
	w.mu.Lock()
	members, watched, leaving := w.parts.ControlHosts, w.watchedAddress, w.leaving
	failed := maps.Clone(w.failedAt)
	w.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(members), func(address string) bool {
		at, ok := failed[address]
		return ok && now.Sub(at) < returnAfter
	})
	target := w.preferredOf(usable)
	if leaving || target == watched || !w.mayReturn() {
		return ""
	}
	return target
}

// mayReturn reports whether a return brings proxies of the data centre together. Those that
// have all turned to the same host after a failure stay there: they would not return at
// the same moment, and would be apart meanwhile. After its first watch a proxy can't
// tell, because others may have chosen before their control hosts had started.
func (w *Watch) mayReturn() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.failedAt) == 0 || len(w.parts.Relays) < w.mostRelays
}

// takeReturn returns the control host that the watch of an address should turn to, and
// forgets it.
func (w *Watch) takeReturn(address string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	to := w.returnTo
	w.returnTo = ""
	if to == address {
		return ""
	}
	return to
}

// Returned reports a watch that was ended for that of the preferred control host.
type Returned struct{ To string }

func (e *Returned) Error() string {
	return "the proxy turns to control host " + e.To + ", which is preferred"
}
