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
	// attemptsAtATime is how many attempts to connect to a host that may be starting
	// are under way, each probeTimeout/attemptsAtATime after the one before: a packet to
	// a host without power is repeated after 1 s only.
	attemptsAtATime = 3
	// refusedPause is the mean pause before each of them is made again if the host
	// refuses connections. All together are then a few round trips between regions
	// apart.
	refusedPause = 150 * time.Millisecond
	// startPeriod is how long hosts are tried that often. All control hosts that were
	// killed at the same moment are back within a second; the rest is for slow starts.
	startPeriod = 3 * time.Second
	// startingHeadStart is how much longer than the first control host to accept a
	// connection a proxy waits for a nearer one that may be starting. It is less than
	// an election takes, which begins once the last of the hosts runs.
	startingHeadStart = 150 * time.Millisecond
	// regionDistance is the time to connect above which a host is in another region.
	regionDistance = 10 * time.Millisecond
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
	// starting is set if hosts that have not accepted a connection may be starting.
	starting bool
	// pending holds these hosts, with the shortest time in which they have refused a
	// connection, or 0.
	pending map[string]time.Duration
	// nearest is the choice so far. It is final at decidedAt.
	nearest   probeResult
	decidedAt time.Time
}

func newSelection(addresses []string, preferred string, starting bool) *selection {
	s := &selection{preferred: preferred, starting: starting, pending: make(map[string]time.Duration)}
	for _, address := range addresses {
		s.pending[address] = 0
	}
	return s
}

// record adds a result. It reports whether the choice is final.
func (s *selection) record(r probeResult, at time.Time) bool {
	known, pending := s.pending[r.address]
	if r.refused && pending && (known == 0 || r.took < known) {
		s.pending[r.address] = r.took
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
		if s.starting && s.nearest.took > regionDistance && refusedIn+regionGap < s.nearest.took {
			wait = max(wait, startingHeadStart)
		}
		if address == s.preferred {
			wait = max(wait, preferredHeadStart)
		}
	}
	return wait
}

// firstReachable returns the address that accepts a connection first, within
// probeTimeout. The preferred one, if any, may be later by preferredHeadStart. If hosts
// may be starting, those that refuse connections or are silent are tried again
// meanwhile, and nearer ones may be later by startingHeadStart.
func firstReachable(ctx context.Context, addresses []string, preferred string, starting bool) (string, bool) {
	ctx, cancel := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	results := make(chan probeResult)
	for _, address := range addresses {
		if !starting {
			tasks.Go(func() { sendResult(ctx, probe(ctx, address), results) })
			continue
		}
		for i := range attemptsAtATime {
			tasks.Go(func() { probeStarting(ctx, address, i, results) })
		}
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		tasks.Wait()
		close(results)
	}()
	defer func() { <-closed }()
	defer cancel()
	s := newSelection(addresses, preferred, starting)
	var decided <-chan time.Time
	ended := time.After(probeTimeout)
	for {
		select {
		case r, ok := <-results:
			if !ok || s.record(r, time.Now()) {
				return s.nearest.address, s.nearest.accepted
			}
			if decided == nil && !s.decidedAt.IsZero() {
				decided = time.After(time.Until(s.decidedAt))
			}
		case <-decided:
			return s.nearest.address, true
		case <-ended:
			// A head start may last longer.
			if !s.nearest.accepted {
				return "", false
			}
		}
	}
}

// probeStarting tries a host again and again until it accepts a connection, and sends
// the results. It is one of attemptsAtATime loops.
func probeStarting(ctx context.Context, address string, loop int, results chan<- probeResult) {
	if !pause.For(ctx, time.Duration(loop)*probeTimeout/attemptsAtATime) {
		return
	}
	for {
		r := probe(ctx, address)
		if !sendResult(ctx, r, results) || r.accepted || (r.refused && !pause.For(ctx, jitter(refusedPause))) {
			return
		}
	}
}

// sendResult reports false if ctx has ended.
func sendResult(ctx context.Context, r probeResult, results chan<- probeResult) bool {
	select {
	case results <- r:
		return true
	case <-ctx.Done():
		return false
	}
}

// probe connects to an address, for up to probeTimeout.
func probe(ctx context.Context, address string) probeResult {
	dialer := net.Dialer{Timeout: probeTimeout}
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
