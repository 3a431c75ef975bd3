package pgupstream

import (
	"crypto/tls"
	"io"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

// negotiateTLS starts TLS on a new socket, if it is configured, and verifies the
// server's certificate. It never falls back to plaintext.
func (d *Dialer) negotiateTLS(socket net.Conn, address string) (net.Conn, error) {
	if d.options.TLS == nil {
		return socket, nil
	}
	raw, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err == nil {
		_, err = socket.Write(raw)
	}
	// Only one byte is read here: what the server sends after it belongs to
	// the TLS handshake.
	var answer [1]byte
	if err == nil {
		_, err = io.ReadFull(socket, answer[:])
	}
	if err != nil {
		return nil, unavailable("TLS with " + address + ": " + err.Error())
	}
	if answer[0] != 'S' {
		d.metrics.Counter("tls_declined").Inc(1)
		return nil, unavailable("TLS with " + address + ": the server does not offer it")
	}
	secured := tls.Client(socket, d.tlsConfig(address))
	if err := secured.Handshake(); err != nil {
		return nil, unavailable("TLS with " + address + ": " + err.Error())
	}
	return secured, nil
}

// tlsConfig returns the configuration for a server. Its certificate must name the
// host of address, unless the options set another server name.
func (d *Dialer) tlsConfig(address string) *tls.Config {
	config := d.options.TLS.Clone()
	if config.ServerName != "" {
		return config
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address // the handshake fails
	}
	config.ServerName = host
	return config
}
