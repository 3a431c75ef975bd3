package pgupstream

import (
	"context"
	"encoding/binary"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"lovageslip/fault"
	"lovageslip/upstream"
)

const (
	statusSQL       = "SELECT * FROM lovageslip_status()"
	readOnlySetting = "default_transaction_read_only"
	// cancelAnswerTimeout bounds how long the server may take to answer a
	// batch after the batch's context has ended and it is being cancelled.
	cancelAnswerTimeout = 2 * time.Second
	// waitGrace is added to the timeout of Wait, so that the server's answer
	// has time to arrive.
	waitGrace = 2 * time.Second
)

// Conn is a connection to one server. One goroutine uses it at a time, but
// Cancel, Broken and Close may be called at any time.
type Conn struct {
	dialer     *Dialer
	socket     net.Conn
	address    string
	descriptor syscall.RawConn
	reader     reader
	// requestBuffer and answerBuffer are reused for the next batch.
	requestBuffer []byte
	answerBuffer  []byte
	pid           uint32
	secret        []byte

	state    upstream.TransactionState
	readOnly bool
	prepared map[string]struct{}
	broken   atomic.Bool

	// cancelLock guards cancellable and cancelSent. Run holds it while no
	// cancel request may be sent: during a change of mode, and while
	// statements of the ledger run, apart from the claim. It is a channel, so
	// that waiting for it can time out. Between batches it is free, and
	// cancellable is false.
	cancelLock  chan struct{}
	cancellable bool
	cancelSent  bool
	// batchSequence counts batches, so that a late cancel doesn't hit the next
	// one.
	batchSequence atomic.Uint64
}

var _ upstream.Conn = (*Conn)(nil)

// newConn returns a connection over socket, which may be encrypted. raw gives
// access to the descriptor of the TCP socket below it.
func newConn(d *Dialer, socket net.Conn, raw syscall.RawConn, address string) *Conn {
	return &Conn{
		dialer:     d,
		socket:     socket,
		descriptor: raw,
		address:    address,
		reader:     newReader(socket),
		prepared:   map[string]struct{}{},
		cancelLock: make(chan struct{}, 1),
	}
}

// Broken reports whether the connection must not be used again.
func (c *Conn) Broken() bool { return c.broken.Load() }

// Close closes the connection. The server rolls back an open transaction.
func (c *Conn) Close() error {
	c.broken.Store(true)
	if err := c.socket.Close(); err != nil {
		return &fault.IO{Op: "close", Err: err}
	}
	return nil
}

// fail marks the connection broken and reports that the outcome of what was
// sent is unknown.
func (c *Conn) fail(err error) error {
	c.broken.Store(true)
	c.socket.Close()
	c.dialer.metrics.Counter("broken").Inc(1)
	reason := fault.ReasonOutcomeUnknown
	if _, ok := err.(*protocolError); ok {
		reason = fault.ReasonProtocol
	}
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		reason = fault.ReasonSilentConnection
	}
	return &fault.OutcomeUnknown{Reason: reason, Detail: c.address + ": " + err.Error(), Err: err}
}

// send writes a whole request. If not even one byte was written, nothing can have
// run, and the error is *fault.NotRun.
func (c *Conn) send(raw []byte) error {
	n, err := c.socket.Write(raw)
	if err == nil {
		return nil
	}
	if n > 0 {
		return c.fail(err)
	}
	c.broken.Store(true)
	c.socket.Close()
	return unavailable(c.address + ": " + err.Error())
}

// checkUsable returns *fault.NotRun if the connection is known to be closed. It is
// called before anything is sent.
func (c *Conn) checkUsable() error {
	if c.broken.Load() {
		return unavailable(c.address + ": the connection is broken")
	}
	if c.reader.buffered() == 0 && socketUsable(c.descriptor, c.dialer.options.TLS != nil) {
		return nil
	}
	c.broken.Store(true)
	c.socket.Close()
	return unavailable(c.address + ": the server has closed the connection")
}

// queryResult is the answer to an injected query: its rows in text format, with nil
// for NULL, or the error that the database answered.
type queryResult struct {
	values  [][][]byte
	failure *fault.Database
}

func (r *queryResult) code() string {
	if r.failure == nil {
		return ""
	}
	return r.failure.Code
}

func appendQuery(out []byte, sql string) []byte {
	// Encode fails only for messages above 1 GiB.
	out, _ = (&pgproto3.Query{String: sql}).Encode(out)
	return out
}

// query runs an injected statement and reads its answer.
func (c *Conn) query(sql string) (*queryResult, error) {
	if err := c.send(appendQuery(nil, sql)); err != nil {
		return nil, err
	}
	return c.readRows()
}

// readRows reads the answer to an injected query up to ReadyForQuery.
func (c *Conn) readRows() (*queryResult, error) {
	result := &queryResult{}
	for {
		kind, body, err := c.reader.message()
		if err != nil {
			return nil, c.fail(err)
		}
		switch kind {
		case 'D':
			result.values = append(result.values, parseRow(body))
		case 'E':
			result.failure = parseError(body)
		case 'Z':
			return result, c.setState(body)
		case 'S':
			c.trackReadOnlySetting(body)
		case 'T', 'C', 'I', 'N', 'A':
		default:
			return nil, c.fail(&protocolError{detail: "unexpected message " + string(rune(kind))})
		}
	}
}

