package pgcaller

import (
	"context"
	"slices"

	"lovageslip/entry"
	"lovageslip/fault"
	"lovageslip/upstream"
)

// handleQuery handles a Query message.
func (c *conn) handleQuery(ctx context.Context, body []byte) error {
	text, rest, ok := cutString(body)
	if !ok || len(rest) > 0 {
		return &protocolError{detail: "malformed Query"}
	}
	if c.batch != nil {
		return &protocolError{detail: "Query inside an extended protocol batch"}
	}
	st, err := c.newStatement(text, nil)
	if err != nil {
		return c.sendRefusal(err)
	}
	if local := c.localStatementFor(st); local != nil {
		return c.answerLocalQuery(local)
	}
	b := &batch{texts: []string{text}}
	b.append('Q', body)
	return c.run(ctx, b)
}

func (c *conn) answerLocalQuery(local *localStatement) error {
	if err := local.execute(c, true); err != nil {
		c.send(errorResponse(err))
	}
	c.sendReady()
	return nil
}

// sendRefusal answers a batch that was refused before any of it ran.
func (c *conn) sendRefusal(err error) error {
	response := errorResponse(err)
	c.server.metrics.Tagged(map[string]string{"code": response.Code}).Counter("statements_refused_total").Inc(1)
	c.send(response)
	c.sendReady()
	return nil
}

// handleSync handles Sync: it runs the collected batch.
func (c *conn) handleSync(ctx context.Context) error {
	b := c.batch
	c.batch = nil
	if b == nil {
		c.sendReady()
		return nil
	}
	if b.errReported {
		c.sendReady()
		return nil
	}
	if b.err != nil {
		c.dropUnconfirmed(b)
		return c.sendRefusal(b.err)
	}
	if !b.forward {
		return c.answerLocalBatch(b)
	}
	b.payload = append(b.payload, syncMessage...)
	return c.run(ctx, b)
}

// answerLocalBatch answers a batch that needs no upstream.
func (c *conn) answerLocalBatch(b *batch) error {
	for _, op := range b.ops {
		if err := op.answer(c); err != nil {
			c.send(errorResponse(err))
			c.dropUnconfirmed(b)
			break
		}
	}
	if !b.endedByFlush {
		c.sendReady()
	}
	if !c.inTransaction {
		c.portals = nil
	}
	return nil
}

// handleFlush handles Flush. A batch that only prepares and describes is run
// and answered at once. A batch with a Bind is answered at Sync, because its
// portal would end with the exchange that the flushed part runs in.
func (c *conn) handleFlush(ctx context.Context) error {
	b := c.batch
	if b == nil || b.err != nil || b.executesLocal || b.hasBind() {
		return nil
	}
	c.batch = nil
	b.endedByFlush = true
	if !b.forward {
		return c.answerLocalBatch(b)
	}
	b.payload = append(b.payload, syncMessage...)
	return c.run(ctx, b)
}

// run sends a batch to an upstream by way of package entry and relays the
// answer to the caller.
func (c *conn) run(ctx context.Context, b *batch) error {
	// Flush first, so that answers to earlier batches of a pipeline do not wait
	// for this one.
	if err := c.flush(); err != nil {
		return err
	}
	wasInTransaction := c.inTransaction
	a := &answerRelay{conn: c, ops: slices.Clone(b.ops), writerMark: c.writer.mark()}
	request := entry.Request{Payload: b.payload, Prepared: b.prepared, Texts: b.texts}
	request.Restart = func() bool { return a.restart(slices.Clone(b.ops)) }
	reply, err := c.runWatched(ctx, request, a)
	if err == nil {
		err = a.finish()
	}
	if err != nil {
		return c.reportFailedRun(b, a, err, wasInTransaction)
	}
	c.setTransactionState(reply.State)
	if a.failed {
		c.dropUnconfirmed(b)
	}
	if reply.Token != "" {
		c.sendParameterStatus(parameterSession, reply.Token)
	}
	if !b.endedByFlush {
		c.sendReady()
	}
	if b.endedByFlush && a.failed {
		c.batch = &batch{err: &failedTransaction{}, errReported: true}
	}
	return nil
}

// finish checks that the answer is complete and sends the proxy's own answers
// that follow its end.
func (a *answerRelay) finish() error {
	if !a.ready || a.partlySent() || len(a.buffered) > 0 {
		return &fault.OutcomeUnknown{Reason: fault.ReasonProtocol, Detail: "the answer is incomplete"}
	}
	return a.sendLocalAnswers()
}

// reportFailedRun sends the error for a batch whose answer is incomplete. It
// returns an error if the connection has to end.
func (c *conn) reportFailedRun(b *batch, a *answerRelay, err error, wasInTransaction bool) error {
	if c.writer.err != nil {
		return c.writer.err
	}
	if a.partlySent() {
		// The caller has part of a message, so no error message can follow.
		return &fault.IO{Op: "pass answer on", Err: err}
	}
	c.dropUnconfirmed(b)
	c.setTransactionState(upstream.StateIdle)
	c.transactionLost = wasInTransaction && !anyEndsTransaction(b.texts)
	c.send(errorResponse(err))
	if b.endedByFlush {
		c.batch = &batch{err: err, errReported: true}
		return nil
	}
	c.sendReady()
	return nil
}

func anyEndsTransaction(texts []string) bool { return slices.ContainsFunc(texts, endsTransaction) }
