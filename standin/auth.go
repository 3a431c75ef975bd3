package standin

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// authenticate checks that a new session uses TLS if the server requires it,
// and verifies the user's password. It returns nil if the session is accepted.
func (s *session) authenticate(user string) *pgError {
	if s.server.options.TLS != nil && !isTLS(s.conn) {
		return &pgError{Code: codeNotAuthorized, Message: "connections without TLS are not accepted"}
	}
	if s.server.passwordVerifier == nil {
		return nil
	}
	if err := s.server.passwordVerifier.Verify(user, passwordMessages{s}); err != nil {
		return &pgError{Code: codeBadPassword, Message: "password authentication failed for user " + user}
	}
	return nil
}

// passwordMessages exchanges the SCRAM messages of a login over the session's
// connection.
type passwordMessages struct{ session *session }

// Send implements pgscram.Transport.
func (m passwordMessages) Send(message pgproto3.BackendMessage) error {
	m.session.send(message)
	return m.session.flush()
}

// Receive implements pgscram.Transport.
func (m passwordMessages) Receive() ([]byte, error) {
	kind, body, err := m.session.reader.next()
	if err == nil && kind != 'p' {
		err = &pgError{Code: codeProtocol, Message: "expected a password message"}
	}
	return body, err
}
