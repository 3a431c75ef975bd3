// Package pgscram holds both sides of SCRAM-SHA-256 (RFC 5802, RFC 7677) as the
// PostgreSQL protocol carries it: the user comes from the start-up packet and
// channel binding is not offered. No error of this package holds a password or
// any part of a message.
package pgscram

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// Mechanism is the SASL name of the mechanism.
const Mechanism = "SCRAM-SHA-256"

const (
	// iterations of PBKDF2; RFC 7677 requires at least 4096.
	iterations = 4096
	saltBytes  = 16
	keyBytes   = sha256.Size
)

// Refused reports a login that failed. It deliberately does not tell an
// unknown user from a wrong password.
type Refused struct{}

func (*Refused) Error() string { return "password authentication failed" }

// Verifier checks users by their passwords. It keeps no password, only what
// RFC 5802 lets a server store. It is safe for concurrent use.
type Verifier struct {
	// saltKey makes the salt of every name, known or not, so that a salt
	// tells nothing about a name and stays the same for a name.
	saltKey []byte
	users   map[string]scram.StoredCredentials
	// absent stands for the keys of users that do not exist. They are random,
	// so that no password fits.
	absent scram.StoredCredentials
}

// NewVerifier derives the keys of each user from its password, about 1 ms each.
// Errors: *BadPassword.
func NewVerifier(passwords map[string]string) (*Verifier, error) {
	v := &Verifier{
		saltKey: randomBytes(keyBytes),
		users:   make(map[string]scram.StoredCredentials, len(passwords)),
		absent:  scram.StoredCredentials{StoredKey: randomBytes(keyBytes), ServerKey: randomBytes(keyBytes)},
	}
	for user, password := range passwords {
		credentials, err := newClient(password).GetStoredCredentialsWithError(v.factors(user))
		if err != nil {
			return nil, &BadPassword{User: user}
		}
		v.users[user] = credentials
	}
	return v, nil
}

// BadPassword reports a password from which no keys can be derived.
type BadPassword struct {
	User string
}

func (e *BadPassword) Error() string { return "the password of user " + e.User + " cannot be used" }

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails
	return b
}

func (v *Verifier) factors(user string) scram.KeyFactors {
	mac := hmac.New(sha256.New, v.saltKey)
	mac.Write([]byte(user))
	return scram.KeyFactors{Salt: string(mac.Sum(nil)[:saltBytes]), Iters: iterations}
}

// credentials does the same work for a user that exists and for one that does
// not.
func (v *Verifier) credentials(user string) scram.StoredCredentials {
	factors := v.factors(user)
	credentials, known := v.users[user]
	if !known {
		credentials = v.absent
	}
	credentials.KeyFactors = factors
	return credentials
}

// Messages is the transport of one login on the server's side.
type Messages interface {
	// Send writes an authentication request.
	Send(message pgproto3.BackendMessage) error
	// Receive returns the body of the client's next password message.
	Receive() ([]byte, error)
}

// Verify runs one login of a user. After success the caller still has to send
// AuthenticationOk.
// Errors: *Refused, or that of messages.
func (v *Verifier) Verify(user string, messages Messages) error {
	lookup := func(string) (scram.StoredCredentials, error) { return v.credentials(user), nil }
	server, err := scram.SHA256.NewServer(lookup)
	if err != nil {
		return &Refused{}
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
		return &Refused{}
	}
	challenge, err := conversation.Step(string(initial.Data))
	if err != nil {
		return &Refused{}
	}
	if err := messages.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return err
	}
	return finish(conversation, messages)
}

func finish(conversation *scram.ServerConversation, messages Messages) error {
	body, err := messages.Receive()
	if err != nil {
		return err
	}
	outcome, err := conversation.Step(string(body))
	if err != nil || !conversation.Valid() {
		return &Refused{}
	}
	return messages.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(outcome)})
}
