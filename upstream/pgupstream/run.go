package pgupstream

import (
	"context"

	"lovageslip/fault"
	"lovageslip/upstream"
)

const (
	codeReadOnly  = "25006"
	codeCancelled = "57014"
)

// Run executes a batch; see upstream.Conn. When ctx ends, the batch is
// cancelled at the server, and Run returns within abortDrain.
//
// With a request id that a committed batch has used, but whose answer isn't
// stored, Run returns *fault.AlreadyCommitted together with a Result whose After
// covers that commit.
func (c *Conn) Run(ctx context.Context, batch upstream.Batch, check upstream.Check, sink upstream.Sink) (upstream.Result, error) {
	r, err := newRequest(batch, c.prepared)
	if err != nil {
		return upstream.Result{}, err
	}
	if err := ctx.Err(); err != nil {
		return upstream.Result{}, &fault.NotRun{Reason: fault.ReasonCancelled, Detail: err.Error()}
	}
	c.gate <- struct{}{}
	c.sequence.Add(1)
	if err := c.checkUsable(); err != nil {
		<-c.gate
		return upstream.Result{}, err
	}
	endWatch := c.abortOn(ctx)
	result, err := c.run(batch, r, check, sink)
	if c.running {
		c.leaveBatch()
	}
	if absorbErr := c.absorbCancel(); absorbErr != nil && err == nil && !result.Committed {
		err = absorbErr
	}
	<-c.gate
	endWatch()
	return result, err
}

func (c *Conn) run(batch upstream.Batch, r *request, check upstream.Check, sink upstream.Sink) (upstream.Result, error) {
	switch {
	case batch.Mode == upstream.ModeRead:
		return c.runRead(r, check, sink)
	case batch.RequestID != "" && c.state == upstream.StateIdle:
		return c.runOnce(batch.RequestID, r, sink)
	}
	return c.runWrite(r, sink)
}

// maxKeptBytes bounds the buffers that a connection keeps for its next batch.
const maxKeptBytes = 64 << 10

// sendBuffer sends out and keeps it for the next batch.
func (c *Conn) sendBuffer(out []byte) error {
	if cap(out) <= maxKeptBytes {
		c.out = out
	}
	return c.send(out)
}

func (c *Conn) newAnswer(r *request, sink upstream.Sink, hold holding) *answer {
	return &answer{conn: c, sink: sink, hold: hold, queue: r.queue, held: c.held[:0]}
}

// keepBuffer keeps the answer's buffer for the next batch.
func (c *Conn) keepBuffer(a *answer) {
	if cap(a.held) <= maxKeptBytes {
		c.held = a.held
	}
}

// modeChange returns the statement that sets the connection's mode, or "" if it
// is set. The mode of an open transaction doesn't change.
func (c *Conn) modeChange(readOnly bool) string {
	if c.state != upstream.StateIdle || c.readOnly == readOnly {
		return ""
	}
	if readOnly {
		return "SET " + readOnlySetting + " = on"
	}
	return "SET " + readOnlySetting + " = off"
}

// readModeChange reads the answer to modeChange. The batch behind it runs in
// the wrong mode if it failed, so nothing of the batch may be believed then.
func (c *Conn) readModeChange(sql string, readOnly bool) error {
	if sql == "" {
		return nil
	}
	result, err := c.readRows()
	if err != nil {
		return err
	}
	if result.failure != nil {
		return c.fail(result.failure)
	}
	c.readOnly = readOnly
	return nil
}

// runRead sends [mode change] [status query] [batch] in one go.
func (c *Conn) runRead(r *request, check upstream.Check, sink upstream.Sink) (upstream.Result, error) {
	wasIdle := c.state == upstream.StateIdle
	if c.state == upstream.StateFailed {
		// Nothing can be read in a failed transaction, not even the status.
		check = nil
	}
	change := c.modeChange(true)
	out := c.out[:0]
	if change != "" {
		out = appendQuery(out, change)
	}
	out = appendQuery(out, statusSQL)
	out = append(out, r.out...)
	if err := c.sendBuffer(out); err != nil {
		return upstream.Result{}, err
	}
	if err := c.readModeChange(change, true); err != nil {
		return upstream.Result{}, err
	}
	c.enterBatch()
	checkErr, err := c.readCheck(check)
	if err != nil {
		c.leaveBatch()
		return upstream.Result{}, err
	}
	a := c.newAnswer(r, sink, holdHead)
	a.discard = checkErr != nil
	if r.statements > 1 {
		a.hold = holdSeveral
	}
	err = a.read()
	c.leaveBatch()
	if err != nil {
		return upstream.Result{}, err
	}
	defer c.keepBuffer(a)
	return c.endRead(a, checkErr, wasIdle)
}

// readCheck reads the status that precedes a read and lets check judge it.
func (c *Conn) readCheck(check upstream.Check) (checkErr, err error) {
	result, err := c.readRows()
	if err != nil {
		return nil, err
	}
	if result.failure != nil {
		return statusRefused(result.failure, check), nil
	}
	status, err := c.statusOf(result)
	if err != nil || check == nil {
		return nil, err
	}
	return check(status), nil
}

// statusRefused judges a read whose status query failed: without a check the
// status doesn't matter.
func statusRefused(failure *fault.Database, check upstream.Check) error {
	if check == nil {
		return nil
	}
	if failure.Code == codeCancelled {
		return &fault.NotRun{Reason: fault.ReasonCancelled, Detail: failure.Message}
	}
	return failure
}

