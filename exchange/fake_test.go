package exchange_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"lovageslip/exchange"
	"lovageslip/upstream"
)

// runFunc answers one batch in place of a real owner.
type runFunc func(ctx context.Context, batch upstream.Batch, sink upstream.Sink) (exchange.BatchResult, error)

// fakeOwner is a Handler that records exchanges, batches and cancels.
type fakeOwner struct {
	run     runFunc
	openErr error

	mu      sync.Mutex
	opened  []exchange.Open  // guarded by mu
	batches []upstream.Batch // guarded by mu
	closed  int              // guarded by mu
	cancels int              // guarded by mu
}

func (o *fakeOwner) Open(_ context.Context, open exchange.Open) (exchange.Stream, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.opened = append(o.opened, open)
	if o.openErr != nil {
		return nil, o.openErr
	}
	return &stream{owner: o}, nil
}

func (o *fakeOwner) counts() (batches, closed, cancels int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.batches), o.closed, o.cancels
}

type stream struct{ owner *fakeOwner }

func (s *stream) Run(ctx context.Context, batch upstream.Batch, sink upstream.Sink) (exchange.BatchResult, error) {
	s.owner.mu.Lock()
	s.owner.batches = append(s.owner.batches, batch)
	s.owner.mu.Unlock()
	return s.owner.run(ctx, batch, sink)
}

func (s *stream) Cancel(context.Context) error {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.owner.cancels++
	return nil
}

func (s *stream) Close() error {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.owner.closed++
	return nil
}

// echo answers a batch with its payload.
func echo(_ context.Context, batch upstream.Batch, sink upstream.Sink) (exchange.BatchResult, error) {
	if err := sink(batch.Payload); err != nil {
		return exchange.BatchResult{}, err
	}
	return exchange.BatchResult{State: upstream.StateIdle}, nil
}

// testServer serves a fakeOwner over HTTP/2.
type testServer struct {
	address string
	http    *http.Server
	server  *exchange.Server
}

func startServer(t testing.TB, o *fakeOwner) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &testServer{address: listener.Addr().String(), server: exchange.NewDrainableServer(o)}
	mux := http.NewServeMux()
	mux.Handle(s.server.Handler())
	s.http = &http.Server{Handler: mux}
	exchange.ConfigureServer(s.http)
	go s.http.Serve(listener)
	t.Cleanup(func() { s.http.Close() })
	return s
}

func newClient(t testing.TB) *exchange.Client {
	client := exchange.NewClient(exchange.ClientOptions{})
	t.Cleanup(client.Close)
	return client
}

// runBatch runs one batch on a new exchange and returns its answer.
func runBatch(ctx context.Context, gateway exchange.Gateway, address, payload string) (string, exchange.BatchResult, error) {
	s, err := gateway.OpenAt(ctx, address, exchange.Open{Upstream: "u1", Class: "current"})
	if err != nil {
		return "", exchange.BatchResult{}, err
	}
	defer s.Close()
	var answer []byte
	result, err := s.Run(ctx, upstream.Batch{Mode: upstream.ModeRead, Payload: []byte(payload)}, func(chunk []byte) error {
		answer = append(answer, chunk...)
		return nil
	})
	return string(answer), result, err
}
