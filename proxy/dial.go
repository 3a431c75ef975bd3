package proxy

import (
	"context"
)

// dial opens a connection that grantLocked has already counted in open and
// dialing.
func (p *pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	p.mu.Lock()
	u := p.siteUpstream
	p.mu.Unlock()
	dialed, err := p.dialer.Dial(ctx, u, "")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err != nil {
		p.open--
		p.recordDialFailureLocked(err)
		p.failWaitersLocked(err)
		return
	}
	p.pacer.onSuccess(now())
	c := p.newConn(dialed)
	if p.closed {
		p.closeLocked(c)
		return
	}
	p.putIdleLocked(c)
	p.grantLocked()
}

func (p *pool) newConn(opened Conn) *conn {
	return &conn{Conn: opened, pool: p, values: map[string]string{}, prepared: map[string]bool{}}
}

// failWaitersLocked ends the wait of all statements after a failed dial, so
// that they can choose another upstream, unless other connections are open that
// they can wait for.
func (p *pool) failWaitersLocked(err error) {
	if p.open > p.dialing {
		return
	}
	for _, w := range p.waiters {
		w.granted <- grant{err: err}
	}
	p.waiters = nil
}
