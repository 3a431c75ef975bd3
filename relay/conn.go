package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"lovageslip/bootclock"
	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/proxy"
)

// conn is a virtual connection to an upstream: one stream to its relay. It
// implements proxy.Conn.
type conn struct {
	client *Client
	peer   *peer
	// target is sent with the first request, and nil after that.
	target     *pb.RelayTarget
	stream     *connect.BidiStreamForClient[pb.RelayRequest, pb.RelayResponse]
	cancel     context.CancelFunc
	turn       proxy.Turn
	upstreamID string
	// sent counts the requests that were sent.
	sent uint64
	// state is the transaction state after the last answer.
	state  proxy.TransactionState
	broken atomic.Bool
	// load is the figure of the last response with one, received at loadAt.
	load   proxy.Load
	loadAt time.Time
}

// TakeTurn sets the turn of the next commands.
func (c *conn) TakeTurn(t proxy.Turn) { c.turn = t }

// Load returns what the last response told of the relay's load at the upstream.
func (c *conn) Load() (l proxy.Load, receivedAt time.Time, ok bool) {
	return c.load, c.loadAt, !c.loadAt.IsZero()
}

// Alive implements proxy.Conn. A connection whose relay is no longer the one for
// the upstream is given up.
func (c *conn) Alive() bool {
	return !c.broken.Load() && c.client.isRelay(c.peer, c.upstreamID)
}

// Close implements proxy.Conn.
func (c *conn) Close() error {
	c.broken.Store(true)
	// The transport does not notice a cancelled context while it waits for the
	// request body, so the body is closed too. The stream ends either way.
	err := c.stream.CloseRequest()
	c.cancel()
	if err != nil {
		return &fault.IO{Op: "close stream to relay", Err: err}
	}
	return nil
}

// Exchange implements proxy.Conn. Its errors are *fault.IO if the upstream's
// connection failed at the relay, and *proxy.RelayLost.
func (c *conn) Exchange(deadline time.Time, commands ...proxy.Command) ([]proxy.Answer, error) {
	timeout := time.Until(deadline)
	request := newRequest(c.turn, timeout, commands)
	request.Target, c.target = c.target, nil
	// The turn was for these commands; later ones of a transaction do not wait.
	limit := timeout + c.turn.MaxWait + c.client.linkTimeout
	c.turn = proxy.Turn{Team: c.turn.Team}
	expired := time.AfterFunc(limit, c.cancel)
	defer expired.Stop()
	c.sent++
	// If Send fails, Receive returns the last response of the relay or the
	// cause.
	if err := c.stream.Send(request); err != nil && !errors.Is(err, io.EOF) {
		return c.fail(err, len(commands))
	}
	response, err := c.receive()
	switch {
	case err != nil:
		return c.fail(err, len(commands))
	case response.Closing:
		return c.closedByRelay(response, len(commands))
	case len(response.Answers) == 0:
		c.broken.Store(true)
		return nil, &fault.IO{Op: "run at upstream through relay", Err: io.ErrUnexpectedEOF}
	case len(response.Answers) != len(commands):
		return c.fail(io.ErrUnexpectedEOF, len(commands))
	}
	return c.answers(response), nil
}

// receive returns the next response that is not only a notice.
func (c *conn) receive() (*pb.RelayResponse, error) {
	for {
		response, err := c.stream.Receive()
		if err != nil {
			return nil, err
		}
		c.client.recordAnswer(c.peer, response.Leaving)
		if response.Closing || !response.Leaving || len(response.Answers) > 0 {
			return response, nil
		}
	}
}

func (c *conn) answers(response *pb.RelayResponse) []proxy.Answer {
	answers := make([]proxy.Answer, len(response.Answers))
	for i, a := range response.Answers {
		answers[i] = answerFromWire(a)
	}
	c.state = answers[len(answers)-1].State
	// Relays of earlier versions send no limit.
	if response.LimitHundredths > 0 {
		c.load = proxy.Load{Outstanding: int(response.Outstanding), Limit: float64(response.LimitHundredths) / 100}
		c.loadAt = bootclock.Now()
	}
	return answers
}

// closedByRelay handles the end of a stream that the relay has announced. The
// request has not run if the relay did not process it.
func (c *conn) closedByRelay(response *pb.RelayResponse, commands int) ([]proxy.Answer, error) {
	c.broken.Store(true)
	if response.Processed >= c.sent || c.state == proxy.StateOpen || c.state == proxy.StateFailed {
		return nil, &proxy.RelayLost{Relay: c.peer.host.Name, Err: io.ErrUnexpectedEOF}
	}
	return proxy.NotRunAnswers(proxy.CodeNoConnection, commands), nil
}

// fail records that the relay has failed. Whether the request ran is unknown,
// unless the relay could not be connected to.
func (c *conn) fail(err error, commands int) ([]proxy.Answer, error) {
	c.broken.Store(true)
	c.client.recordFailure(c.peer, err)
	var dial *net.OpError
	if c.sent == 1 && errors.As(err, &dial) && dial.Op == "dial" {
		return proxy.NotRunAnswers(proxy.CodeNoConnection, commands), nil
	}
	return nil, &proxy.RelayLost{Relay: c.peer.host.Name, Err: err}
}
