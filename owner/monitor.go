package owner

import (
	"context"
	"time"

	"lovageslip/pool"
)

const (
	probeTimeout = time.Second
	// lostAfterIdle is how many probes in a row must find that the server
	// executes nothing for a connection. One may have met an answer on its
	// way.
	lostAfterIdle = 2
	// unreachableAfter is how long all status queries must have failed
	// before batches on the upstream are given up.
	unreachableAfter = time.Second
)

// monitor stops a batch whose caller has gone, whose slot the queue wants back
// or whose connection is silent.
func (x *execution) monitor(ctx context.Context, finished <-chan struct{}) {
	interval := x.job.stream.owner.opts.SilentAfter
	timer := time.NewTimer(interval)
	defer timer.Stop()
	yield := x.job.slot.Yield()
	idle := 0
	for {
		select {
		case <-finished:
			return
		case <-ctx.Done():
			x.abort(finished)
			return
		case <-yield:
			yield = nil
			_ = x.cancel(context.Background())
		case <-timer.C:
			if x.lost(ctx, &idle) {
				x.giveUp()
				return
			}
			timer.Reset(max(interval-x.quiet(), interval/4))
		}
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

// lost reports whether the connection will not deliver anything any more. idle
// counts the probes in a row that found the server idle.
func (x *execution) lost(ctx context.Context, idle *int) bool {
	j := x.job
	if x.quiet() < j.stream.owner.opts.SilentAfter {
		*idle = 0
		return false
	}
	if j.stream.unit.poller.unreachable() >= unreachableAfter {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	switch j.stream.unit.pool.Probe(ctx, x.conn) {
	case pool.Idle:
		*idle++
		return *idle >= lostAfterIdle
	case pool.Unclear:
		return x.quiet() >= j.stream.unit.queue.Patience(j.stream.open.Class, j.batch.Shape)
	default:
		*idle = 0
		return false
	}
}

// giveUp closes a silent connection. The server may still run the batch, so it
// is asked to stop; a batch that was falsely taken for lost is then not left
// running without a slot. The connection is closed first, so that no answer to
// the cancel request is taken for the answer of the batch.
func (x *execution) giveUp() {
	x.silent.Store(true)
	x.job.stream.unit.queue.Lost(x.quiet())
	x.mayCancel()
	_ = x.conn.Close()
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = x.conn.Cancel(ctx)
}
