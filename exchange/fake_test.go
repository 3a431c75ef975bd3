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

// run is the behaviour of a fake owner for one batch.
type run func(ctx context.Context, batch upstream.Batch, sink upstream.Sink) (exchange.Done, error)

// owner is a fake Handler that counts what it runs.
type owner struct {
	run     run
	openErr error

	mu      sync.Mutex
	opened  []exchange.Open  // guarded by mu
	batches []upstream.Batch // guarded by mu
	closed  int              // guarded by mu
	cancels int              // guarded by mu
}

func (o *owner) Open(_ context.Context, open exchange.Open) (exchange.Stream, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.opened = append(o.opened, open)
	if o.openErr != nil {
		return nil, o.openErr
	}
	return &stream{owner: o}, nil
}

func (o *owner) counts() (batches, closed, cancels int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.batches), o.closed, o.cancels
}

type stream struct{ owner *owner }

func (s *stream) Run(ctx context.Context, batch upstream.Batch, sink upstream.Sink) (exchange.Done, error) {
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
func echo(_ context.Context, batch upstream.Batch, sink upstream.Sink) (exchange.Done, error) {
	if err := sink(batch.Payload); err != nil {
		return exchange.Done{}, err
	}
	return exchange.Done{State: upstream.StateIdle}, nil
}

// served is a fake owner behind HTTP/2.
type served struct {
	address string
	http    *http.Server
	server  *exchange.Server
}

func serve(t testing.TB, o *owner) *served {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &served{address: listener.Addr().String(), server: exchange.NewDrainableServer(o)}
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

// ask runs one batch on a new exchange and returns the answer.
func ask(ctx context.Context, gateway exchange.Gateway, address, payload string) (string, exchange.Done, error) {
	s, err := gateway.OpenAt(ctx, address, exchange.Open{Upstream: "u1", Class: "current"})
	if err != nil {
		return "", exchange.Done{}, err
	}
	defer s.Close()
	var answer []byte
	done, err := s.Run(ctx, upstream.Batch{Mode: upstream.ModeRead, Payload: []byte(payload)}, func(chunk []byte) error {
		answer = append(answer, chunk...)
		return nil
	})
	return string(answer), done, err
}
