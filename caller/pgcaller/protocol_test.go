package pgcaller_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"lovageslip/caller/pgcaller"
	"lovageslip/fault"
	"lovageslip/upstream"
)

func dial(t testing.TB, address string) net.Conn {
	t.Helper()
	netConn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { netConn.Close() })
	return netConn
}

// connectRaw returns a raw connection after start-up.
func connectRaw(t testing.TB, h *testHost) (net.Conn, *pgproto3.Frontend) {
	t.Helper()
	netConn := dial(t, h.address)
	frontend := pgproto3.NewFrontend(netConn, netConn)
	frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{"user": "app", "database": "shop"}})
	assert.NilError(t, frontend.Flush())
	receiveUntil[*pgproto3.ReadyForQuery](t, frontend)
	return netConn, frontend
}

// receiveUntil receives messages until one has type T and returns it.
func receiveUntil[T pgproto3.BackendMessage](t testing.TB, frontend *pgproto3.Frontend) T {
	t.Helper()
	for {
		message, err := frontend.Receive()
		assert.NilError(t, err)
		if found, ok := message.(T); ok {
			return found
		}
	}
}

// assertClosed asserts that the server closes a connection.
func assertClosed(t testing.TB, netConn net.Conn) {
	t.Helper()
	assert.NilError(t, netConn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := io.Copy(io.Discard, netConn)
	if err != nil {
		timeout, ok := err.(net.Error)
		assert.Assert(t, !ok || !timeout.Timeout(), "the connection was not closed")
	}
}

func TestMalformedStartupPacketClosesConnection(t *testing.T) {
	h := startLocal(t, &fakeOwner{})
	for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x04....", "\x00\x00\x00\x08\x00\x09\x00\x00", "\x00\x00\x00\x09\x00\x03\x00\x00x"} {
		netConn := dial(t, h.address)
		_, err := netConn.Write([]byte(garbage))
		assert.NilError(t, err)
		assertClosed(t, netConn)
	}
}

func TestPartialStartupPacketTimesOut(t *testing.T) {
	h := startLocal(t, &fakeOwner{}, func(o *pgcaller.Options) { o.StartupTimeout = 20 * time.Millisecond })
	netConn := dial(t, h.address)
	_, err := netConn.Write([]byte{0, 0, 0, 50, 0, 3})
	assert.NilError(t, err)
	assertClosed(t, netConn)
}

func TestMalformedHeaderIsProtocolError(t *testing.T) {
	h := startLocal(t, &fakeOwner{})
	for _, garbage := range []string{"\xff\xff\xff\xff\xff\xff", "Q\xff\xff\xff\xff", "Q\x00\x00\x00\x00"} {
		netConn, frontend := connectRaw(t, h)
		_, err := netConn.Write([]byte(garbage))
		assert.NilError(t, err)
		assert.Equal(t, receiveUntil[*pgproto3.ErrorResponse](t, frontend).Code, "08P01")
		assertClosed(t, netConn)
	}
}

func TestOversizedMessageIsRefusedBeforeItArrives(t *testing.T) {
	h := startLocal(t, &fakeOwner{}, func(o *pgcaller.Options) { o.MaxMessageBytes = 1000 })
	netConn, frontend := connectRaw(t, h)
	_, err := netConn.Write(binary.BigEndian.AppendUint32([]byte{'Q'}, 2000))
	assert.NilError(t, err)
	assert.Equal(t, receiveUntil[*pgproto3.ErrorResponse](t, frontend).Code, "54000")
	assertClosed(t, netConn)
}

func TestPartialMessageTimesOut(t *testing.T) {
	h := startLocal(t, &fakeOwner{}, func(o *pgcaller.Options) { o.ReadTimeout = 20 * time.Millisecond })
	netConn, _ := connectRaw(t, h)
	_, err := netConn.Write([]byte{'Q', 0, 0, 0, 20, 's'})
	assert.NilError(t, err)
	assertClosed(t, netConn)
}

func TestSlowReaderTimesOutAndEndsItsBatch(t *testing.T) {
	failed := make(chan struct{})
	owner := &fakeOwner{}
	owner.answer = func(_ context.Context, _ string, sink upstream.Sink) (bool, error) {
		chunk := encode(&pgproto3.DataRow{Values: [][]byte{make([]byte, 1<<20)}})
		for {
			if err := sink(chunk); err != nil {
				close(failed)
				return true, err
			}
		}
	}
	h := startLocal(t, owner, func(o *pgcaller.Options) { o.WriteTimeout = 50 * time.Millisecond })
	_, frontend := connectRaw(t, h)
	frontend.Send(&pgproto3.Query{String: "select big"})
	assert.NilError(t, frontend.Flush())
	<-failed
}

