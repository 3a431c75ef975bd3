package standin

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/mattn/go-sqlite3"

	"lovageslip/fault"
)

const (
	flushBytes         = 32 << 10
	frozenPollInterval = 20 * time.Millisecond
	maxCachedQueries   = 256
	maxCachedPrepared  = 256
)

// session is one client connection. One goroutine runs it; others may call
// interrupt and isBusy and use the atomic fields.
type session struct {
	server     *Server
	conn       net.Conn
	reader     messageReader
	sendBuffer []byte
	pid        uint32
	secret     []byte

	frozen               atomic.Bool
	hasSQLiteTransaction atomic.Bool

	serverCtx context.Context
	// cancelMu guards the three fields below.
	cancelMu sync.Mutex
	busy     bool
	ctx      context.Context
	cancel   context.CancelFunc

	db            *sqlite3.SQLiteConn
	generation    int
	schemaVersion uint64
	prepared      map[string]*prepared
	queries       map[string][]*statement

	statements     map[string]*namedStatement
	portals        map[string]*portal
	settings       settings
	tx             transaction
	skippingToSync bool
	// describing is true while SQLite is asked for the columns of a statement;
	// pg_sleep then doesn't sleep.
	describing bool
}

func newSession(s *Server, serverCtx context.Context, conn net.Conn, reader *bufio.Reader, parameters map[string]string) *session {
	return &session{
		server:     s,
		conn:       conn,
		reader:     messageReader{r: reader},
		serverCtx:  serverCtx,
		settings:   newSettings(parameters),
		queries:    map[string][]*statement{},
		prepared:   map[string]*prepared{},
		statements: map[string]*namedStatement{},
		portals:    map[string]*portal{},
	}
}

func (s *session) send(message pgproto3.BackendMessage) {
	// Encode fails only for messages above 1 GiB.
	if out, err := message.Encode(s.sendBuffer); err == nil {
		s.sendBuffer = out
	}
}

// flush writes the buffered messages to the connection. In a frozen session it
// blocks until the session is unfrozen, the client closes the connection or the
// server stops.
func (s *session) flush() error {
	for s.frozen.Load() {
		if s.serverCtx.Err() != nil || peerClosed(s.conn) {
			return net.ErrClosed
		}
		waitFor(s.serverCtx, nil, frozenPollInterval)
	}
	if len(s.sendBuffer) == 0 {
		return nil
	}
	_, err := s.conn.Write(s.sendBuffer)
	s.sendBuffer = s.sendBuffer[:0]
	if cap(s.sendBuffer) > 4*flushBytes {
		s.sendBuffer = nil
	}
	return err
}

func (s *session) flushIfLarge() error {
	if len(s.sendBuffer) < flushBytes {
		return nil
	}
	return s.flush()
}

// acquireSlot acquires a slot, in order of arrival, and for a write also the
// write lock if the session doesn't hold it yet. It releases the slot while it
// waits for the lock, because the lock's holder may need a slot to go on. A
// session that had to wait for the lock then gets the next free slot, because
// other writers wait for it.
func (s *session) acquireSlot(write bool) *pgError {
	slots, writer := &s.server.slots, &s.server.writeLock
	if failure := s.acquireSemaphore(slots.tryAcquire, slots.acquire); failure != nil {
		return failure
	}
	if !write || s.tx.holdsWriteLock {
		return nil
	}
	if writer.tryAcquire() {
		s.tx.holdsWriteLock = true
		return nil
	}
	slots.release()
	if failure := s.acquireSemaphore(writer.tryAcquire, writer.acquire); failure != nil {
		return failure
	}
	s.tx.holdsWriteLock = true
	return s.acquireSemaphore(slots.tryAcquire, slots.acquireNext)
}

// acquireSemaphore acquires one of the server's semaphores by try, or else waits
// with acquire. Before it waits, it flushes the buffered messages, so that the
// client gets the answers of earlier statements.
func (s *session) acquireSemaphore(try func() bool, acquire func(context.Context) error) *pgError {
	if try() {
		return nil
	}
	if err := s.flush(); err != nil {
		return databaseError(err)
	}
	if err := acquire(s.ctx); err != nil {
		return cancelledError()
	}
	return nil
}

// simulateServiceTime waits for the service time that the server is set to add to
// each statement.
func (s *session) simulateServiceTime() *pgError {
	if limit := time.Duration(s.server.serviceTime.Load()); limit > 0 {
		if err := s.flush(); err != nil {
			return databaseError(err)
		}
		waitFor(s.ctx, nil, limit)
	}
	if s.ctx.Err() != nil {
		return cancelledError()
	}
	return nil
}

// sendFatal sends an error with severity FATAL. The caller then closes the
// connection.
func (s *session) sendFatal(err *pgError) {
	err.Severity = "FATAL"
	s.send(err.response())
	_ = s.flush()
}

