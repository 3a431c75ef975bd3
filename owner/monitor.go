package owner

import (
	"context"
	"time"

	"lovageslip/pool"
)

const (
	probeTimeout = time.Second
	// idleProbesUntilLost is how many probes in a row must find that the
	// server executes nothing for a connection. At a single probe, the answer
	// may just be on its way.
	idleProbesUntilLost = 2
	// abandonUnreachableAfter is how long all status queries must have failed
	// before silent connections to the upstream are taken for lost.
	abandonUnreachableAfter = time.Second
)

// monitor watches one running batch. It stops the batch if the caller's context
// ends, if the queue asks for the slot back or if the connection is lost.
func (x *execution) monitor(ctx context.Context, finished <-chan struct{}) {
	interval := x.job.stream.owner.opts.SilentAfter
	timer := time.NewTimer(interval)
	defer timer.Stop()
	preempted := x.job.slot.Preempted()
	idleProbes := 0
	for {
		select {
		case <-finished:
			return
		case <-ctx.Done():
			x.abort(finished)
			return
		case <-preempted:
			preempted = nil
			_ = x.cancel(context.Background())
		case <-timer.C:
			if x.connLost(ctx, &idleProbes) {
				x.abandonConn()
				return
			}
			timer.Reset(max(interval-x.silentFor(), interval/4))
		}
	}
}

// abort cancels the batch on the server, and closes the connection if the
// batch does not end within cancelGrace.
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

// connLost reports whether the connection is unlikely to deliver anything any
// more. idleProbes counts the probes in a row that found the server idle.
func (x *execution) connLost(ctx context.Context, idleProbes *int) bool {
	j := x.job
	if x.silentFor() < j.stream.owner.opts.SilentAfter {
		*idleProbes = 0
		return false
	}
	if j.stream.upstream.poller.unreachable() >= abandonUnreachableAfter {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	switch j.stream.upstream.pool.Probe(ctx, x.conn) {
	case pool.ProbeIdle:
		*idleProbes++
		return *idleProbes >= idleProbesUntilLost
	case pool.ProbeInconclusive:
		return x.silentFor() >= j.stream.upstream.queue.InactivityTimeout(j.stream.open.Class, j.batch.Shape)
	default:
		*idleProbes = 0
		return false
	}
}

// abandonConn closes a silent connection and asks the server to stop the batch.
// The connection may have been wrongly taken for lost, and a batch that the
// server still runs must not go on without a slot. The connection is closed
// first, so that the answer to the cancel request is not taken for the answer
// of the batch.
func (x *execution) abandonConn() {
	x.silent.Store(true)
	x.job.stream.upstream.queue.ObserveLost(x.silentFor())
	x.markCancelled()
	_ = x.conn.Close()
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = x.conn.Cancel(ctx)
}