func TestLargeAnswerArrivesWhole(t *testing.T) {
	value := strings.Repeat("x", 300_000)
	owner := &fakeOwner{}
	owner.answer = func(_ context.Context, text string, sink upstream.Sink) (bool, error) {
		all := encode(rowDescription())
		for range 3 {
			all = append(all, encode(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})...)
		}
		all = append(all, encode(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 3")})...)
		all = append(all, encode(&pgproto3.ReadyForQuery{TxStatus: 'I'})...)
		for len(all) > 0 {
			n := min(len(all), 7001)
			assert.Check(t, sink(all[:n]))
			all = all[n:]
		}
		return true, nil
	}
	owner.skipReady = true
	c := startLocal(t, owner).connect(t, "")
	rows, err := c.Query(t.Context(), "select big", pgx.QueryExecModeSimpleProtocol)
	assert.NilError(t, err)
	got, err := pgx.CollectRows(rows, pgx.RowTo[string])
	assert.NilError(t, err)
	assert.Equal(t, len(got), 3)
	assert.Assert(t, got[2] == value)
}

func TestDriverQueryModes(t *testing.T) {
	owner := &fakeOwner{}
	h := startLocal(t, owner)
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe,
		pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol} {
		t.Run(mode.String(), func(t *testing.T) {
			c := h.connect(t, "")
			for range 3 {
				var got string
				assert.NilError(t, c.QueryRow(t.Context(), "select 1 as a", mode).Scan(&got))
				assert.Equal(t, got, "select 1 as a")
				assert.NilError(t, c.QueryRow(t.Context(), "show lovageslip.class", mode).Scan(&got))
				assert.Equal(t, got, "current")
			}
			batch := &pgx.Batch{}
			batch.Queue("select 1")
			batch.Queue("select 2")
			assert.NilError(t, c.SendBatch(t.Context(), batch).Close())
		})
	}
}

func TestUnnamedStatementSurvivesSync(t *testing.T) {
	_, frontend := connectRaw(t, startLocal(t, &fakeOwner{}))
	frontend.Send(&pgproto3.Parse{Query: "select 7"})
	frontend.Send(&pgproto3.Sync{})
	frontend.Send(&pgproto3.Bind{})
	frontend.Send(&pgproto3.Execute{})
	frontend.Send(&pgproto3.Sync{})
	assert.NilError(t, frontend.Flush())
	want := []pgproto3.BackendMessage{&pgproto3.ParseComplete{}, &pgproto3.ReadyForQuery{}, &pgproto3.BindComplete{},
		&pgproto3.DataRow{}, &pgproto3.CommandComplete{}, &pgproto3.ReadyForQuery{}}
	receiveTypes(t, frontend, want)
}

func receiveTypes(t testing.TB, frontend *pgproto3.Frontend, want []pgproto3.BackendMessage) {
	t.Helper()
	for i, w := range want {
		message, err := frontend.Receive()
		assert.NilError(t, err)
		assert.Assert(t, encode(message)[0] == encode(w)[0], "message %d is %T, not %T", i, message, w)
	}
}

func TestFlushAnswersAPreparedStatementBeforeSync(t *testing.T) {
	_, frontend := connectRaw(t, startLocal(t, &fakeOwner{}))
	frontend.Send(&pgproto3.Parse{Name: "s", Query: "select 7"})
	frontend.Send(&pgproto3.Describe{ObjectType: 'S', Name: "s"})
	frontend.Send(&pgproto3.Flush{})
	assert.NilError(t, frontend.Flush())
	receiveTypes(t, frontend, []pgproto3.BackendMessage{&pgproto3.ParseComplete{}, &pgproto3.ParameterDescription{}, rowDescription()})
	frontend.Send(&pgproto3.Bind{PreparedStatement: "s"})
	frontend.Send(&pgproto3.Execute{})
	frontend.Send(&pgproto3.Close{ObjectType: 'S', Name: "s"})
	frontend.Send(&pgproto3.Sync{})
	assert.NilError(t, frontend.Flush())
	receiveTypes(t, frontend, []pgproto3.BackendMessage{&pgproto3.BindComplete{}, &pgproto3.DataRow{},
		&pgproto3.CommandComplete{}, &pgproto3.CloseComplete{}, &pgproto3.ReadyForQuery{}})
}

// Guards against a caller that can never prepare its statement again. The answer
// to the first batch broke off after ParseComplete, and drivers then repeat the
// Parse under the same name.
func TestStatementPreparedAgainAfterLostAnswer(t *testing.T) {
	owner := &fakeOwner{}
	h := startLocal(t, owner)
	netConn, frontend := connectRaw(t, h)
	assert.NilError(t, netConn.SetDeadline(time.Now().Add(10*time.Second)))
	owner.answer = func(_ context.Context, _ string, sink upstream.Sink) (bool, error) {
		return true, errors.Join(sink(nil), &fault.OutcomeUnknown{Reason: fault.ReasonOutcomeUnknown, Detail: "link lost"})
	}
	frontend.Send(&pgproto3.Parse{Name: "s", Query: "update t"})
	frontend.Send(&pgproto3.Bind{PreparedStatement: "s"})
	frontend.Send(&pgproto3.Execute{})
	frontend.Send(&pgproto3.Sync{})
	assert.NilError(t, frontend.Flush())
	receiveUntil[*pgproto3.ErrorResponse](t, frontend)
	receiveUntil[*pgproto3.ReadyForQuery](t, frontend)
	frontend.Send(&pgproto3.Parse{Name: "s", Query: "update t"})
	frontend.Send(&pgproto3.Sync{})
	assert.NilError(t, frontend.Flush())
	for {
		message, err := frontend.Receive()
		assert.NilError(t, err)
		switch m := message.(type) {
		case *pgproto3.ErrorResponse:
			t.Fatalf("the second Parse of the statement was refused: %s %s", m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return
		}
	}
}
