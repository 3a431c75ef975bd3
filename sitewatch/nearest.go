package sitewatch

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lovageslip/bootclock"
)

// This file lists the control hosts that a proxy may watch next, and tries those that
// have failed lately last. search.go finds one of them that accepts a connection.

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
// empty if no control host accepts a connection. With retry, hosts that refuse connections
// are tried more than once.
func (w *Watch) nearest(ctx context.Context, retry bool) string {
	w.mu.Lock()
	failedAt := maps.Clone(w.failedAt)
	w.mu.Unlock()
	candidates, failed := splitByFailure(w.candidates(), failedAt, bootclock.Now())
	if address, ok := firstReachable(ctx, candidates, w.preferredOf(candidates), retry); ok {
		return address
	}
	for _, address := range failed {
		if found, ok := firstReachable(ctx, []string{address}, "", false); ok {
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
