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

// viewTimeout bounds the wait for a version that the entry has seen already.
const viewTimeout = time.Second

// refuseAfter is how long status queries must have failed before new work is
// refused. One late answer of a busy server is no reason.
const refuseAfter = 700 * time.Millisecond

// minConnWait lets work with hardly any wait left, but a slot, still dial.
const minConnWait = 100 * time.Millisecond

func (s *stream) count(reason fault.Reason) {
	metrics.Refused(s.owner.metrics, s.open.Class, reason)
}

// admit checks everything that is known without the upstream. A batch of an
// open transaction was admitted with its first batch.
func (j *job) admit(ctx context.Context) error {
	s := j.stream
	view, err := j.view(ctx)
	if err != nil {
		return err
	}
	c, known := view.Classes[s.open.Class]
	if !known && !j.continuation {
		return &fault.UnknownClass{Class: s.open.Class}
	}
	j.class = c
	if j.continuation {
		return nil
	}
	if err := s.allowed(); err != nil {
		return err
	}
	if j.batch.Mode == upstream.ModeWrite {
		return s.checkWrite()
	}
	return nil
}

// view returns a view that is at least as new as the entry's.
func (j *job) view(ctx context.Context) (*registry.View, error) {
	s := j.stream
	directory := s.owner.opts.Directory
	ctx, cancel := context.WithTimeout(ctx, min(viewTimeout, max(j.remaining(), 0)))
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

// allowed reports whether new work may start on the upstream now. It is asked
// again once a slot is free, because the queue may have taken long.
func (s *stream) allowed() error {
	o := s.owner
	view := o.opts.Directory.View()
	if view == nil {
		return s.refuse(fault.ReasonLeaseLapsed, "no state has been received")
	}
	up := view.Upstreams[s.open.Upstream]
	if up.Owner != o.opts.Host || !o.owns(s.unit) {
		return s.refuse(fault.ReasonNotOwner, "this host no longer owns the upstream")
	}
	lease, inForce := o.opts.Leases.Lease(s.open.Upstream)
	if !inForce || lease.Epoch != up.OwnerEpoch || view.Version < o.opts.Leases.ConfigVersion() {
		return s.refuse(fault.ReasonLeaseLapsed, "the lease on the upstream is not in force")
	}
	if s.open.ConfigVersion < view.ConfigVersion {
		return s.refuse(fault.ReasonConfigBehind, "the entry holds an older version")
	}
	if s.unit.poller.unreachable() >= refuseAfter {
		return s.refuse(fault.ReasonUpstreamUnavailable, "the upstream does not answer status queries")
	}
	if up.Leaving {
		return s.refuse(fault.ReasonLeaving, "the upstream is leaving")
	}
	return nil
}

func (j *job) request() admission.Request {
	s := j.stream
	return admission.Request{
		Class:         s.open.Class,
		Caller:        s.open.Caller,
		Shape:         j.batch.Shape,
		Bytes:         len(j.batch.Payload),
		Waited:        j.batch.Waited + time.Since(j.arrived),
		WaitRemaining: j.remaining(),
		Continuation:  j.continuation,
		Long:          j.restarted,
		Preemptible:   j.preemptible(),
	}
}

// preemptible reports whether the work may be stopped and run again: only
// reads outside of transactions have no effect when they are stopped.
func (j *job) preemptible() bool {
	return j.batch.Mode == upstream.ModeRead && !j.continuation && !j.restarted
}

// acquire gets a slot and a connection.
func (j *job) acquire(ctx context.Context) error {
	if err := j.acquireSlot(ctx, j.request()); err != nil {
		return err
	}
	if j.conn != nil {
		return nil
	}
	return j.acquireConn(ctx)
}

func (j *job) acquireSlot(ctx context.Context, req admission.Request) error {
	slot, err := j.stream.unit.queue.Acquire(ctx, req)
	if err != nil {
		return err
	}
	j.slot = slot
	return nil
}

// acquireConn gets a connection for a job that holds a slot. While the
// upstream's connections are all in use, the slot is given back: open
// transactions hold the connections and need the slots to finish.
func (j *job) acquireConn(ctx context.Context) error {
	u := j.stream.unit
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
	req := j.request()
	req.Continuation = true
	return j.acquireSlot(ctx, req)
}

func (j *job) getConn(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, max(j.remaining(), minConnWait))
	defer cancel()
	conn, err := j.stream.unit.pool.Get(bounded)
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		return j.stream.refuse(fault.ReasonUpstreamUnavailable, "no connection was free in time")
	}
	if err != nil {
		return j.counted(err)
	}
	j.conn = conn
	return nil
}

// counted counts a refusal that another part decided on.
func (j *job) counted(err error) error {
	var notRun *fault.NotRun
	if errors.As(err, &notRun) {
		j.stream.count(notRun.Reason)
	}
	return err
}

func (j *job) releaseSlot(elapsed time.Duration) {
	if j.slot != nil {
		j.slot.Release(elapsed)
		j.slot = nil
	}
}