func (s *session) serve() error {
	s.sendStartupMessages()
	for {
		if s.reader.r.Buffered() == 0 {
			if err := s.flush(); err != nil {
				return err
			}
		}
		kind, body, err := s.nextMessage()
		if err != nil {
			return err
		}
		if kind == 'X' {
			return nil
		}
		s.setBusy()
		if err := s.handle(kind, body); err != nil {
			return err
		}
	}
}

// nextMessage waits for the client's next message. It ends the session if a
// transaction is open and idle_in_transaction_session_timeout passes.
func (s *session) nextMessage() (byte, []byte, error) {
	limit := s.settings.idleInTransactionTimeout()
	if limit == 0 || s.tx.status() == 'I' {
		return s.reader.next()
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return 0, nil, err
	}
	kind, body, err := s.reader.next()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.sendFatal(&pgError{Code: "25P03", Message: "terminating connection due to idle-in-transaction timeout"})
		return 0, nil, err
	}
	if err != nil {
		return 0, nil, err
	}
	return kind, body, s.conn.SetReadDeadline(time.Time{})
}

func (s *session) sendStartupMessages() {
	s.send(&pgproto3.AuthenticationOk{})
	for _, name := range reportedSettings {
		s.send(&pgproto3.ParameterStatus{Name: name, Value: s.settings.show(name)})
	}
	s.send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	s.sendReadyForQuery()
}

func (s *session) handle(kind byte, body []byte) error {
	message, err := s.reader.decode(kind, body)
	if err != nil {
		return s.protocolError(err)
	}
	switch message := message.(type) {
	case *pgproto3.Query:
		return s.simpleQuery(message.String)
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Flush:
		return s.flush()
	}
	if s.skippingToSync {
		return nil
	}
	if failure := s.handleExtended(message); failure != nil {
		s.skippingToSync = true
		s.fail(failure)
	}
	return s.flushIfLarge()
}

func (s *session) protocolError(err error) error {
	if failure, ok := err.(*pgError); ok {
		s.sendFatal(failure)
	}
	return err
}

// fail sends an error and puts an explicit transaction into the failed state.
func (s *session) fail(failure *pgError) {
	s.send(failure.response())
	s.abort()
}

func (s *session) sendReadyForQuery() {
	s.setIdle()
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.tx.status()})
}

func (s *session) setBusy() {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	s.busy = true
	if s.ctx == nil || s.ctx.Err() != nil {
		s.ctx, s.cancel = context.WithCancel(s.serverCtx)
	}
}

func (s *session) setIdle() {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	s.busy = false
}

// interrupt cancels the statement that the session is running. It does nothing if
// the session is idle.
func (s *session) interrupt() {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	if s.busy {
		s.cancel()
	}
}

// end rolls back the session's transaction, which releases the write lock, and
// closes its database connection.
func (s *session) end() {
	s.rollback()
	s.tx = transaction{}
	if s.cancel != nil {
		s.cancel()
	}
	s.closeDatabase()
}

func (s *session) closeDatabase() {
	if s.db == nil {
		return
	}
	s.dropPrepared()
	if err := s.db.Close(); err != nil {
		s.server.log.Warn("closing a session's database connection failed", "error", err)
	}
	s.db = nil
}

func (s *session) dropPrepared() {
	for sql, p := range s.prepared {
		_ = p.stmt.Close()
		delete(s.prepared, sql)
	}
}

// openDatabase makes sure that the session has a connection to the current
// generation of the database, and drops compiled statements if the schema has
// changed. An open transaction keeps its connection.
func (s *session) openDatabase() *pgError {
	generation, schema := s.server.store.versions()
	if s.db != nil && s.generation != generation && !s.tx.openInSQLite {
		s.closeDatabase()
	}
	if s.db != nil && s.schemaVersion != schema {
		s.dropPrepared()
	}
	s.schemaVersion = schema
	if s.db != nil {
		return nil
	}
	db, opened, err := s.server.store.open()
	if err != nil {
		return databaseError(err)
	}
	s.db, s.generation = db, opened
	if err := s.registerFunctions(); err != nil {
		return databaseError(err)
	}
	return nil
}

func (s *session) registerFunctions() error {
	if err := s.db.RegisterFunc("pg_sleep", s.sleep, false); err != nil {
		return &fault.IO{Op: "register pg_sleep", Err: err}
	}
	return s.db.RegisterFunc("now", now, false)
}

func now() string { return time.Now().UTC().Format("2006-01-02 15:04:05.999999") }

// sleep implements the SQL function pg_sleep(seconds).
func (s *session) sleep(seconds any) (string, error) {
	if s.describing {
		return "", nil
	}
	if err := s.flush(); err != nil {
		return "", err
	}
	timer := time.NewTimer(time.Duration(toFloat(seconds) * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return "", nil
	case <-s.ctx.Done():
		return "", cancelledError()
	}
}
