package pgcaller_test

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// Fuzzes what a caller sends in place of a startup packet, and after it: no bytes make the
// server panic or keep the connection open once the caller has sent all of them.
func FuzzCallerMessages(f *testing.F) {
	encode := func(messages ...pgproto3.FrontendMessage) []byte {
		var data []byte
		for _, m := range messages {
			var err error
			data, err = m.Encode(data)
			assert.NilError(f, err)
		}
		return data
	}
	f.Add(true, encode(&pgproto3.Query{String: "SELECT 1"}, &pgproto3.Terminate{}))
	f.Add(true, encode(&pgproto3.Parse{Name: "a", Query: "SELECT $1", ParameterOIDs: []uint32{20}}, &pgproto3.Describe{ObjectType: 'S', Name: "a"},
		&pgproto3.Bind{DestinationPortal: "p", PreparedStatement: "a", Parameters: [][]byte{{1}}}, &pgproto3.Execute{Portal: "p"}, &pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{}))
	f.Add(true, []byte{'P', 0xff, 0xff, 0xff, 0xff})
	f.Add(true, []byte{'B', 0, 0, 0, 8, 0, 0, 0xff, 0xff})
	f.Add(false, encode(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "u", "database": "shop"}}))
	f.Add(false, encode(&pgproto3.SSLRequest{}, &pgproto3.CancelRequest{ProcessID: 1, SecretKey: []byte{0, 0, 0, 2}}))
	f.Add(false, []byte{0x7f, 0xff, 0xff, 0xff})
	h := startLocal(f, &fakeOwner{})
	f.Fuzz(func(t *testing.T, started bool, data []byte) {
		var conn net.Conn
		if started {
			conn, _ = connectRaw(t, h)
		} else {
			conn = dial(t, h.address)
		}
		// The server may refuse the rest before it has read all of it.
		_, _ = conn.Write(data)
		_ = conn.(*net.TCPConn).CloseWrite()
		assertClosed(t, conn)
	})
}