// trackReadOnlySetting follows changes of the mode that the caller makes by a SET
// of its own. body is a ParameterStatus message.
func (c *Conn) trackReadOnlySetting(body []byte) {
	name := cstring(body)
	if name == readOnlySetting {
		c.readOnly = cstring(body[len(name)+1:]) == "on"
	}
}

func (c *Conn) setState(body []byte) error {
	states := map[byte]upstream.TransactionState{
		'I': upstream.StateIdle,
		'T': upstream.StateOpen,
		'E': upstream.StateFailed,
	}
	if len(body) != 1 || states[body[0]] == 0 {
		return c.fail(&protocolError{detail: "unknown transaction state"})
	}
	c.state = states[body[0]]
	return nil
}

// parseRow decodes a DataRow. The values share one copy of it.
func parseRow(body []byte) [][]byte {
	if len(body) < 2 {
		return nil
	}
	values := make([][]byte, 0, binary.BigEndian.Uint16(body))
	rest := append([]byte(nil), body[2:]...)
	for len(rest) >= 4 {
		size := int(int32(binary.BigEndian.Uint32(rest)))
		rest = rest[4:]
		if size < 0 {
			values = append(values, nil)
			continue
		}
		if size > len(rest) {
			return nil
		}
		values = append(values, rest[:size:size])
		rest = rest[size:]
	}
	return values
}

// callFunction runs a statement that calls one of the server's lovageslip
// functions, and returns the status that it answers. If ctx ends before the answer
// has arrived, the connection is broken.
func (c *Conn) callFunction(ctx context.Context, sql string) (upstream.Status, error) {
	if err := c.checkUsable(); err != nil {
		return upstream.Status{}, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.socket.SetDeadline(time.Now()) })
	result, err := c.query(sql)
	if !stop() {
		c.broken.Store(true)
		c.socket.Close()
	}
	if err != nil {
		return upstream.Status{}, err
	}
	if result.failure != nil {
		return upstream.Status{}, result.failure
	}
	return c.statusOf(result)
}

func (c *Conn) statusOf(result *queryResult) (upstream.Status, error) {
	if len(result.values) != 1 {
		return upstream.Status{}, c.fail(&protocolError{detail: "status without a row"})
	}
	status, err := parseStatus(result.values[0])
	if err != nil {
		return status, c.fail(err)
	}
	return status, nil
}

// Status asks for the server's status.
// Errors: *fault.NotRun, *fault.OutcomeUnknown, *fault.Database.
func (c *Conn) Status(ctx context.Context) (upstream.Status, error) {
	return c.callFunction(ctx, statusSQL)
}

// Wait returns once the server includes p or the timeout has passed.
// Errors: as for Status.
func (c *Conn) Wait(ctx context.Context, p upstream.Position, timeout time.Duration) (upstream.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout+waitGrace)
	defer cancel()
	millis := max(timeout.Milliseconds(), 1)
	return c.callFunction(ctx, functionCall("wait", uint64(p.Term), uint64(p.Offset), uint64(millis)))
}

// Fence makes the server refuse everything from terms below term.
// Errors: as for Status; *fault.Database with code 55L01 if the server is fenced
// at a higher term.
func (c *Conn) Fence(ctx context.Context, term upstream.Term) (upstream.Status, error) {
	return c.callFunction(ctx, functionCall("fence", uint64(term)))
}

// Promote makes the server the primary of term.
// Errors: as for Fence.
func (c *Conn) Promote(ctx context.Context, term upstream.Term) (upstream.Status, error) {
	return c.callFunction(ctx, functionCall("promote", uint64(term)))
}

// Follow makes the server a replica of the primary at address in term.
// Errors: as for Fence.
func (c *Conn) Follow(ctx context.Context, term upstream.Term, address string) (upstream.Status, error) {
	arguments := strconv.FormatUint(uint64(term), 10) + ", " + quote(address)
	return c.callFunction(ctx, "SELECT * FROM lovageslip_follow("+arguments+")")
}

func functionCall(name string, arguments ...uint64) string {
	texts := make([]string, len(arguments))
	for i, n := range arguments {
		texts[i] = strconv.FormatUint(n, 10)
	}
	return "SELECT * FROM lovageslip_" + name + "(" + strings.Join(texts, ", ") + ")"
}

func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}

// Reset rolls back and discards session state.
// Errors: *fault.NotRun, *fault.OutcomeUnknown; the connection is then broken.
func (c *Conn) Reset(ctx context.Context) error {
	if err := c.checkUsable(); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.socket.SetDeadline(time.Now()) })
	err := c.reset()
	if !stop() {
		c.broken.Store(true)
		c.socket.Close()
	}
	return err
}

func (c *Conn) reset() error {
	if err := c.rollback(); err != nil {
		return err
	}
	result, err := c.query("DISCARD ALL")
	if err != nil {
		return err
	}
	if result.failure != nil {
		return c.fail(result.failure)
	}
	clear(c.prepared)
	c.readOnly = false
	return nil
}

// rollback returns the connection to the idle state.
func (c *Conn) rollback() error {
	if c.state == upstream.StateIdle {
		return nil
	}
	result, err := c.query("ROLLBACK")
	if err != nil {
		return err
	}
	if result.failure != nil || c.state != upstream.StateIdle {
		return c.fail(&protocolError{detail: "rollback failed"})
	}
	return nil
}
