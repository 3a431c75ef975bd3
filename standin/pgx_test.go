package standin

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// Guards against values whose type or content changes between client and
// database, in the binary and text formats of pgx's query modes.
func TestTypesRoundTrip(t *testing.T) {
	conn := dial(t, start(t, Options{}))
	run(t, conn, "CREATE TABLE v (id BIGINT PRIMARY KEY, name TEXT, score DOUBLE PRECISION, data BYTEA, ok BOOLEAN)")
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
		run(t, conn, "DELETE FROM v")
		run(t, conn, "INSERT INTO v VALUES ($1, $2, $3, $4, $5)", mode, int64(7), "it's", 1.5, []byte{0, 1, 255}, true)
		row := conn.QueryRow(context.Background(), "SELECT id, name, score, data, ok FROM v WHERE id = $1", mode, int64(7))
		var id int64
		var name string
		var score float64
		var data []byte
		var ok bool
		assert.NilError(t, row.Scan(&id, &name, &score, &data, &ok))
		assert.Equal(t, id, int64(7))
		assert.Equal(t, name, "it's")
		assert.Equal(t, score, 1.5)
		assert.Equal(t, ok, true)
	}
}

// Guards against wrongly inferred types of parameters and columns.
func TestTypesOfExpressions(t *testing.T) {
	conn := dial(t, start(t, Options{}))
	run(t, conn, "CREATE TABLE v (id BIGINT PRIMARY KEY, n INTEGER)")
	run(t, conn, "INSERT INTO v(n, id) VALUES ($1, $2), ($3, $4)", 10, 1, 20, 2)
	assert.Equal(t, value[int64](t, conn, "SELECT count(*) FROM v"), int64(2))
	assert.Equal(t, value[int64](t, conn, "SELECT sum(n) AS total FROM v WHERE id IN ($1, $2)", 1, 2), int64(30))
	assert.Equal(t, value[int64](t, conn, "SELECT $1::int8 + 1", 41), int64(42))
	assert.Equal(t, value[string](t, conn, "SELECT $1::text", "x"), "x")
	assert.Equal(t, value[string](t, conn, "SELECT 5::text || 'a'"), "5a")
	assert.Equal(t, value[int64](t, conn, "UPDATE v SET n = n + $1 WHERE id = $2 RETURNING n", 5, 1), int64(15))
	assert.Equal(t, value[int64](t, conn, "SELECT n FROM v ORDER BY id LIMIT $1", 1), int64(15))
	assert.Equal(t, value[float64](t, conn, "SELECT avg(n) FROM v WHERE id BETWEEN $1 AND $2", 1, 2), 17.5)
}

// Guards against wrong SQLSTATE codes, by which the proxy makes decisions.
func TestErrorCodes(t *testing.T) {
	conn := dial(t, start(t, Options{}))
	run(t, conn, "CREATE TABLE v (id INTEGER PRIMARY KEY, n TEXT NOT NULL)")
	run(t, conn, "INSERT INTO v VALUES (1, 'a')")
	expectSQLState(t, conn, "23505", "INSERT INTO v VALUES (1, 'b')")
	expectSQLState(t, conn, "23502", "INSERT INTO v VALUES (2, NULL)")
	expectSQLState(t, conn, "42P01", "SELECT * FROM missing")
	expectSQLState(t, conn, "42601", "SELEC 1")
	expectSQLState(t, conn, "42703", "SELECT missing FROM v")
	run(t, conn, "SET default_transaction_read_only = on")
	expectSQLState(t, conn, "25006", "INSERT INTO v VALUES (3, 'c')")
	assert.Equal(t, value[string](t, conn, "SHOW default_transaction_read_only"), "on")
	run(t, conn, "DISCARD ALL")
	run(t, conn, "INSERT INTO v VALUES (3, 'c')")
}

// Guards against wrong transaction states, and against statements that take effect
// in a failed transaction.
func TestTransactionStates(t *testing.T) {
	server := start(t, Options{})
	conn := dial(t, server)
	run(t, conn, "CREATE TABLE v (id INTEGER PRIMARY KEY)")
	run(t, conn, "BEGIN")
	assert.Equal(t, conn.PgConn().TxStatus(), byte('T'))
	run(t, conn, "INSERT INTO v VALUES (1)")
	expectSQLState(t, conn, "23505", "INSERT INTO v VALUES (1)")
	assert.Equal(t, conn.PgConn().TxStatus(), byte('E'))
	expectSQLState(t, conn, "25P02", "SELECT 1")
	assert.Equal(t, run(t, conn, "COMMIT").String(), "ROLLBACK")
	assert.Equal(t, conn.PgConn().TxStatus(), byte('I'))
	assert.Equal(t, value[int64](t, conn, "SELECT count(*) FROM v"), int64(0))
	run(t, conn, "BEGIN; INSERT INTO v VALUES (1); SAVEPOINT s; INSERT INTO v VALUES (2)")
	expectSQLState(t, conn, "23505", "INSERT INTO v VALUES (2)")
	run(t, conn, "ROLLBACK TO SAVEPOINT s")
	run(t, conn, "COMMIT")
	assert.Equal(t, value[int64](t, conn, "SELECT count(*) FROM v"), int64(1))
	assert.Equal(t, int(server.Status().Offset), 2)
}

// Guards against a lost update: a transaction must not write if another one has
// committed a write since its first read.
func TestWriteConflict(t *testing.T) {
	server := start(t, Options{})
	a, b := dial(t, server), dial(t, server)
	run(t, a, "CREATE TABLE v (n INTEGER); INSERT INTO v VALUES (1)")
	run(t, a, "BEGIN")
	assert.Equal(t, value[int64](t, a, "SELECT n FROM v"), int64(1))
	run(t, b, "UPDATE v SET n = 2")
	expectSQLState(t, a, "40001", "UPDATE v SET n = n + 1")
	run(t, a, "ROLLBACK")
	assert.Equal(t, value[int64](t, b, "SELECT n FROM v"), int64(2))
}

// Guards against a cancelled statement that goes on, and against a cancel request
// that cancels the next statement.
func TestCancel(t *testing.T) {
	conn := dial(t, start(t, Options{Slots: 1}))
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "SELECT pg_sleep(60)")
		done <- err
	}()
	for {
		assert.NilError(t, conn.PgConn().CancelRequest(context.Background()))
		select {
		case err := <-done:
			assert.Equal(t, sqlState(err), "57014", "%v", err)
			assert.Equal(t, value[int64](t, conn, "SELECT 1"), int64(1))
			return
		case <-time.After(10 * time.Millisecond):
			// The cancel request arrived before the statement; it is repeated.
		}
	}
}

// Guards against a server that accepts more sessions than the limit that it
// announces.
func TestConnectionLimit(t *testing.T) {
	server := start(t, Options{MaxConnections: 1})
	dial(t, server)
	_, err := pgx.Connect(context.Background(), "postgres://u@"+server.Address()+"/db")
	assert.Equal(t, sqlState(err), "53300")
}
