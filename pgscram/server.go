// Package pgscram implements both sides of password authentication by
// SCRAM-SHA-256 (RFC 5802, RFC 7677) as PostgreSQL uses it: the user name comes
// from the start-up packet and channel binding is not offered. pgcaller checks
// callers with it, pgupstream logs in to upstreams. No error of this package
// contains a password or any part of a message.
package pgscram

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// Mechanism is the SASL name of SCRAM-SHA-256.
const Mechanism = "SCRAM-SHA-256"

const (
	// iterations is the PBKDF2 iteration count; RFC 7677 requires at least 4096.
	iterations = 4096
	saltBytes  = 16
	keyBytes   = sha256.Size
)

// AuthenticationFailed reports a login that failed. It is the same for an unknown
// user and for a wrong password, so that it does not reveal which users exist.
type AuthenticationFailed struct{}

func (*AuthenticationFailed) Error() string { return "password authentication failed" }

// Verifier is the server side: it checks users' logins. It keeps no passwords,
// only the derived keys that RFC 5802 lets a server store. It is safe for
// concurrent use.
type Verifier struct {
	// saltKey is the HMAC key from which the salt of every user name is
	// derived, known or not. The salt of a name stays the same and does not
	// reveal whether the user exists.
	saltKey []byte
	users   map[string]scram.StoredCredentials
	// unknownUser holds the keys used for users that do not exist. They are
	// random, so that no password matches.
	unknownUser scram.StoredCredentials
}

// NewVerifier derives the keys of each user from the user's password, which
// takes about 1 ms per user.
// Errors: *BadPassword.
func NewVerifier(passwords map[string]string) (*Verifier, error) {
	v := &Verifier{
		saltKey:     randomBytes(keyBytes),
		users:       make(map[string]scram.StoredCredentials, len(passwords)),
		unknownUser: scram.StoredCredentials{StoredKey: randomBytes(keyBytes), ServerKey: randomBytes(keyBytes)},
	}
	for user, password := range passwords {
		credentials, err := newClient(password).GetStoredCredentialsWithError(v.keyFactors(user))
		if err != nil {
			return nil, &BadPassword{User: user}
		}
		v.users[user] = credentials
	}
	return v, nil
}

// BadPassword reports that no keys can be derived from a user's password.
type BadPassword struct {
	User string
}

func (e *BadPassword) Error() string {
	return "the password of user " + e.User + " yields no SCRAM keys"
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails
	return b
}

// keyFactors returns the salt and the iteration count for a user name.
func (v *Verifier) keyFactors(user string) scram.KeyFactors {
	mac := hmac.New(sha256.New, v.saltKey)
	mac.Write([]byte(user))
	return scram.KeyFactors{Salt: string(mac.Sum(nil)[:saltBytes]), Iters: iterations}
}

// credentials returns the keys to check a login with. It does the same work for
// unknown users, so that its time does not reveal which users exist.
func (v *Verifier) credentials(user string) scram.StoredCredentials {
	factors := v.keyFactors(user)
	credentials, known := v.users[user]
	if !known {
		credentials = v.unknownUser
	}
	credentials.KeyFactors = factors
	return credentials
}

// Transport carries the authentication messages of one login between a Verifier
// and the client.
type Transport interface {
	// Send writes an authentication request.
	Send(message pgproto3.BackendMessage) error
	// Receive returns the body of the client's next password message.
	Receive() ([]byte, error)
}

// Verify runs the server side of one login, apart from the AuthenticationOk that
// has to be sent after a success.
// Errors: *AuthenticationFailed, or that of messages.
func (v *Verifier) Verify(user string, messages Transport) error {
	lookup := func(string) (scram.StoredCredentials, error) { return v.credentials(user), nil }
	server, err := scram.SHA256.NewServer(lookup)
	if err != nil {
		return &AuthenticationFailed{}
	}
	conversation := server.NewConversation()
	if err := messages.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{Mechanism}}); err != nil {
		return err
	}
	body, err := messages.Receive()
	if err != nil {
		return err
	}
	initial := &pgproto3.SASLInitialResponse{}
	if initial.Decode(body) != nil || initial.AuthMechanism != Mechanism {
		return &AuthenticationFailed{}
	}
	challenge, err := conversation.Step(string(initial.Data))
	if err != nil {
		return &AuthenticationFailed{}
	}
	if err := messages.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return err
	}
	return finishLogin(conversation, messages)
}

// finishLogin checks the client's proof and answers with the server's signature.
func finishLogin(conversation *scram.ServerConversation, messages Transport) error {
	body, err := messages.Receive()
	if err != nil {
		return err
	}
	outcome, err := conversation.Step(string(body))
	if err != nil || !conversation.Valid() {
		return &AuthenticationFailed{}
	}
	return messages.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(outcome)})
}
