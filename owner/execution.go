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
	// maxHeld bounds the answer bytes that are held back after a stop.
	maxHeld = 1 << 20
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
	// refused is the error of the check, which is counted already. It is
	// used by the goroutine of the run only.
	refused error

	// mu guards the fields below.
	mu       sync.Mutex
	finished bool
	// cancelled is true once a cancel request was sent. It may arrive late
	// and hit whatever the connection runs then.
	cancelled bool
	// delivered is true once answer bytes have gone to the caller.
	delivered bool
	// byCaller is true once the caller has cancelled the batch.
	byCaller bool
	// held are answer bytes that came after the queue asked to stop.
	held []byte
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
	j.stream.onCancel(x.cancelByCaller)
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
	x.refused = j.stream.checkRead(ctx, j.class, j.fresh, status)
	return x.refused
}

func (x *execution) touch() { x.lastByte.Store(int64(time.Since(x.started))) }

// quiet is how long the connection has delivered nothing.
func (x *execution) quiet() time.Duration {
	return time.Since(x.started) - time.Duration(x.lastByte.Load())
}

// deliver passes a part of the answer on, or holds it back if the batch is
// being stopped and nothing has gone to the caller yet.
func (x *execution) deliver(chunk []byte) error {
	x.touch()
	if x.hold(chunk) {
		return nil
	}
	if err := x.flush(); err != nil {
		return err
	}
	return x.job.sink(chunk)
}

func (x *execution) hold(chunk []byte) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.delivered || len(x.held)+len(chunk) > maxHeld || x.job.slot.Keep() {
		x.delivered = true
		return false
	}
	x.held = append(x.held, chunk...)
	return true
}

// flush passes on what was held back.
func (x *execution) flush() error {
	x.mu.Lock()
	held := x.held
	x.held = nil
	x.mu.Unlock()
	if len(held) == 0 {
		return nil
	}
	return x.job.sink(held)
}

// wasStopped reports whether the batch ended because the queue asked for its
// slot: the read failed after the cancel request and nothing of its answer
// has gone to the caller, so that it may run again.
func (x *execution) wasStopped(r upstream.Result) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cancelled && !x.byCaller && !x.delivered && r.DatabaseError && x.job.asked()
}

func (x *execution) cancelByCaller(ctx context.Context) error {
	x.mu.Lock()
	x.byCaller = true
	x.mu.Unlock()
	return x.cancel(ctx)
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
