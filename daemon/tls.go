package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"

	"lovageslip/fault"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/settings"
	"lovageslip/tlsconf"
)

// hostTLS holds both sides of the connections between hosts.
type hostTLS struct {
	server *tlsServer
	client *tls.Config // nil if TLS is off
}

// tlsServer wraps listeners. The zero value leaves them as they are.
type tlsServer struct {
	config *tls.Config // nil if TLS is off
}

func loadHostTLS(s settings.TLS) (hostTLS, error) {
	server, err := tlsconf.Server(s)
	if err != nil {
		return hostTLS{}, err
	}
	client, err := tlsconf.Client(s)
	if err != nil {
		return hostTLS{}, err
	}
	return hostTLS{server: &tlsServer{config: server}, client: client}, nil
}

func (s *tlsServer) wrap(listener net.Listener) net.Listener {
	if s.config == nil {
		return listener
	}
	config := s.config.Clone()
	config.NextProtos = []string{"h2", "http/1.1"}
	return tls.NewListener(listener, config)
}

// serveHosts serves the calls of other hosts until ctx ends. Peers that are
// refused in the handshake are logged.
func serveHosts(ctx context.Context, listener net.Listener, files settings.TLS, handler http.Handler, log *slog.Logger) error {
	limited, err := tlsconf.LimitAnnouncers(files, lovageslipv1connect.ControlServiceAnnounceProcedure, handler)
	if err != nil {
		return err
	}
	server := newHostServer(limited)
	server.ErrorLog = slog.NewLogLogger(log.Handler(), slog.LevelWarn)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return &fault.IO{Op: "serve hosts", Err: err}
	}
	return nil
}

// newHostServer serves HTTP/2, and HTTP/1.1 for announcements by plain JSON
// clients. The listener brings TLS, if any.
func newHostServer(handler http.Handler) *http.Server {
	protocols := tlsconf.Protocols(true, true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		HTTP2:             tlsconf.HTTP2(),
		ReadHeaderTimeout: headerTimeout,
	}
}
