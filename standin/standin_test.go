package standin

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func start(t *testing.T, options Options) *Server {
	t.Helper()
	if options.ConnectDelay == 0 {
		options.ConnectDelay = -1
	}
	s, err := Start(options)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

func dial(t *testing.T, s *Server) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(context.Background(), "postgres://u@"+s.Address()+"/db")
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func run(t *testing.T, conn *pgx.Conn, sql string, args ...any) pgconn.CommandTag {
	t.Helper()
	tag, err := conn.Exec(context.Background(), sql, args...)
	assert.NilError(t, err, sql)
	return tag
}

func sqlState(err error) string {
	var failure *pgconn.PgError
	if errors.As(err, &failure) {
		return failure.Code
	}
	return ""
}

func expectSQLState(t *testing.T, conn *pgx.Conn, want, sql string, args ...any) {
	t.Helper()
	_, err := conn.Exec(context.Background(), sql, args...)
	assert.Equal(t, sqlState(err), want, "%s: %v", sql, err)
}

func value[T any](t *testing.T, conn *pgx.Conn, sql string, args ...any) T {
	t.Helper()
	var v T
	assert.NilError(t, conn.QueryRow(context.Background(), sql, args...).Scan(&v), sql)
	return v
}

// eventually waits until the condition holds, because replication is asynchronous.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(2*time.Millisecond))
}
