package pgcaller

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"lovageslip/fault"
)

const (
	minStartup = 8
	maxStartup = 10_000

	codeSSLRequest    = 80877103
	codeGSSENCRequest = 80877104
	codeCancelRequest = 80877102
	majorVersion      = 3
	// maxNegotiations bounds the encryption requests before start-up.
	maxNegotiations = 2
)

// Startup is what a caller asked for at start-up.
type Startup struct {
	User       string
	Database   string
	Parameters map[string]string
	RemoteAddr net.Addr
}

// start runs the start-up phase. It returns false if the connection has served
// its purpose, as after a cancel request.
func (c *conn) start(ctx context.Context) (bool, error) {
	deadline := time.Now().Add(c.server.options.StartupTimeout)
	if err := c.network.SetDeadline(deadline); err != nil {
		return false, &fault.IO{Op: "set start-up deadline", Err: err}
	}
	packet, err := c.startupPacket()
	if err != nil || packet == nil {
		return false, err
	}
	message := &pgproto3.StartupMessage{}
	if err := message.Decode(packet); err != nil {
		return false, &protocolError{detail: "malformed start-up packet"}
	}
	if err := c.negotiate(message); err != nil {
		return false, err
	}
	if err := c.open(ctx, message.Parameters, deadline); err != nil {
		return false, err
	}
	if err := c.network.SetDeadline(time.Time{}); err != nil {
		return false, &fault.IO{Op: "clear start-up deadline", Err: err}
	}
	return true, nil
}

// startupPacket answers encryption and cancel requests and returns the
// start-up packet; nil after a cancel request.
func (c *conn) startupPacket() ([]byte, error) {
	for range maxNegotiations + 1 {
		packet, err := c.rawPacket()
		if err != nil {
			return nil, err
		}
		switch binary.BigEndian.Uint32(packet) {
		case codeSSLRequest:
			err = c.answerSSL()
		case codeGSSENCRequest:
			err = c.answerByte('N')
		case codeCancelRequest:
			c.server.cancelRequest(packet)
			return nil, nil
		default:
			return packet, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, &protocolError{detail: "too many encryption requests"}
}

func (c *conn) rawPacket() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(c.network, header[:]); err != nil {
		return nil, &fault.IO{Op: "read start-up packet", Err: err}
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size < minStartup || size > maxStartup {
		return nil, &protocolError{detail: "invalid length of start-up packet"}
	}
	packet := make([]byte, size-len(header))
	if _, err := io.ReadFull(c.network, packet); err != nil {
		return nil, &fault.IO{Op: "read start-up packet", Err: err}
	}
	return packet, nil
}

func (c *conn) answerSSL() error {
	if c.secure {
		return &protocolError{detail: "TLS is in use already"}
	}
	config := c.server.options.TLS
	if config == nil {
		return c.answerByte('N')
	}
	if err := c.answerByte('S'); err != nil {
		return err
	}
	c.secure = true
	c.setNetwork(tls.Server(c.network, config))
	return nil
}

// answerByte answers an encryption request.
func (c *conn) answerByte(answer byte) error {
	if _, err := c.network.Write([]byte{answer}); err != nil {
		return &fault.IO{Op: "answer encryption request", Err: err}
	}
	return nil
}

// negotiate offers version 3.0 to callers that ask for a later minor version
// or for protocol options.
func (c *conn) negotiate(message *pgproto3.StartupMessage) error {
	if message.ProtocolVersion>>16 != majorVersion {
		return &protocolError{detail: "unsupported protocol version"}
	}
	var options []string
	for name := range message.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			options = append(options, name)
			delete(message.Parameters, name)
		}
	}
	if message.ProtocolVersion == pgproto3.ProtocolVersion30 && len(options) == 0 {
		return nil
	}
	c.send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: pgproto3.ProtocolVersion30, UnrecognizedOptions: options})
	return nil
}

