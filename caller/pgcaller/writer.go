package pgcaller

import (
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"lovageslip/fault"
)

// flushAt is how many answer bytes are collected before they are written.
const flushAt = busyBuffer

// writer collects what goes to a caller. It holds no buffer while the caller
// is idle.
type writer struct {
	conn    net.Conn
	timeout time.Duration
	buf     []byte
	pooled  *[]byte
	err     error
	// written is true once bytes have been written since the last mark.
	written bool
}

func (w *writer) acquire() {
	if w.buf != nil {
		return
	}
	w.pooled = busyBuffers.Get().(*[]byte)
	w.buf = (*w.pooled)[:0]
}

// release gives the buffer back if nothing is left to write.
func (w *writer) release() {
	if len(w.buf) > 0 || w.pooled == nil {
		return
	}
	busyBuffers.Put(w.pooled)
	w.pooled = nil
	w.buf = nil
}

// send adds a message. An error shows at the next flush.
func (w *writer) send(message pgproto3.BackendMessage) {
	w.acquire()
	buf, err := message.Encode(w.buf)
	if err != nil {
		w.err = &fault.IO{Op: "encode message", Err: err}
		return
	}
	w.buf = buf
}

// add appends encoded bytes and writes when enough have been collected.
func (w *writer) add(encoded []byte) error {
	w.acquire()
	if len(w.buf) > 0 && len(w.buf)+len(encoded) > flushAt {
		if err := w.flush(); err != nil {
			return err
		}
	}
	if len(encoded) >= flushAt {
		return w.write(encoded)
	}
	w.buf = append(w.buf, encoded...)
	return nil
}

func (w *writer) flush() error {
	if w.err != nil {
		return w.err
	}
	if len(w.buf) == 0 {
		return nil
	}
	err := w.write(w.buf)
	w.buf = w.buf[:0]
	return err
}

func (w *writer) write(encoded []byte) error {
	w.written = true
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		w.err = &fault.IO{Op: "set write deadline", Err: err}
		return w.err
	}
	if _, err := w.conn.Write(encoded); err != nil {
		w.err = &fault.IO{Op: "write to caller", Err: err}
		return w.err
	}
	return nil
}

// mark notes the length of what is collected; rewind goes back to it.
func (w *writer) mark() int {
	w.written = false
	return len(w.buf)
}

// rewind drops what was added since mark and reports whether nothing of it had
// been written.
func (w *writer) rewind(mark int) bool {
	if w.written {
		return false
	}
	w.buf = w.buf[:min(mark, len(w.buf))]
	return true
}
