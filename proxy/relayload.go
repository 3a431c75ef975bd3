package proxy

import (
	"time"

	"lovageslip/balance"
)

// Load is what a proxy has at an upstream and how much it lets run there.
type Load struct {
	// Outstanding is how many statements are at the upstream or wait for it.
	Outstanding int
	// Limit is how many may be at the upstream at once; 0 if unknown.
	Limit float64
}

// loadReporter is a Conn whose answers tell the load of the proxy that runs the
// commands.
type loadReporter interface {
	// Load returns the figure of the last answer and when it was received. It
	// reports false if there was none.
	Load() (l Load, receivedAt time.Time, ok bool)
}

// relayLoad is the last figure that a relay has sent of its load at an upstream.
type relayLoad struct {
	load Load
	at   time.Time // zero if there was none
	// sentSince counts the statements that this proxy has sent since.
	sentSince int
}

// describe fills in the relay's figures. Statements that the proxy has sent since and
// that are no longer in flight have left the upstream, even if the answer told no load.
func (l *relayLoad) describe(c *balance.Candidate, inFlight int, at time.Time) {
	c.Outstanding, c.Capacity, c.LoadAge = float64(l.load.Outstanding), initialConcurrency, ageOf(l.at, at)
	c.SentSince = min(l.sentSince, inFlight)
	if l.load.Limit > 0 {
		c.Capacity = l.load.Limit
	}
}

// recordLoad takes the figure that came with the last answer into the pool.
func (c *conn) recordLoad() {
	reporter, ok := c.Conn.(loadReporter)
	if !ok {
		return
	}
	load, at, ok := reporter.Load()
	if !ok {
		return
	}
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.relayLoad.at) {
		p.relayLoad = relayLoad{load: load, at: at}
	}
}

// Load returns the load of this proxy at the upstream; the zero value if its view no
// longer holds the process.
func (r *RelayedConn) Load() Load {
	pl, ok := r.proxy.directPool(r.key)
	if !ok {
		return Load{}
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return Load{Outstanding: pl.inFlight + len(pl.waiters), Limit: pl.concurrency.limit}
}
