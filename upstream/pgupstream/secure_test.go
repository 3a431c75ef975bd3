package pgupstream

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lovageslip/fault"
	"lovageslip/internal/testcert"
	"lovageslip/settings"
	"lovageslip/standin"
	"lovageslip/tlsconf"
	"lovageslip/upstream"
)

const testPassword = "secret-of-the-upstream"

func serverTLS(t *testing.T, authority *testcert.Authority) *tls.Config {
	t.Helper()
	files := authority.Issue(t, "upstream")
	config, err := tlsconf.Server(settings.TLS{Certificate: files.Certificate, Key: files.Key})
	assert.NilError(t, err)
	return config
}

func clientTLS(t *testing.T, authority *testcert.Authority) *tls.Config {
	t.Helper()
	config, err := tlsconf.Client(settings.TLS{Authority: authority.File})
	assert.NilError(t, err)
	return config
}

func dialSecure(t *testing.T, options Options, address string) *Conn {
	t.Helper()
	conn, err := NewDialer(options).Dial(t.Context(), address, "db")
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn.(*Conn)
}

// Guards against an encrypted connection on which statements, cancel requests
// or the check for closed connections do not work.
func TestEncryptedConnection(t *testing.T) {
	authority := testcert.NewAuthority(t, "upstreams")
	server := startServer(t, standin.Options{TLS: serverTLS(t, authority), Passwords: map[string]string{"proxy": testPassword}})
	options := Options{TLS: clientTLS(t, authority), User: "proxy", Password: testPassword}
	conn := dialSecure(t, options, server.Address())
	for _, sql := range []string{"CREATE TABLE v (id INTEGER)", "INSERT INTO v VALUES (1)"} {
		assert.NilError(t, write(conn, sql, "").err)
	}
	// A cancel request that did not arrive would let the statement run on.
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	begun := time.Now()
	var c collected
	_, err := conn.Run(ctx, upstream.Batch{Mode: upstream.ModeRead, Payload: query("SELECT pg_sleep(60)")}, nil, c.sink)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(c.raw), "57014"), "%q", c.raw)
	assert.Assert(t, time.Since(begun) < 30*time.Second)

	server.Kill()
	eventually(t, "connection closed", func() bool { return !socketUsable(conn.descriptor, true) })
	assertNotRun(t, write(conn, "INSERT INTO v VALUES (2)", "").err, fault.ReasonUpstreamUnavailable)
}

// Guards against accepting a server whose certificate was issued by another
// authority.
func TestServerOfAnotherAuthorityIsRefused(t *testing.T) {
	server := startServer(t, standin.Options{TLS: serverTLS(t, testcert.NewAuthority(t, "impostor"))})
	options := Options{TLS: clientTLS(t, testcert.NewAuthority(t, "upstreams"))}
	_, err := NewDialer(options).Dial(t.Context(), server.Address(), "db")
	assertNotRun(t, err, fault.ReasonUpstreamUnavailable)
	assert.ErrorContains(t, err, "certificate")
}

// fakeServer listens on loopback, runs script on each connection and returns its
// address.
func fakeServer(t *testing.T, script func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			script(conn)
			conn.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against continuing in plaintext after a server, or a man in the middle,
// has declined TLS.
func TestDeclinedTLSIsNotFollowedByPlaintext(t *testing.T) {
	received := make(chan []byte, 1)
	address := fakeServer(t, func(conn net.Conn) {
		request := make([]byte, 8)
		_, _ = io.ReadFull(conn, request)
		_, _ = conn.Write([]byte{'N'})
		rest, _ := io.ReadAll(conn)
		received <- rest
	})
	options := Options{TLS: clientTLS(t, testcert.NewAuthority(t, "upstreams")), Password: testPassword}
	_, err := NewDialer(options).Dial(t.Context(), address, "db")
	assertNotRun(t, err, fault.ReasonUpstreamUnavailable)
	assert.Equal(t, len(<-received), 0)
}

// Guards against errors that contain the password, and against endless retries of a
// failed login that looks like a connection failure.
func TestWrongPasswordOfUpstream(t *testing.T) {
	server := startServer(t, standin.Options{Passwords: map[string]string{"proxy": testPassword}})
	for name, options := range map[string]Options{
		"wrong":   {User: "proxy", Password: "not-" + testPassword},
		"unknown": {User: "nobody", Password: testPassword},
		"none":    {User: "proxy"},
	} {
		_, err := NewDialer(options).Dial(t.Context(), server.Address(), "db")
		assertNotRun(t, err, fault.ReasonUpstreamUnavailable)
		assert.ErrorContains(t, err, "password", name)
		assert.Assert(t, !strings.Contains(err.Error(), testPassword), "%v", err)
	}
	assert.Equal(t, server.Sessions(), 0)
}

// Guards against sending the password to a server, and against accepting a server
// that has not proved that it knows the password.
func TestServerViolatingSCRAMIsRefused(t *testing.T) {
	ok := &pgproto3.AuthenticationOk{}
	begin := &pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}}
	cases := map[string][]pgproto3.BackendMessage{
		"asks for the password itself": {&pgproto3.AuthenticationCleartextPassword{}},
		"asks for MD5":                 {&pgproto3.AuthenticationMD5Password{}},
		"offers another mechanism":     {&pgproto3.AuthenticationSASL{AuthMechanisms: []string{"PLAIN"}}},
		"accepts in the middle":        {begin, ok},
		"is ready without accepting":   {&pgproto3.ReadyForQuery{TxStatus: 'I'}},
		"forges the outcome":           {begin, &pgproto3.AuthenticationSASLFinal{Data: []byte("v=AAAA")}, ok},
	}
	for name, messages := range cases {
		t.Run(name, func(t *testing.T) {
			messages = append(messages, &pgproto3.ReadyForQuery{TxStatus: 'I'})
			received := make(chan string, 1)
			address := fakeServer(t, func(conn net.Conn) {
				var raw []byte
				for _, message := range messages {
					raw, _ = message.Encode(raw)
				}
				_, _ = conn.Write(raw)
				_ = conn.(*net.TCPConn).CloseWrite()
				all, _ := io.ReadAll(conn)
				received <- string(all)
			})
			_, err := NewDialer(Options{Password: testPassword}).Dial(t.Context(), address, "db")
			assertNotRun(t, err, fault.ReasonUpstreamUnavailable)
			assert.Assert(t, !strings.Contains(<-received, testPassword))
		})
	}
}

// Guards against a stand-in with TLS that accepts plaintext, so that tests would
// pass without encryption.
func TestStandinWithTLSRefusesPlaintext(t *testing.T) {
	server := startServer(t, standin.Options{TLS: serverTLS(t, testcert.NewAuthority(t, "upstreams"))})
	_, err := NewDialer(Options{}).Dial(t.Context(), server.Address(), "db")
	var refused *fault.NotRun
	assert.Assert(t, errors.As(err, &refused))
	assert.ErrorContains(t, err, "28000")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if server.Sessions() == 0 {
			return poll.Success()
		}
		return poll.Continue("the session is open")
	})
}

// Guards against a batch that is sent although the server has already sent an
// encrypted close. Its outcome would be unknown, although it can't have run.
func TestWaitingBytesOnEncryptedConnection(t *testing.T) {
	address := fakeServer(t, func(conn net.Conn) {
		_, _ = conn.Write([]byte{0x17})
		_, _ = io.ReadAll(conn)
	})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	raw := rawConn(conn)
	eventually(t, "byte arrived", func() bool { return !socketUsable(raw, true) })
	assert.Assert(t, socketUsable(raw, false))
}
