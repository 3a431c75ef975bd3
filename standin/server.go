package standin

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const startupTimeout = 10 * time.Second

// accept accepts connections and serves each in its own goroutine, until the
// listener closes.
func (s *Server) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				s.log.Warn("accepting a connection failed; the server accepts no more", "error", err)
			}
			return
		}
		if !s.track(conn) {
			conn.Close()
			continue
		}
		s.tasks.Go(func() {
			defer s.untrack(conn)
			s.serve(ctx, conn)
		})
	}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running {
		s.conns[conn] = struct{}{}
	}
	return s.running
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn.Close()
	delete(s.conns, conn)
}

// Request codes that a start-up packet has in place of a protocol version, and the
// limit on a packet's length.
const (
	codeSSLRequest    = 80877103
	codeGSSEncRequest = 80877104
	codeCancelRequest = 80877102
	maxStartupBytes   = 10000
)

// serve reads a connection's start-up packets and handles what they request: TLS,
// GSSAPI encryption, a cancel, a replication link or a session.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(startupTimeout))
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	for {
		body, err := readStartup(reader)
		if err != nil {
			return
		}
		switch binary.BigEndian.Uint32(body) {
		case codeSSLRequest:
			secured, ok := s.answerSSL(conn, reader)
			if !ok {
				return
			}
			if secured != conn {
				defer secured.Close()
				conn = secured
				reader.Reset(conn)
			}
		case codeGSSEncRequest:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return
			}
		case codeCancelRequest:
			if s.options.TLS == nil || isTLS(conn) {
				s.cancel(body)
			}
			return
		default:
			s.serveStartup(ctx, conn, reader, body)
			return
		}
	}
}

// answerSSL answers an SSLRequest and returns the connection to go on with. It
// returns false, which ends the connection, if plaintext bytes followed the
// request: an attacker may have injected them.
func (s *Server) answerSSL(conn net.Conn, reader *bufio.Reader) (net.Conn, bool) {
	if s.options.TLS == nil {
		_, err := conn.Write([]byte{'N'})
		return conn, err == nil
	}
	if isTLS(conn) || reader.Buffered() > 0 {
		return nil, false
	}
	if _, err := conn.Write([]byte{'S'}); err != nil {
		return nil, false
	}
	return tls.Server(conn, s.options.TLS), true
}

func isTLS(conn net.Conn) bool {
	_, ok := conn.(*tls.Conn)
	return ok
}

func readStartup(reader *bufio.Reader) ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < 8 || length > maxStartupBytes {
		return nil, &pgError{Code: codeProtocol, Message: "invalid length of startup packet"}
	}
	body := make([]byte, length-4)
	_, err := io.ReadFull(reader, body)
	return body, err
}

func (s *Server) serveStartup(ctx context.Context, conn net.Conn, reader *bufio.Reader, body []byte) {
	var startup pgproto3.StartupMessage
	if err := startup.Decode(body); err != nil {
		return
	}
	if startup.Parameters[replicationParameter] != "" {
		_ = conn.SetDeadline(time.Time{})
		s.serveReplica(ctx, conn, reader)
		return
	}
	if delay := time.Duration(s.connectDelay.Load()); delay > 0 {
		waitFor(ctx, nil, delay)
	}
	sess := newSession(s, ctx, conn, reader, startup.Parameters)
	if refused := sess.authenticate(startup.Parameters["user"]); refused != nil {
		sess.sendFatal(refused)
		return
	}
	_ = conn.SetDeadline(time.Time{})
	if refused := s.register(sess); refused != nil {
		sess.sendFatal(refused)
		return
	}
	defer s.unregister(sess)
	if err := sess.serve(); err != nil {
		s.log.Debug("client's session ended with an error", "pid", sess.pid, "error", err)
	}
}

func (s *Server) register(sess *session) *pgError {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := int(s.maxSessions.Load())
	if limit > 0 && len(s.sessions) >= limit {
		s.metrics.Counter("connections_refused").Inc(1)
		return &pgError{Code: codeTooManyConnections, Severity: "FATAL", Message: "sorry, too many clients already"}
	}
	if !s.running {
		return &pgError{Code: codeShutdown, Severity: "FATAL", Message: "the server is shutting down"}
	}
	s.nextPID++
	sess.pid = s.nextPID
	sess.secret = binary.BigEndian.AppendUint32(nil, rand.Uint32())
	s.sessions[sess.pid] = sess
	return nil
}

func (s *Server) unregister(sess *session) {
	s.mu.Lock()
	delete(s.sessions, sess.pid)
	s.mu.Unlock()
	sess.end()
}

// cancel handles a CancelRequest: it interrupts the statement of the session with
// the given process id, if the secret key matches.
func (s *Server) cancel(body []byte) {
	var request pgproto3.CancelRequest
	if err := request.Decode(body); err != nil {
		return
	}
	s.mu.Lock()
	sess := s.sessions[request.ProcessID]
	s.mu.Unlock()
	if sess != nil && bytes.Equal(request.SecretKey, sess.secret) {
		sess.interrupt()
	}
}

// closeTransactions ends the sessions that have a transaction open in SQLite,
// because the server must no longer commit those transactions.
func (s *Server) closeTransactions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sess := range s.sessions {
		if sess.hasSQLiteTransaction.Load() {
			sess.interrupt()
			sess.conn.Close()
		}
	}
}

// closeWriters ends the sessions that may hold SQLite's write lock, because a
// replica needs the lock to apply its primary's entries.
func (s *Server) closeWriters() { s.closeTransactions() }
