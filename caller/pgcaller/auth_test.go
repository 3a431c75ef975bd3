package pgcaller_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"lovageslip/caller/pgcaller"
	"lovageslip/fault"
	"lovageslip/internal/testcert"
	"lovageslip/pgscram"
	"lovageslip/settings"
	"lovageslip/tlsconf"
	"lovageslip/upstream"
)

const (
	rightPassword = "correct-horse-battery"
	wrongPassword = "staple-of-secrets"
)

// logBuffer collects the log output of a server.
type logBuffer struct {
	mu  sync.Mutex // guards buf
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func withPasswords(t testing.TB, log *logBuffer) func(*pgcaller.Options) {
	t.Helper()
	auth, err := pgcaller.NewSCRAM(map[string]string{"app": rightPassword})
	assert.NilError(t, err)
	return func(o *pgcaller.Options) {
		o.Authenticator = auth
		o.Log = slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
}

func login(ctx context.Context, h *testHost, user, password, parameters string) (*pgx.Conn, error) {
	return pgx.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/shop?%s", user, password, h.address, parameters))
}

func assertSQLState(t testing.TB, err error, want string) {
	t.Helper()
	var pgErr *pgconn.PgError
	assert.Assert(t, errors.As(err, &pgErr), "%v", err)
	assert.Equal(t, pgErr.Code, want)
}

// Guards against a login that is accepted without the password, and against
// passwords in the log or in answers.
func TestOnlyTheRightPasswordLogsIn(t *testing.T) {
	log := &logBuffer{}
	h := startLocal(t, &fakeOwner{}, withPasswords(t, log))
	c, err := login(t.Context(), h, "app", rightPassword, "sslmode=disable&lovageslip.class=report")
	assert.NilError(t, err)
	defer c.Close(context.Background())
	var got string
	assert.NilError(t, c.QueryRow(t.Context(), "select 1").Scan(&got))
	for _, user := range []string{"app", "nobody"} {
		_, err = login(t.Context(), h, user, wrongPassword, "sslmode=disable")
		assertSQLState(t, err, "28P01")
		assert.Assert(t, !strings.Contains(err.Error(), wrongPassword), "%v", err)
		assert.Assert(t, strings.Contains(log.String(), "user="+user), "the refusal is not logged: %s", log)
	}
	_, err = login(t.Context(), h, "app", "", "sslmode=disable")
	assert.Assert(t, err != nil)
	for _, secret := range []string{rightPassword, wrongPassword} {
		assert.Assert(t, !strings.Contains(log.String(), secret), "%s", log)
	}
}

// transcript returns what the server answers to a login of user with a wrong
// password, without the nonces.
func transcript(t testing.TB, h *testHost, user string) []string {
	t.Helper()
	netConn, err := net.Dial("tcp", h.address)
	assert.NilError(t, err)
	defer netConn.Close()
	assert.NilError(t, netConn.SetDeadline(time.Now().Add(30*time.Second)))
	frontend := pgproto3.NewFrontend(netConn, netConn)
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": user, "database": "shop"},
	})
	assert.NilError(t, frontend.Flush())
	attempt, err := pgscram.NewClient(wrongPassword).Start([]string{pgscram.Mechanism})
	assert.NilError(t, err)
	var seen []string
	for {
		message, err := frontend.Receive()
		if err != nil {
			return append(seen, "closed")
		}
		switch message := message.(type) {
		case *pgproto3.AuthenticationSASL:
			seen = append(seen, strings.Join(message.AuthMechanisms, ","))
			first, err := attempt.ClientFirst()
			assert.NilError(t, err)
			frontend.Send(&pgproto3.SASLInitialResponse{AuthMechanism: pgscram.Mechanism, Data: first})
		case *pgproto3.AuthenticationSASLContinue:
			fields := strings.Split(string(message.Data), ",")
			seen = append(seen, fmt.Sprintf("challenge of %d bytes with %s", len(message.Data), fields[2]))
			proof, err := attempt.ClientFinal(message.Data)
			assert.NilError(t, err)
			frontend.Send(&pgproto3.SASLResponse{Data: proof})
		case *pgproto3.ErrorResponse:
			seen = append(seen, message.Severity+message.Code+strings.ReplaceAll(message.Message, user, "USER")+message.Detail+message.Hint)
		default:
			seen = append(seen, fmt.Sprintf("%T", message))
		}
		assert.NilError(t, frontend.Flush())
	}
}

// Guards against answers that reveal which users exist.
func TestUnknownUserLooksLikeWrongPassword(t *testing.T) {
	h := startLocal(t, &fakeOwner{}, withPasswords(t, &logBuffer{}))
	known, unknown := transcript(t, h, "app"), transcript(t, h, "nobody")
	assert.DeepEqual(t, known, unknown)
	assert.Equal(t, len(known), 4, "%q", known)
}

