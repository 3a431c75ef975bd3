package pgcaller

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"lovageslip/pgscram"
)

// AuthConn lets an Authenticator exchange authentication messages with the
// caller.
type AuthConn interface {
	// Send writes an authentication request.
	Send(message pgproto3.BackendMessage) error
	// Receive returns the body of the caller's next password message. It is
	// valid until the next call.
	Receive() ([]byte, error)
}

// Authenticator decides whether a caller may connect. An error refuses the
// caller. Implementations must be safe for concurrent use.
type Authenticator interface {
	Authenticate(ctx context.Context, startup Startup, conn AuthConn) error
}

// Trust accepts every caller.
type Trust struct{}

// Authenticate implements Authenticator.
func (Trust) Authenticate(context.Context, Startup, AuthConn) error { return nil }

// SCRAM authenticates callers by SCRAM-SHA-256. An unknown user is refused with
// the same messages and after the same work as a wrong password, so that a
// caller cannot find out which users exist.
type SCRAM struct {
	verifier *pgscram.Verifier
}

// NewSCRAM returns an authenticator for the users with the given passwords.
// Errors: *pgscram.BadPassword.
func NewSCRAM(passwords map[string]string) (*SCRAM, error) {
	verifier, err := pgscram.NewVerifier(passwords)
	if err != nil {
		return nil, err
	}
	return &SCRAM{verifier: verifier}, nil
}

// Authenticate implements Authenticator.
func (s *SCRAM) Authenticate(_ context.Context, startup Startup, conn AuthConn) error {
	err := s.verifier.Verify(startup.User, conn)
	var failed *pgscram.AuthenticationFailed
	if errors.As(err, &failed) {
		return &loginFailed{user: startup.User}
	}
	return err
}

// loginFailed reports a login that failed, whether or not the user exists.
type loginFailed struct{ user string }

func (e *loginFailed) Error() string {
	return "password authentication failed for user \"" + e.user + "\""
}
func (*loginFailed) sqlState() string { return codeInvalidPassword }

// recordRefusal logs and counts a login with a wrong user or password. A
// connection that broke during the login is not counted.
func (c *conn) recordRefusal(startup Startup, err error) {
	var failed *loginFailed
	if !errors.As(err, &failed) {
		return
	}
	c.server.metrics.Counter("logins_refused_total").Inc(1)
	c.server.log.Info("caller refused", "user", startup.User, "remote", startup.RemoteAddr, "error", err)
}

// tlsRequired reports a caller that did not ask for TLS although
// Options.RequireTLS is set.
type tlsRequired struct{}

func (*tlsRequired) Error() string    { return "connections without TLS are not accepted" }
func (*tlsRequired) sqlState() string { return codeNotAuthorized }

// authConn implements AuthConn for the login of one connection.
type authConn struct {
	*conn
	deadline time.Time
}

// Send implements AuthConn.
func (a *authConn) Send(message pgproto3.BackendMessage) error {
	a.send(message)
	return a.flush()
}

// Receive implements AuthConn. The read timeout of each password message is the
// time left until the start-up deadline, so that a caller that sends slowly
// cannot hold its connection longer.
func (a *authConn) Receive() ([]byte, error) {
	timeout := a.reader.timeout
	defer func() { a.reader.timeout = timeout }()
	a.reader.timeout = time.Until(a.deadline)
	kind, body, err := a.reader.next(maxStartupPacketBytes)
	if err != nil {
		return nil, err
	}
	if kind != 'p' {
		return nil, &protocolError{detail: "expected a password message"}
	}
	return body, nil
}
