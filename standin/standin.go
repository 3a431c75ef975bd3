// Package standin is a stand-in for the platform's database servers. Tests,
// measurements, the dev command and lovageslip-upstream run it, so that they need
// no real database. It speaks the PostgreSQL v3 protocol, stores data in SQLite,
// and provides the terms, log positions, replication and functions that
// docs/design.md section 6 describes. It is not part of the product.
//
// Servers replicate the statements of committed transactions, so statements
// whose result depends on the time or on random values give different data on
// different servers.
package standin

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"lovageslip/fault"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/pgscram"
	"lovageslip/upstream"
)

// DefaultConnectDelay is the time that a new connection takes if
// Options.ConnectDelay is zero.
const DefaultConnectDelay = 12 * time.Millisecond

// Options configures the server that Start runs.
type Options struct {
	Log     *slog.Logger
	Metrics tally.Scope
	// Name, Database and DataCentre are sent in announcements.
	Name       string
	Database   string
	DataCentre string
	// Address is the one to listen on; 127.0.0.1:0 if empty.
	Address string
	// Advertise is the address that is announced; the listening address if
	// empty.
	Advertise string
	// Dir holds the database files; a temporary directory if empty.
	Dir string
	// Primary is the address of the primary to follow; empty for a primary.
	Primary string
	// Term is the first term of the group; 1 if zero.
	Term upstream.Term
	// Lag is how long a replica waits before it applies replicated entries.
	Lag time.Duration
	// ConnectDelay delays each new connection; DefaultConnectDelay if zero,
	// none if negative.
	ConnectDelay time.Duration
	// ServiceTime is added to the time that each statement takes, while it
	// occupies a slot.
	ServiceTime time.Duration
	// Slots is the number of statements executed at a time; 0 for no limit.
	Slots int
	// MaxConnections is the number of sessions open at a time; 0 for no limit.
	MaxConnections int
	// AnnounceTo lists the base URLs of proxies or control hosts to announce to.
	AnnounceTo []string
	// HTTPClient carries the announcements; a plaintext one if nil.
	HTTPClient *http.Client
	// TLS is offered to clients; nil for none. If it is set, sessions and cancel
	// requests in plaintext are refused, so that tests notice them. Replication
	// between stand-ins stays in plaintext.
	TLS *tls.Config
	// Passwords holds the users' passwords by user name. Users log in by
	// SCRAM-SHA-256; if it is empty, every user is accepted without a password.
	Passwords map[string]string
}

// Server is a running stand-in. Its methods are safe for concurrent use.
type Server struct {
	options          Options
	log              *slog.Logger
	metrics          tally.Scope
	address          string
	tempDir          string
	passwordVerifier *pgscram.Verifier // nil accepts every user

	state     *state
	store     *store
	slots     fifoSemaphore
	writeLock fifoSemaphore

	lag               atomic.Int64
	connectDelay      atomic.Int64
	serviceTime       atomic.Int64
	maxSessions       atomic.Int64
	replicationBroken atomic.Bool
	statements        atomic.Int64

	// mu guards the fields below.
	mu       sync.Mutex
	running  bool
	listener net.Listener
	sessions map[uint32]*session
	conns    map[net.Conn]struct{}
	nextPID  uint32
	// runCtx ends when the server is killed or closed.
	runCtx    context.Context
	cancelRun context.CancelFunc
	tasks     *conc.WaitGroup
	announcer *announcer
}

// Start runs a server until Kill or Close.
// Errors: *fault.IO if it can't listen or create its database.
func Start(options Options) (*Server, error) {
	s := newServer(options)
	if err := s.loadPasswords(); err != nil {
		return nil, err
	}
	if err := s.openStore(); err != nil {
		return nil, err
	}
	if err := s.listen(s.options.Address); err != nil {
		return nil, err
	}
	if s.options.Primary != "" {
		s.state.startAsReplica(s.options.Primary)
	}
	s.startGoroutines()
	return s, nil
}

func newServer(options Options) *Server {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	if options.Term == 0 {
		options.Term = 1
	}
	if options.ConnectDelay == 0 {
		options.ConnectDelay = DefaultConnectDelay
	}
	s := &Server{
		options: options,
		log:     logging.For(options.Log, "standin").With("server", options.Name),
		metrics: metrics.OrNoop(options.Metrics).SubScope("standin"),
		state:   newState(options.Term),
	}
	s.writeLock.capacity = 1
	s.slots.capacity = options.Slots
	s.lag.Store(int64(options.Lag))
	s.connectDelay.Store(int64(options.ConnectDelay))
	s.serviceTime.Store(int64(options.ServiceTime))
	s.maxSessions.Store(int64(options.MaxConnections))
	return s
}

