package owner

import (
	"context"
	"sync"
	"time"

	"lovageslip/upstream"
)

const (
	pollInterval = 200 * time.Millisecond
	pollTimeout  = 300 * time.Millisecond
)

// poller queries the status of one upstream at regular intervals, on a
// connection of its own. Health reports and hints come from it.
type poller struct {
	dialer   upstream.Dialer
	address  string
	database string

	// mu guards all fields below.
	mu          sync.Mutex
	status      upstream.Status
	hasStatus   bool
	statusAt    time.Time // when the query that returned status was sent
	lastSuccess time.Time
	failed      bool
}

func (p *poller) run(ctx context.Context) {
	var conn upstream.Conn
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		conn = p.poll(ctx, conn)
		select {
		case <-ctx.Done():
			closeConn(conn)
			return
		case <-ticker.C:
		}
	}
}

func closeConn(conn upstream.Conn) {
	if conn != nil {
		_ = conn.Close()
	}
}

// poll queries the status once and returns the connection for the next poll. It
// returns nil after a failure, so that a silent connection is not used again.
func (p *poller) poll(ctx context.Context, conn upstream.Conn) upstream.Conn {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sentAt := time.Now()
	if conn == nil {
		c, err := p.dialer.Dial(ctx, p.address, p.database)
		if err != nil {
			p.markFailed()
			return nil
		}
		conn = c
		sentAt = time.Now()
	}
	status, err := queryStatus(ctx, conn)
	if err != nil {
		closeConn(conn)
		p.markFailed()
		return nil
	}
	p.observe(status, sentAt)
	return conn
}

// queryStatus returns the server's status. It closes the connection when ctx
// ends, so that a server that does not answer never blocks the caller.
func queryStatus(ctx context.Context, conn upstream.Conn) (upstream.Status, error) {
	defer context.AfterFunc(ctx, func() { closeConn(conn) })()
	return conn.Status(ctx)
}

func (p *poller) markFailed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed = true
}

// observe stores a status whose query was sent at sentAt, unless a later query
// has been answered already. Either way the upstream counts as reachable.
func (p *poller) observe(status upstream.Status, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed = false
	p.lastSuccess = time.Now()
	if sentAt.After(p.statusAt) {
		p.status = status
		p.statusAt = sentAt
		p.hasStatus = true
	}
}

// lastStatus returns the latest status and when its query was sent.
func (p *poller) lastStatus() (status upstream.Status, sentAt time.Time, hasStatus bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status, p.statusAt, p.hasStatus
}

// unreachable returns how long all queries have failed; zero if the last one
// succeeded. An overdue query counts as failed, for example while a dial hangs.
func (p *poller) unreachable() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	elapsed := time.Since(p.lastSuccess)
	if !p.failed && elapsed <= pollInterval+2*pollTimeout {
		return 0
	}
	return elapsed
}
