// Package pgcaller is the server side of the PostgreSQL v3 protocol: drivers
// and psql connect to it as to a database server. It authenticates callers,
// groups their messages into batches, runs the batches through package entry
// and relays the answers. Package daemon starts it in each proxy.
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

// Defaults for Options fields that are left zero.
const (
	DefaultServerVersion   = "16.0"
	DefaultMaxMessageBytes = 16 << 20
	DefaultStartupTimeout  = 10 * time.Second
	DefaultReadTimeout     = 30 * time.Second
	DefaultWriteTimeout    = 10 * time.Second
	DefaultMaxCallers      = 50_000
)

// Options configures a Server; daemon fills it from the settings file. Only
// Entry is required.
type Options struct {
	Entry *entry.Entry
	// Authenticator checks each caller's login; nil means Trust.
	Authenticator Authenticator
	// TLS is the configuration for callers that send SSLRequest; nil declines
	// encryption.
	TLS *tls.Config
	// RequireTLS refuses callers that do not ask for encryption. Cancel
	// requests are accepted without TLS too.
	RequireTLS bool
	// ServerVersion is reported to callers as parameter server_version.
	ServerVersion string
	// MaxMessageBytes bounds the size of a message and of a batch.
	MaxMessageBytes int
	// StartupTimeout bounds the time from accept to the end of start-up.
	StartupTimeout time.Duration
	// ReadTimeout bounds the wait for the rest of a message after its first
	// byte has arrived.
	ReadTimeout time.Duration
	// WriteTimeout bounds each write to a caller, which may read slowly.
	WriteTimeout time.Duration
	// MaxCallers bounds the number of open connections.
	MaxCallers int
	// ForwardCancel forwards a cancel request to the host that issued its
	// cancel key; nil drops requests with another host's key.
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
	if o.MaxMessageBytes == 0 {
		o.MaxMessageBytes = DefaultMaxMessageBytes
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

// Server accepts callers' connections and serves each in its own goroutine. It
// is safe for concurrent use.
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

// New returns a server that accepts nothing until Serve is called.
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

// acceptRetryDelay is the wait before the next accept after one has failed,
// for example for lack of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts callers until the listener fails or Shutdown is called.
// Errors: *ServerClosed after Shutdown, else the listener's.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		_ = listener.Close()
		return &ServerClosed{}
	}
	for {
		netConn, err := listener.Accept()
		if err == nil {
			s.accept(netConn)
			continue
		}
		if s.isDraining() {
			return &ServerClosed{}
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		s.log.Warn("accepting a caller connection failed", "error", err)
		time.Sleep(acceptRetryDelay)
	}
}

func (s *Server) accept(netConn net.Conn) {
	c := newConn(s, netConn)
	if !s.add(c) {
		_ = netConn.Close()
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

// Shutdown closes the listeners, lets running batches and open transactions
// finish, closes idle connections with SQLSTATE 57P01 and returns when no
// connection is left. When ctx ends first, the remaining connections are closed
// and its error is returned.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, c := range s.drain() {
		c.drain()
	}
	finished := make(chan struct{})
	go func() {
		s.callers.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		s.closeAll()
		<-finished
		return ctx.Err()
	}
}

// drain closes the listeners and returns the open connections.
func (s *Server) drain() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for listener := range s.listeners {
		_ = listener.Close() // makes Accept in Serve return
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
