package pgupstream

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"lovageslip/fault"
	"lovageslip/standin"
	"lovageslip/upstream"
)

var selectV = upstream.Prepared{Name: "s1", SQL: "SELECT n FROM v WHERE id = $1", ParameterOIDs: []uint32{25}}

func bindExecute(name, id string) []byte {
	return encode(
		&pgproto3.Bind{PreparedStatement: name, Parameters: [][]byte{[]byte(id)}},
		&pgproto3.Describe{ObjectType: 'P'},
		&pgproto3.Execute{},
		&pgproto3.Sync{},
	)
}

// Guards against prepared statements that are missing on another connection or
// prepared twice, and against answers to injected messages that reach the caller.
func TestPreparedOnTwoConnections(t *testing.T) {
	server := startServer(t, standin.Options{})
	first, second := dialConn(t, server.Address()), dialConn(t, server.Address())
	mustWrite(t, first, createV+"; INSERT INTO v VALUES (1, 'a')")
	parse := &pgproto3.Parse{Name: selectV.Name, Query: selectV.SQL, ParameterOIDs: selectV.ParameterOIDs}
	for _, conn := range []*Conn{first, second} {
		for range 2 {
			batch := upstream.Batch{Mode: upstream.ModeRead, Payload: bindExecute("s1", "1"), Prepared: []upstream.Prepared{selectV}}
			c := runBatch(conn, batch, nil)
			assert.NilError(t, c.err)
			assert.Equal(t, c.kinds(), "2TDCZ")
			batch.Payload = append(encode(parse, &pgproto3.Describe{ObjectType: 'S', Name: "s1"}), bindExecute("s1", "1")...)
			c = runBatch(conn, batch, nil)
			assert.NilError(t, c.err)
			assert.Equal(t, c.kinds(), "1tT2TDCZ")
		}
		assert.NilError(t, conn.Reset(t.Context()))
		batch := upstream.Batch{Mode: upstream.ModeRead, Payload: append(encode(parse), bindExecute("s1", "1")...)}
		assert.Equal(t, runBatch(conn, batch, nil).kinds(), "12TDCZ")
		batch.Payload = encode(&pgproto3.Close{ObjectType: 'S', Name: "s1"}, parse, parse, &pgproto3.Sync{})
		assert.Equal(t, runBatch(conn, batch, nil).kinds(), "31EZ")
		batch.Payload = bindExecute("s1", "1")
		assert.Equal(t, runBatch(conn, batch, nil).kinds(), "2TDCZ")
	}
}

// Guards against a statement that is taken for prepared although its definition
// failed.
func TestBadDefinition(t *testing.T) {
	server := startServer(t, standin.Options{})
	conn := dialConn(t, server.Address())
	bad := upstream.Prepared{Name: "bad", SQL: "SELECT * FROM missing WHERE id = $1"}
	batch := upstream.Batch{Mode: upstream.ModeRead, Payload: bindExecute("bad", "1"), Prepared: []upstream.Prepared{bad}}
	for range 2 {
		c := runBatch(conn, batch, nil)
		assert.NilError(t, c.err)
		assert.Equal(t, c.kinds(), "EZ")
		assert.Assert(t, strings.Contains(string(c.raw), "42P01"))
	}
}

// Guards against pipelined statements whose answers are mixed up, or of which only
// some commit.
func TestPipelinedBatch(t *testing.T) {
	server := startServer(t, standin.Options{})
	conn := dialConn(t, server.Address())
	mustWrite(t, conn, createV)
	step := func(sql string) []pgproto3.FrontendMessage {
		return []pgproto3.FrontendMessage{
			&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{},
		}
	}
	pipeline := func(sqls ...string) []byte {
		var messages []pgproto3.FrontendMessage
		for _, sql := range sqls {
			messages = append(messages, step(sql)...)
		}
		return encode(append(messages, &pgproto3.Flush{}, &pgproto3.Sync{})...)
	}
	batch := upstream.Batch{Mode: upstream.ModeWrite, Payload: pipeline("INSERT INTO v VALUES (1, 'a')", "SELECT n FROM v")}
	c := runBatch(conn, batch, nil)
	assert.NilError(t, c.err)
	assert.Equal(t, c.kinds(), "12nC12TDCZ")
	assert.Assert(t, c.result.Committed)
	batch.Payload = pipeline("INSERT INTO v VALUES (2, 'b')", "INSERT INTO v VALUES (1, 'c')", "SELECT n FROM v")
	c = runBatch(conn, batch, nil)
	assert.NilError(t, c.err)
	assert.Equal(t, c.kinds(), "12nC12nEZ")
	assert.Assert(t, !c.result.Committed)
	batch.RequestID = "pipeline"
	batch.Payload = pipeline("INSERT INTO v VALUES (2, 'b')", "INSERT INTO v VALUES (3, 'c')")
	for try := range 2 {
		c = runBatch(conn, batch, nil)
		assert.NilError(t, c.err)
		assert.Equal(t, c.kinds(), "12nC12nCZ")
		assert.Equal(t, c.result.Replayed, try == 1)
	}
	assert.Equal(t, countRows(t, conn), 3)
	read := upstream.Batch{Mode: upstream.ModeRead, Payload: pipeline("SELECT n FROM v", "DELETE FROM v")}
	c = runBatch(conn, read, nil)
	assertNotRun(t, c.err, fault.ReasonReadOnly)
	assert.Equal(t, countRows(t, conn), 3)
}
