package pgscram

import (
	"slices"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"
)

// maxIterations bounds the PBKDF2 iterations, and so the CPU time, that a server
// can demand of a client.
const maxIterations = 1 << 20

// ServerError reports a server that violates the SCRAM exchange, or that could
// not prove that it knows the password.
type ServerError struct {
	Detail string
}

func (e *ServerError) Error() string { return "SCRAM: " + e.Detail }

// Client is the client side: it logs in to servers with one password. It caches
// the derived keys between logins and is safe for concurrent use.
type Client struct {
	scram *scram.Client
}

// NewClient returns a client for the given password.
func NewClient(password string) *Client { return &Client{scram: newClient(password)} }

// newClient normalizes the password by SASLprep. As in PostgreSQL, a password
// that SASLprep refuses is used unchanged. The library's error for that case
// contains the password, so it is dropped.
func newClient(password string) *scram.Client {
	client, err := scram.SHA256.NewClient("", password, "")
	if err == nil {
		return client
	}
	unprepared, _ := scram.SHA256.NewClientUnprepped("", password, "") // never fails
	return unprepared
}

// Login is the client side of one login. ClientFirst, ClientFinal and VerifyServer
// are called in this order, one for each step of the exchange in RFC 5802.
type Login struct {
	conversation *scram.ClientConversation
}

// Start begins a login with a server that offers the given mechanisms.
// Errors: *ServerError.
func (c *Client) Start(mechanisms []string) (*Login, error) {
	if !slices.Contains(mechanisms, Mechanism) {
		return nil, &ServerError{Detail: "the server does not offer " + Mechanism}
	}
	return &Login{conversation: c.scram.NewConversation()}, nil
}

// ClientFirst returns the client-first-message of RFC 5802.
// Errors: *ServerError.
func (l *Login) ClientFirst() ([]byte, error) {
	first, err := l.conversation.Step("")
	if err != nil {
		return nil, &ServerError{Detail: "no first message"}
	}
	return []byte(first), nil
}

// ClientFinal returns the client-final-message, which answers the server's
// challenge.
// Errors: *ServerError.
func (l *Login) ClientFinal(challenge []byte) ([]byte, error) {
	if !iterationsAllowed(string(challenge)) {
		return nil, &ServerError{Detail: "the server asks for too many iterations"}
	}
	proof, err := l.conversation.Step(string(challenge))
	if err != nil {
		return nil, &ServerError{Detail: "malformed challenge"}
	}
	return []byte(proof), nil
}

// VerifyServer checks the server-final-message, by which the server proves that it
// knows the password.
// Errors: *ServerError.
func (l *Login) VerifyServer(outcome []byte) error {
	_, err := l.conversation.Step(string(outcome))
	if err != nil || !l.conversation.Valid() {
		return &ServerError{Detail: "the server could not prove that it knows the password"}
	}
	return nil
}

// ServerVerified reports whether the server has proved that it knows the password.
func (l *Login) ServerVerified() bool { return l.conversation.Valid() }

// iterationsAllowed reports whether the iteration count of a challenge is at most
// maxIterations.
func iterationsAllowed(challenge string) bool {
	for field := range strings.SplitSeq(challenge, ",") {
		count, found := strings.CutPrefix(field, "i=")
		if !found {
			continue
		}
		n, err := strconv.Atoi(count)
		return err == nil && n <= maxIterations
	}
	return true // the library refuses a challenge without a count
}
