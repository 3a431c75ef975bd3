package pgcaller

import (
	"context"
	"slices"

	"lovageslip/entry"
	"lovageslip/fault"
	"lovageslip/upstream"
)

// simple handles a Query message.
func (c *conn) simple(ctx context.Context, body []byte) error {
	text, rest, ok := cutString(body)
	if !ok || len(rest) > 0 {
		return &protocolError{detail: "malformed Query"}
	}
	if c.batch != nil {
		return &protocolError{detail: "Query inside an extended protocol batch"}
	}
	st, err := c.newStatement(text, nil)
	if err != nil {
		return c.refused(err)
	}
	if local := c.localOf(st); local != nil {
		return c.runLocal(local)
	}
	b := &batch{texts: []string{text}}
	b.append('Q', body)
	return c.run(ctx, b)
}

func (c *conn) runLocal(local *localStatement) error {
	if err := local.execute(c, true); err != nil {
		c.send(errorResponse(err))
	}
	c.sendReady()
	return nil
}

// refused answers a batch of which nothing ran.
func (c *conn) refused(err error) error {
	response := errorResponse(err)
	c.server.metrics.Tagged(map[string]string{"code": response.Code}).Counter("statements_refused_total").Inc(1)
	c.send(response)
	c.sendReady()
	return nil
}

// sync runs the collected batch.
func (c *conn) sync(ctx context.Context) error {
	b := c.batch
	c.batch = nil
	if b == nil {
		c.sendReady()
		return nil
	}
	if b.reported {
		c.sendReady()
		return nil
	}
	if b.err != nil {
		c.undeclare(b)
		return c.refused(b.err)
	}
	if !b.forward {
		return c.runOwn(b)
	}
	b.payload = append(b.payload, syncMessage...)
	return c.run(ctx, b)
}

// runOwn answers a batch that no upstream has to see.
func (c *conn) runOwn(b *batch) error {
	for _, op := range b.ops {
		if err := op.answer(c); err != nil {
			c.send(errorResponse(err))
			c.undeclare(b)
			break
		}
	}
	if !b.silent {
		c.sendReady()
	}
	if !c.inTransaction {
		c.portals = nil
	}
	return nil
}

// flushRequest handles Flush. A batch that only prepares and describes is
// answered at once. A batch with a portal is answered at Sync, because the
// portal would not outlive its exchange.
func (c *conn) flushRequest(ctx context.Context) error {
	b := c.batch
	if b == nil || b.err != nil || b.local || b.binds() {
		return nil
	}
	c.batch = nil
	b.silent = true
	if !b.forward {
		return c.runOwn(b)
	}
	b.payload = append(b.payload, syncMessage...)
	return c.run(ctx, b)
}

// run sends a batch through the entry and passes the answer on.
func (c *conn) run(ctx context.Context, b *batch) error {
	// Answers to earlier batches of a pipeline do not wait for this one.
	if err := c.flush(); err != nil {
		return err
	}
	wasOpen := c.inTransaction
	a := &answer{conn: c, ops: slices.Clone(b.ops), mark: c.writer.mark()}
	request := entry.Request{Payload: b.payload, Prepared: b.prepared, Texts: b.texts}
	request.Restart = func() bool { return a.restart(slices.Clone(b.ops)) }
	reply, err := c.runWatched(ctx, request, a)
	if err == nil {
		err = a.finish()
	}
	if err != nil {
		return c.failedRun(b, a, err, wasOpen)
	}
	c.setState(reply.State)
	if a.failed {
		c.undeclare(b)
	}
	if reply.Token != "" {
		c.status(settingSession, reply.Token)
	}
	if !b.silent {
		c.sendReady()
	}
	if b.silent && a.failed {
		c.batch = &batch{err: &failedTransaction{}, reported: true}
	}
	return nil
}

// finish checks that the answer is complete and adds the proxy's last answers.
func (a *answer) finish() error {
	if !a.ready || a.torn() || len(a.held) > 0 {
		return &fault.OutcomeUnknown{Reason: fault.ReasonProtocol, Detail: "the answer is incomplete"}
	}
	return a.own()
}

// failedRun reports a batch that has no complete answer.
func (c *conn) failedRun(b *batch, a *answer, err error, wasOpen bool) error {
	if c.writer.err != nil {
		return c.writer.err
	}
	if a.torn() {
		// A part of a message has gone out, so nothing else can be said.
		return &fault.IO{Op: "pass answer on", Err: err}
	}
	c.undeclare(b)
	c.setState(upstream.StateIdle)
	c.lost = wasOpen && !endsAny(b.texts)
	c.send(errorResponse(err))
	if b.silent {
		c.batch = &batch{err: err, reported: true}
		return nil
	}
	c.sendReady()
	return nil
}

func endsAny(texts []string) bool { return slices.ContainsFunc(texts, endsTransaction) }
