package pgupstream

import (
	"bytes"
	"encoding/binary"
	"io"

	"lovageslip/fault"
)

const (
	readBufferBytes = 16 << 10
	// maxDecodedBytes bounds the messages that are decoded. Others may have
	// any length, because they are passed on in parts.
	maxDecodedBytes = 1 << 20
	headerBytes     = 5
)

// reader reads backend messages from a socket through one buffer.
type reader struct {
	source     io.Reader
	buffer     []byte
	start, end int
}

func newReader(source io.Reader) reader {
	return reader{source: source, buffer: make([]byte, readBufferBytes)}
}

func (r *reader) buffered() int { return r.end - r.start }

// fill makes at least n bytes available.
func (r *reader) fill(n int) error {
	if r.buffered() >= n {
		return nil
	}
	if r.start > 0 {
		copy(r.buffer, r.buffer[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if n > len(r.buffer) {
		r.buffer = append(r.buffer, make([]byte, n-len(r.buffer))...)
	}
	got, err := io.ReadAtLeast(r.source, r.buffer[r.end:], n-r.end)
	r.end += got
	return err
}

// header returns the type and body length of the next message without
// consuming it.
func (r *reader) header() (byte, int, error) {
	if err := r.fill(headerBytes); err != nil {
		return 0, 0, err
	}
	length := int(int32(binary.BigEndian.Uint32(r.buffer[r.start+1:])))
	if length < 4 {
		return 0, 0, &protocolError{detail: "invalid message length"}
	}
	return r.buffer[r.start], length - 4, nil
}

// peek returns the next message as a whole, with its header, without consuming
// it. The slice is valid until the next call.
func (r *reader) peek(body int) ([]byte, error) {
	if body > maxDecodedBytes {
		return nil, &protocolError{detail: "message too long"}
	}
	if err := r.fill(headerBytes + body); err != nil {
		return nil, err
	}
	return r.buffer[r.start : r.start+headerBytes+body], nil
}

func (r *reader) discard(n int) { r.start += n }

// message consumes the next message. The body is valid until the next call.
func (r *reader) message() (byte, []byte, error) {
	kind, length, err := r.header()
	if err != nil {
		return 0, nil, err
	}
	raw, err := r.peek(length)
	if err != nil {
		return 0, nil, err
	}
	r.discard(len(raw))
	return kind, raw[headerBytes:], nil
}

// available returns up to n bytes that are buffered, waiting for at least one.
func (r *reader) available(n int) ([]byte, error) {
	if err := r.fill(1); err != nil {
		return nil, err
	}
	n = min(n, r.buffered())
	return r.buffer[r.start : r.start+n], nil
}

// protocolError reports an answer that violates the protocol or that this adapter
// doesn't support. The connection is not used again.
type protocolError struct {
	detail string
}

func (e *protocolError) Error() string { return "protocol: " + e.detail }

// parseError decodes the code, the message and the severity of an ErrorResponse.
func parseError(body []byte) *fault.Database {
	failure := &fault.Database{}
	for len(body) > 1 && body[0] != 0 {
		end := bytes.IndexByte(body[1:], 0)
		if end < 0 {
			break
		}
		value := string(body[1 : 1+end])
		switch body[0] {
		case 'C':
			failure.Code = value
		case 'M':
			failure.Message = value
		case 'V':
			failure.Severity = value
		case 'S':
			if failure.Severity == "" {
				failure.Severity = value
			}
		}
		body = body[end+2:]
	}
	return failure
}

// cstring returns the text up to the first zero byte.
func cstring(b []byte) string {
	if end := bytes.IndexByte(b, 0); end >= 0 {
		return string(b[:end])
	}
	return string(b)
}
