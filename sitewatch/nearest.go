package sitewatch

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"lovageslip/bootclock"
)

// This file finds the control host that a proxy watches next: the preferred one of
// its data centre (prefer.go), or the first that accepts a connection.

// maxSeeds bounds the seeds among the candidates, because on a large site most of
// the many seeds only stand by.
const maxSeeds = 5

// candidates returns the addresses of the known control hosts and of some random
// seeds.
func (w *Watch) candidates() []string {
	seeds := slices.Clone(w.options.Seeds())
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	w.mu.Lock()
	addresses := slices.Concat(w.parts.ControlHosts, w.discoveredHosts, seeds[:min(len(seeds), maxSeeds)])
	w.mu.Unlock()
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// nearest returns the preferred control host, or else the one that accepts a connection
// first, of those whose watch has not failed lately. If none of them does, it tries those
// that have failed, one after the other, the one that failed longest ago first. It is
// empty if no control host accepts a connection.
func (w *Watch) nearest(ctx context.Context) string {
	w.mu.Lock()
	failedAt := maps.Clone(w.failedAt)
	w.mu.Unlock()
	candidates, failed := splitByFailure(w.candidates(), failedAt, bootclock.Now())
	if address, ok := firstReachable(ctx, candidates, w.preferredOf(candidates)); ok {
		return address
	}
	for _, address := range failed {
		if found, ok := firstReachable(ctx, []string{address}, ""); ok {
			return found
		}
	}
	return ""
}

// failedHostBackoff is how long a control host whose watch has failed is tried
// only after all others. It is longer than it takes to try them, so that a proxy
// doesn't alternate between two hosts that are cut off from the others together.
const failedHostBackoff = 10 * time.Second

// splitByFailure splits addresses into those that have not failed within
// failedHostBackoff and the others, sorted by the time of their failure.
func splitByFailure(addresses []string, failedAt map[string]time.Time, now time.Time) (candidates, failed []string) {
	for _, address := range addresses {
		if when, ok := failedAt[address]; ok && now.Sub(when) < failedHostBackoff {
			failed = append(failed, address)
			continue
		}
		candidates = append(candidates, address)
	}
	slices.SortFunc(failed, func(a, b string) int { return failedAt[a].Compare(failedAt[b]) })
	return candidates, failed
}

// firstReachable returns the address that accepts a connection first, within
// probeTimeout. The preferred one, if any, may be later by preferredHeadStart.
func firstReachable(ctx context.Context, addresses []string, preferred string) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	answers := make(chan string, len(addresses))
	for _, address := range addresses {
		tasks.Go(func() { answers <- probe(ctx, address) })
	}
	first := ""
	var late <-chan time.Time
	for range addresses {
		select {
		case address := <-answers:
			switch {
			case address == "":
			case preferred == "" || address == preferred:
				return address, true
			case first == "":
				first, late = address, time.After(preferredHeadStart)
			}
		case <-late:
			return first, true
		}
	}
	return first, first != ""
}

// probe returns the address if it accepts a connection, and an empty string
// otherwise.
func probe(ctx context.Context, address string) string {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return ""
	}
	// Nothing was sent on the connection, so an error of Close loses nothing.
	_ = c.Close()
	return address
}
