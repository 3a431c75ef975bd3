package proxy

import (
	"context"
	"time"
)

// A relay may be unreachable for some of its data centre's proxies, or not reach an
// upstream itself. Other proxies then relay in its place, although they may still
// use it for their own callers. This file decides how many connections a substitute
// may open, and when a substitute is looked for.

// relayingWindow is how long after the last command of another proxy a proxy counts
// as a substitute. It spans the pauses between the statements of few callers.
const relayingWindow = 5 * time.Second

// probeTimeout bounds the time in which a proxy connects to an upstream to answer
// another proxy's question, which waits for checkTimeout. Connecting takes two round
// trips of up to 40 ms and 12 ms of a slot.
const probeTimeout = 200 * time.Millisecond

// searchAfter is how long an upstream must have failed at its relay before another one
// is looked for. A failure may be one statement that took too long; the relay's own
// check, which follows within 100 ms and takes up to checkTimeout, then finds the
// upstream well.
const searchAfter = 500 * time.Millisecond

// substituteQuota returns the quota of a proxy that relays in the place of a relay
// which other proxies may still use. Both together stay within one and a half times
// the share of a data centre.
func substituteQuota(full connectionQuota) connectionQuota {
	return connectionQuota{limit: max(full.limit/2, scarceConnections), idleTimeout: surplusIdleTimeout}
}

// recordRelaying records that a command of another proxy asks for a connection.
func (p *pool) recordRelaying() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relayedAt = now()
}

// relayedLately reports whether other proxies have sent commands to the upstream
// through this pool lately. It reports false for a nil pool.
func (p *pool) relayedLately() bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.relayedAt.IsZero() && since(p.relayedAt) < relayingWindow
}

// claimProbe reports whether nothing is known of the upstream, or only that it has failed
// and its backoff is over, and nobody is finding out. If so, the caller must call probe.
// An upstream that failed is left alone if the proxy checks it by itself.
func (p *pool) claimProbe(checked bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now()
	known := at.Sub(p.lastAnswerAt) < stalledAfter
	if p.failures > 0 {
		known = checked || at.Before(p.backoffUntil)
	}
	if known || p.checking || p.closed {
		return false
	}
	p.checking = true
	return true
}

// probe connects to the upstream and closes the connection again: many proxies may be
// asked, and their connections would take the room of the relay's.
func (p *pool) probe(ctx context.Context) {
	begunAt := now()
	opened, err := p.dialer.Dial(ctx, p.record(), "")
	if err == nil {
		// Nothing was sent on the connection, so an error of Close loses nothing.
		_ = opened.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checking = false
	if err != nil {
		p.recordDialFailureLocked(err, p.open-p.dialing)
		return
	}
	p.recordAnswerLocked(now(), since(begunAt))
}

// checkUpstream checks an upstream that stalled or failed. If this proxy is the relay
// and does not reach the upstream, another proxy may.
func (p *Proxy) checkUpstream(ctx context.Context, pl *pool) {
	pl.check(ctx)
	if pl.relays != nil || p.options.Relays == nil || pl.unreachableFor() < searchAfter {
		return
	}
	u := pl.record()
	if p.usesRelays(keyOf(u)) && !p.options.Relays.HasRelay(u.Id) {
		ctx, cancel := context.WithTimeout(ctx, checkTimeout)
		defer cancel()
		p.options.Relays.FindRelay(ctx, u)
	}
}

func (p *Proxy) usesRelays(key poolKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.relayedPools[key]
	return ok
}
