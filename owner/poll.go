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

// poller asks one upstream for its status on a connection of its own.
type poller struct {
	dialer   upstream.Dialer
	address  string
	database string

	// mu guards all fields below.
	mu          sync.Mutex
	status      upstream.Status
	known       bool
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

// poll returns the connection for the next poll; nil after a failure, so that
// a connection that went silent is not asked twice.
func (p *poller) poll(ctx context.Context, conn upstream.Conn) upstream.Conn {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	began := time.Now()
	if conn == nil {
		c, err := p.dialer.Dial(ctx, p.address, p.database)
		if err != nil {
			p.fail()
			return nil
		}
		conn = c
		began = time.Now()
	}
	status, err := statusOf(ctx, conn)
	if err != nil {
		closeConn(conn)
		p.fail()
		return nil
	}
	p.observe(status, began)
	return conn
}

// statusOf closes the connection when ctx ends, so that a connection that does
// not answer never blocks its caller.
func statusOf(ctx context.Context, conn upstream.Conn) (upstream.Status, error) {
	defer context.AfterFunc(ctx, func() { closeConn(conn) })()
	return conn.Status(ctx)
}

func (p *poller) fail() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed = true
}

// observe takes a status that was asked for at the time began.
func (p *poller) observe(status upstream.Status, began time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed = false
	p.lastSuccess = time.Now()
	if began.After(p.statusAt) {
		p.status = status
		p.statusAt = began
		p.known = true
	}
}

// last returns the latest status and when it was asked for.
func (p *poller) last() (status upstream.Status, at time.Time, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status, p.statusAt, p.known
}

// unreachable is how long all queries have failed; zero if the last one
// succeeded. A poller that does not come round counts as failing, for example
// while a dial hangs.
func (p *poller) unreachable() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := time.Since(p.lastSuccess)
	if !p.failed && since <= pollInterval+2*pollTimeout {
		return 0
	}
	return since
}
