package proxy

import (
	"errors"
	"time"
)

// closeLocked closes a connection and stops counting it.
func (p *pool) closeLocked(c *conn) {
	p.endInFlightLocked(c)
	p.open--
	c.team.open--
	// The connection is not used again, whether closing it fails or not.
	_ = c.Close()
}

func (p *pool) discardLocked(c *conn) {
	p.closeLocked(c)
	p.grantLocked()
}

// release returns a connection to the pool. Its last exchange must be complete
// and no transaction open on it.
func (p *pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.borrowing.expire(now())
	if p.closed || p.open > p.limitLocked() {
		p.discardLocked(c)
		return
	}
	p.putIdleLocked(c)
	p.grantLocked()
}

// discard closes a connection on which a statement that was sent at sentAt has
// failed with err. Unless the upstream has answered anything since, or a relay
// was lost, the failure counts against the upstream, and its idle connections are
// closed too, because they may be dead as well.
func (p *pool) discard(c *conn, sentAt time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
	var lost *RelayLost
	if !p.lastAnswerAt.After(sentAt) && !errors.As(err, &lost) {
		p.recordFailureLocked()
		p.closeAllIdleLocked()
	}
	p.grantLocked()
}

func (p *pool) closeAllIdleLocked() {
	for _, c := range p.idle {
		c.team.idle--
		p.closeLocked(c)
	}
	p.idle = nil
}

// discardUnclean closes a connection whose transaction could not be rolled
// back. It does not count as a failure of the upstream, which has answered.
func (p *pool) discardUnclean(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardLocked(c)
}

// close closes idle connections now, the others when they are released, and
// ends the wait of all statements.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeAllIdleLocked()
	p.failWaitersLocked(upstreamGone(), anyWaiter)
}
