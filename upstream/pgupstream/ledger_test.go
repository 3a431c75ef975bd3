package pgupstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/fault"
	"lovageslip/standin"
	"lovageslip/upstream"
)

const createV = "CREATE TABLE v (id INTEGER PRIMARY KEY, n TEXT)"

// Guards against a write that runs twice, or not at all, when the connection breaks
// at any byte of the answers and the caller retries on another one.
func TestRetryAfterLostAnswerRunsOnce(t *testing.T) {
	server := startServer(t, standin.Options{})
	direct := dialConn(t, server.Address())
	mustWrite(t, direct, createV)
	link := newLink(t, server.Address())
	replayed, rows := 0, 0
	for cut := 0; cut < 2000; cut += 5 {
		conn := dialConn(t, link.address())
		link.cutAfter(cut)
		id := fmt.Sprint("request ", cut)
		first := write(conn, "INSERT INTO v (n) VALUES ('x') RETURNING n", id)
		link.restore()
		retry := write(direct, "INSERT INTO v (n) VALUES ('x') RETURNING n", id)
		assert.NilError(t, retry.err)
		assert.Assert(t, retry.result.Committed)
		assert.Equal(t, retry.kinds(), "TDCZ")
		rows++
		assert.Equal(t, countRows(t, direct), rows, "cut after %d bytes", cut)
		if retry.result.Replayed {
			replayed++
		}
		if first.err == nil {
			assert.Equal(t, string(first.raw), string(retry.raw))
			break
		}
	}
	assert.Assert(t, replayed > 1, "%d replays", replayed)
}

// Guards against a write that runs twice when duplicates of it are sent on several
// connections at the same time.
func TestConcurrentDuplicatesRunOnce(t *testing.T) {
	server := startServer(t, standin.Options{})
	direct := dialConn(t, server.Address())
	mustWrite(t, direct, createV)
	const duplicates = 16
	answers := make([]*collected, duplicates)
	var tasks sync.WaitGroup
	for i := range duplicates {
		conn := dialConn(t, server.Address())
		tasks.Go(func() { answers[i] = write(conn, "INSERT INTO v (n) VALUES ('x')", "same") })
	}
	tasks.Wait()
	replayed := 0
	for _, c := range answers {
		assert.NilError(t, c.err)
		assert.Equal(t, c.kinds(), "CZ")
		if c.result.Replayed {
			replayed++
		}
	}
	assert.Equal(t, replayed, duplicates-1)
	assert.Equal(t, countRows(t, direct), 1)
}

// Guards against a refused write whose request id can't be used again, or whose
// answer reports the state of the adapter's own transaction.
func TestRefusedWriteReleasesRequestID(t *testing.T) {
	server := startServer(t, standin.Options{})
	conn := dialConn(t, server.Address())
	mustWrite(t, conn, createV+"; INSERT INTO v VALUES (1, 'x')")
	c := write(conn, "INSERT INTO v VALUES (1, 'y')", "id")
	assert.NilError(t, c.err)
	assert.Assert(t, c.result.DatabaseError && !c.result.Committed)
	assert.Equal(t, c.kinds(), "EZ")
	assert.Equal(t, c.raw[len(c.raw)-1], byte('I'))
	c = write(conn, "INSERT INTO v VALUES (2, 'y')", "id")
	assert.NilError(t, c.err)
	assert.Assert(t, c.result.Committed && !c.result.Replayed)
	assert.Equal(t, countRows(t, conn), 2)
}

// Guards against a committed transaction that runs again when it is resent.
func TestExplicitTransactionRunsOnce(t *testing.T) {
	server := startServer(t, standin.Options{})
	conn := dialConn(t, server.Address())
	mustWrite(t, conn, createV)
	for try := range 2 {
		c := write(conn, "BEGIN", "id")
		if try == 1 {
			var committed *fault.AlreadyCommitted
			assert.Assert(t, errors.As(c.err, &committed), "%v", c.err)
			assert.Assert(t, c.result.Committed && c.result.StatusAfter.Offset == 3)
			assert.Equal(t, len(c.raw), 0)
			break
		}
		assert.NilError(t, c.err)
		assert.Equal(t, c.result.State, upstream.StateOpen)
		assert.Equal(t, c.kinds(), "CZ")
		mustWrite(t, conn, "INSERT INTO v VALUES (1, 'x')")
		mustWrite(t, conn, "COMMIT")
	}
	assert.Equal(t, countRows(t, conn), 1)
	for range 2 {
		c := write(conn, "BEGIN; INSERT INTO v VALUES (2, 'y'); COMMIT", "whole")
		assert.Assert(t, c.result.Committed)
	}
	assert.Equal(t, countRows(t, conn), 2)
	c := write(conn, "BEGIN READ ONLY", "reader")
	assert.NilError(t, c.err)
	assert.Equal(t, c.result.State, upstream.StateOpen)
}

// Guards against an answer that is truncated because it is longer than what the
// ledger stores.
func TestLongAnswerIsNotStored(t *testing.T) {
	server := startServer(t, standin.Options{})
	conn := dialConn(t, server.Address())
	mustWrite(t, conn, createV)
	const insert = "INSERT INTO v (n) VALUES (hex(zeroblob(50000))) RETURNING n"
	c := write(conn, insert, "long")
	assert.NilError(t, c.err)
	assert.Equal(t, c.kinds(), "TDCZ")
	assert.Equal(t, c.raw[len(c.raw)-1], byte('I'))
	c = write(conn, insert, "long")
	var committed *fault.AlreadyCommitted
	assert.Assert(t, errors.As(c.err, &committed), "%v", c.err)
	assert.Equal(t, countRows(t, conn), 1)
}

// Guards against a fenced primary that commits a transaction with a request id or
// records a new one.
func TestFencedPrimaryClaimsNothing(t *testing.T) {
	server := startServer(t, standin.Options{})
	conn := dialConn(t, server.Address())
	mustWrite(t, conn, createV)
	assert.NilError(t, write(conn, "BEGIN", "id").err)
	mustWrite(t, conn, "INSERT INTO v VALUES (1, 'x')")
	_, err := dialConn(t, server.Address()).Fence(t.Context(), 2)
	assert.NilError(t, err)
	assertNotRun(t, write(conn, "COMMIT", "").err, fault.ReasonNotPrimary)
	assertNotRun(t, write(conn, "INSERT INTO v VALUES (1, 'x')", "other").err, fault.ReasonNotPrimary)
	assert.Equal(t, countRows(t, conn), 0)
}

// Guards against a duplicate that can't be cancelled while it waits for the
// transaction of the first try.
func TestWaitingDuplicateIsCancelled(t *testing.T) {
	server := startServer(t, standin.Options{})
	first, second := dialConn(t, server.Address()), dialConn(t, server.Address())
	mustWrite(t, first, createV)
	assert.NilError(t, write(first, "BEGIN", "id").err)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	batch := upstream.Batch{Mode: upstream.ModeWrite, Payload: query("INSERT INTO v VALUES (1, 'x')"), RequestID: "id"}
	_, err := second.Run(ctx, batch, nil, (&collected{}).sink)
	assertNotRun(t, err, fault.ReasonCancelled)
	assert.Assert(t, !second.Broken())
	mustWrite(t, first, "COMMIT")
	assert.Equal(t, countRows(t, second), 0)
}
