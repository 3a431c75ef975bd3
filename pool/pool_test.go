package pool

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lovageslip/fault"
	"lovageslip/upstream"
)

// dialer is a fake Dialer. Its connections have no server.
type dialer struct {
	mu         sync.Mutex // guards all fields
	refuse     bool
	dialing    int
	maxDialing int
	dialed     int
	failed     int
	release    chan struct{} // if set, dials wait until it is closed
	resets     int
	// resetFails makes Reset fail, as it does within a transaction.
	resetFails bool
}

type conn struct {
	upstream.Conn
	dialer *dialer
	mu     sync.Mutex // guards the fields below
	broken bool
	closed bool
}

func (d *dialer) Dial(ctx context.Context, _, _ string) (upstream.Conn, error) {
	d.mu.Lock()
	d.dialing++
	d.maxDialing = max(d.maxDialing, d.dialing)
	release := d.release
	d.mu.Unlock()
	if release != nil {
		select {
		case <-release:
		case <-ctx.Done():
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dialing--
	if d.refuse || ctx.Err() != nil {
		d.failed++
		return nil, &fault.NotRun{Reason: fault.ReasonUpstreamUnavailable, Detail: "refused"}
	}
	d.dialed++
	return &conn{dialer: d}, nil
}

func (c *conn) Broken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

func (c *conn) locked(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *conn) Close() error {
	c.locked(func() { c.closed = true })
	return nil
}

func (c *conn) Reset(context.Context) error {
	c.dialer.mu.Lock()
	defer c.dialer.mu.Unlock()
	c.dialer.resets++
	if c.dialer.resetFails {
		return &fault.Database{Code: "25001"}
	}
	return nil
}

func (d *dialer) locked(f func() int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return f()
}

func newPool(t *testing.T, d *dialer, limit int) *Pool {
	t.Helper()
	p := New(Options{Dialer: d, MaxConnections: limit + ReservedConnections})
	t.Cleanup(p.Close)
	return p
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

func get(t *testing.T, p *Pool) *conn {
	t.Helper()
	c, err := p.Get(context.Background())
	assert.NilError(t, err)
	return c.(*conn)
}

// Guards against more than two dials at a time after all connections were lost
// at once.
func TestDialPacingAfterLossOfAllConnections(t *testing.T) {
	d := &dialer{}
	p := newPool(t, d, 20)
	var conns []*conn
	for range 20 {
		conns = append(conns, get(t, p))
	}
	d.mu.Lock()
	d.release = make(chan struct{})
	d.mu.Unlock()
	for _, c := range conns {
		c.locked(func() { c.broken = true })
		p.Put(c, false)
	}
	done := make(chan error, 20)
	for range 20 {
		go func() {
			_, err := p.Get(context.Background())
			done <- err
		}()
	}
	eventually(t, "two dials", func() bool { return d.locked(func() int { return d.dialing }) >= 2 })
	close(d.release)
	for range 20 {
		assert.NilError(t, <-done)
	}
	assert.Equal(t, d.locked(func() int { return d.maxDialing }), 2)
}

// Guards against a busy loop of dials to an upstream that refuses connections,
// and against requests that wait for it instead of failing.
func TestRefusedDialsFailFastAndBackOff(t *testing.T) {
	d := &dialer{refuse: true}
	p := newPool(t, d, 10)
	for range 200 {
		_, err := p.Get(context.Background())
		var notRun *fault.NotRun
		assert.Assert(t, errors.As(err, &notRun))
		assert.Equal(t, notRun.Reason, fault.ReasonUpstreamUnavailable)
	}
	assert.Assert(t, d.locked(func() int { return d.failed }) < 50)
	d.mu.Lock()
	d.refuse = false
	d.mu.Unlock()
	eventually(t, "a connection", func() bool {
		_, err := p.Get(context.Background())
		return err == nil
	})
}

// Guards against a pool that opens more connections than its limit while a
// request waits.
func TestLimitLeavesReservedConnections(t *testing.T) {
	d := &dialer{}
	p := newPool(t, d, 2)
	first := get(t, p)
	get(t, p)
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan upstream.Conn, 1)
	go func() {
		c, _ := p.Get(ctx)
		got <- c
	}()
	eventually(t, "a waiting request", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.waiting) == 1
	})
	assert.Equal(t, d.locked(func() int { return d.dialed }), 2)
	p.Put(first, false)
	assert.Equal(t, (<-got).(*conn), first)
	cancel()
}

// Guards against session state of one request that is left on the connection
// when the next one uses it.
func TestDirtyConnectionIsResetOrClosed(t *testing.T) {
	d := &dialer{}
	p := newPool(t, d, 1)
	c := get(t, p)
	p.Put(c, false)
	assert.Equal(t, d.locked(func() int { return d.resets }), 0)
	c = get(t, p)
	p.Put(c, true)
	assert.Equal(t, get(t, p), c)
	assert.Equal(t, d.locked(func() int { return d.resets }), 1)
	d.mu.Lock()
	d.resetFails = true
	d.mu.Unlock()
	p.Put(c, true)
	assert.Assert(t, get(t, p) != c)
}

// Guards against connections that are lost when Get is cancelled just as it
// receives one.
func TestCancelledGetLeaksNoConnection(t *testing.T) {
	d := &dialer{}
	p := newPool(t, d, 1)
	for range 200 {
		ctx, cancel := context.WithCancel(context.Background())
		go cancel()
		c, err := p.Get(ctx)
		if err == nil {
			p.Put(c, false)
		}
	}
	p.Put(get(t, p), false)
	open, idle := p.Size()
	assert.Equal(t, open, 1)
	assert.Equal(t, idle, 1)
}

// Guards against idle connections that are never closed.
func TestIdleConnectionsAreTrimmed(t *testing.T) {
	p := New(Options{Dialer: &dialer{}, MaxConnections: 10, IdleTimeout: 10 * time.Millisecond})
	t.Cleanup(p.Close)
	c := get(t, p)
	p.Put(c, false)
	eventually(t, "the pool to be empty", func() bool {
		open, _ := p.Size()
		return open == 0
	})
}
