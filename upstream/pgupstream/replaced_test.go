package pgupstream

import (
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"lovageslip/fault"
	"lovageslip/upstream"
)

// scriptedServer answers status queries from the list statuses, and every other
// query as an INSERT of one row.
func scriptedServer(t *testing.T, statuses ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		backend := pgproto3.NewBackend(conn, conn)
		if _, err := backend.ReceiveStartupMessage(); err != nil {
			return
		}
		backend.Send(&pgproto3.AuthenticationOk{})
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		for backend.Flush() == nil {
			message, err := backend.Receive()
			if err != nil {
				return
			}
			text, isQuery := message.(*pgproto3.Query)
			if !isQuery {
				return
			}
			tag := "INSERT 0 1"
			if text.String == statusSQL {
				backend.Send(scriptedRow(statuses[0]))
				statuses = statuses[1:]
				tag = "SELECT 1"
			}
			backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
			backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		}
	}()
	return listener.Addr().String()
}

func scriptedRow(status string) *pgproto3.DataRow {
	row := &pgproto3.DataRow{}
	for _, field := range strings.Fields(status) {
		row.Values = append(row.Values, []byte(field))
	}
	return row
}

// Guards against confirming a commit that was discarded because the server was
// replaced as primary: the status after it may belong to the new primary's log.
func TestCommitOnReplacedPrimaryIsUnknown(t *testing.T) {
	const before = "primary 1 9 1 1:0 0 0"
	afterwards := map[string]bool{
		"primary 1 10 1 1:0 0 0":         true,
		"primary 1 10 2 1:0 0 0":         true,
		"replica 2 9 2 1:0,2:8 1.5 0.25": false,
		"primary 3 9 3 1:0,2:8,3:9 0 0":  false,
	}
	for after, confirmable := range afterwards {
		conn := dialConn(t, scriptedServer(t, before, after))
		c := write(conn, "INSERT INTO v VALUES (1)", "")
		if confirmable {
			assert.NilError(t, c.err)
			assert.Equal(t, c.result.StatusAfter.Position(), upstream.Position{Term: 1, Offset: 10})
			continue
		}
		var unknown *fault.OutcomeUnknown
		assert.Assert(t, errors.As(c.err, &unknown), "%s: %v", after, c.err)
		assert.Equal(t, unknown.Reason, fault.ReasonUnconfirmedPosition)
		assert.Equal(t, len(c.raw), 0)
		assert.Assert(t, !conn.Broken())
	}
}
