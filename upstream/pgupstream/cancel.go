package pgupstream

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"lovageslip/fault"
)

// cancelTimeout bounds the delivery of a cancel request, including the wait for
// cancelLock.
const cancelTimeout = 2 * time.Second

// Cancel asks the server to cancel the batch that is running now. Without a
// running batch it does nothing.
// Errors: *fault.IO if the request couldn't be delivered.
func (c *Conn) Cancel(ctx context.Context) error {
	return c.cancel(ctx, c.batchSequence.Load())
}

// cancel cancels the batch with the given sequence number, unless it is over.
func (c *Conn) cancel(ctx context.Context, sequence uint64) error {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	select {
	case c.cancelLock <- struct{}{}:
		defer func() { <-c.cancelLock }()
	case <-ctx.Done():
		return &fault.IO{Op: "cancel", Err: ctx.Err()}
	}
	if !c.cancellable || c.batchSequence.Load() != sequence {
		return nil
	}
	c.cancelSent = true
	return c.sendCancel(ctx)
}

// sendCancel delivers a CancelRequest and waits until the server has processed it,
// which the server shows by closing the connection.
func (c *Conn) sendCancel(ctx context.Context) error {
	socket, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return &fault.IO{Op: "cancel", Err: err}
	}
	defer socket.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = socket.SetDeadline(deadline)
	}
	secured, err := c.dialer.negotiateTLS(socket, c.address)
	if err != nil {
		return &fault.IO{Op: "cancel", Err: err}
	}
	raw, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err == nil {
		_, err = secured.Write(raw)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, secured)
	}
	// Servers may close an encrypted connection without a close_notify alert.
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return &fault.IO{Op: "cancel", Err: err}
	}
	return nil
}

// allowCancel releases cancelLock: from now on the batch may be cancelled.
func (c *Conn) allowCancel() {
	c.cancellable = true
	<-c.cancelLock
}

// disallowCancel takes cancelLock again. It waits for a cancel request that is
// being sent.
func (c *Conn) disallowCancel() {
	c.cancelLock <- struct{}{}
	c.cancellable = false
}

// consumeLateCancel runs a status query if a cancel request was sent. A request
// that came too late for its batch hits this query instead of the next batch.
func (c *Conn) consumeLateCancel() error {
	if !c.cancelSent {
		return nil
	}
	c.cancelSent = false
	if c.broken.Load() {
		return nil
	}
	_, err := c.query(statusSQL)
	return err
}

// cancelWhenDone cancels the batch when ctx ends and gives the server
// cancelAnswerTimeout to answer it. The returned function stops this, and waits for
// a cancellation that has begun.
func (c *Conn) cancelWhenDone(ctx context.Context) func() {
	if ctx.Done() == nil {
		return func() {}
	}
	sequence := c.batchSequence.Load()
	finished := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(finished)
		_ = c.socket.SetDeadline(time.Now().Add(cancelAnswerTimeout))
		if err := c.cancel(context.Background(), sequence); err != nil {
			c.dialer.log.Debug("cancel request to an upstream failed", "error", err)
		}
	})
	return func() {
		if stop() {
			return
		}
		// Run has released cancelLock, so cancel doesn't wait for Run.
		<-finished
		_ = c.socket.SetDeadline(time.Time{})
	}
}
