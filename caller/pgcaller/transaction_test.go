package pgcaller_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lovageslip/caller/pgcaller"
	"lovageslip/fault"
	"lovageslip/registry"
	"lovageslip/upstream"
)

func sqlStateOf(t testing.TB, err error) string {
	t.Helper()
	var pgErr *pgconn.PgError
	assert.Assert(t, errors.As(err, &pgErr), "%v", err)
	return pgErr.Code
}

func TestTransactionIsPinnedToOneExchange(t *testing.T) {
	owner := &fakeOwner{}
	c := startLocal(t, owner).connect(t, "")
	tx, err := c.Begin(t.Context())
	assert.NilError(t, err)
	_, err = tx.Exec(t.Context(), "insert into t values (1)")
	assert.NilError(t, err)
	_, err = tx.Exec(t.Context(), "update t set a = 1")
	assert.NilError(t, err)
	assert.NilError(t, tx.Commit(t.Context()))
	assert.DeepEqual(t, owner.texts(), []string{"begin", "insert into t values (1)", "update t set a = 1", "commit"})
	for _, e := range owner.executed {
		assert.Assert(t, e.stream == owner.executed[0].stream)
	}
	assert.Assert(t, c.PgConn().ParameterStatus("lovageslip.session") != "")
}

func TestLostTransactionRefusesStatementsUntilItIsEnded(t *testing.T) {
	owner := &fakeOwner{}
	owner.answer = func(_ context.Context, text string, _ upstream.Sink) (bool, error) {
		if text == "update t" {
			return false, &fault.NotRun{Reason: fault.ReasonUpstreamUnavailable, Detail: "connection broke"}
		}
		return false, nil
	}
	c := startLocal(t, owner).connect(t, "")
	tx, err := c.Begin(t.Context())
	assert.NilError(t, err)
	_, err = tx.Exec(t.Context(), "update t")
	assert.Equal(t, sqlStateOf(t, err), "57L01")
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec, pgx.QueryExecModeCacheStatement} {
		_, err = tx.Exec(t.Context(), "insert into t", mode)
		assert.Equal(t, sqlStateOf(t, err), "25P02")
	}
	assert.Equal(t, c.PgConn().TxStatus(), byte('E'))
	assert.NilError(t, tx.Rollback(t.Context()))
	assert.Equal(t, c.PgConn().TxStatus(), byte('I'))
	_, err = c.Exec(t.Context(), "insert into t")
	assert.NilError(t, err)
	assert.DeepEqual(t, owner.texts(), []string{"begin", "update t", "insert into t"})
}

func TestUnknownOutcomeOfCommitEndsTheTransaction(t *testing.T) {
	owner := &fakeOwner{}
	owner.answer = func(_ context.Context, text string, _ upstream.Sink) (bool, error) {
		if text == "commit" {
			return false, &fault.OutcomeUnknown{Reason: fault.ReasonSilentConnection, Detail: "silent"}
		}
		return false, nil
	}
	c := startLocal(t, owner).connect(t, "")
	tx, err := c.Begin(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, sqlStateOf(t, tx.Commit(t.Context())), "40003")
	assert.Equal(t, c.PgConn().TxStatus(), byte('I'))
}

func TestInterruptedAnswerIsAnErrorNotAShortResult(t *testing.T) {
	for name, rows := range map[string]int{"few rows": 3, "more than the buffer": 5000} {
		t.Run(name, func(t *testing.T) {
			owner := &fakeOwner{}
			owner.answer = func(_ context.Context, text string, sink upstream.Sink) (bool, error) {
				chunk := encode(rowDescription())
				for range rows {
					chunk = append(chunk, encode(&pgproto3.DataRow{Values: [][]byte{[]byte(text)}})...)
				}
				assert.Check(t, sink(chunk[:len(chunk)-5]))
				return true, &fault.OutcomeUnknown{Reason: fault.ReasonOutcomeUnknown, Detail: "link died"}
			}
			c := startLocal(t, owner).connect(t, "")
			for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeCacheStatement} {
				// pgx reports the error with the query or with the rows.
				got, err := c.Query(t.Context(), "select rows", mode)
				for err == nil && got.Next() {
				}
				assert.Equal(t, sqlStateOf(t, errors.Join(err, got.Err())), "40003")
			}
		})
	}
}

