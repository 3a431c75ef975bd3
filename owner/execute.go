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
// free, and the connection is kept only if a transaction is open on it. Work
// that the queue stopped runs again as long work.
func (j *job) execute(ctx context.Context) (upstream.Result, error) {
	defer j.releaseSlot(admission.NotMeasured)
	for {
		result, stopped, err := j.attempt(ctx)
		if !stopped {
			return result, err
		}
		j.restarted = true
	}
}

func (j *job) attempt(ctx context.Context) (r upstream.Result, stopped bool, err error) {
	if err := j.prepare(ctx); err != nil {
		j.giveBack()
		return r, false, err
	}
	x := &execution{job: j, conn: j.conn, started: time.Now()}
	r, err = x.run(ctx)
	if err != nil {
		j.releaseSlot(admission.NotMeasured)
		return r, false, j.confirmEarlier(ctx, r, j.fail(x, err))
	}
	if ctx.Err() == nil && x.wasStopped(r) {
		j.releaseSlot(admission.NotMeasured)
		j.dropConn()
		return r, true, nil
	}
	j.releaseSlot(time.Since(x.started))
	if err := x.flush(); err != nil {
		j.dropConn()
		return r, false, j.unknown(err)
	}
	j.keepOrPut(x, r)
	return r, false, nil
}

// confirmEarlier holds the news that a resent transaction has committed back
// until a majority has that commit: the first try may have ended unconfirmed.
func (j *job) confirmEarlier(ctx context.Context, r upstream.Result, err error) error {
	var committed *fault.AlreadyCommitted
	if !errors.As(err, &committed) {
		return err
	}
	if unconfirmed := j.confirm(ctx, r.After); unconfirmed != nil {
		return unconfirmed
	}
	return err
}

// asked reports whether the queue has asked for the slot.
func (j *job) asked() bool {
	select {
	case <-j.slot.Yield():
		return true
	default:
		return false
	}
}

// prepare gets the slot and the connection and repeats the checks that may
// have changed while the job queued.
func (j *job) prepare(ctx context.Context) error {
	s := j.stream
	queueing, leave := context.WithCancel(ctx)
	defer leave()
	s.onCancel(func(context.Context) error { leave(); return nil })
	if err := j.awaitUnhealthy(queueing); err != nil {
		return err
	}
	if err := j.acquire(queueing); err != nil {
		return err
	}
	// What has run once is in flight, even if it was stopped to run again.
	if j.continuation || j.restarted {
		return nil
	}
	if err := s.allowed(); err != nil {
		return err
	}
	return j.awaitFresh(queueing)
}

// awaitUnhealthy waits for the confirmation of a primary before the queue if
// it is not expected at once, so that no slot is held meanwhile.
func (j *job) awaitUnhealthy(ctx context.Context) error {
	if j.continuation || j.restarted || j.fresh.healthy() {
		return nil
	}
	return j.notConfirmed(j.fresh.wait(ctx, j.remaining()))
}

// awaitFresh holds a write back until the primary is confirmed. A read is
// checked with the status that precedes its answer.
func (j *job) awaitFresh(ctx context.Context) error {
	if j.batch.Mode != upstream.ModeWrite {
		return nil
	}
	return j.notConfirmed(j.fresh.wait(ctx, j.remaining()))
}

func (j *job) notConfirmed(err error) error {
	if err == nil {
		return nil
	}
	return j.stream.refuse(fault.ReasonNotPrimary, "no majority confirms the primary: "+err.Error())
}

// giveBack returns a connection on which nothing was run. A transaction ends
// with its exchange.
func (j *job) giveBack() {
	if j.continuation {
		j.dropConn()
		return
	}
	if j.conn != nil {
		j.stream.unit.pool.Put(j.conn, false)
		j.conn = nil
	}
}

// keepOrPut returns the connection unless a transaction is open on it. A batch
// in write mode may have left session state.
func (j *job) keepOrPut(x *execution, r upstream.Result) {
	if r.State != upstream.StateIdle {
		return
	}
	if x.tainted() {
		j.dropConn()
		return
	}
	j.stream.unit.pool.Put(j.conn, j.batch.Mode == upstream.ModeWrite)
	j.conn = nil
}

// fail maps an error of the connection and settles what becomes of it.
func (j *job) fail(x *execution, err error) error {
	var notRun *fault.NotRun
	if errors.As(err, &notRun) && !j.continuation && !x.tainted() {
		// The refused batch may have begun a transaction; a reset fails then
		// and the pool closes the connection.
		j.stream.unit.pool.Put(j.conn, true)
		j.conn = nil
		if err == x.refused {
			return err
		}
		return j.counted(err)
	}
	j.dropConn()
	if x.silent.Load() {
		return j.unknownFor(fault.ReasonSilentConnection, err)
	}
	return j.typed(err)
}

// typed makes sure that every error says whether the batch ran.
func (j *job) typed(err error) error {
	var notRun *fault.NotRun
	var unknown *fault.OutcomeUnknown
	var committed *fault.AlreadyCommitted
	if errors.As(err, &notRun) || errors.As(err, &unknown) || errors.As(err, &committed) {
		return err
	}
	return j.unknown(err)
}
