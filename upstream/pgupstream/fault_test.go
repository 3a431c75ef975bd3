package pgupstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/fault"
	"lovageslip/standin"
	"lovageslip/upstream"
)

// Guards against an answer that is taken for complete although the connection
// closed in the middle of it.
func TestLinkCutWithinAnswer(t *testing.T) {
	server := startServer(t, standin.Options{})
	mustWrite(t, dialConn(t, server.Address()), "CREATE TABLE v (id INTEGER PRIMARY KEY, n TEXT)")
	link := newLink(t, server.Address())
	for cut := 0; cut < 400; cut += 7 {
		conn := dialConn(t, link.address())
		link.cutAfter(cut)
		c := write(conn, fmt.Sprintf("INSERT INTO v VALUES (%d, 'x') RETURNING *", cut), "")
		link.restore()
		if c.err == nil {
			assert.Assert(t, strings.HasSuffix(c.kinds(), "CZ"))
			break
		}
		var unknown *fault.OutcomeUnknown
		assert.Assert(t, errors.As(c.err, &unknown), "%v", c.err)
		assert.Assert(t, !strings.Contains(c.kinds(), "C"))
		assert.Assert(t, conn.Broken())
	}
}

// Guards against a cancelled batch whose late answer, or late cancel request,
// reaches the next batch on the connection.
func TestLateCancelDoesNotReachNextBatch(t *testing.T) {
	server := startServer(t, standin.Options{})
	conn := dialConn(t, server.Address())
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 300 {
		done := make(chan *collected, 1)
		go func() { done <- read(conn, "SELECT pg_sleep(0.001), 'cancelled'") }()
		time.Sleep(time.Duration(random.IntN(2000)) * time.Microsecond)
		assert.NilError(t, conn.Cancel(context.Background()))
		c := <-done
		assert.NilError(t, c.err)
		assert.Assert(t, strings.HasSuffix(c.kinds(), "Z"))
		marker := fmt.Sprintf("marker %d", i)
		next := read(conn, "SELECT '"+marker+"'")
		assert.NilError(t, next.err)
		assert.Equal(t, next.kinds(), "TDCZ")
		assert.Assert(t, strings.Contains(string(next.raw), marker))
	}
}

// Guards against a batch that goes on after its context has ended, with a server
// that answers and with one that is frozen.
func TestContextEndsBatch(t *testing.T) {
	server := startServer(t, standin.Options{})
	conn := dialConn(t, server.Address())
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	c := &collected{}
	batch := upstream.Batch{Mode: upstream.ModeRead, Payload: query("SELECT pg_sleep(60)")}
	result, err := conn.Run(ctx, batch, nil, c.sink)
	assert.NilError(t, err)
	assert.Assert(t, result.DatabaseError)
	assert.Equal(t, read(conn, "SELECT 1").kinds(), "TDCZ")
	server.Freeze()
	ctx, cancel = context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = conn.Run(ctx, batch, nil, c.sink)
	var unknown *fault.OutcomeUnknown
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	assert.Assert(t, conn.Broken())
}

// Guards against a batch that is sent on a connection which the server has closed.
// Its outcome would be unknown, although it can't have run.
func TestClosedConnectionRunsNothing(t *testing.T) {
	server := startServer(t, standin.Options{})
	conn := dialConn(t, server.Address())
	server.Kill()
	eventually(t, "connection closed", func() bool { return !socketUsable(conn.descriptor, false) })
	assertNotRun(t, write(conn, "CREATE TABLE v (id INTEGER)", "").err, fault.ReasonUpstreamUnavailable)
	_, err := NewDialer(Options{}).Dial(t.Context(), server.Address(), "db")
	assertNotRun(t, err, fault.ReasonUpstreamUnavailable)
}

// Guards against a refusal for too many connections (SQLSTATE 53300) that looks
// like a connection failure.
func TestTooManyConnections(t *testing.T) {
	server := startServer(t, standin.Options{MaxConnections: 1})
	dialConn(t, server.Address())
	_, err := NewDialer(Options{}).Dial(t.Context(), server.Address(), "db")
	assertNotRun(t, err, fault.ReasonUpstreamUnavailable)
	assert.ErrorContains(t, err, "53300")
}

// Guards against a large answer that is kept in memory as a whole or arrives
// damaged.
func TestLargeAnswerStreams(t *testing.T) {
	server := startServer(t, standin.Options{})
	conn := dialConn(t, server.Address())
	const numbers = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i+1 FROM n WHERE i < 20000) SELECT i, 'text of a row' FROM n"
	c := read(conn, numbers)
	assert.NilError(t, c.err)
	assert.Equal(t, strings.Count(c.kinds(), "D"), 20000)
	assert.Assert(t, c.chunks > len(c.raw)/(3*chunkBytes), "%d chunks", c.chunks)
	c = read(conn, "SELECT hex(zeroblob(2000000))")
	assert.NilError(t, c.err)
	assert.Equal(t, c.kinds(), "TDCZ")
	assert.Equal(t, read(conn, "SELECT 1").kinds(), "TDCZ")
}

// Guards against a failed sink after which the rest of the answer is read as that
// of the next batch.
func TestSinkFailureLeavesConnectionClean(t *testing.T) {
	server := startServer(t, standin.Options{})
	conn := dialConn(t, server.Address())
	sinkErr := &fault.IO{Op: "write", Err: context.Canceled}
	batch := upstream.Batch{Mode: upstream.ModeRead, Payload: query("BEGIN READ ONLY; SELECT hex(zeroblob(200000))")}
	_, err := conn.Run(t.Context(), batch, nil, func([]byte) error { return sinkErr })
	assert.Assert(t, err == error(sinkErr), "%v", err)
	assert.Equal(t, read(conn, "SELECT 1").kinds(), "TDCZ")
}

// Guards against sending payloads with unsupported or incomplete messages, or
// without a Query or Sync at the end.
func TestBadPayloadRunsNothing(t *testing.T) {
	server := startServer(t, standin.Options{})
	conn := dialConn(t, server.Address())
	for _, payload := range [][]byte{nil, {'Q'}, {'Q', 0, 0, 0, 99}, {'X', 0, 0, 0, 4}, {'H', 0, 0, 0, 4}} {
		c := runBatch(conn, upstream.Batch{Mode: upstream.ModeRead, Payload: payload}, nil)
		assertNotRun(t, c.err, fault.ReasonProtocol)
	}
	assert.Equal(t, read(conn, "SELECT 1").kinds(), "TDCZ")
}

// Guards against answers that are misread when they arrive in small parts.
func TestAnswerInSmallParts(t *testing.T) {
	server := startServer(t, standin.Options{})
	link := newLink(t, server.Address())
	link.addToxic(`{"name":"slice","type":"slicer","attributes":{"average_size":7,"size_variation":6,"delay":0}}`)
	conn := dialConn(t, link.address())
	mustWrite(t, conn, createV+"; INSERT INTO v VALUES (1, 'a'), (2, 'b')")
	for range 20 {
		assert.Equal(t, read(conn, "SELECT * FROM v").kinds(), "TDDCZ")
		assert.Equal(t, mustWrite(t, conn, "UPDATE v SET n = 'c' WHERE id = 1").kinds(), "CZ")
	}
}
