// Package pgupstream implements the connections of package upstream over the
// PostgreSQL v3 protocol. Proxies and control hosts use it to reach the database
// servers. Answers are passed on as raw messages; only the messages that tell the
// outcome of a batch are decoded.
package pgupstream

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/uber-go/tally/v4"

	"lovageslip/fault"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/pgscram"
	"lovageslip/upstream"
)

const (
	defaultUser        = "lovageslip"
	defaultDialTimeout = 5 * time.Second
	// transactionIdleTimeout is how long a transaction may be idle between two
	// statements before the server ends the session. A frozen owner cannot end
	// its open transactions, and the next owner's writes would wait for their
	// locks. Owners that run keep their transactions alive. The timeout equals
	// the duration of an owner's lease.
	transactionIdleTimeout = 3 * time.Second
)

// Options configures a Dialer.
type Options struct {
	Log     *slog.Logger
	Metrics tally.Scope
	// User to connect as; "lovageslip" if empty.
	User string
	// Password is used if the server asks for SCRAM-SHA-256; empty for none.
	// It is never sent itself, and no other authentication method is
	// supported.
	Password string
	// TLS encrypts every connection, cancel requests included. The
	// certificate must name the IP number of the upstream. Dial fails if the
	// server declines TLS. Nil means plaintext.
	TLS *tls.Config
	// DialTimeout bounds a Dial whose context has no earlier deadline; 5 s
	// if zero.
	DialTimeout time.Duration
}

// Dialer opens connections. It is safe for concurrent use.
type Dialer struct {
	options Options
	scram   *pgscram.Client // nil without a password
	log     *slog.Logger
	metrics tally.Scope
}

var _ upstream.Dialer = (*Dialer)(nil)

// NewDialer returns a Dialer.
func NewDialer(options Options) *Dialer {
	if options.User == "" {
		options.User = defaultUser
	}
	if options.DialTimeout == 0 {
		options.DialTimeout = defaultDialTimeout
	}
	d := &Dialer{
		options: options,
		log:     logging.For(options.Log, "pgupstream"),
		metrics: metrics.OrNoop(options.Metrics).SubScope("pgupstream"),
	}
	if options.Password != "" {
		d.scram = pgscram.NewClient(options.Password)
	}
	return d
}

// Dial connects to the server at address.
// Errors: *fault.NotRun with ReasonUpstreamUnavailable; its detail names the
// SQLSTATE if the server refused the connection.
func (d *Dialer) Dial(ctx context.Context, address, database string) (upstream.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.options.DialTimeout)
	defer cancel()
	socket, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, unavailable("dial " + address + ": " + err.Error())
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.SetDeadline(time.Now()) })
	c, err := d.openConn(socket, address, database)
	if !stop() && err == nil {
		err = unavailable("dial " + address + ": " + ctx.Err().Error())
	}
	if err != nil {
		socket.Close()
		return nil, err
	}
	d.metrics.Counter("dialed").Inc(1)
	return c, nil
}

// openConn negotiates TLS, if it is configured, and logs in over a new socket.
func (d *Dialer) openConn(socket net.Conn, address, database string) (*Conn, error) {
	secured, err := d.negotiateTLS(socket, address)
	if err != nil {
		return nil, err
	}
	c := newConn(d, secured, rawConn(socket), address)
	return c, c.startup(database)
}

func unavailable(detail string) *fault.NotRun {
	return &fault.NotRun{Reason: fault.ReasonUpstreamUnavailable, Detail: detail}
}

func (c *Conn) startup(database string) error {
	message := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":                                c.dialer.options.User,
			"database":                            database,
			"idle_in_transaction_session_timeout": strconv.FormatInt(transactionIdleTimeout.Milliseconds(), 10),
		},
	}
	raw, err := message.Encode(nil)
	if err == nil {
		_, err = c.socket.Write(raw)
	}
	if err != nil {
		return unavailable("start-up: " + err.Error())
	}
	auth := &authentication{conn: c}
	for {
		kind, body, err := c.reader.message()
		if err != nil {
			return unavailable("start-up: " + err.Error())
		}
		done, err := c.startupMessage(auth, kind, body)
		if done || err != nil {
			return err
		}
	}
}

func (c *Conn) startupMessage(auth *authentication, kind byte, body []byte) (bool, error) {
	switch kind {
	case 'R':
		return false, auth.handleRequest(body)
	case 'K':
		var key pgproto3.BackendKeyData
		if err := key.Decode(body); err != nil {
			return false, unavailable("start-up: " + err.Error())
		}
		c.pid, c.secret = key.ProcessID, key.SecretKey
	case 'E':
		failure := parseError(body)
		return false, unavailable("refused with SQLSTATE " + failure.Code + ": " + failure.Message)
	case 'Z':
		if !auth.accepted {
			return false, unavailable("start-up: the server is ready before it has accepted the user")
		}
		c.state = upstream.StateIdle
		return true, nil
	case 'S', 'N':
	default:
		return false, unavailable("start-up: unexpected message " + string(rune(kind)))
	}
	return false, nil
}