// open authenticates the caller until the deadline, opens its session and
// reports the parameters.
func (c *conn) open(ctx context.Context, parameters map[string]string, deadline time.Time) error {
	if c.server.options.RequireTLS && !c.secure {
		return &tlsRequired{}
	}
	startup := Startup{User: parameters["user"], Database: parameters["database"], Parameters: parameters, RemoteAddr: c.network.RemoteAddr()}
	if startup.User == "" {
		return &protocolError{detail: "no user name in start-up packet"}
	}
	if startup.Database == "" {
		startup.Database = startup.User
	}
	messages := &authConn{conn: c, deadline: deadline}
	if err := c.server.options.Authenticator.Authenticate(ctx, startup, messages); err != nil {
		c.noteRefusal(startup, err)
		return err
	}
	// Applying the parameters reports some of them, which a caller accepts
	// only after AuthenticationOk.
	c.send(&pgproto3.AuthenticationOk{})
	session, err := c.server.entry.Open(startup.Database, callerName(startup))
	if err != nil {
		return err
	}
	c.session = session
	if err := c.applyStartup(parameters); err != nil {
		return err
	}
	c.reportParameters(startup)
	c.server.keys.add(c)
	c.send(&pgproto3.BackendKeyData{ProcessID: c.key.process, SecretKey: c.key.secretBytes()})
	c.sendReady()
	return c.flush()
}

// callerName identifies a caller for limits: its user and host.
func callerName(startup Startup) string {
	host, _, err := net.SplitHostPort(startup.RemoteAddr.String())
	if err != nil {
		host = startup.RemoteAddr.String()
	}
	return startup.User + "@" + host
}

func (c *conn) reportParameters(startup Startup) {
	c.status("server_version", c.server.options.ServerVersion)
	c.status("server_encoding", "UTF8")
	c.status("client_encoding", "UTF8")
	c.status("DateStyle", "ISO, MDY")
	c.status("IntervalStyle", "postgres")
	c.status("TimeZone", "UTC")
	c.status("integer_datetimes", "on")
	c.status("standard_conforming_strings", "on")
	c.status("is_superuser", "off")
	c.status("session_authorization", startup.User)
	c.status("application_name", startup.Parameters["application_name"])
	c.status("in_hot_standby", "off")
	c.status("default_transaction_read_only", "off")
	c.status(settingClass, c.session.Class())
}

func (c *conn) status(name, value string) {
	c.send(&pgproto3.ParameterStatus{Name: name, Value: value})
}

// applyStartup sets the parameters of the start-up packet and its options.
func (c *conn) applyStartup(parameters map[string]string) error {
	options, err := parseOptions(parameters["options"])
	if err != nil {
		return err
	}
	for _, option := range options {
		if err := c.set(option.name, option.value); err != nil {
			return err
		}
	}
	// The class precedes the other parameters only by chance of map order;
	// they do not depend on each other.
	for name, value := range parameters {
		switch name {
		case "user", "database", "options":
			continue
		case "replication":
			return &fault.Unsupported{Feature: "replication"}
		}
		if err := c.set(name, value); err != nil {
			return err
		}
	}
	return nil
}

type option struct{ name, value string }

// parseOptions reads "-c name=value", "-cname=value" and "--name=value".
func parseOptions(text string) ([]option, error) {
	var options []option
	words := splitOptions(text)
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "--"):
			word = word[2:]
		case strings.HasPrefix(word, "-c"):
			word = word[2:]
		default:
			return nil, &fault.Invalid{Field: "options", Value: word, Allowed: "-c name=value or --name=value"}
		}
		name, value, found := strings.Cut(word, "=")
		if !found {
			return nil, &fault.Invalid{Field: "options", Value: word, Allowed: "name=value"}
		}
		options = append(options, option{name: strings.ReplaceAll(name, "-", "_"), value: value})
	}
	return options, nil
}

// splitOptions splits at spaces; a backslash keeps the next byte.
func splitOptions(text string) []string {
	var words []string
	var word []byte
	inWord := false
	for i := 0; i < len(text); i++ {
		switch {
		case text[i] == '\\' && i+1 < len(text):
			i++
			word = append(word, text[i])
			inWord = true
		case text[i] == ' ' || text[i] == '\t' || text[i] == '\n':
			if inWord {
				words = append(words, string(word))
			}
			word, inWord = word[:0], false
		default:
			word = append(word, text[i])
			inWord = true
		}
	}
	if inWord {
		words = append(words, string(word))
	}
	return words
}
