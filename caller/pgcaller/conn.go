package pgcaller

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"lovageslip/entry"
	"lovageslip/fault"
	"lovageslip/upstream"
)

// conn is one caller's connection. One goroutine serves it; drain and abort,
// and Cancel of its session, may be called from others.
type conn struct {
	server  *Server
	session *entry.Session
	reader  reader
	writer  writer
	key     cancelKey

	statements         map[string]*statement
	statementTextBytes int // total size of the named statements' texts
	portals            map[string]*statement
	batch              *batch
	parameters         map[string]string
	// transactionLost is true from the loss of an open transaction, for
	// example with its upstream connection, until the caller ends it.
	transactionLost bool
	// inTransaction is true while a transaction is open.
	inTransaction bool
	// transactionFailed is true while the open transaction is in the failed
	// state in the database.
	transactionFailed bool
	// encrypted is true once the caller's request for TLS was accepted.
	encrypted bool

	mu       sync.Mutex
	netConn  net.Conn // guarded by mu against drain and abort
	idle     bool     // guarded by mu: waiting for a request outside a transaction
	draining bool     // guarded by mu
}

func newConn(server *Server, netConn net.Conn) *conn {
	return &conn{
		server:  server,
		netConn: netConn,
		reader:  newReader(netConn, server.options.ReadTimeout),
		writer:  writer{conn: netConn, timeout: server.options.WriteTimeout},
	}
}

// setNetConn replaces the plain transport by TLS after an SSLRequest.
func (c *conn) setNetConn(netConn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.netConn = netConn
	c.reader.conn = netConn
	c.writer.conn = netConn
}

// serve runs start-up and then handles messages until the connection ends.
func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer c.close()
	proceed, err := c.start(ctx)
	for err == nil && proceed {
		proceed, err = c.handleNext(ctx)
	}
	if err != nil {
		c.sendFatal(err)
	}
}

// handleNext handles one message. It returns false on Terminate.
func (c *conn) handleNext(ctx context.Context) (bool, error) {
	if err := c.awaitMessage(); err != nil {
		return false, err
	}
	kind, body, err := c.reader.next(c.server.options.MaxMessageBytes)
	if err != nil {
		return false, err
	}
	if kind == 'X' {
		return false, nil
	}
	return true, c.handle(ctx, kind, body)
}

// awaitMessage blocks until the first byte of the caller's next message has
// arrived. Without a batch or transaction the connection is idle meanwhile: it
// holds no large buffer, and a shutdown may end it.
func (c *conn) awaitMessage() error {
	if c.reader.buffered() > 0 {
		return nil
	}
	if err := c.flush(); err != nil {
		return err
	}
	if c.batch != nil || c.inTransaction || c.transactionLost {
		return c.reader.awaitInput()
	}
	c.reader.shrink()
	c.writer.release()
	if !c.beginIdle() {
		return &serverShuttingDown{}
	}
	err := c.reader.awaitInput()
	if c.endIdle() && err != nil {
		return &serverShuttingDown{}
	}
	return err
}

// beginIdle marks the connection idle. It returns false if the server is
// shutting down and the connection has to end.
func (c *conn) beginIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = !c.draining
	return c.idle
}

// endIdle clears the idle mark and reports whether the server is shutting down.
// A request that arrived at the same time as the shutdown still runs.
func (c *conn) endIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	if c.draining {
		// drain has set a deadline in the past.
		_ = c.netConn.SetReadDeadline(time.Time{})
	}
	return c.draining
}

// drain makes the connection end as soon as no batch or transaction is open.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.idle {
		_ = c.netConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// abort closes the connection at once.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.netConn.Close()
}

// sendFatal sends the caller the error that ends the connection, unless the
// connection itself failed.
func (c *conn) sendFatal(err error) {
	var io *fault.IO
	if errors.As(err, &io) {
		c.server.log.Debug("caller connection lost", "error", err)
		return
	}
	response := fatalResponse(err)
	c.server.metrics.Tagged(map[string]string{"code": response.Code}).Counter("callers_ended_total").Inc(1)
	c.send(response)
	_ = c.flush() // fails if the caller has disconnected
}

func (c *conn) close() {
	if c.session != nil {
		c.session.Close()
	}
	c.server.keys.remove(c.key)
	c.reader.shrink()
	c.reader.release()
	c.writer.release()
	c.abort()
}

func (c *conn) handle(ctx context.Context, kind byte, body []byte) error {
	switch kind {
	case 'Q':
		return c.handleQuery(ctx, body)
	case 'P', 'B', 'D', 'E', 'C':
		return c.collect(kind, body)
	case 'H':
		return c.handleFlush(ctx)
	case 'S':
		return c.handleSync(ctx)
	case 'F':
		c.send(errorResponse(&fault.Unsupported{Feature: "the function call message"}))
		c.sendReady()
		return nil
	case 'd', 'c', 'f':
		// CopyData, CopyDone and CopyFail after a refused COPY are ignored, as
		// PostgreSQL does.
		return nil
	}
	return &protocolError{detail: "unexpected message"}
}

func (c *conn) send(message pgproto3.BackendMessage) { c.writer.send(message) }

func (c *conn) flush() error { return c.writer.flush() }

// sendReady sends ReadyForQuery with the transaction state.
func (c *conn) sendReady() {
	state := byte('I')
	switch {
	case c.transactionLost || c.transactionFailed:
		state = 'E'
	case c.inTransaction:
		state = 'T'
	}
	c.send(&pgproto3.ReadyForQuery{TxStatus: state})
}

func (c *conn) setTransactionState(state upstream.TransactionState) {
	c.inTransaction = state != upstream.StateIdle
	c.transactionFailed = state == upstream.StateFailed
	if !c.inTransaction {
		c.portals = nil
	}
}
