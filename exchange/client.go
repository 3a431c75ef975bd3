package exchange

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"lovageslip/fault"
	lovageslipv1 "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/upstream"
)

const stateIdle = upstream.StateIdle

// ClientOptions configures a Client. Every field is optional.
type ClientOptions struct {
	// HTTP carries the streams; nil means NewHTTPClient(). Pass a client
	// with a TLS configuration and Scheme "https" for TLS.
	HTTP    *http.Client
	Scheme  string
	Log     *slog.Logger
	Metrics tally.Scope
}

// Client is a Gateway to owners in other processes. It keeps idle streams of
// each owner open for later exchanges. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	scheme  string
	log     *slog.Logger
	metrics tally.Scope

	mu         sync.Mutex
	peers      map[string]*peer // guarded by mu; keyed by address
	lastExpiry time.Time        // guarded by mu
}

// NewClient returns a client.
func NewClient(options ClientOptions) *Client {
	if options.HTTP == nil {
		options.HTTP = NewHTTPClient()
	}
	if options.Scheme == "" {
		options.Scheme = "http"
	}
	return &Client{
		http:    withCoalescing(options.HTTP),
		scheme:  options.Scheme,
		log:     logging.For(options.Log, "exchange client"),
		metrics: metrics.OrNoop(options.Metrics),
		peers:   make(map[string]*peer),
	}
}

// OpenAt returns an exchange with the owner at address. It sends nothing: the
// first Run sends Open and the batch together.
func (c *Client) OpenAt(_ context.Context, address string, open Open) (Stream, error) {
	return &clientStream{peer: c.peer(address), open: open}, nil
}

// Close ends the idle streams.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.closeIdle()
	}
	c.http.CloseIdleConnections()
}

func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = &peer{service: c.service(address)}
		c.peers[address] = p
	}
	p.lastUsed = now()
	c.expireIdle(p.lastUsed)
	return p
}

// expireIdle closes streams that have been idle for more than maxLinkIdle, and
// removes owners that were not used for that long. The caller holds mu.
func (c *Client) expireIdle(t time.Time) {
	if t.Sub(c.lastExpiry) < maxLinkIdle {
		return
	}
	c.lastExpiry = t
	cutoff := t.Add(-maxLinkIdle)
	for address, p := range c.peers {
		if p.expire(cutoff) == 0 && p.lastUsed.Before(cutoff) {
			delete(c.peers, address)
		}
	}
}

func (c *Client) service(address string) lovageslipv1connect.ExchangeServiceClient {
	// Answers are not compressed, because they stay inside a data centre.
	noCompression := connect.WithAcceptCompression("gzip", nil, nil)
	return lovageslipv1connect.NewExchangeServiceClient(c.http, c.scheme+"://"+address, noCompression)
}

// clientStream is one exchange. It acquires a link at the first Run.
type clientStream struct {
	peer *peer
	open Open

	mu     sync.Mutex
	link   *link // guarded by mu
	closed bool  // guarded by mu
}

// Run implements Stream.
func (s *clientStream) Run(ctx context.Context, batch upstream.Batch, sink upstream.Sink) (BatchResult, error) {
	link, err := s.acquire(ctx, batch.RequestID)
	if err != nil {
		return BatchResult{}, err
	}
	// If the caller's context ends, closing the link ends the stream, and the
	// owner stops the batch.
	stop := context.AfterFunc(ctx, link.close)
	result, err := link.run(batch, sink)
	reusable := stop() && link.reusable()
	if err != nil {
		s.detach(link, reusable)
		return BatchResult{}, withCancelReason(ctx, err)
	}
	if result.State == stateIdle || !reusable {
		s.detach(link, reusable)
	}
	return result, nil
}

// withCancelReason gives an unknown outcome the reason cancelled if the stream
// broke because the caller's context ended.
func withCancelReason(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	if unknown, ok := err.(*fault.OutcomeUnknown); ok {
		unknown.Reason = fault.ReasonCancelled
	}
	return err
}

// acquire returns the exchange's link. The first call gets one from the peer and
// sends Open on it.
func (s *clientStream) acquire(ctx context.Context, requestID string) (*link, error) {
	s.mu.Lock()
	link, closed := s.link, s.closed
	s.mu.Unlock()
	if closed {
		return nil, &fault.NotRun{Reason: fault.ReasonProtocol, Detail: "exchange has ended"}
	}
	if link != nil {
		return link, nil
	}
	link, err := s.peer.open(ctx, openToWire(s.open, requestID))
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.link = link
	s.mu.Unlock()
	return link, nil
}

// detach ends the exchange. Its link goes back to the peer's idle links if it
// can be used again, and is closed otherwise.
func (s *clientStream) detach(link *link, reusable bool) {
	s.mu.Lock()
	s.link = nil
	s.closed = true
	s.mu.Unlock()
	if reusable {
		s.peer.release(link)
		return
	}
	link.close()
}

// Cancel implements Stream.
func (s *clientStream) Cancel(context.Context) error {
	s.mu.Lock()
	link := s.link
	s.mu.Unlock()
	if link == nil {
		return nil
	}
	return link.sendCancel()
}

// Close implements Stream.
func (s *clientStream) Close() error {
	s.mu.Lock()
	link := s.link
	s.link = nil
	s.closed = true
	s.mu.Unlock()
	if link != nil {
		link.close()
	}
	return nil
}

var cancelMessage = &lovageslipv1.RunRequest{Message: &lovageslipv1.RunRequest_Cancel{Cancel: &lovageslipv1.Cancel{}}}

// now returns the time for the expiry of idle links; tests replace it.
var now = time.Now
