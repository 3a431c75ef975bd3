package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"lovageslip/fault"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/settings"
	"lovageslip/tlsconf"
)

// hostTLS holds the TLS configuration of connections between hosts, as server
// and as client.
type hostTLS struct {
	server *tlsServer
	client *tls.Config // nil if TLS is off
}

// tlsServer adds TLS to listeners. The zero value returns them unchanged.
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
// refused in the handshake are logged. Calls in flight when ctx ends may finish
// within grace.
func serveHosts(ctx context.Context, listener net.Listener, files settings.TLS, handler http.Handler, grace time.Duration, log *slog.Logger) error {
	limited, err := tlsconf.LimitAnnouncers(files, lovageslipv1connect.ControlServiceAnnounceProcedure, handler)
	if err != nil {
		return err
	}
	server := newHostServer(limited)
	server.ErrorLog = slog.NewLogLogger(log.Handler(), slog.LevelWarn)
	drained := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(drained)
		shutDownServer(server, grace)
	})
	err = server.Serve(listener)
	if stop() {
		return &fault.IO{Op: "serve hosts", Err: err}
	}
	<-drained
	return nil
}

func shutDownServer(server *http.Server, grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if grace > 0 {
		_ = server.Shutdown(ctx) // what has not finished by then is closed
	}
	_ = server.Close()
}

// newHostServer returns a server of HTTP/2, and of HTTP/1.1 for announcements by
// plain JSON clients. TLS, if any, is added by the listener.
func newHostServer(handler http.Handler) *http.Server {
	protocols := tlsconf.Protocols(true, true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		HTTP2:             tlsconf.HTTP2(),
		ReadHeaderTimeout: readHeaderTimeout,
	}
}