func (s *Server) loadPasswords() error {
	if len(s.options.Passwords) == 0 {
		return nil
	}
	var err error
	s.passwordVerifier, err = pgscram.NewVerifier(s.options.Passwords)
	return err
}

func (s *Server) openStore() error {
	dir := s.options.Dir
	if dir == "" {
		created, err := os.MkdirTemp("", "standin")
		if err != nil {
			return &fault.IO{Op: "create database directory", Err: err}
		}
		s.tempDir = created
		dir = created
	}
	s.store = &store{dir: dir}
	return s.store.create()
}

func (s *Server) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return &fault.IO{Op: "listen on " + address, Err: err}
	}
	s.listener = listener
	s.address = listener.Addr().String()
	return nil
}

// startGoroutines starts the goroutines that accept connections, replicate and
// announce. The listener must be open.
func (s *Server) startGoroutines() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = true
	s.sessions = map[uint32]*session{}
	s.conns = map[net.Conn]struct{}{}
	s.runCtx, s.cancelRun = context.WithCancel(context.Background())
	s.tasks = conc.NewWaitGroup()
	ctx, listener := s.runCtx, s.listener
	s.tasks.Go(func() { s.accept(ctx, listener) })
	s.tasks.Go(func() { s.replicate(ctx) })
	if len(s.options.AnnounceTo) > 0 {
		s.announcer = newAnnouncer(s, s.options.AnnounceTo)
		s.tasks.Go(func() { s.announcer.run(ctx) })
	}
}

// Kill stops the server abruptly, like a crash: its listener and connections
// close, and open transactions are lost. Its log, role, term and fenced term are
// kept for Restart.
func (s *Server) Kill() {
	s.mu.Lock()
	if !s.running {
		s.mu.Unlock()
		return
	}
	s.running = false
	s.cancelRun()
	s.listener.Close()
	for conn := range s.conns {
		conn.Close()
	}
	tasks := s.tasks
	s.mu.Unlock()
	tasks.Wait()
}

// Restart starts a killed server again on the same address.
// Errors: *fault.IO if the address is taken.
func (s *Server) Restart() error {
	if err := s.listen(s.address); err != nil {
		return err
	}
	s.state.resetAfterRestart()
	s.startGoroutines()
	return nil
}

// Close stops the server and deletes its temporary files.
func (s *Server) Close() {
	s.Kill()
	if s.tempDir != "" {
		os.RemoveAll(s.tempDir)
	}
}

// Address returns the IP number and port that the server listens on.
func (s *Server) Address() string { return s.address }

// Name returns the name that the server announces.
func (s *Server) Name() string { return s.options.Name }

// Status returns what the function lovageslip_status reports.
func (s *Server) Status() upstream.Status { return s.state.status() }

// SetLag changes the replication lag for entries that the server pulls from now
// on.
func (s *Server) SetLag(lag time.Duration) { s.lag.Store(int64(lag)) }

// SetConnectDelay changes the time that a new connection takes.
func (s *Server) SetConnectDelay(delay time.Duration) { s.connectDelay.Store(int64(delay)) }

// SetServiceTime changes the time added to each statement.
func (s *Server) SetServiceTime(time time.Duration) { s.serviceTime.Store(int64(time)) }

// SetSlots changes how many statements execute at a time; 0 for no limit.
func (s *Server) SetSlots(slots int) { s.slots.setCapacity(slots) }

// SetMaxConnections changes the limit on sessions; 0 for no limit. Sessions
// that are open stay open.
func (s *Server) SetMaxConnections(n int) { s.maxSessions.Store(int64(n)) }

// SetReplicationBroken breaks the replication link to this replica's primary, or
// lets it be opened again.
func (s *Server) SetReplicationBroken(broken bool) {
	s.replicationBroken.Store(broken)
	s.state.dropLink()
}

// Freeze makes the sessions that are open now stop sending answers until
// Unfreeze. Sessions opened later are not affected.
func (s *Server) Freeze() { s.setFrozen(true) }

// Unfreeze lets all frozen sessions answer again.
func (s *Server) Unfreeze() { s.setFrozen(false) }

func (s *Server) setFrozen(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sess := range s.sessions {
		sess.frozen.Store(frozen)
	}
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Statements returns how many statements the server has begun to run in SQLite for
// clients. It doesn't count the platform's functions, replicated statements, and
// statements about the session or the transaction.
func (s *Server) Statements() int64 { return s.statements.Load() }

// AnnounceLeaving announces that the server is leaving, to the addresses of
// Options.AnnounceTo in turn, until one has answered or ctx ends.
// Errors: that of the last announcement if ctx ends before an answer.
func (s *Server) AnnounceLeaving(ctx context.Context) error {
	s.mu.Lock()
	a := s.announcer
	s.mu.Unlock()
	if a == nil {
		return nil
	}
	return a.leave(ctx)
}
