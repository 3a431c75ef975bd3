package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lovageslip/upstream"
)

const (
	// cancelTimeout bounds a cancel request.
	cancelTimeout = 500 * time.Millisecond
	// cancelGrace is how long a cancelled batch may take to end before its
	// connection is closed.
	cancelGrace = 500 * time.Millisecond
)

// execution is one run of a batch on a connection.
type execution struct {
	job     *job
	conn    upstream.Conn
	started time.Time
	// lastByte is when the connection last delivered something, in
	// nanoseconds since started.
	lastByte atomic.Int64
	silent   atomic.Bool

	// mu guards the fields below.
	mu       sync.Mutex
	finished bool
	// cancelled is true once a cancel request was sent. It may arrive late
	// and hit whatever the connection runs then.
	cancelled bool
}

// tainted reports whether the connection must not be used again. It is asked
// after the run has finished.
func (x *execution) tainted() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cancelled || x.conn.Broken()
}

func (x *execution) finish() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.finished = true
}

// mayCancel reports whether the batch still runs, and marks the connection.
func (x *execution) mayCancel() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled = x.cancelled || !x.finished
	return !x.finished
}

// run executes the batch under the eyes of a monitor. The connection gets a
// context that does not end with the caller, so that only the monitor decides
// how a batch is stopped.
func (x *execution) run(ctx context.Context) (upstream.Result, error) {
	j := x.job
	j.stream.onCancel(x.cancel)
	finished := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		x.monitor(ctx, finished)
	}()
	check := func(status upstream.Status) error { return x.check(ctx, status) }
	result, err := x.conn.Run(context.WithoutCancel(ctx), j.batch, check, x.deliver)
	x.finish()
	close(finished)
	<-ended
	return result, err
}

func (x *execution) check(ctx context.Context, status upstream.Status) error {
	x.touch()
	j := x.job
	j.stream.unit.poller.observe(status, x.started)
	if j.continuation || j.batch.Mode == upstream.ModeWrite {
		return nil
	}
	return j.stream.checkRead(ctx, j.class, j.fresh, status)
}

func (x *execution) touch() { x.lastByte.Store(int64(time.Since(x.started))) }

func (x *execution) deliver(chunk []byte) error {
	x.touch()
	return x.job.sink(chunk)
}

// cancel asks the server to stop the batch.
func (x *execution) cancel(ctx context.Context) error {
	if !x.mayCancel() {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	return x.conn.Cancel(ctx)
}

// monitor stops a batch whose caller has gone or whose connection is silent.
func (x *execution) monitor(ctx context.Context, finished <-chan struct{}) {
	select {
	case <-finished:
	case <-ctx.Done():
		x.abort(finished)
	}
}

// abort cancels the batch on the server and closes the connection if the
// batch does not end soon.
func (x *execution) abort(finished <-chan struct{}) {
	_ = x.cancel(context.Background())
	timer := time.NewTimer(cancelGrace)
	defer timer.Stop()
	select {
	case <-finished:
	case <-timer.C:
		_ = x.conn.Close()
	}
}
