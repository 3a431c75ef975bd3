package pgupstream

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lovageslip/fault"
	"lovageslip/standin"
	"lovageslip/upstream"
)

func startServer(t *testing.T, options standin.Options) *standin.Server {
	t.Helper()
	options.ConnectDelay = -1
	s, err := standin.Start(options)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

func dialConn(t *testing.T, address string) *Conn {
	t.Helper()
	conn, err := NewDialer(Options{}).Dial(t.Context(), address, "db")
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn.(*Conn)
}

func query(sql string) []byte { return appendQuery(nil, sql) }

func encode(messages ...pgproto3.FrontendMessage) []byte {
	var out []byte
	for _, message := range messages {
		out, _ = message.Encode(out)
	}
	return out
}

// collected is the answer and the result that the caller would have received.
type collected struct {
	raw    []byte
	chunks int
	result upstream.Result
	err    error
}

func (c *collected) sink(chunk []byte) error {
	c.raw = append(c.raw, chunk...)
	c.chunks++
	return nil
}

// kinds lists the types of the messages.
func (c *collected) kinds() string {
	kinds := ""
	for rest := c.raw; len(rest) >= headerBytes; {
		kinds += string(rest[:1])
		size := int(rest[1])<<24 | int(rest[2])<<16 | int(rest[3])<<8 | int(rest[4])
		if size+1 > len(rest) {
			break
		}
		rest = rest[size+1:]
	}
	return kinds
}

func runBatch(conn *Conn, batch upstream.Batch, check upstream.StatusCheck) *collected {
	c := &collected{}
	c.result, c.err = conn.Run(context.Background(), batch, check, c.sink)
	c.raw = append(c.raw, c.result.AnswerTail...)
	return c
}

func read(conn *Conn, sql string) *collected {
	return runBatch(conn, upstream.Batch{Mode: upstream.ModeRead, Payload: query(sql)}, nil)
}

func write(conn *Conn, sql, id string) *collected {
	return runBatch(conn, upstream.Batch{Mode: upstream.ModeWrite, Payload: query(sql), RequestID: id}, nil)
}

func mustWrite(t *testing.T, conn *Conn, sql string) *collected {
	t.Helper()
	c := write(conn, sql, "")
	assert.NilError(t, c.err)
	assert.Assert(t, !c.result.DatabaseError, "%q", c.raw)
	return c
}

// countRows returns the number of rows of table v.
func countRows(t *testing.T, conn *Conn) int {
	t.Helper()
	result, err := conn.query("SELECT count(*) FROM v")
	assert.NilError(t, err)
	n := 0
	_, err = fmt.Sscan(string(result.values[0][0]), &n)
	assert.NilError(t, err)
	return n
}

func assertNotRun(t *testing.T, err error, reason fault.Reason) {
	t.Helper()
	var refused *fault.NotRun
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Reason, reason)
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(2*time.Millisecond))
}

// Guards against answers to injected messages that reach the caller, and against a
// commit that is acknowledged before it is confirmed.
func TestReadAndWrite(t *testing.T) {
	server := startServer(t, standin.Options{})
	conn := dialConn(t, server.Address())
	mustWrite(t, conn, "CREATE TABLE v (id INTEGER PRIMARY KEY, n TEXT)")
	c := &collected{}
	batch := upstream.Batch{Mode: upstream.ModeWrite, Payload: query("INSERT INTO v VALUES (1, 'a')")}
	result, err := conn.Run(t.Context(), batch, nil, c.sink)
	assert.NilError(t, err)
	assert.Equal(t, len(c.raw), 0)
	assert.Assert(t, result.Committed)
	assert.Equal(t, result.StatusAfter.Position(), upstream.Position{Term: 1, Offset: 2})
	assert.Equal(t, (&collected{raw: result.AnswerTail}).kinds(), "CZ")
	answer := read(conn, "SELECT * FROM v")
	assert.NilError(t, answer.err)
	assert.Equal(t, answer.kinds(), "TDCZ")
	assert.Equal(t, answer.result.State, upstream.StateIdle)
}

