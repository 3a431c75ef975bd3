package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/proxy"
)

// Server is the relay's side. It runs the commands of other proxies on the
// connections of its own proxy. It is safe for concurrent use.
type Server struct {
	proxy   *proxy.Proxy
	log     *slog.Logger
	metrics tally.Scope

	// mu guards the fields below.
	mu      sync.Mutex
	streams int
	// leaving is closed when the shutdown begins, and closing when streams end
	// that hold no transaction. cutoff is closed when all others end.
	leaving, closing, cutoff chan struct{}
}

var _ lovageslipv1connect.RelayServiceHandler = (*Server)(nil)

// NewServer returns a server that runs commands on the connections of p.
func NewServer(p *proxy.Proxy, log *slog.Logger, scope tally.Scope) *Server {
	return &Server{
		proxy:   p,
		log:     logging.For(log, "relay"),
		metrics: metrics.OrNoop(scope).SubScope("relay"),
		leaving: make(chan struct{}),
		closing: make(chan struct{}),
		cutoff:  make(chan struct{}),
	}
}

// Handler returns the path and the HTTP handler of the service.
func (s *Server) Handler() (string, http.Handler) {
	return lovageslipv1connect.NewRelayServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes))
}

// maxRequestBytes bounds a request. A statement has up to 1 MiB, and the values of a
// session that are sent with it may have as much again.
const maxRequestBytes = 4 << 20

// Leave tells the other proxies to use another relay. Streams stay open. It must
// be called once, before Close.
func (s *Server) Leave() { close(s.leaving) }

// Close ends the streams without a transaction, each once its request is answered.
// It must be called once, before CloseTransactions.
func (s *Server) Close() { close(s.closing) }

// CloseTransactions ends all other streams and rolls their transactions back. It
// must be called once.
func (s *Server) CloseTransactions() { close(s.cutoff) }

// OpenStreams returns how many streams are open.
func (s *Server) OpenStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams
}

func (s *Server) addStreams(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams += n
	s.metrics.Gauge("streams").Update(float64(s.streams))
}

// Check implements RelayService.
func (s *Server) Check(_ context.Context, r *connect.Request[pb.RelayCheckRequest]) (*connect.Response[pb.RelayCheckResponse], error) {
	target := r.Msg.GetTarget()
	response := &pb.RelayCheckResponse{}
	reachability, failedFor := s.proxy.Reachability(target.GetUpstream(), target.GetAddress(), target.GetBornMs())
	switch reachability {
	case proxy.Reachable:
		response.Reachability = pb.UpstreamReachability_UPSTREAM_REACHABILITY_REACHABLE
	case proxy.Unreachable:
		response.Reachability = pb.UpstreamReachability_UPSTREAM_REACHABILITY_UNREACHABLE
		response.FailedMs = milliseconds(failedFor)
	}
	return connect.NewResponse(response), nil
}

// Admit implements RelayService.
func (s *Server) Admit(_ context.Context, r *connect.Request[pb.AdmitRequest]) (*connect.Response[pb.AdmitResponse], error) {
	return connect.NewResponse(&pb.AdmitResponse{Admitted: r.Msg.Operations}), nil
}

// Connect implements RelayService.
func (s *Server) Connect(ctx context.Context, stream *connect.BidiStream[pb.RelayRequest, pb.RelayResponse]) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.addStreams(1)
	defer s.addStreams(-1)
	c := &serverConn{server: s, stream: stream, requests: make(chan *pb.RelayRequest), leaving: s.leaving}
	// The stream belongs to one proxy, and its connection to the upstream is
	// closed below, so a panic ends nothing else.
	defer func() {
		if cause := recover(); cause != nil {
			s.metrics.Counter("panics_total").Inc(1)
			s.log.Error("relaying a command failed unexpectedly; the stream ends", "cause", cause, "stack", string(debug.Stack()))
			err = connect.NewError(connect.CodeInternal, io.ErrUnexpectedEOF)
		}
	}()
	defer c.end()
	received := make(chan error, 1)
	go func() { received <- c.receive(ctx) }()
	return c.serve(ctx, received)
}

// serverConn is one virtual connection at the relay.
type serverConn struct {
	server   *Server
	stream   *connect.BidiStream[pb.RelayRequest, pb.RelayResponse]
	requests chan *pb.RelayRequest
	// relayed is opened by the first request.
	relayed   *proxy.RelayedConn
	processed uint64
	// leaving is nil once the other side has been told.
	leaving <-chan struct{}
}

// receive passes requests on until the stream or ctx ends.
func (c *serverConn) receive(ctx context.Context) error {
	for {
		request, err := c.stream.Receive()
		if err != nil {
			return err
		}
		select {
		case c.requests <- request:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// serve answers requests until the stream ends or the relay closes it.
func (c *serverConn) serve(ctx context.Context, received <-chan error) error {
	for {
		closing := c.server.closing
		if c.relayed != nil && c.relayed.Bound() {
			closing = c.server.cutoff
		}
		select {
		case request := <-c.requests:
			if err := c.handle(ctx, request); err != nil {
				return err
			}
		case err := <-received:
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		case <-c.leaving:
			c.leaving = nil
			if err := c.stream.Send(&pb.RelayResponse{Leaving: true}); err != nil {
				return err
			}
		case <-closing:
			return c.stream.Send(&pb.RelayResponse{Leaving: true, Closing: true, Processed: c.processed})
		}
	}
}

// handle runs the commands of one request and sends their answers.
func (c *serverConn) handle(ctx context.Context, request *pb.RelayRequest) error {
	if !validCommands(request.Commands) || c.relayed == nil && request.Target == nil {
		return connect.NewError(connect.CodeInvalidArgument, &BadRequest{})
	}
	commands := make([]proxy.Command, len(request.Commands))
	for i, w := range request.Commands {
		commands[i] = commandFromWire(w)
	}
	response := &pb.RelayResponse{}
	answers, err := c.run(ctx, request, commands)
	var changed *proxy.TeamChanged
	if errors.As(err, &changed) {
		return connect.NewError(connect.CodeInvalidArgument, changed)
	}
	if err != nil {
		c.server.metrics.Counter("connections_lost_total").Inc(1)
		c.server.log.Warn("connection to an upstream was lost while a command was relayed", "request", request.Commands[len(request.Commands)-1].Request, "error", err)
	}
	for _, a := range answers {
		response.Answers = append(response.Answers, answerToWire(a))
	}
	c.processed++
	return c.stream.Send(response)
}

func (c *serverConn) run(ctx context.Context, request *pb.RelayRequest, commands []proxy.Command) ([]proxy.Answer, error) {
	if c.relayed == nil {
		t := request.Target
		c.relayed = c.server.proxy.OpenRelayed(t.Upstream, t.Address, t.BornMs)
	}
	c.server.metrics.Counter("commands_total").Inc(1)
	return c.relayed.Run(ctx, turnFromWire(request), duration(request.TimeoutMs), commands)
}

func (c *serverConn) end() {
	if c.relayed != nil {
		c.relayed.Close()
	}
}

// BadRequest reports a request that no proxy of this version sends.
type BadRequest struct{}

func (e *BadRequest) Error() string { return "relay: request without an upstream or valid commands" }
