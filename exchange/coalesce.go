package exchange

import (
	"encoding/binary"
	"io"
	"net/http"
)

const (
	// envelopeHeader is the size of connect's message header: flags, length.
	envelopeHeader = 5
	// openTag is the first byte of an encoded RunRequest that holds an Open.
	openTag = 1<<3 | 2
	// coalesceMax bounds the bytes that are collected for one frame.
	coalesceMax = 16 << 10
)

// coalescing is a RoundTripper that sends each message of a request body as
// one frame, and Open together with the batch that always follows it. connect
// writes the header and the body of a message separately, and net/http makes
// a frame and a system call of every write.
type coalescing struct{ next http.RoundTripper }

// coalesced returns a copy of an HTTP client that coalesces messages.
func coalesced(client *http.Client) *http.Client {
	next := client.Transport
	if next == nil {
		next = http.DefaultTransport
	}
	copied := *client
	copied.Transport = coalescing{next: next}
	return &copied
}

// RoundTrip implements http.RoundTripper.
func (c coalescing) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Body != nil {
		request = request.Clone(request.Context())
		request.Body = &coalescer{body: request.Body}
	}
	return c.next.RoundTrip(request)
}

// CloseIdleConnections lets http.Client reach the transport.
func (c coalescing) CloseIdleConnections() {
	if closer, ok := c.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// coalescer reads whole messages. Only the transport uses it.
type coalescer struct {
	body   io.ReadCloser
	buf    []byte
	unread []byte
	// rest is what remains of a message that is too large to collect.
	rest int
}

// Read implements io.Reader.
func (c *coalescer) Read(p []byte) (int, error) {
	if len(c.unread) == 0 && c.rest > 0 {
		n, err := c.body.Read(p[:min(len(p), c.rest)])
		c.rest -= n
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

// collect reads the next message, and those that follow an Open.
func (c *coalescer) collect() error {
	c.buf = c.buf[:0]
	for {
		open, err := c.message()
		if err != nil {
			return err
		}
		if !open {
			c.unread = c.buf
			return nil
		}
	}
}

// message appends one message, or the header of a large one. It reports
// whether the message is an Open.
func (c *coalescer) message() (open bool, err error) {
	start := len(c.buf)
	if err := c.take(envelopeHeader); err != nil {
		return false, err
	}
	size := int(binary.BigEndian.Uint32(c.buf[start+1:]))
	if len(c.buf)+size > coalesceMax {
		c.rest = size
		return false, nil
	}
	if err := c.take(size); err != nil {
		return false, err
	}
	body := c.buf[start+envelopeHeader:]
	return size > 0 && body[0] == openTag, nil
}

// take appends n bytes.
func (c *coalescer) take(n int) error {
	start := len(c.buf)
	c.buf = append(c.buf, make([]byte, n)...)
	_, err := io.ReadFull(c.body, c.buf[start:])
	return err
}

// Close implements io.Closer.
func (c *coalescer) Close() error { return c.body.Close() }
