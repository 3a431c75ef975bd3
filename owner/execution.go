package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lovageslip/upstream"
)

const (
	// cancelTimeout bounds a cancel request to the server.
	cancelTimeout = 500 * time.Millisecond
	// cancelGrace is how long a cancelled batch may take to end before its
	// connection is closed.
	cancelGrace = 500 * time.Millisecond
	// maxWithheldBytes bounds the answer that is withheld from the caller
	// after the queue has asked for the slot back.
	maxWithheldBytes = 1 << 20
)

// execution is one run of a batch on a connection.
type execution struct {
	job     *job
	conn    upstream.Conn
	started time.Time
	// lastActivity is when the connection last delivered something, in
	// nanoseconds since started.
	lastActivity atomic.Int64
	silent       atomic.Bool
	// checkErr is the error with which check refused a read; that refusal is
	// counted already. Only the goroutine that calls run uses checkErr.
	checkErr error

	// mu guards the fields below.
	mu       sync.Mutex
	finished bool
	// cancelled is true once a cancel request was sent. The request may
	// arrive late and cancel whatever the connection runs then.
	cancelled bool
	// delivered is true once answer bytes have gone to the caller.
	delivered bool
	// cancelledByCaller is true once the caller has cancelled the batch.
	cancelledByCaller bool
	// withheld are answer bytes that arrived after the queue had asked for
	// the slot back.
	withheld []byte
}

// connUnusable reports whether the connection must not be used again. It is
// called after the run has finished.
func (x *execution) connUnusable() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cancelled || x.conn.Broken()
}

func (x *execution) finish() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.finished = true
}

// markCancelled marks the execution as cancelled if the batch still runs, and
// reports whether it does.
func (x *execution) markCancelled() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled = x.cancelled || !x.finished
	return !x.finished
}

// run executes the batch while a monitor watches it. The connection gets a
// context that does not end with the caller's, so that only the monitor
// decides how the batch is stopped.
func (x *execution) run(ctx context.Context) (upstream.Result, error) {
	j := x.job
	j.stream.setCancel(x.cancelByCaller)
	finished := make(chan struct{})
	monitorDone := make(chan struct{})
	go func() {
		defer close(monitorDone)
		x.monitor(ctx, finished)
	}()
	check := func(status upstream.Status) error { return x.check(ctx, status) }
	result, err := x.conn.Run(context.WithoutCancel(ctx), j.batch, check, x.deliver)
	x.finish()
	close(finished)
	<-monitorDone
	return result, err
}

func (x *execution) check(ctx context.Context, status upstream.Status) error {
	x.recordActivity()
	j := x.job
	j.stream.upstream.poller.observe(status, x.started)
	if j.continuation || j.batch.Mode == upstream.ModeWrite {
		return nil
	}
	x.checkErr = j.stream.checkRead(ctx, j.class, j.freshness, status)
	return x.checkErr
}

func (x *execution) recordActivity() { x.lastActivity.Store(int64(time.Since(x.started))) }

// silentFor returns how long the connection has delivered nothing.
func (x *execution) silentFor() time.Duration {
	return time.Since(x.started) - time.Duration(x.lastActivity.Load())
}

// deliver passes a part of the answer to the caller, or withholds it if the
// queue has asked for the slot back and nothing has gone to the caller yet.
func (x *execution) deliver(chunk []byte) error {
	x.recordActivity()
	if x.withhold(chunk) {
		return nil
	}
	if err := x.flush(); err != nil {
		return err
	}
	return x.job.sink(chunk)
}

func (x *execution) withhold(chunk []byte) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.delivered || len(x.withheld)+len(chunk) > maxWithheldBytes || x.job.slot.DisablePreemption() {
		x.delivered = true
		return false
	}
	x.withheld = append(x.withheld, chunk...)
	return true
}

// flush passes the withheld bytes to the caller.
func (x *execution) flush() error {
	x.mu.Lock()
	withheld := x.withheld
	x.withheld = nil
	x.mu.Unlock()
	if len(withheld) == 0 {
		return nil
	}
	return x.job.sink(withheld)
}

// wasPreempted reports whether the batch ended because the queue asked for its
// slot back: the read failed after the cancel request and nothing of its answer
// has gone to the caller, so that it may run again.
func (x *execution) wasPreempted(r upstream.Result) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cancelled && !x.cancelledByCaller && !x.delivered && r.DatabaseError && x.job.preemptionRequested()
}

func (x *execution) cancelByCaller(ctx context.Context) error {
	x.mu.Lock()
	x.cancelledByCaller = true
	x.mu.Unlock()
	return x.cancel(ctx)
}

// cancel asks the server to stop the batch if it still runs.
func (x *execution) cancel(ctx context.Context) error {
	if !x.markCancelled() {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	return x.conn.Cancel(ctx)
}
