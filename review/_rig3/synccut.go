package main

import (
	"fmt"
	"time"
)

const (
	// cutPeriod is how long a replica is cut off from the control hosts.
	cutPeriod = 5 * time.Second
	// cutRounds is how often a primary is replaced while a replica is cut off.
	cutRounds = 6
	// steadyClients write all the time. burstClients join them for burstPeriod, from
	// burstAfter on after the acknowledgement that the primary leaves.
	steadyClients = 2
	burstClients  = 10
	burstAfter    = 250 * time.Millisecond
	burstPeriod   = 650 * time.Millisecond
)

// syncCut plays a service with one synchronous replica. One after the other its primaries
// leave and are replaced, while demand swings: right after a primary's leave was
// acknowledged many clients write for a moment. Each time a replica is cut off from the
// control hosts for a while; it reaches the other backends and the proxies. Every filing
// that was acknowledged must be in the log of the backend that is promoted.
func syncCut(program string, trouble bool, rec *recorder) (bool, error) {
	zones[controlWord], zones["proxy"] = "b1", "b1"
	g, s, _, err := startLedger(program, rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	f := &filings{site: s, rec: rec, acked: map[string]bool{}}
	if err := f.awaitService(); err != nil {
		return false, err
	}
	g.mu.Lock()
	g.workTime = 40 * time.Millisecond
	g.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.file("steady", steadyClients, cutRounds*12*time.Second)
	}()
	time.Sleep(2 * time.Second)
	for round := range cutRounds {
		if err := f.replaceBusyPrimary(g, round, trouble); err != nil {
			return false, err
		}
		if f.missing(g) {
			return true, nil
		}
	}
	<-done
	time.Sleep(2 * time.Second)
	return f.missing(g), nil
}

// replaceBusyPrimary lets the primary leave, and another backend start at its address with
// its log. If cut is set, the replica nearest to the primary is cut off from the control
// hosts.
func (f *filings) replaceBusyPrimary(g *group, round int, cut bool) error {
	g.mu.Lock()
	p := g.primaryLocked()
	var nearest *backend
	for _, b := range g.backends {
		if b != p && !b.ended && (nearest == nil || p != nil && oneWay(p.zone, b.zone) < oneWay(p.zone, nearest.zone)) {
			nearest = b
		}
	}
	g.mu.Unlock()
	if p == nil || nearest == nil {
		return fmt.Errorf("no primary or replica")
	}
	if cut {
		nearest.setCut(true)
		time.AfterFunc(cutPeriod, func() { nearest.setCut(false) })
	}
	time.Sleep(300 * time.Millisecond)
	go f.burst(g, p, round)
	p.drain(drainPeriod)
	if _, err := awaitPrimary(g, p); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	_, err := g.add(fmt.Sprintf("%s-%d", p.id, round), p.zone, p.address, false, p.log)
	time.Sleep(time.Second)
	return err
}

// burst lets many clients write for a moment after a backend's leave was acknowledged.
func (f *filings) burst(g *group, b *backend, round int) {
	for begun := time.Now(); time.Since(begun) < cutPeriod; time.Sleep(5 * time.Millisecond) {
		g.mu.Lock()
		acked := b.drainAcked
		g.mu.Unlock()
		if !acked.IsZero() {
			time.Sleep(time.Until(acked.Add(burstAfter)))
			f.file(fmt.Sprintf("burst%d", round), burstClients, burstPeriod)
			return
		}
	}
}
