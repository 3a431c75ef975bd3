package owner

import (
	"context"
	"errors"
	"time"

	"lovageslip/admission"
	"lovageslip/fault"
	"lovageslip/metrics"
	"lovageslip/registry"
	"lovageslip/upstream"
)

// viewTimeout bounds the wait for a view that the entry proxy already has.
const viewTimeout = time.Second

// refuseUnreachableAfter is how long status queries must have failed before
// new work is refused. A single late answer of a busy server is not enough.
const refuseUnreachableAfter = 700 * time.Millisecond

// minConnWait is the least time to wait for a connection, so that work that
// got its slot at the end of its wait can still dial.
const minConnWait = 100 * time.Millisecond

func (s *stream) countRefusal(reason fault.Reason) {
	metrics.CountRefusal(s.owner.metrics, s.open.Class, reason)
}

// admit makes the checks that need no query to the upstream. A batch of an
// open transaction only needs a view, because the first batch was checked.
func (j *job) admit(ctx context.Context) error {
	s := j.stream
	view, err := j.view(ctx)
	if err != nil {
		return err
	}
	c, registered := view.Classes[s.open.Class]
	if !registered && !j.continuation {
		return &fault.UnknownClass{Class: s.open.Class}
	}
	j.class = c
	if j.continuation {
		return nil
	}
	if err := s.checkNewWork(); err != nil {
		return err
	}
	if j.batch.Mode == upstream.ModeWrite {
		return s.checkWrite()
	}
	return nil
}

// view waits for a view whose ConfigVersion is at least the entry proxy's. A
// batch of an open transaction takes any view.
func (j *job) view(ctx context.Context) (*registry.View, error) {
	s := j.stream
	directory := s.owner.opts.Directory
	ctx, cancel := context.WithTimeout(ctx, min(viewTimeout, max(j.waitRemaining(), 0)))
	defer cancel()
	for {
		changed := directory.Changed()
		view := directory.View()
		if view != nil && view.ConfigVersion >= s.open.ConfigVersion || j.continuation && view != nil {
			return view, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, s.refuse(fault.ReasonConfigBehind, "the owner has not received the entry's version yet")
		}
	}
}

// checkNewWork returns an error unless new work may start on the upstream now.
// It is called again once a slot was granted, because the lease, the owner or
// the health of the upstream may have changed while the request queued.
func (s *stream) checkNewWork() error {
	o := s.owner
	view := o.opts.Directory.View()
	if view == nil {
		return s.refuse(fault.ReasonLeaseLapsed, "no state has been received")
	}
	up := view.Upstreams[s.open.Upstream]
	if up.Owner != o.opts.Host || !o.isCurrent(s.upstream) {
		return s.refuse(fault.ReasonNotOwner, "this host no longer owns the upstream")
	}
	lease, inForce := o.opts.Leases.Lease(s.open.Upstream)
	if !inForce || lease.Epoch != up.OwnerEpoch || view.Version < o.opts.Leases.ConfigVersion() {
		return s.refuse(fault.ReasonLeaseLapsed, "the lease on the upstream is not in force")
	}
	if s.open.ConfigVersion < view.ConfigVersion {
		return s.refuse(fault.ReasonConfigBehind, "the entry holds an older version")
	}
	if s.upstream.poller.unreachable() >= refuseUnreachableAfter {
		return s.refuse(fault.ReasonUpstreamUnavailable, "the upstream does not answer status queries")
	}
	if up.Leaving {
		return s.refuse(fault.ReasonLeaving, "the upstream is leaving")
	}
	return nil
}

func (j *job) admissionRequest() admission.Request {
	s := j.stream
	return admission.Request{
		Class:         s.open.Class,
		Caller:        s.open.Caller,
		Shape:         j.batch.Shape,
		Bytes:         len(j.batch.Payload),
		Waited:        j.batch.Waited + time.Since(j.arrived),
		WaitRemaining: j.waitRemaining(),
		Continuation:  j.continuation,
		Preempted:     j.restarted,
		Preemptible:   j.preemptible(),
	}
}

// preemptible reports whether the queue may stop the batch and run it again.
// Only reads outside of transactions have no effect when they are stopped, and
// a batch is stopped once at most.
func (j *job) preemptible() bool {
	return j.batch.Mode == upstream.ModeRead && !j.continuation && !j.restarted
}

// acquire gets a slot, and a connection unless the transaction has one.
func (j *job) acquire(ctx context.Context) error {
	if err := j.acquireSlot(ctx, j.admissionRequest()); err != nil {
		return err
	}
	if j.conn != nil {
		return nil
	}
	return j.acquireConn(ctx)
}

func (j *job) acquireSlot(ctx context.Context, req admission.Request) error {
	slot, err := j.stream.upstream.queue.Acquire(ctx, req)
	if err != nil {
		return err
	}
	j.slot = slot
	return nil
}

// acquireConn gets a connection for a job that holds a slot. While the
// upstream's connections are all in use, the slot is released: the open
// transactions that hold the connections need slots to finish, so that waiting
// with a slot could deadlock.
func (j *job) acquireConn(ctx context.Context) error {
	u := j.stream.upstream
	if conn, ok := u.pool.TryGet(); ok {
		j.conn = conn
		return nil
	}
	if u.pool.CanDial() {
		return j.getConn(ctx)
	}
	j.releaseSlot(admission.NotMeasured)
	if err := j.getConn(ctx); err != nil {
		return err
	}
	req := j.admissionRequest()
	req.Continuation = true
	return j.acquireSlot(ctx, req)
}

func (j *job) getConn(ctx context.Context) error {
	boundedCtx, cancel := context.WithTimeout(ctx, max(j.waitRemaining(), minConnWait))
	defer cancel()
	conn, err := j.stream.upstream.pool.Get(boundedCtx)
	if err != nil && boundedCtx.Err() != nil && ctx.Err() == nil {
		return j.stream.refuse(fault.ReasonUpstreamUnavailable, "no connection was free in time")
	}
	if err != nil {
		return j.countNotRun(err)
	}
	j.conn = conn
	return nil
}

// countNotRun counts a refusal that came from the pool or the upstream, and
// returns err.
func (j *job) countNotRun(err error) error {
	var notRun *fault.NotRun
	if errors.As(err, &notRun) {
		j.stream.countRefusal(notRun.Reason)
	}
	return err
}

func (j *job) releaseSlot(elapsed time.Duration) {
	if j.slot != nil {
		j.slot.Release(elapsed)
		j.slot = nil
	}
}
