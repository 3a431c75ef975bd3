// Package pgcaller speaks the PostgreSQL v3 protocol with callers. It collects
// a caller's messages into batches, runs them through package entry and passes
// the answers back.
package pgcaller

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"lovageslip/entry"
	"lovageslip/logging"
	"lovageslip/metrics"
)

// Defaults of Options.
const (
	DefaultServerVersion  = "16.0"
	DefaultMaxMessage     = 16 << 20
	DefaultStartupTimeout = 10 * time.Second
	DefaultReadTimeout    = 30 * time.Second
	DefaultWriteTimeout   = 10 * time.Second
	DefaultMaxCallers     = 50_000
)

// Options configures a Server. Only Entry is required.
type Options struct {
	Entry *entry.Entry
	// Authenticator checks callers; nil means Trust.
	Authenticator Authenticator
	// TLS enables SSLRequest; nil refuses encryption.
	TLS *tls.Config
	// ServerVersion is reported to callers.
	ServerVersion string
	// MaxMessage bounds a message and a batch, in bytes.
	MaxMessage int
	// StartupTimeout bounds the time from accept to the first request.
	StartupTimeout time.Duration
	// ReadTimeout bounds the rest of a message whose first byte has arrived.
	ReadTimeout time.Duration
	// WriteTimeout bounds each write to a caller that reads slowly.
	WriteTimeout time.Duration
	// MaxCallers bounds the connections.
	MaxCallers int
	// ForwardCancel passes a cancel request on to the host that issued the
	// key; nil drops requests with a key of another host.
	ForwardCancel CancelForwarder
	Log           *slog.Logger
	Metrics       tally.Scope
}

func (o Options) withDefaults() Options {
	if o.Authenticator == nil {
		o.Authenticator = Trust{}
	}
	if o.ServerVersion == "" {
		o.ServerVersion = DefaultServerVersion
	}
	if o.MaxMessage == 0 {
		o.MaxMessage = DefaultMaxMessage
	}
	if o.StartupTimeout == 0 {
		o.StartupTimeout = DefaultStartupTimeout
	}
	if o.ReadTimeout == 0 {
		o.ReadTimeout = DefaultReadTimeout
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.MaxCallers == 0 {
		o.MaxCallers = DefaultMaxCallers
	}
	return o
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	options Options
	entry   *entry.Entry
	log     *slog.Logger
	metrics tally.Scope
	keys    *keyring
	callers conc.WaitGroup

	mu        sync.Mutex
	listeners map[net.Listener]struct{} // guarded by mu
	conns     map[*conn]struct{}        // guarded by mu
	draining  bool                      // guarded by mu
}

// New returns a server.
func New(options Options) *Server {
	options = options.withDefaults()
	return &Server{
		options:   options,
		entry:     options.Entry,
		log:       logging.For(options.Log, "pgcaller"),
		metrics:   metrics.OrNoop(options.Metrics),
		keys:      newKeyring(options.Entry.HostName()),
		listeners: make(map[net.Listener]struct{}),
		conns:     make(map[*conn]struct{}),
	}
}

// ServerClosed is returned by Serve after Shutdown.
type ServerClosed struct{}

func (*ServerClosed) Error() string { return "caller server is closed" }

// acceptPause is the wait after an accept that failed for lack of resources.
const acceptPause = 50 * time.Millisecond

// Serve accepts callers until the listener fails or Shutdown is called.
// Errors: *ServerClosed after Shutdown, else the listener's.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		_ = listener.Close()
		return &ServerClosed{}
	}
	for {
		network, err := listener.Accept()
		if err == nil {
			s.accept(network)
			continue
		}
		if s.isDraining() {
			return &ServerClosed{}
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		s.log.Warn("accept failed", "error", err)
		time.Sleep(acceptPause)
	}
}

func (s *Server) accept(network net.Conn) {
	c := newConn(s, network)
	if !s.add(c) {
		_ = network.Close()
		return
	}
	s.callers.Go(func() {
		defer s.remove(c)
		c.serve()
	})
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || len(s.conns) >= s.options.MaxCallers {
		s.metrics.Counter("callers_refused_total").Inc(1)
		return false
	}
	s.conns[c] = struct{}{}
	s.metrics.Gauge("callers").Update(float64(len(s.conns)))
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.metrics.Gauge("callers").Update(float64(len(s.conns)))
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Shutdown closes the listeners, lets batches and transactions in flight
// finish, ends idle callers with 57P01 and returns when all callers have gone.
// When ctx ends first, the remaining connections are closed and its error is
// returned.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, c := range s.drain() {
		c.drain()
	}
	gone := make(chan struct{})
	go func() {
		s.callers.Wait()
		close(gone)
	}()
	select {
	case <-gone:
		return nil
	case <-ctx.Done():
		s.closeAll()
		<-gone
		return ctx.Err()
	}
}

// drain closes the listeners and returns the connections.
func (s *Server) drain() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for listener := range s.listeners {
		_ = listener.Close() // Serve sees the end
	}
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.abort()
	}
}
