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
	// idleBufferBytes is the size of an idle caller's read buffer. Most
	// requests fit into it and take one read.
	idleBufferBytes = 512
	// pooledBufferBytes is the size of the buffers in bufferPool, for larger
	// messages and for answers.
	pooledBufferBytes = 16 << 10
	headerSize        = 5
)

var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, pooledBufferBytes)
	return &b
}}

// reader splits a caller's byte stream into messages. Its buffer grows with the
// bytes that have arrived, never with the length in a message header, so that a
// false length allocates nothing. It shrinks when the caller is idle. The bytes
// not yet used are buf[start:end].
type reader struct {
	conn       net.Conn
	timeout    time.Duration
	small      []byte
	buf        []byte
	pooled     *[]byte
	start, end int
}

func newReader(conn net.Conn, timeout time.Duration) reader {
	small := make([]byte, idleBufferBytes)
	return reader{conn: conn, timeout: timeout, small: small, buf: small}
}

// buffered returns the number of bytes that have arrived but are not used yet.
func (r *reader) buffered() int { return r.end - r.start }

// awaitInput blocks until at least one byte is buffered. It sets no deadline.
func (r *reader) awaitInput() error {
	if r.buffered() > 0 {
		return nil
	}
	return r.fill()
}

// next returns the next message. The body is valid until the following call.
// Errors: *protocolError, *messageTooLarge, *fault.IO.
func (r *reader) next(maxBody int) (kind byte, body []byte, err error) {
	if err := r.readAtLeast(headerSize); err != nil {
		return 0, nil, err
	}
	header := r.buf[r.start:]
	size := int(int32(binary.BigEndian.Uint32(header[1:]))) - 4
	kind = header[0]
	if !isCallerMessage(kind) || size < 0 {
		return 0, nil, &protocolError{detail: "malformed message header"}
	}
	if size > maxBody {
		return 0, nil, &messageTooLarge{size: size, limit: maxBody}
	}
	if err := r.readAtLeast(headerSize + size); err != nil {
		return 0, nil, err
	}
	bodyStart := r.start + headerSize
	r.start = bodyStart + size
	return kind, r.buf[bodyStart:r.start:r.start], nil
}

// readAtLeast blocks until n bytes are buffered, for at most the read timeout.
func (r *reader) readAtLeast(n int) error {
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

// fill makes one read into the free part of the buffer.
func (r *reader) fill() error {
	r.makeRoom()
	n, err := r.conn.Read(r.buf[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return &fault.IO{Op: "read from caller", Err: err}
}

func (r *reader) makeRoom() {
	if r.start == r.end {
		r.start, r.end = 0, 0
	}
	if r.end < len(r.buf) {
		return
	}
	if r.start > 0 {
		r.end = copy(r.buf, r.buf[r.start:r.end])
		r.start = 0
		return
	}
	r.grow()
}

func (r *reader) grow() {
	if r.pooled == nil && len(r.buf) < pooledBufferBytes {
		larger := bufferPool.Get().(*[]byte)
		r.end = copy(*larger, r.buf[:r.end])
		r.buf = *larger
		r.pooled = larger
		return
	}
	larger := make([]byte, 2*len(r.buf))
	r.end = copy(larger, r.buf[:r.end])
	r.buf = larger
	r.release()
}

// release returns the pooled buffer to bufferPool.
func (r *reader) release() {
	if r.pooled == nil {
		return
	}
	bufferPool.Put(r.pooled)
	r.pooled = nil
}

// shrink switches back to the small buffer if the buffered bytes fit into it.
func (r *reader) shrink() {
	if len(r.buf) == idleBufferBytes || r.buffered() > idleBufferBytes {
		return
	}
	r.end = copy(r.small, r.buf[r.start:r.end])
	r.start = 0
	r.buf = r.small
	r.release()
}

// isCallerMessage reports whether kind is the type byte of a message that
// callers may send.
func isCallerMessage(kind byte) bool {
	switch kind {
	case 'B', 'C', 'D', 'E', 'F', 'H', 'P', 'Q', 'S', 'X', 'c', 'd', 'f', 'p':
		return true
	}
	return false
}
