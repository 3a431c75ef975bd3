package pgcaller

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"lovageslip/pgscram"
)

// AuthConn lets an Authenticator talk with the caller.
type AuthConn interface {
	// Send writes an authentication request.
	Send(message pgproto3.BackendMessage) error
	// Receive returns the body of the caller's next password message. It is
	// valid until the next call.
	Receive() ([]byte, error)
}

// Authenticator decides whether a caller may connect. It is safe for
// concurrent use. An error refuses the caller.
type Authenticator interface {
	Authenticate(ctx context.Context, startup Startup, conn AuthConn) error
}

// Trust accepts every caller.
type Trust struct{}

// Authenticate implements Authenticator.
func (Trust) Authenticate(context.Context, Startup, AuthConn) error { return nil }

// SCRAM accepts callers that prove by SCRAM-SHA-256 that they know the password
// of their user. A user that does not exist is refused by the same messages,
// after the same work, as a wrong password.
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
	var refused *pgscram.Refused
	if errors.As(err, &refused) {
		return &badPassword{user: startup.User}
	}
	return err
}

// badPassword reports a login that failed, whether or not the user exists.
type badPassword struct{ user string }

func (e *badPassword) Error() string {
	return "password authentication failed for user \"" + e.user + "\""
}
func (*badPassword) sqlState() string { return codeBadPassword }

// noteRefusal logs and counts a failed login. The end of a connection that
// broke during the login is no refusal.
func (c *conn) noteRefusal(startup Startup, err error) {
	var refused *badPassword
	if !errors.As(err, &refused) {
		return
	}
	c.server.metrics.Counter("logins_refused_total").Inc(1)
	c.server.log.Info("caller refused", "user", startup.User, "remote", startup.RemoteAddr, "error", err)
}

// tlsRequired refuses a caller that did not ask for TLS.
type tlsRequired struct{}

func (*tlsRequired) Error() string    { return "connections without TLS are not accepted" }
func (*tlsRequired) sqlState() string { return codeNotAuthorized }

// authConn adapts a connection for authenticators.
type authConn struct {
	*conn
	deadline time.Time
}

// Send implements AuthConn.
func (a *authConn) Send(message pgproto3.BackendMessage) error {
	a.send(message)
	return a.flush()
}

// Receive implements AuthConn. All password messages together have to arrive
// before the deadline of the start-up, so that a caller that sends slowly
// holds its connection no longer than that.
func (a *authConn) Receive() ([]byte, error) {
	timeout := a.reader.timeout
	defer func() { a.reader.timeout = timeout }()
	a.reader.timeout = time.Until(a.deadline)
	kind, body, err := a.reader.next(maxStartup)
	if err != nil {
		return nil, err
	}
	if kind != 'p' {
		return nil, &protocolError{detail: "expected a password message"}
	}
	return body, nil
}
