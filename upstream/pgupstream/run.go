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
// cancelled at the server, and Run returns within cancelAnswerTimeout.
//
// With a request id that a committed batch has used, but whose answer isn't
// stored, Run returns *fault.AlreadyCommitted together with a Result whose
// StatusAfter covers that commit.
func (c *Conn) Run(ctx context.Context, batch upstream.Batch, check upstream.StatusCheck, sink upstream.Sink) (upstream.Result, error) {
	r, err := newRequest(batch, c.prepared)
	if err != nil {
		return upstream.Result{}, err
	}
	if err := ctx.Err(); err != nil {
		return upstream.Result{}, &fault.NotRun{Reason: fault.ReasonCancelled, Detail: err.Error()}
	}
	c.cancelLock <- struct{}{}
	c.batchSequence.Add(1)
	if err := c.checkUsable(); err != nil {
		<-c.cancelLock
		return upstream.Result{}, err
	}
	stopWatching := c.cancelWhenDone(ctx)
	result, err := c.run(batch, r, check, sink)
	if c.cancellable {
		c.disallowCancel()
	}
	if consumeErr := c.consumeLateCancel(); consumeErr != nil && err == nil && !result.Committed {
		err = consumeErr
	}
	<-c.cancelLock
	stopWatching()
	return result, err
}

func (c *Conn) run(batch upstream.Batch, r *request, check upstream.StatusCheck, sink upstream.Sink) (upstream.Result, error) {
	switch {
	case batch.Mode == upstream.ModeRead:
		return c.runRead(r, check, sink)
	case batch.RequestID != "" && c.state == upstream.StateIdle:
		return c.runIdempotent(batch.RequestID, r, sink)
	}
	return c.runWrite(r, sink)
}

// maxReusedBufferBytes bounds the buffers that a connection keeps for its next
// batch.
const maxReusedBufferBytes = 64 << 10

// sendBuffer sends the bytes of out and keeps the buffer for the next batch, unless
// it is too large.
func (c *Conn) sendBuffer(out []byte) error {
	if cap(out) <= maxReusedBufferBytes {
		c.requestBuffer = out
	}
	return c.send(out)
}

func (c *Conn) newAnswerReader(r *request, sink upstream.Sink, buffering bufferPolicy) *answerReader {
	return &answerReader{conn: c, sink: sink, buffering: buffering, expected: r.expected, pending: c.answerBuffer[:0]}
}

// keepAnswerBuffer keeps the answer's buffer for the next batch, unless it is too
// large.
func (c *Conn) keepAnswerBuffer(a *answerReader) {
	if cap(a.pending) <= maxReusedBufferBytes {
		c.answerBuffer = a.pending
	}
}

// modeChangeSQL returns the statement that sets the connection's mode, or "" if the
// mode is set already. The mode of an open transaction isn't changed.
func (c *Conn) modeChangeSQL(readOnly bool) string {
	if c.state != upstream.StateIdle || c.readOnly == readOnly {
		return ""
	}
	if readOnly {
		return "SET " + readOnlySetting + " = on"
	}
	return "SET " + readOnlySetting + " = off"
}

// readModeChange reads the answer to the statement of modeChangeSQL. If the
// statement failed, the batch behind it runs in the wrong mode, so the connection
// is broken and the batch's answer is not used.
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

// runRead sends [mode change] [status query] [batch] in one write.
func (c *Conn) runRead(r *request, check upstream.StatusCheck, sink upstream.Sink) (upstream.Result, error) {
	wasIdle := c.state == upstream.StateIdle
	if c.state == upstream.StateFailed {
		// Nothing can be read in a failed transaction, not even the status.
		check = nil
	}
	change := c.modeChangeSQL(true)
	out := c.requestBuffer[:0]
	if change != "" {
		out = appendQuery(out, change)
	}
	out = appendQuery(out, statusSQL)
	out = append(out, r.encoded...)
	if err := c.sendBuffer(out); err != nil {
		return upstream.Result{}, err
	}
	if err := c.readModeChange(change, true); err != nil {
		return upstream.Result{}, err
	}
	c.allowCancel()
	checkErr, err := c.readAndCheckStatus(check)
	if err != nil {
		c.disallowCancel()
		return upstream.Result{}, err
	}
	a := c.newAnswerReader(r, sink, bufferHead)
	a.discard = checkErr != nil
	if r.statements > 1 {
		a.buffering = bufferStatements
	}
	err = a.read()
	c.disallowCancel()
	if err != nil {
		return upstream.Result{}, err
	}
	defer c.keepAnswerBuffer(a)
	return c.endRead(a, checkErr, wasIdle)
}

// readAndCheckStatus reads the status that precedes a read and passes it to check.
func (c *Conn) readAndCheckStatus(check upstream.StatusCheck) (checkErr, err error) {
	result, err := c.readRows()
	if err != nil {
		return nil, err
	}
	if result.failure != nil {
		return statusQueryError(result.failure, check), nil
	}
	status, err := c.statusOf(result)
	if err != nil || check == nil {
		return nil, err
	}
	return check(status), nil
}

// statusQueryError returns the error for a read whose status query failed. It is
// nil without a check, because the status isn't needed then.
func statusQueryError(failure *fault.Database, check upstream.StatusCheck) error {
	if check == nil {
		return nil
	}
	if failure.Code == codeCancelled {
		return &fault.NotRun{Reason: fault.ReasonCancelled, Detail: failure.Message}
	}
	return failure
}

