package proxy

import "context"

// dial opens a connection for a team that startDialLocked has already counted in
// open and dialing.
func (p *pool) dial(t *poolTeam) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	p.mu.Lock()
	u := p.siteUpstream
	p.mu.Unlock()
	dialed, err := p.dialer.Dial(ctx, u, t.name)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	t.dialing--
	if err != nil {
		p.open--
		t.open--
		if noRoom(err) || p.failures == 0 {
			// After the first failure only checks extend the backoff: a statement
			// that dials as soon as it is over would delay them again and again.
			p.recordDialFailureLocked(err, t.open-t.dialing)
		}
		p.failAfterDialLocked(t, err)
		return
	}
	p.pacer.onSuccess(now(), p.open-p.dialing)
	c := p.newConn(dialed, t)
	if p.closed {
		p.closeLocked(c)
		return
	}
	p.putIdleLocked(c)
	p.grantLocked()
}

// newConn returns an opened connection that is already counted.
func (p *pool) newConn(opened Conn, t *poolTeam) *conn {
	p.metrics.Counter("connections_opened_total").Inc(1)
	return &conn{Conn: opened, pool: p, team: t, values: map[string]string{}, prepared: map[definitionID]string{}}
}

// failAfterDialLocked ends the wait of all statements after a failed dial, so that
// they can choose another upstream, unless other connections are open that they
// can wait for. Statements of a team without connections can't wait for those of
// other teams, unless one of these can be closed once the upstream has room. They may
// have waited for this dial to end before theirs could begin.
func (p *pool) failAfterDialLocked(t *poolTeam, err error) {
	if p.open <= p.dialing {
		p.failWaitersLocked(err, anyWaiter)
		return
	}
	if noRoom(err) {
		p.grantLocked()
		return
	}
	dialedInVain := t.open <= t.dialing
	p.failWaitersLocked(err, func(w *waiter) bool {
		if w.team == t {
			return dialedInVain
		}
		return w.team.open == 0 && !w.wanted.any
	})
}
