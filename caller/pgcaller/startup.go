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
	minStartupPacketBytes = 8
	maxStartupPacketBytes = 10_000

	codeSSLRequest       = 80877103
	codeGSSENCRequest    = 80877104
	codeCancelRequest    = 80877102
	protocolMajorVersion = 3
	// maxEncryptionRequests allows one SSLRequest and one GSSENCRequest before
	// the start-up packet.
	maxEncryptionRequests = 2
)

// Startup holds the contents of a caller's start-up packet and its address.
type Startup struct {
	User       string
	Database   string
	Parameters map[string]string
	RemoteAddr net.Addr
}

// start runs the start-up phase. It returns false if no session follows, as
// after a cancel request.
func (c *conn) start(ctx context.Context) (bool, error) {
	deadline := time.Now().Add(c.server.options.StartupTimeout)
	if err := c.netConn.SetDeadline(deadline); err != nil {
		return false, &fault.IO{Op: "set start-up deadline", Err: err}
	}
	packet, err := c.readStartupPacket()
	if err != nil || packet == nil {
		return false, err
	}
	message := &pgproto3.StartupMessage{}
	if err := message.Decode(packet); err != nil {
		return false, &protocolError{detail: "malformed start-up packet"}
	}
	if err := c.negotiateVersion(message); err != nil {
		return false, err
	}
	if err := c.openSession(ctx, message.Parameters, deadline); err != nil {
		return false, err
	}
	if err := c.netConn.SetDeadline(time.Time{}); err != nil {
		return false, &fault.IO{Op: "clear start-up deadline", Err: err}
	}
	return true, nil
}

// readStartupPacket handles encryption and cancel requests and returns the
// start-up packet without its length field; nil after a cancel request.
func (c *conn) readStartupPacket() ([]byte, error) {
	for range maxEncryptionRequests + 1 {
		packet, err := c.readPacket()
		if err != nil {
			return nil, err
		}
		switch binary.BigEndian.Uint32(packet) {
		case codeSSLRequest:
			err = c.answerSSL()
		case codeGSSENCRequest:
			err = c.answerEncryptionRequest('N')
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

func (c *conn) readPacket() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(c.netConn, header[:]); err != nil {
		return nil, &fault.IO{Op: "read start-up packet", Err: err}
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size < minStartupPacketBytes || size > maxStartupPacketBytes {
		return nil, &protocolError{detail: "invalid length of start-up packet"}
	}
	packet := make([]byte, size-len(header))
	if _, err := io.ReadFull(c.netConn, packet); err != nil {
		return nil, &fault.IO{Op: "read start-up packet", Err: err}
	}
	return packet, nil
}

func (c *conn) answerSSL() error {
	if c.encrypted {
		return &protocolError{detail: "TLS is in use already"}
	}
	config := c.server.options.TLS
	if config == nil {
		return c.answerEncryptionRequest('N')
	}
	if err := c.answerEncryptionRequest('S'); err != nil {
		return err
	}
	c.encrypted = true
	c.setNetConn(tls.Server(c.netConn, config))
	return nil
}

// answerEncryptionRequest sends the one-byte answer: 'S' accepts TLS, 'N'
// declines encryption.
func (c *conn) answerEncryptionRequest(answer byte) error {
	if _, err := c.netConn.Write([]byte{answer}); err != nil {
		return &fault.IO{Op: "answer encryption request", Err: err}
	}
	return nil
}

// negotiateVersion offers version 3.0 to callers that ask for a later minor
// version or for protocol options.
func (c *conn) negotiateVersion(message *pgproto3.StartupMessage) error {
	if message.ProtocolVersion>>16 != protocolMajorVersion {
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

// openSession authenticates the caller, opens its session and reports the
// parameters. The whole login has to end before the deadline.
func (c *conn) openSession(ctx context.Context, parameters map[string]string, deadline time.Time) error {
	if c.server.options.RequireTLS && !c.encrypted {
		return &tlsRequired{}
	}
	startup := Startup{User: parameters["user"], Database: parameters["database"], Parameters: parameters, RemoteAddr: c.netConn.RemoteAddr()}
	if startup.User == "" {
		return &protocolError{detail: "no user name in start-up packet"}
	}
	if startup.Database == "" {
		startup.Database = startup.User
	}
	messages := &authConn{conn: c, deadline: deadline}
	if err := c.server.options.Authenticator.Authenticate(ctx, startup, messages); err != nil {
		c.recordRefusal(startup, err)
		return err
	}
	// applyStartupParameters may send ParameterStatus, which a caller accepts
	// only after AuthenticationOk.
	c.send(&pgproto3.AuthenticationOk{})
	session, err := c.server.entry.Open(startup.Database, callerName(startup))
	if err != nil {
		return err
	}
	c.session = session
	if err := c.applyStartupParameters(parameters); err != nil {
		return err
	}
	c.reportParameters(startup)
	c.server.keys.add(c)
	c.send(&pgproto3.BackendKeyData{ProcessID: c.key.process, SecretKey: c.key.secretBytes()})
	c.sendReady()
	return c.flush()
}

// callerName returns user@host, by which limits per caller are counted.
func callerName(startup Startup) string {
	host, _, err := net.SplitHostPort(startup.RemoteAddr.String())
	if err != nil {
		host = startup.RemoteAddr.String()
	}
	return startup.User + "@" + host
}

func (c *conn) reportParameters(startup Startup) {
	c.sendParameterStatus("server_version", c.server.options.ServerVersion)
	c.sendParameterStatus("server_encoding", "UTF8")
	c.sendParameterStatus("client_encoding", "UTF8")
	c.sendParameterStatus("DateStyle", "ISO, MDY")
	c.sendParameterStatus("IntervalStyle", "postgres")
	c.sendParameterStatus("TimeZone", "UTC")
	c.sendParameterStatus("integer_datetimes", "on")
	c.sendParameterStatus("standard_conforming_strings", "on")
	c.sendParameterStatus("is_superuser", "off")
	c.sendParameterStatus("session_authorization", startup.User)
	c.sendParameterStatus("application_name", startup.Parameters["application_name"])
	c.sendParameterStatus("in_hot_standby", "off")
	c.sendParameterStatus("default_transaction_read_only", "off")
	c.sendParameterStatus(parameterClass, c.session.Class())
}

func (c *conn) sendParameterStatus(name, value string) {
	c.send(&pgproto3.ParameterStatus{Name: name, Value: value})
}

// applyStartupParameters sets the parameters in the options string of the
// start-up packet, then the packet's other parameters.
func (c *conn) applyStartupParameters(parameters map[string]string) error {
	options, err := parseOptions(parameters["options"])
	if err != nil {
		return err
	}
	for _, option := range options {
		if err := c.setParameter(option.name, option.value); err != nil {
			return err
		}
	}
	// Map order is random, but the parameters do not depend on each other.
	for name, value := range parameters {
		switch name {
		case "user", "database", "options":
			continue
		case "replication":
			return &fault.Unsupported{Feature: "replication"}
		}
		if err := c.setParameter(name, value); err != nil {
			return err
		}
	}
	return nil
}

type option struct{ name, value string }

// parseOptions parses the options parameter of the start-up packet:
// "-c name=value", "-cname=value" and "--name=value".
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

// splitOptions splits at white space; a backslash escapes the next byte.
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
