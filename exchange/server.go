package exchange

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"lovageslip/fault"
	lovageslipv1 "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
)

// maxPendingRequests is how many messages of a stream may wait while a batch
// runs. A client sends at most Open and Batch ahead; Cancel never waits here.
const maxPendingRequests = 2

type serverStream = connect.BidiStream[lovageslipv1.RunRequest, lovageslipv1.RunResponse]

// Server serves ExchangeService, the wire protocol of exchanges, with a
// Handler. One stream carries any number of exchanges, one after another.
type Server struct {
	handler  Handler
	stop     chan struct{}
	stopOnce sync.Once
}

// NewServer returns the path and the HTTP handler of ExchangeService.
func NewServer(handler Handler) (string, http.Handler) {
	return NewDrainableServer(handler).Handler()
}

// NewDrainableServer returns a server that can end idle streams.
func NewDrainableServer(handler Handler) *Server {
	return &Server{handler: handler, stop: make(chan struct{})}
}

// Handler returns the path and the HTTP handler of ExchangeService.
func (s *Server) Handler() (string, http.Handler) {
	return lovageslipv1connect.NewExchangeServiceHandler(s)
}

// Drain ends every stream as soon as no exchange is open on it. Idle streams
// would otherwise keep http.Server.Shutdown waiting. It returns at once.
func (s *Server) Drain() { s.stopOnce.Do(func() { close(s.stop) }) }

// Run serves one stream.
func (s *Server) Run(ctx context.Context, stream *serverStream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &serverRun{server: s, stream: stream, requests: make(chan *lovageslipv1.RunRequest, maxPendingRequests)}
	// The goroutine ends when the client closes the stream, or when this method
	// returns, because that closes the request body.
	go run.receive(ctx, cancel)
	defer run.closeExchange()
	return run.loop(ctx)
}

// serverRun is the state of one stream.
type serverRun struct {
	server    *Server
	stream    *serverStream
	requests  chan *lovageslipv1.RunRequest
	requestID string

	mu       sync.Mutex
	exchange Stream // guarded by mu: the open exchange, nil between exchanges
}

func (r *serverRun) receive(ctx context.Context, cancel context.CancelFunc) {
	// The client ends the request side when its caller has left or the link is
	// closed, so a running batch is cancelled.
	defer cancel()
	for {
		request, err := r.stream.Receive()
		if err != nil {
			return
		}
		if request.GetCancel() != nil {
			r.cancelExchange(ctx)
			continue
		}
		select {
		case r.requests <- request:
		case <-ctx.Done():
			return
		}
	}
}

func (r *serverRun) cancelExchange(ctx context.Context) {
	r.mu.Lock()
	exchange := r.exchange
	r.mu.Unlock()
	if exchange != nil {
		// The error is dropped: the answer of the batch shows the caller
		// whether the cancel took effect.
		_ = exchange.Cancel(ctx)
	}
}

func (r *serverRun) loop(ctx context.Context) error {
	for {
		request, err := r.nextRequest(ctx)
		if err != nil {
			return r.stream.Send(refusalToWire(err))
		}
		if request == nil {
			return nil
		}
		if err := r.handle(ctx, request); err != nil {
			return err
		}
	}
}

// nextRequest returns the next request, or nil at the end of the stream. An
// error must be sent to the client before the stream ends.
func (r *serverRun) nextRequest(ctx context.Context) (*lovageslipv1.RunRequest, error) {
	stop := r.server.stop
	if r.exchange != nil {
		stop = nil
	}
	select {
	case request := <-r.requests:
		return request, nil
	case <-ctx.Done():
		return nil, nil
	case <-stop:
		// A request that the client sends at the same moment is not handled
		// any more, so it has not run.
		return nil, &fault.NotRun{Reason: fault.ReasonShutdown, Detail: "owner is shutting down"}
	}
}

func (r *serverRun) handle(ctx context.Context, request *lovageslipv1.RunRequest) error {
	if open := request.GetOpen(); open != nil {
		return r.open(ctx, open)
	}
	if batch := request.GetBatch(); batch != nil && r.exchange != nil {
		return r.run(ctx, batch)
	}
	// A batch without an exchange follows a refused Open; it is ignored.
	return nil
}

func (r *serverRun) open(ctx context.Context, open *lovageslipv1.Open) error {
	r.closeExchange()
	exchange, err := r.server.handler.Open(ctx, openFromWire(open))
	if err != nil {
		return r.stream.Send(refusalToWire(notRun(err)))
	}
	r.requestID = open.GetRequestId()
	r.setExchange(exchange)
	return nil
}

// notRun turns an error of Open into NotRun: nothing runs before the first batch.
func notRun(err error) error {
	if _, ok := err.(*fault.NotRun); ok {
		return err
	}
	return &fault.NotRun{Reason: fault.ReasonUpstreamUnavailable, Detail: err.Error()}
}

func (r *serverRun) run(ctx context.Context, wire *lovageslipv1.Batch) error {
	batch := batchFromWire(wire, r.requestID)
	r.requestID = ""
	result, err := r.exchange.Run(ctx, batch, r.sendChunk)
	if err != nil {
		r.closeExchange()
		return r.stream.Send(refusalToWire(err))
	}
	if result.State == stateIdle {
		r.closeExchange()
	}
	return r.stream.Send(doneToWire(result))
}

func (r *serverRun) sendChunk(payload []byte) error {
	chunk := &lovageslipv1.Chunk{Payload: payload}
	return r.stream.Send(&lovageslipv1.RunResponse{Message: &lovageslipv1.RunResponse_Chunk{Chunk: chunk}})
}

func (r *serverRun) setExchange(exchange Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exchange = exchange
}

func (r *serverRun) closeExchange() {
	if r.exchange == nil {
		return
	}
	// Close rolls back an open transaction. The owner logs its errors.
	_ = r.exchange.Close()
	r.setExchange(nil)
}