func encode(message pgproto3.BackendMessage) []byte {
	encoded, _ := message.Encode(nil)
	return encoded
}

func TestDisconnectCancelsBatch(t *testing.T) {
	owner := &fakeOwner{}
	started := make(chan struct{})
	ended := make(chan struct{})
	owner.answer = func(ctx context.Context, _ string, _ upstream.Sink) (bool, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return true, &fault.NotRun{Reason: fault.ReasonCancelled}
	}
	c := startLocal(t, owner).connect(t, "")
	var group conc.WaitGroup
	group.Go(func() { _, _ = c.Exec(context.Background(), "update t") })
	<-started
	assert.NilError(t, c.PgConn().Conn().Close())
	<-ended
	group.Wait()
}

func TestCancelRequestReachesTheRunningBatch(t *testing.T) {
	owner := &fakeOwner{}
	started := make(chan struct{})
	owner.answer = func(context.Context, string, upstream.Sink) (bool, error) {
		close(started)
		<-owner.cancels
		return true, &fault.NotRun{Reason: fault.ReasonCancelled, Detail: "cancelled"}
	}
	h := startLocal(t, owner)
	c := h.connect(t, "")
	var group conc.WaitGroup
	group.Go(func() {
		_, err := c.Exec(t.Context(), "update t")
		assert.Check(t, sqlStateOf(t, err) == "57014")
	})
	<-started
	assert.Assert(t, !h.server.Cancel(t.Context(), c.PgConn().PID(), 12345))
	assert.NilError(t, c.PgConn().CancelRequest(t.Context()))
	group.Wait()
}

func TestCancelRequestAtAnotherHostReachesTheBatch(t *testing.T) {
	owner := &fakeOwner{}
	started := make(chan struct{})
	owner.answer = func(context.Context, string, upstream.Sink) (bool, error) {
		close(started)
		<-owner.cancels
		return true, &fault.NotRun{Reason: fault.ReasonCancelled, Detail: "cancelled"}
	}
	h := startLocal(t, owner)
	view := testView(ownerAddress)
	view.Hosts = map[string]registry.Host{"p1": {Name: "p1", Address: serveHTTP(t, h.server.CancelHandler)}}
	forward := pgcaller.NewCancelForwarder(fixedDirectory{view}, "p2", "http", http.DefaultClient)
	other := startLocal(t, &fakeOwner{}, func(o *pgcaller.Options) { o.ForwardCancel = forward })
	c := h.connect(t, "")
	var group conc.WaitGroup
	group.Go(func() {
		_, err := c.Exec(t.Context(), "update t")
		assert.Check(t, sqlStateOf(t, err) == "57014")
	})
	<-started
	cancel := &pgproto3.CancelRequest{ProcessID: c.PgConn().PID(), SecretKey: c.PgConn().SecretKey()}
	packet, err := cancel.Encode(nil)
	assert.NilError(t, err)
	_, err = dial(t, other.address).Write(packet)
	assert.NilError(t, err)
	group.Wait()
}

func TestShutdownWaitsForTransactionsAndEndsIdleCallers(t *testing.T) {
	h := startLocal(t, &fakeOwner{})
	idle := h.connect(t, "")
	busy := h.connect(t, "")
	tx, err := busy.Begin(t.Context())
	assert.NilError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- h.server.Shutdown(t.Context()) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := idle.Exec(t.Context(), "select 1"); err != nil {
			return poll.Success()
		}
		return poll.Continue("the idle caller is still connected")
	}, poll.WithDelay(time.Millisecond))
	_, err = pgx.Connect(t.Context(), "postgres://app@"+h.address+"/shop?sslmode=disable")
	assert.Assert(t, err != nil)
	_, err = tx.Exec(t.Context(), "update t")
	assert.NilError(t, err)
	select {
	case <-stopped:
		t.Fatal("shutdown did not wait for the transaction")
	default:
	}
	assert.NilError(t, tx.Commit(t.Context()))
	assert.NilError(t, <-stopped)
	var closed *pgcaller.ServerClosed
	assert.Assert(t, errors.As(<-h.serving, &closed))
}

func TestShutdownDeadlineEndsAnOpenTransaction(t *testing.T) {
	h := startLocal(t, &fakeOwner{})
	_, err := h.connect(t, "").Begin(t.Context())
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, h.server.Shutdown(ctx), context.DeadlineExceeded)
}
