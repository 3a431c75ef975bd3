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

const cancelTimeout = 2 * time.Second

// Cancel asks the server to cancel the batch that is running now. Without a
// running batch it does nothing.
// Errors: *fault.IO if the request couldn't be delivered.
func (c *Conn) Cancel(ctx context.Context) error {
	return c.cancel(ctx, c.sequence.Load())
}

// cancel cancels the batch with the given sequence number, unless it is over.
func (c *Conn) cancel(ctx context.Context, sequence uint64) error {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	select {
	case c.gate <- struct{}{}:
		defer func() { <-c.gate }()
	case <-ctx.Done():
		return &fault.IO{Op: "cancel", Err: ctx.Err()}
	}
	if !c.running || c.sequence.Load() != sequence {
		return nil
	}
	c.cancelSent = true
	return c.sendCancel(ctx)
}

// sendCancel delivers a CancelRequest and waits until the server has taken
// note, which it shows by closing the connection.
func (c *Conn) sendCancel(ctx context.Context) error {
	socket, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return &fault.IO{Op: "cancel", Err: err}
	}
	defer socket.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = socket.SetDeadline(deadline)
	}
	secured, err := c.dialer.secure(socket, c.address)
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
	// Servers may close an encrypted connection without saying goodbye.
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return &fault.IO{Op: "cancel", Err: err}
	}
	return nil
}

// enterBatch opens the gate: from now on the batch may be cancelled.
func (c *Conn) enterBatch() {
	c.running = true
	<-c.gate
}

// leaveBatch closes the gate again. A cancel that is being sent is waited for.
func (c *Conn) leaveBatch() {
	c.gate <- struct{}{}
	c.running = false
}

// absorbCancel makes sure that a cancel request which came too late for its
// batch doesn't hit the next one.
func (c *Conn) absorbCancel() error {
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

// abortOn cancels the batch when ctx ends, and bounds the time until it must
// have answered. The returned function ends the watch.
func (c *Conn) abortOn(ctx context.Context) func() {
	if ctx.Done() == nil {
		return func() {}
	}
	sequence := c.sequence.Load()
	finished := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(finished)
		_ = c.socket.SetDeadline(time.Now().Add(abortDrain))
		if err := c.cancel(context.Background(), sequence); err != nil {
			c.dialer.log.Debug("cancel failed", "error", err)
		}
	})
	return func() {
		if stop() {
			return
		}
		// Run releases the gate before this, so cancel doesn't wait for it.
		<-finished
		_ = c.socket.SetDeadline(time.Time{})
	}
}
