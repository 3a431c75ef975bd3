package pgcaller

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"lovageslip/fault"
)

const (
	// idleBuffer is the read buffer of an idle caller. Most requests fit, so
	// that they take one read.
	idleBuffer = 512
	// busyBuffer is the size of pooled buffers for larger messages.
	busyBuffer = 16 << 10
	headerSize = 5
)

var busyBuffers = sync.Pool{New: func() any {
	b := make([]byte, busyBuffer)
	return &b
}}

// reader splits a caller's bytes into messages. Its buffer grows with the bytes
// that have arrived, never with the length that a header claims, and shrinks
// when the caller is idle.
type reader struct {
	conn    net.Conn
	timeout time.Duration
	small   []byte
	buf     []byte
	pooled  *[]byte
	r, w    int
}

func newReader(conn net.Conn, timeout time.Duration) reader {
	small := make([]byte, idleBuffer)
	return reader{conn: conn, timeout: timeout, small: small, buf: small}
}

// buffered returns how many bytes have arrived and were not used yet.
func (r *reader) buffered() int { return r.w - r.r }

// await blocks without a deadline of its own until a byte has arrived.
func (r *reader) await() error {
	if r.buffered() > 0 {
		return nil
	}
	return r.fill()
}

// next returns the next message. The body is valid until the following call.
func (r *reader) next(maxBody int) (kind byte, body []byte, err error) {
	if err := r.ensure(headerSize); err != nil {
		return 0, nil, err
	}
	header := r.buf[r.r:]
	size := int(int32(binary.BigEndian.Uint32(header[1:]))) - 4
	kind = header[0]
	if !knownMessage(kind) || size < 0 {
		return 0, nil, &protocolError{detail: "malformed message header"}
	}
	if size > maxBody {
		return 0, nil, &messageTooLarge{size: size, limit: maxBody}
	}
	if err := r.ensure(headerSize + size); err != nil {
		return 0, nil, err
	}
	start := r.r + headerSize
	r.r = start + size
	return kind, r.buf[start:r.r:r.r], nil
}

// ensure blocks until n bytes have arrived, within the read timeout.
func (r *reader) ensure(n int) error {
	if r.buffered() >= n {
		return nil
	}
	if err := r.conn.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
		return &fault.IO{Op: "set read deadline", Err: err}
	}
	for r.buffered() < n {
		if err := r.fill(); err != nil {
			return err
		}
	}
	if err := r.conn.SetReadDeadline(time.Time{}); err != nil {
		return &fault.IO{Op: "clear read deadline", Err: err}
	}
	return nil
}

// fill reads once.
func (r *reader) fill() error {
	r.makeRoom()
	n, err := r.conn.Read(r.buf[r.w:])
	r.w += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return &fault.IO{Op: "read from caller", Err: err}
}

func (r *reader) makeRoom() {
	if r.r == r.w {
		r.r, r.w = 0, 0
	}
	if r.w < len(r.buf) {
		return
	}
	if r.r > 0 {
		r.w = copy(r.buf, r.buf[r.r:r.w])
		r.r = 0
		return
	}
	r.grow()
}

func (r *reader) grow() {
	if r.pooled == nil && len(r.buf) < busyBuffer {
		larger := busyBuffers.Get().(*[]byte)
		r.w = copy(*larger, r.buf[:r.w])
		r.buf = *larger
		r.pooled = larger
		return
	}
	larger := make([]byte, 2*len(r.buf))
	r.w = copy(larger, r.buf[:r.w])
	r.buf = larger
	r.release()
}

// release gives the pooled buffer back.
func (r *reader) release() {
	if r.pooled == nil {
		return
	}
	busyBuffers.Put(r.pooled)
	r.pooled = nil
}

// shrink goes back to the small buffer if what has arrived fits there.
func (r *reader) shrink() {
	if len(r.buf) == idleBuffer || r.buffered() > idleBuffer {
		return
	}
	r.w = copy(r.small, r.buf[r.r:r.w])
	r.r = 0
	r.buf = r.small
	r.release()
}

// knownMessage reports whether a byte starts a message of a caller.
func knownMessage(kind byte) bool {
	switch kind {
	case 'B', 'C', 'D', 'E', 'F', 'H', 'P', 'Q', 'S', 'X', 'c', 'd', 'f', 'p':
		return true
	}
	return false
}
