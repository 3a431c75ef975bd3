package exchange

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// pingAfter is how long a connection may deliver nothing before it is
	// checked with a ping, and pingTimeout how long the answer may take before
	// the connection is closed.
	pingAfter   = 2 * time.Second
	pingTimeout = 2 * time.Second
	// maxStreams is how many exchanges one entry proxy may have open with one
	// owner. The limits of the owner's queues are reached well below it.
	maxStreams = 100_000
	// dialTimeout bounds the time to connect to an owner.
	dialTimeout = 2 * time.Second
	// streamWindow and connectionWindow bound the answer bytes in flight. All
	// exchanges with an owner share a connection, so slow callers must not use
	// up its window, which would block all others: it holds 64 full streams.
	streamWindow     = 64 << 10
	connectionWindow = 4<<20 - 1
)

// HTTP2Config returns the settings that both ends of a connection use.
func HTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          maxStreams,
		StrictMaxConcurrentRequests:   true,
		SendPingTimeout:               pingAfter,
		PingTimeout:                   pingTimeout,
		WriteByteTimeout:              pingAfter + pingTimeout,
		MaxReceiveBufferPerStream:     streamWindow,
		MaxReceiveBufferPerConnection: connectionWindow,
	}
}

// NewHTTPClient returns an HTTP client that opens one plaintext HTTP/2
// connection per owner.
func NewHTTPClient() *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		Protocols:   &protocols,
		HTTP2:       HTTP2Config(),
		DialContext: dialer.DialContext,
	}}
}

// ConfigureServer makes an HTTP server accept plaintext HTTP/2 besides
// HTTP/1.1.
func ConfigureServer(server *http.Server) {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	server.Protocols = &protocols
	server.HTTP2 = HTTP2Config()
}

// LocalGateway is a Gateway that calls this host's own Handler directly and passes
// other addresses on.
type LocalGateway struct {
	Address string
	Handler Handler
	Remote  Gateway
}

// OpenAt implements Gateway.
func (l *LocalGateway) OpenAt(ctx context.Context, address string, open Open) (Stream, error) {
	if address == l.Address {
		return l.Handler.Open(ctx, open)
	}
	return l.Remote.OpenAt(ctx, address, open)
}
