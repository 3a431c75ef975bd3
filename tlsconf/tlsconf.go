// Package tlsconf builds TLS configurations and HTTP transports from PEM
// files. Between hosts both sides present a certificate of the same authority,
// so that a peer that does not belong is refused before it can send a request.
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
	// PingInterval and PingTimeout find a connection between two hosts that
	// has gone silent.
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

// Server returns the configuration of a listener; nil if TLS is off. With an
// authority, clients must present a certificate that it signed.
func Server(s settings.TLS) (*tls.Config, error) {
	if !s.On() {
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
	config.ClientCAs, err = authority(s.Authority)
	return config, err
}

// Client returns the configuration for connections to servers whose
// certificates the authority signed; nil if TLS is off.
func Client(s settings.TLS) (*tls.Config, error) {
	if !s.On() {
		return nil, nil
	}
	roots, err := authority(s.Authority)
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

func authority(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, &BadFile{File: file, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &BadFile{File: file, Err: &fault.Invalid{Field: "authority", Value: file, Allowed: "PEM certificates"}}
	}
	return pool, nil
}

// Protocols returns HTTP/2 only: with TLS if secure, otherwise in plaintext.
// Servers also take HTTP/1.1, for announcements sent by plain JSON clients.
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

// Meter counts the bytes of connections. It is safe for concurrent use.
type Meter struct {
	Sent, Received Counter
}

// Counter is the part of a tally counter that a Meter needs.
type Counter interface {
	Inc(delta int64)
}

// HTTPClient returns a client for connections to other hosts. A nil config
// means plaintext; otherwise every request goes over TLS, whatever the scheme
// of its URL, so that no part can send plaintext by mistake. A nil meter counts
// nothing.
func HTTPClient(config *tls.Config, meter *Meter) *http.Client {
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
	return &http.Client{Transport: &secureTransport{next: transport}}
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

type secureTransport struct {
	next http.RoundTripper
}

func (t *secureTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Scheme == "https" {
		return t.next.RoundTrip(r)
	}
	secure := r.Clone(r.Context())
	secure.URL.Scheme = "https"
	return t.next.RoundTrip(secure)
}