func (c *Conn) endRead(a *answerReader, checkErr error, wasIdle bool) (upstream.Result, error) {
	if checkErr != nil {
		return upstream.Result{}, c.rollbackAfter(checkErr)
	}
	if a.code() == codeReadOnly && !a.delivered && wasIdle {
		refused := &fault.NotRun{Reason: fault.ReasonReadOnly, Detail: a.failure.Message}
		return upstream.Result{}, c.rollbackAfter(refused)
	}
	result := upstream.Result{State: c.state, DatabaseError: a.failure != nil}
	return result, c.finishAnswer(a)
}

// rollbackAfter rolls back an open transaction after cause, and returns cause.
func (c *Conn) rollbackAfter(cause error) error {
	if err := c.rollback(); err != nil {
		c.dialer.log.Debug("rollback failed", "address", c.address, "error", err)
	}
	return cause
}

// finishAnswer passes on the rest of the answer. The connection stays usable if the
// sink fails, because the answer has been read to its end.
func (c *Conn) finishAnswer(a *answerReader) error {
	if err := a.deliverRest(); err != nil {
		return c.rollbackAfter(err)
	}
	return nil
}

// runWrite sends [mode change] [status query] [batch] [status query] in one write.
// Only both statuses together show which log a commit belongs to: between the
// commit and the second query the server may have been replaced as primary and have
// discarded the commit.
func (c *Conn) runWrite(r *request, sink upstream.Sink) (upstream.Result, error) {
	change := c.modeChangeSQL(false)
	out := c.requestBuffer[:0]
	if change != "" {
		out = appendQuery(out, change)
	}
	out = appendQuery(out, statusSQL)
	out = append(out, r.encoded...)
	out = appendQuery(out, statusSQL)
	if err := c.sendBuffer(out); err != nil {
		return upstream.Result{}, err
	}
	if err := c.readModeChange(change, false); err != nil {
		return upstream.Result{}, err
	}
	return c.readWriteAnswer(c.newAnswerReader(r, sink, bufferFromAck))
}

// readStatusAndBatch reads the answers to [status query] [batch]. The batch may
// be cancelled while its answer is awaited.
func (c *Conn) readStatusAndBatch(a *answerReader) (*upstream.Status, error) {
	c.allowCancel()
	defer c.disallowCancel()
	before, err := c.readStatusBefore()
	if err != nil {
		return nil, err
	}
	return before, a.read()
}

// readWriteAnswer reads the answers to [status query] [batch] [status query].
func (c *Conn) readWriteAnswer(a *answerReader) (upstream.Result, error) {
	before, err := c.readStatusAndBatch(a)
	if err != nil {
		return upstream.Result{}, err
	}
	defer c.keepAnswerBuffer(a)
	after, err := c.readStatusAfter()
	if err != nil {
		return upstream.Result{}, err
	}
	return c.endWrite(a, before, after)
}

// readStatusBefore reads the answer to a status query that precedes a write. It is
// nil if the server refused the query, as it does in a failed transaction.
func (c *Conn) readStatusBefore() (*upstream.Status, error) {
	result, err := c.readRows()
	if err != nil || result.failure != nil {
		return nil, err
	}
	status, err := c.statusOf(result)
	return &status, err
}

// readStatusAfter reads the answer to a status query that follows a write. It is
// nil if the server refused the query inside a failed transaction. A late cancel
// request may have hit the query, which is then repeated.
func (c *Conn) readStatusAfter() (*upstream.Status, error) {
	status, err := c.readStatusBefore()
	if err != nil || status != nil || c.state != upstream.StateIdle {
		return status, err
	}
	return c.queryStatus()
}

// queryStatus sends a status query on its own and reads the answer, which is nil as
// for readStatusAfter.
func (c *Conn) queryStatus() (*upstream.Status, error) {
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

// stayedPrimary reports whether the server was the primary of the same term in both
// statuses. Terms are never used again, so nothing was discarded in between.
func stayedPrimary(before, after *upstream.Status) bool {
	return before != nil && before.Role == upstream.RolePrimary &&
		after.Role == upstream.RolePrimary && before.Term == after.Term
}

// unconfirmedCommit returns the error for a commit whose position is unknown,
// because the server may have discarded it.
func (c *Conn) unconfirmedCommit() error {
	return &fault.OutcomeUnknown{
		Reason: fault.ReasonUnconfirmedPosition,
		Detail: c.address + ": the server was replaced while the batch ran",
	}
}

// acceptsWrites reports whether the server may commit writes.
func acceptsWrites(s *upstream.Status) bool {
	return s.Role == upstream.RolePrimary && s.FencedTerm <= s.Term
}

func (c *Conn) endWrite(a *answerReader, before, after *upstream.Status) (upstream.Result, error) {
	if a.code() == codeReadOnly && !a.delivered && after != nil && !acceptsWrites(after) {
		refused := &fault.NotRun{Reason: fault.ReasonNotPrimary, Detail: a.failure.Message}
		return upstream.Result{}, c.rollbackAfter(refused)
	}
	result := upstream.Result{State: c.state, DatabaseError: a.failure != nil}
	if c.state != upstream.StateIdle {
		return result, c.finishAnswer(a)
	}
	result.StatusAfter = *after
	if !a.mayHaveCommitted() {
		return result, c.finishAnswer(a)
	}
	if !stayedPrimary(before, after) {
		return upstream.Result{}, c.unconfirmedCommit()
	}
	result.Committed = true
	var err error
	result.AnswerTail, err = a.deliverBeforeAck()
	return result, err
}

// mayHaveCommitted reports whether a batch that left no transaction open may
// have committed a write.
func (a *answerReader) mayHaveCommitted() bool {
	if a.committed {
		return true
	}
	return a.failure == nil && !a.rolledBack
}