// Guards against a write that runs in read mode, and against a refusal that
// leaves a transaction open.
func TestReadModeRefusesWrites(t *testing.T) {
	server := startServer(t, standin.Options{})
	conn := dialConn(t, server.Address())
	mustWrite(t, conn, "CREATE TABLE v (id INTEGER PRIMARY KEY)")
	c := read(conn, "INSERT INTO v VALUES (1)")
	assertNotRun(t, c.err, fault.ReasonReadOnly)
	assert.Equal(t, len(c.raw), 0)
	c = read(conn, "SELECT 1; INSERT INTO v VALUES (1)")
	assertNotRun(t, c.err, fault.ReasonReadOnly)
	assert.Equal(t, countRows(t, conn), 0)
	mustWrite(t, conn, "INSERT INTO v VALUES (1)")
	assert.Equal(t, countRows(t, conn), 1)
}

// Guards against a write on a replica that fails with a database error, although it
// could run on the primary.
func TestWriteOnReplica(t *testing.T) {
	primary := startServer(t, standin.Options{})
	replica := startServer(t, standin.Options{Primary: primary.Address()})
	mustWrite(t, dialConn(t, primary.Address()), "CREATE TABLE v (id INTEGER PRIMARY KEY)")
	eventually(t, "replicated", func() bool { return replica.Status().Offset == 1 })
	conn := dialConn(t, replica.Address())
	assertNotRun(t, write(conn, "INSERT INTO v VALUES (1)", "").err, fault.ReasonNotPrimary)
	assertNotRun(t, write(conn, "INSERT INTO v VALUES (1)", "id").err, fault.ReasonNotPrimary)
	assertNotRun(t, write(conn, "BEGIN; INSERT INTO v VALUES (1)", "").err, fault.ReasonNotPrimary)
	assert.Equal(t, read(conn, "SELECT * FROM v").kinds(), "TCZ")
}

// Guards against an answer that is passed on although the check of the server's
// status failed, and against one whose rest is read as the next answer.
func TestCheckDiscardsAnswer(t *testing.T) {
	server := startServer(t, standin.Options{})
	conn := dialConn(t, server.Address())
	mustWrite(t, conn, "CREATE TABLE v (id INTEGER PRIMARY KEY); INSERT INTO v VALUES (1), (2)")
	stale := &fault.NotRun{Reason: fault.ReasonStale}
	check := func(s upstream.Status) error {
		if s.Includes(upstream.Position{Term: 1, Offset: 99}) {
			return nil
		}
		return stale
	}
	for _, sql := range []string{"SELECT * FROM v", "BEGIN READ ONLY", "SELECT nonsense FROM v"} {
		c := runBatch(conn, upstream.Batch{Mode: upstream.ModeRead, Payload: query(sql)}, check)
		assert.Assert(t, c.err == error(stale), "%v", c.err)
		assert.Equal(t, len(c.raw), 0)
		assert.Assert(t, !conn.Broken())
		assert.Equal(t, read(conn, "SELECT * FROM v").kinds(), "TDDCZ")
	}
}

// Guards against a wrong transaction state in the result of a batch.
func TestTransaction(t *testing.T) {
	server := startServer(t, standin.Options{})
	conn, other := dialConn(t, server.Address()), dialConn(t, server.Address())
	mustWrite(t, conn, "CREATE TABLE v (id INTEGER PRIMARY KEY)")
	c := mustWrite(t, conn, "BEGIN")
	assert.Equal(t, c.result.State, upstream.StateOpen)
	assert.Assert(t, !c.result.Committed)
	mustWrite(t, conn, "INSERT INTO v VALUES (1)")
	assert.Equal(t, countRows(t, other), 0)
	c = mustWrite(t, conn, "COMMIT")
	assert.Assert(t, c.result.Committed)
	assert.Equal(t, c.result.StatusAfter.Offset, upstream.Offset(2))
	assert.Equal(t, countRows(t, other), 1)
	mustWrite(t, conn, "BEGIN")
	c = write(conn, "INSERT INTO v VALUES (1)", "")
	assert.Equal(t, c.result.State, upstream.StateFailed)
	assert.Assert(t, c.result.DatabaseError)
	c = mustWrite(t, conn, "ROLLBACK")
	assert.Assert(t, !c.result.Committed)
	assert.Equal(t, c.result.State, upstream.StateIdle)
}
