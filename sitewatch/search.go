package sitewatch

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"lovageslip/bootclock"
	"lovageslip/internal/pause"
)

// This file finds a control host that accepts a connection. The load that it answers:
// all hosts start at once after a loss of power, proxies mostly before the control
// hosts, and callers wait for the first view of their proxy. A host whose process has
// not started yet refuses connections, which takes none of its processes' time, so it
// is tried again soon. Control hosts elect a leader only once the last of them has
// started. Until then nothing is gained by watching the first one, and proxies that
// all watch it would leave it again for nearer ones.

const (
	// refusedPause is the mean pause before a host that has refused a connection is
	// tried again: a few round trips between regions.
	refusedPause = 50 * time.Millisecond
	// startPeriod is how long hosts that refuse connections are tried that often. All
	// control hosts that were killed at the same moment are back within a second; the
	// rest is for slow starts.
	startPeriod = 3 * time.Second
	// startingHeadStart is how much longer than the first control host to accept a
	// connection a proxy waits for one that refused. It is less than an election
	// takes, which starts once the last of the hosts runs.
	startingHeadStart = 150 * time.Millisecond
)

// probeResult is the outcome of one attempt to connect. An attempt that neither
// succeeded nor was refused got no answer.
type probeResult struct {
	address           string
	accepted, refused bool
	took              time.Duration
}

// selection chooses among control hosts that accept connections.
type selection struct {
	preferred string
	// pending holds the hosts that have not accepted a connection yet, with the
	// shortest time in which they have refused one, or 0.
	pending map[string]time.Duration
	// nearest is the choice so far. It is final at decidedAt.
	nearest   probeResult
	decidedAt time.Time
}

func newSelection(addresses []string, preferred string) *selection {
	s := &selection{preferred: preferred, pending: make(map[string]time.Duration)}
	for _, address := range addresses {
		s.pending[address] = 0
	}
	return s
}

// record adds a result. It reports whether the choice is final.
func (s *selection) record(r probeResult, at time.Time) bool {
	if r.refused {
		if known := s.pending[r.address]; known == 0 || r.took < known {
			s.pending[r.address] = r.took
		}
	}
	if !r.accepted {
		return false
	}
	delete(s.pending, r.address)
	if s.nearest.address == "" || r.address == s.preferred || r.took < s.nearest.took {
		s.nearest = r
	}
	wait := s.headStart()
	if s.decidedAt.IsZero() {
		s.decidedAt = at.Add(wait)
	}
	return wait == 0 || !at.Before(s.decidedAt)
}

// headStart returns how much longer than the first host to accept a connection others
// may take.
func (s *selection) headStart() time.Duration {
	if s.nearest.address == s.preferred {
		return 0
	}
	wait := time.Duration(0)
	for address, refusedIn := range s.pending {
		if refusedIn > 0 && refusedIn+regionGap < s.nearest.took {
			wait = max(wait, startingHeadStart)
		}
		if address == s.preferred {
			wait = max(wait, preferredHeadStart)
		}
	}
	return wait
}

// firstReachable returns the address that accepts a connection first, within
// probeTimeout. The preferred one, if any, may be later by preferredHeadStart. With
// retry, hosts that refuse connections are tried again meanwhile, and may be later by
// startingHeadStart if they are nearer.
func firstReachable(ctx context.Context, addresses []string, preferred string, retry bool) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	results := make(chan probeResult)
	for _, address := range addresses {
		tasks.Go(func() { probeHost(ctx, address, retry, results) })
	}
	s := newSelection(addresses, preferred)
	var decided <-chan time.Time
	for left := len(addresses); left > 0; {
		select {
		case r := <-results:
			if s.record(r, time.Now()) {
				return s.nearest.address, true
			}
			if !r.refused || !retry {
				left--
			}
			if decided == nil && !s.decidedAt.IsZero() {
				decided = time.After(time.Until(s.decidedAt))
			}
		case <-decided:
			return s.nearest.address, true
		case <-ctx.Done():
			return s.nearest.address, s.nearest.accepted
		}
	}
	return s.nearest.address, s.nearest.accepted
}

// probeHost sends the result of an attempt. With retry it goes on until one isn't
// refused.
func probeHost(ctx context.Context, address string, retry bool, results chan<- probeResult) {
	for {
		r := probe(ctx, address)
		select {
		case results <- r:
		case <-ctx.Done():
			return
		}
		if !r.refused || !retry || !pause.For(ctx, jitter(refusedPause)) {
			return
		}
	}
}

func probe(ctx context.Context, address string) probeResult {
	var dialer net.Dialer
	begunAt := bootclock.Now()
	c, err := dialer.DialContext(ctx, "tcp", address)
	r := probeResult{address: address, accepted: err == nil, took: bootclock.Since(begunAt)}
	if err != nil {
		r.refused = errors.Is(err, syscall.ECONNREFUSED)
		return r
	}
	// Nothing was sent on the connection, so an error of Close loses nothing.
	_ = c.Close()
	return r
}
