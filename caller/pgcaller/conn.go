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

// conn is one caller's connection. One goroutine serves it; drain, abort and
// cancel may be called from others.
type conn struct {
	server  *Server
	session *entry.Session
	reader  reader
	writer  writer
	key     key

	statements map[string]*statement
	textBytes  int // size of the named statements' texts
	portals    map[string]*statement
	batch      *batch
	settings   map[string]string
	// lost is true after an open transaction was lost, until the caller ends it.
	lost bool
	// inTransaction is true while a transaction is open.
	inTransaction bool
	// failed is true while the open transaction has failed in the database.
	failed bool
	// secure is true once the caller has asked for TLS and got it.
	secure bool

	mu       sync.Mutex
	network  net.Conn // guarded by mu against drain and abort
	idle     bool     // guarded by mu: waiting for a request outside a transaction
	draining bool     // guarded by mu
}

func newConn(server *Server, network net.Conn) *conn {
	return &conn{
		server:  server,
		network: network,
		reader:  newReader(network, server.options.ReadTimeout),
		writer:  writer{conn: network, timeout: server.options.WriteTimeout},
	}
}

// setNetwork replaces the transport after a TLS handshake request.
func (c *conn) setNetwork(network net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.network = network
	c.reader.conn = network
	c.writer.conn = network
}

// serve runs the connection to its end.
func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer c.close()
	proceed, err := c.start(ctx)
	for err == nil && proceed {
		proceed, err = c.step(ctx)
	}
	if err != nil {
		c.end(err)
	}
}

// step handles one message. It returns false when the caller says goodbye.
func (c *conn) step(ctx context.Context) (bool, error) {
	if err := c.await(); err != nil {
		return false, err
	}
	kind, body, err := c.reader.next(c.server.options.MaxMessage)
	if err != nil {
		return false, err
	}
	if kind == 'X' {
		return false, nil
	}
	return true, c.handle(ctx, kind, body)
}

// await blocks until the caller's next message begins.
func (c *conn) await() error {
	if c.reader.buffered() > 0 {
		return nil
	}
	if err := c.flush(); err != nil {
		return err
	}
	if c.batch != nil || c.inTransaction || c.lost {
		return c.reader.await()
	}
	c.reader.shrink()
	c.writer.release()
	if !c.beginIdle() {
		return &shuttingDown{}
	}
	err := c.reader.await()
	if c.endIdle() && err != nil {
		return &shuttingDown{}
	}
	return err
}

// beginIdle returns false if the connection is to end.
func (c *conn) beginIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = !c.draining
	return c.idle
}

// endIdle reports whether the connection is to end. A request that arrived
// together with the shutdown still runs.
func (c *conn) endIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	if c.draining {
		// drain has set a deadline in the past.
		_ = c.network.SetReadDeadline(time.Time{})
	}
	return c.draining
}

// drain ends the connection as soon as no transaction is open.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.idle {
		_ = c.network.SetReadDeadline(time.Unix(1, 0))
	}
}

// abort closes the connection at once.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.network.Close()
}

// end tells the caller why the connection ends, if it can still be told.
func (c *conn) end(err error) {
	var io *fault.IO
	if errors.As(err, &io) {
		c.server.log.Debug("caller is gone", "error", err)
		return
	}
	response := fatalResponse(err)
	c.server.metrics.Tagged(map[string]string{"code": response.Code}).Counter("callers_ended_total").Inc(1)
	c.send(response)
	_ = c.flush() // the caller may be gone
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
		return c.simple(ctx, body)
	case 'P', 'B', 'D', 'E', 'C':
		return c.collect(kind, body)
	case 'H':
		return c.flushRequest(ctx)
	case 'S':
		return c.sync(ctx)
	case 'F':
		c.send(errorResponse(&fault.Unsupported{Feature: "the function call message"}))
		c.sendReady()
		return nil
	case 'd', 'c', 'f':
		// Copy data after a refused COPY is ignored, as a server does.
		return nil
	}
	return &protocolError{detail: "unexpected message"}
}

func (c *conn) send(message pgproto3.BackendMessage) { c.writer.send(message) }

func (c *conn) flush() error { return c.writer.flush() }

// sendReady reports the transaction state.
func (c *conn) sendReady() {
	state := byte('I')
	switch {
	case c.lost || c.failed:
		state = 'E'
	case c.inTransaction:
		state = 'T'
	}
	c.send(&pgproto3.ReadyForQuery{TxStatus: state})
}

func (c *conn) setState(state upstream.TransactionState) {
	c.inTransaction = state != upstream.StateIdle
	c.failed = state == upstream.StateFailed
	if !c.inTransaction {
		c.portals = nil
	}
}