func (c *Conn) endRead(a *answer, checkErr error, wasIdle bool) (upstream.Result, error) {
	if checkErr != nil {
		return upstream.Result{}, c.rollbackAfter(checkErr)
	}
	if a.code() == codeReadOnly && !a.passed && wasIdle {
		refused := &fault.NotRun{Reason: fault.ReasonReadOnly, Detail: a.failure.Message}
		return upstream.Result{}, c.rollbackAfter(refused)
	}
	result := upstream.Result{State: c.state, DatabaseError: a.failure != nil}
	return result, c.finishAnswer(a)
}

// rollbackAfter cleans the connection and returns the error that made it
// necessary.
func (c *Conn) rollbackAfter(cause error) error {
	if err := c.rollback(); err != nil {
		c.dialer.log.Debug("rollback failed", "address", c.address, "error", err)
	}
	return cause
}

// finishAnswer passes on the rest. A caller that takes no more of its answer
// leaves the connection clean, because the answer has been read to its end.
func (c *Conn) finishAnswer(a *answer) error {
	if err := a.finish(); err != nil {
		return c.rollbackAfter(err)
	}
	return nil
}

// runWrite sends [mode change] [status query] [batch] [status query] in one go.
// Only both statuses together say which log a commit belongs to: between the
// commit and the second query the server may have been replaced and have
// discarded the commit.
func (c *Conn) runWrite(r *request, sink upstream.Sink) (upstream.Result, error) {
	change := c.modeChange(false)
	out := c.out[:0]
	if change != "" {
		out = appendQuery(out, change)
	}
	out = appendQuery(out, statusSQL)
	out = append(out, r.out...)
	out = appendQuery(out, statusSQL)
	if err := c.sendBuffer(out); err != nil {
		return upstream.Result{}, err
	}
	if err := c.readModeChange(change, false); err != nil {
		return upstream.Result{}, err
	}
	return c.readWrite(c.newAnswer(r, sink, holdFromAck))
}

// readStatusAndBatch reads the answers to [status query] [batch]. The batch may
// be cancelled while its answer is awaited.
func (c *Conn) readStatusAndBatch(a *answer) (*upstream.Status, error) {
	c.enterBatch()
	defer c.leaveBatch()
	before, err := c.statusBefore()
	if err != nil {
		return nil, err
	}
	return before, a.read()
}

// readWrite reads the answers to [status query] [batch] [status query].
func (c *Conn) readWrite(a *answer) (upstream.Result, error) {
	before, err := c.readStatusAndBatch(a)
	if err != nil {
		return upstream.Result{}, err
	}
	defer c.keepBuffer(a)
	after, err := c.statusAfter()
	if err != nil {
		return upstream.Result{}, err
	}
	return c.endWrite(a, before, after)
}

// statusBefore reads the answer to a status query that precedes a write; nil if
// the server refused it, as it does in a failed transaction.
func (c *Conn) statusBefore() (*upstream.Status, error) {
	result, err := c.readRows()
	if err != nil || result.failure != nil {
		return nil, err
	}
	status, err := c.statusOf(result)
	return &status, err
}

// statusAfter reads the answer to a status query that follows a write; nil if
// the server doesn't give it inside a failed transaction. A cancel request that
// came late may have hit the query, which is then repeated.
func (c *Conn) statusAfter() (*upstream.Status, error) {
	status, err := c.statusBefore()
	if err != nil || status != nil || c.state != upstream.StateIdle {
		return status, err
	}
	return c.askStatus()
}

// askStatus asks for the status on its own; nil as for statusAfter.
func (c *Conn) askStatus() (*upstream.Status, error) {
	result, err := c.query(statusSQL)
	if err != nil {
		return nil, err
	}
	if result.failure != nil && c.state != upstream.StateIdle {
		return nil, nil
	}
	if result.failure != nil {
		return nil, c.fail(result.failure)
	}
	status, err := c.statusOf(result)
	return &status, err
}

// sameReign reports whether the server led one term from the first status to
// the second. Terms never return, so nothing was discarded in between.
func sameReign(before, after *upstream.Status) bool {
	return before != nil && before.Role == upstream.RolePrimary &&
		after.Role == upstream.RolePrimary && before.Term == after.Term
}

// unconfirmable reports a commit that can't be given a position.
func (c *Conn) unconfirmable() error {
	return &fault.OutcomeUnknown{
		Reason: fault.ReasonUnconfirmedPosition,
		Detail: c.address + ": the server was replaced while the batch ran",
	}
}

// leads reports whether the server may commit writes.
func leads(s *upstream.Status) bool {
	return s.Role == upstream.RolePrimary && s.Fenced <= s.Term
}

func (c *Conn) endWrite(a *answer, before, after *upstream.Status) (upstream.Result, error) {
	if a.code() == codeReadOnly && !a.passed && after != nil && !leads(after) {
		refused := &fault.NotRun{Reason: fault.ReasonNotPrimary, Detail: a.failure.Message}
		return upstream.Result{}, c.rollbackAfter(refused)
	}
	result := upstream.Result{State: c.state, DatabaseError: a.failure != nil}
	if c.state != upstream.StateIdle {
		return result, c.finishAnswer(a)
	}
	result.After = *after
	if !a.mayHaveCommitted() {
		return result, c.finishAnswer(a)
	}
	if !sameReign(before, after) {
		return upstream.Result{}, c.unconfirmable()
	}
	result.Committed = true
	var err error
	result.Tail, err = a.tail()
	return result, err
}

// mayHaveCommitted reports whether a batch that left no transaction open may
// have committed a write.
func (a *answer) mayHaveCommitted() bool {
	if a.committed {
		return true
	}
	return a.failure == nil && !a.rolledBack
}
