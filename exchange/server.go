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

// pendingRequests is how many messages of a stream wait while a batch runs. A
// client sends at most Open and Batch ahead; Cancel never waits here.
const pendingRequests = 2

type serverStream = connect.BidiStream[lovageslipv1.RunRequest, lovageslipv1.RunResponse]

// Server adapts a Handler to ExchangeService. One stream carries any number
// of exchanges, one after another.
type Server struct {
	handler Handler
	stop    chan struct{}
	stopped sync.Once
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
func (s *Server) Drain() { s.stopped.Do(func() { close(s.stop) }) }

// Run serves one stream.
func (s *Server) Run(ctx context.Context, stream *serverStream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &serverRun{server: s, stream: stream, requests: make(chan *lovageslipv1.RunRequest, pendingRequests)}
	// The receiver ends when the client closes the stream or when this
	// handler returns, which closes the request body.
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

	mu      sync.Mutex
	current Stream // guarded by mu: the open exchange, nil between exchanges
}

func (r *serverRun) receive(ctx context.Context, cancel context.CancelFunc) {
	// The end of the request side is the caller leaving, so a running batch
	// is cancelled.
	defer cancel()
	for {
		request, err := r.stream.Receive()
		if err != nil {
			return
		}
		if request.GetCancel() != nil {
			r.cancelCurrent(ctx)
			continue
		}
		select {
		case r.requests <- request:
		case <-ctx.Done():
			return
		}
	}
}

func (r *serverRun) cancelCurrent(ctx context.Context) {
	r.mu.Lock()
	current := r.current
	r.mu.Unlock()
	if current != nil {
		// The caller learns the result of the cancel from the answer.
		_ = current.Cancel(ctx)
	}
}

func (r *serverRun) loop(ctx context.Context) error {
	for {
		request, err := r.next(ctx)
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

// next returns the next request; nil at the end of the stream; an error that
// the client must see before the stream ends.
func (r *serverRun) next(ctx context.Context) (*lovageslipv1.RunRequest, error) {
	stop := r.server.stop
	if r.current != nil {
		stop = nil
	}
	select {
	case request := <-r.requests:
		return request, nil
	case <-ctx.Done():
		return nil, nil
	case <-stop:
		// A request that crosses this message is never taken from the
		// stream, so it has not run.
		return nil, &fault.NotRun{Reason: fault.ReasonShutdown, Detail: "owner is shutting down"}
	}
}

func (r *serverRun) handle(ctx context.Context, request *lovageslipv1.RunRequest) error {
	if open := request.GetOpen(); open != nil {
		return r.open(ctx, open)
	}
	if batch := request.GetBatch(); batch != nil && r.current != nil {
		return r.run(ctx, batch)
	}
	// A batch without an exchange follows an Open that was refused.
	return nil
}

func (r *serverRun) open(ctx context.Context, open *lovageslipv1.Open) error {
	r.closeExchange()
	exchange, err := r.server.handler.Open(ctx, openFromWire(open))
	if err != nil {
		return r.stream.Send(refusalToWire(notRun(err)))
	}
	r.requestID = open.GetRequestId()
	r.setCurrent(exchange)
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
	done, err := r.current.Run(ctx, batch, r.sendChunk)
	if err != nil {
		r.closeExchange()
		return r.stream.Send(refusalToWire(err))
	}
	if done.State == stateIdle {
		r.closeExchange()
	}
	return r.stream.Send(doneToWire(done))
}

func (r *serverRun) sendChunk(payload []byte) error {
	chunk := &lovageslipv1.Chunk{Payload: payload}
	return r.stream.Send(&lovageslipv1.RunResponse{Message: &lovageslipv1.RunResponse_Chunk{Chunk: chunk}})
}

func (r *serverRun) setCurrent(exchange Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = exchange
}

func (r *serverRun) closeExchange() {
	if r.current == nil {
		return
	}
	// Closing rolls back; the owner logs what goes wrong there.
	_ = r.current.Close()
	r.setCurrent(nil)
}
