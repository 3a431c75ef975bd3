package pgscram

import (
	"slices"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"
)

// maxIterations bounds the work that a server can ask of a client.
const maxIterations = 1 << 20

// BadServer reports a server that does not follow the mechanism, or that could
// not prove that it knows the password.
type BadServer struct {
	Detail string
}

func (e *BadServer) Error() string { return "SCRAM: " + e.Detail }

// Client logs in with one password. It keeps derived keys between logins and
// is safe for concurrent use.
type Client struct {
	scram *scram.Client
}

// NewClient returns a client.
func NewClient(password string) *Client { return &Client{scram: newClient(password)} }

// newClient prepares the password by SASLprep. As in PostgreSQL, a password
// that SASLprep refuses is taken as it is; the library's error for that case
// holds the password and is dropped.
func newClient(password string) *scram.Client {
	client, err := scram.SHA256.NewClient("", password, "")
	if err == nil {
		return client
	}
	raw, _ := scram.SHA256.NewClientUnprepped("", password, "") // never fails
	return raw
}

// Login is one login on the client's side: First, Proof, then Finish.
type Login struct {
	conversation *scram.ClientConversation
}

// Start begins a login with a server that offers the given mechanisms.
// Errors: *BadServer.
func (c *Client) Start(mechanisms []string) (*Login, error) {
	if !slices.Contains(mechanisms, Mechanism) {
		return nil, &BadServer{Detail: "the server does not offer " + Mechanism}
	}
	return &Login{conversation: c.scram.NewConversation()}, nil
}

// First returns the first message of the client.
// Errors: *BadServer.
func (l *Login) First() ([]byte, error) {
	first, err := l.conversation.Step("")
	if err != nil {
		return nil, &BadServer{Detail: "no first message"}
	}
	return []byte(first), nil
}

// Proof answers the challenge of the server.
// Errors: *BadServer.
func (l *Login) Proof(challenge []byte) ([]byte, error) {
	if !iterationsAllowed(string(challenge)) {
		return nil, &BadServer{Detail: "the server asks for too many iterations"}
	}
	proof, err := l.conversation.Step(string(challenge))
	if err != nil {
		return nil, &BadServer{Detail: "malformed challenge"}
	}
	return []byte(proof), nil
}

// Finish checks that the server knows the password too.
// Errors: *BadServer.
func (l *Login) Finish(outcome []byte) error {
	_, err := l.conversation.Step(string(outcome))
	if err != nil || !l.conversation.Valid() {
		return &BadServer{Detail: "the server could not prove that it knows the password"}
	}
	return nil
}

// Done reports whether the server has proved itself.
func (l *Login) Done() bool { return l.conversation.Valid() }

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
