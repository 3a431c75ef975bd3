// Package tlsconf builds TLS configurations and HTTP clients for the daemons and
// tools from the PEM files in their settings or flags. On connections between
// hosts, both sides present a certificate of the same authority, so that other
// peers are refused in the handshake, before they can send a request.
package tlsconf

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"time"

	"lovageslip/fault"
	"lovageslip/settings"
)

const (
	// PingInterval and PingTimeout are the HTTP/2 keepalive settings that
	// detect a connection between two hosts on which nothing arrives.
	PingInterval = 2 * time.Second
	PingTimeout  = 2 * time.Second

	dialTimeout          = 2 * time.Second
	maxConcurrentStreams = 100_000
)

// BadFile reports a PEM file that cannot be used.
type BadFile struct {
	File string
	Err  error
}

func (e *BadFile) Error() string { return e.File + ": " + e.Err.Error() }

func (e *BadFile) Unwrap() error { return e.Err }

// Server returns the TLS configuration of a listener, or nil if TLS is off. If s
// has an authority, clients must present a certificate signed by it or by
// s.Announcers. Errors: *BadFile.
func Server(s settings.TLS) (*tls.Config, error) {
	if !s.Enabled() {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, &BadFile{File: s.Certificate, Err: err}
	}
	config := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
	if s.Authority == "" {
		return config, nil
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs, err = newCertPool(s.Authority, s.Announcers)
	return config, err
}

// Client returns the TLS configuration for connections to servers whose
// certificates s.Authority signed, or nil if TLS is off. Errors: *BadFile.
func Client(s settings.TLS) (*tls.Config, error) {
	if !s.Enabled() {
		return nil, nil
	}
	roots, err := newCertPool(s.Authority)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}
	if s.Certificate == "" {
		return config, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, &BadFile{File: s.Certificate, Err: err}
	}
	config.Certificates = []tls.Certificate{certificate}
	return config, nil
}

// newCertPool returns a pool of the certificates in files. It skips empty file
// names.
func newCertPool(files ...string) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	for _, file := range files {
		if file == "" {
			continue
		}
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, &BadFile{File: file, Err: err}
		}
		if !pool.AppendCertsFromPEM(content) {
			return nil, &BadFile{File: file, Err: &fault.Invalid{Field: "authority", Value: file, Allowed: "PEM certificates"}}
		}
	}
	return pool, nil
}

// Protocols returns the HTTP versions of a server or client: HTTP/2 over TLS if
// secure, otherwise plaintext HTTP/2. Servers also accept HTTP/1.1, because plain
// JSON clients may send announcements.
func Protocols(secure, server bool) *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP2(secure)
	protocols.SetUnencryptedHTTP2(!secure)
	protocols.SetHTTP1(server)
	return protocols
}

// HTTP2 returns the HTTP/2 settings of connections between hosts.
func HTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxConcurrentStreams,
		SendPingTimeout:      PingInterval,
		PingTimeout:          PingTimeout,
	}
}

// Meter counts the bytes that connections send and receive. It is safe for
// concurrent use.
type Meter struct {
	Sent, Received Counter
}

// Counter is the subset of tally.Counter that a Meter uses.
type Counter interface {
	Inc(delta int64)
}

// HTTPClient returns a client for requests to other hosts. If config is nil, it
// sends plaintext. Otherwise it sends every request over TLS, whatever the scheme
// of its URL, so that no caller can send plaintext by mistake.
func HTTPClient(config *tls.Config) *http.Client { return MeteredHTTPClient(config, nil) }

// MeteredHTTPClient is like HTTPClient and also counts the bytes of its
// connections in meter, unless meter is nil.
func MeteredHTTPClient(config *tls.Config, meter *Meter) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		TLSClientConfig: config,
		Protocols:       Protocols(config != nil, false),
		HTTP2:           HTTP2(),
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil || meter == nil {
				return conn, err
			}
			return &meteredConn{Conn: conn, meter: meter}, nil
		},
	}
	if config == nil {
		return &http.Client{Transport: transport}
	}
	return &http.Client{Transport: &httpsTransport{next: transport}}
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.Received.Inc(int64(n))
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.Sent.Inc(int64(n))
	return n, err
}

// httpsTransport sends every request over TLS, also if the scheme of its URL is
// http.
type httpsTransport struct {
	next *http.Transport
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections, which would
// otherwise have no effect on the connections of next.
func (t *httpsTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

func (t *httpsTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Scheme == "https" {
		return t.next.RoundTrip(r)
	}
	httpsRequest := r.Clone(r.Context())
	httpsRequest.URL.Scheme = "https"
	return t.next.RoundTrip(httpsRequest)
}
