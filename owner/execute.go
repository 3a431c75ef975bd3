package owner

import (
	"context"
	"errors"
	"time"

	"lovageslip/admission"
	"lovageslip/fault"
	"lovageslip/upstream"
)

// execute runs the batch with a slot and a connection. Afterwards the slot is
// released, and the connection is kept only if a transaction is open on it. A
// batch that the queue preempted runs again as long work.
func (j *job) execute(ctx context.Context) (upstream.Result, error) {
	defer j.releaseSlot(admission.NotMeasured)
	for {
		result, preempted, err := j.attempt(ctx)
		if !preempted {
			return result, err
		}
		j.restarted = true
	}
}

func (j *job) attempt(ctx context.Context) (r upstream.Result, preempted bool, err error) {
	if err := j.prepare(ctx); err != nil {
		j.returnUnusedConn()
		return r, false, err
	}
	x := &execution{job: j, conn: j.conn, started: time.Now()}
	r, err = x.run(ctx)
	if err != nil {
		j.releaseSlot(admission.NotMeasured)
		return r, false, j.confirmEarlierCommit(ctx, r, j.handleRunError(x, err))
	}
	if ctx.Err() == nil && x.wasPreempted(r) {
		j.releaseSlot(admission.NotMeasured)
		j.discardConn()
		return r, true, nil
	}
	j.releaseSlot(time.Since(x.started))
	if err := x.flush(); err != nil {
		j.discardConn()
		return r, false, j.outcomeUnknown(err)
	}
	j.returnIdleConn(x, r)
	return r, false, nil
}

// confirmEarlierCommit delays the error AlreadyCommitted of a resent
// transaction until a majority holds the commit, because the first attempt may
// have ended before that. It returns other errors unchanged.
func (j *job) confirmEarlierCommit(ctx context.Context, r upstream.Result, err error) error {
	var committed *fault.AlreadyCommitted
	if !errors.As(err, &committed) {
		return err
	}
	if unconfirmed := j.confirmCommit(ctx, r.StatusAfter); unconfirmed != nil {
		return unconfirmed
	}
	return err
}

// preemptionRequested reports whether the queue has asked for the slot back.
func (j *job) preemptionRequested() bool {
	select {
	case <-j.slot.Preempted():
		return true
	default:
		return false
	}
}

// prepare gets the slot and the connection, and repeats the checks whose
// result may have changed while the job queued.
func (j *job) prepare(ctx context.Context) error {
	s := j.stream
	queueCtx, leaveQueue := context.WithCancel(ctx)
	defer leaveQueue()
	s.setCancel(func(context.Context) error { leaveQueue(); return nil })
	if err := j.awaitPrimaryBeforeQueue(queueCtx); err != nil {
		return err
	}
	if err := j.acquire(queueCtx); err != nil {
		return err
	}
	// A batch that was preempted counts as in flight, so it is not checked again.
	if j.continuation || j.restarted {
		return nil
	}
	if err := s.checkNewWork(); err != nil {
		return err
	}
	return j.awaitPrimaryBeforeWrite(queueCtx)
}

// awaitPrimaryBeforeQueue waits until the primary is confirmed, before the job
// queues and so without a slot. It does not wait if the confirmation is expected
// at once.
func (j *job) awaitPrimaryBeforeQueue(ctx context.Context) error {
	if j.continuation || j.restarted || j.freshness.expectsNoWait() {
		return nil
	}
	return j.refuseUnconfirmed(j.freshness.wait(ctx, j.waitRemaining()))
}

// awaitPrimaryBeforeWrite delays a write until the primary is confirmed. A read
// needs no wait here, because checkRead checks the status that precedes its
// answer.
func (j *job) awaitPrimaryBeforeWrite(ctx context.Context) error {
	if j.batch.Mode != upstream.ModeWrite {
		return nil
	}
	return j.refuseUnconfirmed(j.freshness.wait(ctx, j.waitRemaining()))
}

func (j *job) refuseUnconfirmed(err error) error {
	if err == nil {
		return nil
	}
	return j.stream.refuse(fault.ReasonNotPrimary, "no majority confirms the primary: "+err.Error())
}

// returnUnusedConn returns the connection to the pool if this job got it but
// ran nothing on it. The connection of an open transaction is closed, because
// the transaction ends with its exchange.
func (j *job) returnUnusedConn() {
	if j.continuation {
		j.discardConn()
		return
	}
	if j.conn != nil {
		j.stream.upstream.pool.Put(j.conn, false)
		j.conn = nil
	}
}

// returnIdleConn returns the connection to the pool unless a transaction is
// open on it. A batch in write mode may have left session state, so that the
// connection needs a reset.
func (j *job) returnIdleConn(x *execution, r upstream.Result) {
	if r.State != upstream.StateIdle {
		return
	}
	if x.connUnusable() {
		j.discardConn()
		return
	}
	j.stream.upstream.pool.Put(j.conn, j.batch.Mode == upstream.ModeWrite)
	j.conn = nil
}

// handleRunError maps an error of Conn.Run to the error for the caller, and
// returns the connection to the pool or closes it.
func (j *job) handleRunError(x *execution, err error) error {
	var notRun *fault.NotRun
	if errors.As(err, &notRun) && !j.continuation && !x.connUnusable() {
		// The refused batch may have begun a transaction. The reset fails in
		// that case, and the pool closes the connection.
		j.stream.upstream.pool.Put(j.conn, true)
		j.conn = nil
		if err == x.checkErr {
			return err
		}
		return j.countNotRun(err)
	}
	j.discardConn()
	if x.silent.Load() {
		return j.outcomeUnknownFor(fault.ReasonSilentConnection, err)
	}
	return j.ensureOutcome(err)
}

// ensureOutcome returns an error that says whether the batch ran. Errors that
// don't say so are reported as an unknown outcome.
func (j *job) ensureOutcome(err error) error {
	var notRun *fault.NotRun
	var unknown *fault.OutcomeUnknown
	var committed *fault.AlreadyCommitted
	if errors.As(err, &notRun) || errors.As(err, &unknown) || errors.As(err, &committed) {
		return err
	}
	return j.outcomeUnknown(err)
}
