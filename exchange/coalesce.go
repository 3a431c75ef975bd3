package exchange

import (
	"encoding/binary"
	"io"
	"net/http"
)

const (
	// envelopeHeader is the size in bytes of connect's message header: one for
	// flags and four for the length.
	envelopeHeader = 5
	// openTag is the first byte of an encoded RunRequest that holds an Open:
	// field number 1, length-delimited.
	openTag = 1<<3 | 2
	// maxCoalescedBytes bounds the bytes that are collected for one frame.
	maxCoalescedBytes = 16 << 10
)

// coalescingTransport is a RoundTripper that sends each message of a request
// body as one HTTP/2 frame, and Open in one frame with the batch that always
// follows it. Without it, connect writes the header and the body of a message
// separately, and net/http makes a frame and a system call of every write.
type coalescingTransport struct{ base http.RoundTripper }

// withCoalescing returns a copy of an HTTP client that coalesces messages.
func withCoalescing(client *http.Client) *http.Client {
	base := client.Transport
	if base == nil {
		base = http.DefaultTransport
	}
	copied := *client
	copied.Transport = coalescingTransport{base: base}
	return &copied
}

// RoundTrip implements http.RoundTripper.
func (c coalescingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Body != nil {
		request = request.Clone(request.Context())
		request.Body = &coalescingBody{body: request.Body}
	}
	return c.base.RoundTrip(request)
}

// CloseIdleConnections passes on the call of http.Client.CloseIdleConnections.
func (c coalescingTransport) CloseIdleConnections() {
	if closer, ok := c.base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// coalescingBody is a request body whose reads return whole messages as far as
// the reader's buffer allows. Only the transport's goroutine reads it.
type coalescingBody struct {
	body   io.ReadCloser
	buf    []byte
	unread []byte
	// remaining is how many bytes are left of a message that is too large to
	// collect.
	remaining int
}

// Read implements io.Reader.
func (c *coalescingBody) Read(p []byte) (int, error) {
	if len(c.unread) == 0 && c.remaining > 0 {
		n, err := c.body.Read(p[:min(len(p), c.remaining)])
		c.remaining -= n
		return n, err
	}
	if len(c.unread) == 0 {
		if err := c.collect(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// collect reads the next message. After an Open it also reads the message that
// follows.
func (c *coalescingBody) collect() error {
	c.buf = c.buf[:0]
	for {
		open, err := c.appendMessage()
		if err != nil {
			return err
		}
		if !open {
			c.unread = c.buf
			return nil
		}
	}
}

// appendMessage reads one message into buf, or only its header if the message
// is too large to collect. It reports whether the message is an Open.
func (c *coalescingBody) appendMessage() (open bool, err error) {
	start := len(c.buf)
	if err := c.appendBytes(envelopeHeader); err != nil {
		return false, err
	}
	size := int(binary.BigEndian.Uint32(c.buf[start+1:]))
	if len(c.buf)+size > maxCoalescedBytes {
		c.remaining = size
		return false, nil
	}
	if err := c.appendBytes(size); err != nil {
		return false, err
	}
	body := c.buf[start+envelopeHeader:]
	return size > 0 && body[0] == openTag, nil
}

// appendBytes reads n bytes of the body into buf.
func (c *coalescingBody) appendBytes(n int) error {
	start := len(c.buf)
	c.buf = append(c.buf, make([]byte, n)...)
	_, err := io.ReadFull(c.body, c.buf[start:])
	return err
}

// Close implements io.Closer.
func (c *coalescingBody) Close() error { return c.body.Close() }