// Guards against a caller that holds a connection by sending its password
// messages slowly.
func TestLoginEndsAtStartupTimeout(t *testing.T) {
	h := startLocal(t, &fakeOwner{}, withPasswords(t, &logBuffer{}), func(o *pgcaller.Options) {
		o.StartupTimeout = 2 * time.Second
		o.ReadTimeout = time.Hour
	})
	netConn, err := net.Dial("tcp", h.address)
	assert.NilError(t, err)
	defer netConn.Close()
	assert.NilError(t, netConn.SetDeadline(time.Now().Add(30*time.Second)))
	frontend := pgproto3.NewFrontend(netConn, netConn)
	frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "app"}})
	assert.NilError(t, frontend.Flush())
	_, err = frontend.Receive()
	assert.NilError(t, err)
	_, err = frontend.Receive()
	var timeout net.Error
	assert.Assert(t, err != nil && !(errors.As(err, &timeout) && timeout.Timeout()), "the connection was not closed: %v", err)
}

func withTLS(t testing.TB, authority *testcert.Authority) func(*pgcaller.Options) {
	t.Helper()
	files := authority.Issue(t, "callers")
	config, err := tlsconf.Server(settings.TLS{Certificate: files.Certificate, Key: files.Key})
	assert.NilError(t, err)
	return func(o *pgcaller.Options) { o.TLS = config }
}

// slowBatch is longer than watchDelay, after which the caller's connection is
// watched for a disconnect.
const slowBatch = 30 * time.Millisecond

// Guards against a TLS connection that breaks when it is watched for a
// disconnect during a long batch, and against a certificate that is not checked.
func TestCallersOverTLS(t *testing.T) {
	authority := testcert.NewAuthority(t, "site")
	slow := func(context.Context, string, upstream.Sink) (bool, error) {
		time.Sleep(slowBatch)
		return false, nil
	}
	h := startLocal(t, &fakeOwner{answer: slow}, withTLS(t, authority), withPasswords(t, &logBuffer{}))
	verified := "sslmode=verify-full&lovageslip.class=report&sslrootcert="
	c, err := login(t.Context(), h, "app", rightPassword, verified+authority.File)
	assert.NilError(t, err)
	defer c.Close(context.Background())
	var got string
	for range 3 {
		assert.NilError(t, c.QueryRow(t.Context(), "select $1").Scan(&got))
	}
	_, err = login(t.Context(), h, "app", wrongPassword, verified+authority.File)
	assertSQLState(t, err, "28P01")
	other := testcert.NewAuthority(t, "other")
	_, err = login(t.Context(), h, "app", rightPassword, verified+other.File)
	assert.ErrorContains(t, err, "certificate")
}

// Guards against accepting a caller without TLS where TLS is required.
func TestPlaintextIsRefusedWhereTLSIsRequired(t *testing.T) {
	authority := testcert.NewAuthority(t, "site")
	require := func(o *pgcaller.Options) { o.RequireTLS = true }
	h := startLocal(t, &fakeOwner{}, withTLS(t, authority), require)
	_, err := login(t.Context(), h, "app", rightPassword, "sslmode=disable")
	assertSQLState(t, err, "28000")
	c, err := login(t.Context(), h, "app", rightPassword, "sslmode=verify-full&lovageslip.class=report&sslrootcert="+authority.File)
	assert.NilError(t, err)
	assert.NilError(t, c.Close(context.Background()))
}

// Guards against a cancel request that is lost where callers have to use TLS.
func TestCancelOverTLS(t *testing.T) {
	authority := testcert.NewAuthority(t, "site")
	running := make(chan struct{}, 1)
	owner := &fakeOwner{}
	owner.answer = func(context.Context, string, upstream.Sink) (bool, error) {
		running <- struct{}{}
		<-owner.cancels
		return true, &fault.NotRun{Reason: fault.ReasonCancelled, Detail: "cancelled"}
	}
	h := startLocal(t, owner, withTLS(t, authority), func(o *pgcaller.Options) { o.RequireTLS = true })
	c, err := login(t.Context(), h, "app", "", "sslmode=verify-full&lovageslip.class=report&sslrootcert="+authority.File)
	assert.NilError(t, err)
	defer c.Close(context.Background())
	cancelled := make(chan error, 1)
	go func() {
		<-running
		cancelled <- c.PgConn().CancelRequest(t.Context())
	}()
	_, err = c.PgConn().Exec(t.Context(), "select 1").ReadAll()
	assertSQLState(t, err, "57014")
	assert.NilError(t, <-cancelled)
}
