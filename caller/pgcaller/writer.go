package pgcaller

import (
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"lovageslip/fault"
)

// flushThreshold is the number of answer bytes to collect before a write.
const flushThreshold = pooledBufferBytes

// writer buffers the messages to a caller. It holds no buffer while the caller
// is idle.
type writer struct {
	conn    net.Conn
	timeout time.Duration
	buf     []byte
	pooled  *[]byte
	err     error
	// written is true if bytes were written to the caller since the last mark.
	written bool
}

func (w *writer) acquire() {
	if w.buf != nil {
		return
	}
	w.pooled = bufferPool.Get().(*[]byte)
	w.buf = (*w.pooled)[:0]
}

// release returns the buffer to bufferPool if nothing is left to write.
func (w *writer) release() {
	if len(w.buf) > 0 || w.pooled == nil {
		return
	}
	bufferPool.Put(w.pooled)
	w.pooled = nil
	w.buf = nil
}

// send adds a message. An encoding error is returned by the next flush.
func (w *writer) send(message pgproto3.BackendMessage) {
	w.acquire()
	buf, err := message.Encode(w.buf)
	if err != nil {
		w.err = &fault.IO{Op: "encode message", Err: err}
		return
	}
	w.buf = buf
}

// add appends encoded bytes, and writes to the caller when flushThreshold is
// reached.
func (w *writer) add(encoded []byte) error {
	w.acquire()
	if len(w.buf) > 0 && len(w.buf)+len(encoded) > flushThreshold {
		if err := w.flush(); err != nil {
			return err
		}
	}
	if len(encoded) >= flushThreshold {
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

// mark returns the number of buffered bytes, for a later rewind.
func (w *writer) mark() int {
	w.written = false
	return len(w.buf)
}

// rewind drops the bytes added since mark. It returns false and drops nothing
// if some of them were written to the caller already.
func (w *writer) rewind(mark int) bool {
	if w.written {
		return false
	}
	w.buf = w.buf[:min(mark, len(w.buf))]
	return true
}
