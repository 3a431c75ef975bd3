package pgcaller

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	lovageslipv1 "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/registry"
)

// CancelHandler returns the path and the HTTP handler of CallerService. Other
// proxies forward cancel requests with this host's keys to it.
func (s *Server) CancelHandler() (string, http.Handler) {
	return lovageslipv1connect.NewCallerServiceHandler(&cancelService{server: s})
}

type cancelService struct {
	server *Server
}

// CancelRequest implements CallerService. An unknown key is no error, as in the
// PostgreSQL protocol: the answer must not reveal whether a key exists.
func (c *cancelService) CancelRequest(ctx context.Context, r *connect.Request[lovageslipv1.CancelCallerRequest],
) (*connect.Response[lovageslipv1.CancelCallerResponse], error) {
	c.server.Cancel(ctx, r.Msg.GetProcess(), r.Msg.GetSecret())
	return connect.NewResponse(&lovageslipv1.CancelCallerResponse{}), nil
}

// NewCancelForwarder returns a CancelForwarder that sends a cancel request to
// every other host in the registry whose name has the hash in the key. ownName
// is this host's name. Errors: that of the last host that failed.
func NewCancelForwarder(directory registry.Directory, ownName, scheme string, client *http.Client) CancelForwarder {
	return func(ctx context.Context, host uint32, process, secret uint32) error {
		view := directory.View()
		if view == nil {
			return nil
		}
		request := &lovageslipv1.CancelCallerRequest{Process: process, Secret: secret}
		var lastErr error
		for _, h := range view.Hosts {
			if h.Name == ownName || HostHash(h.Name) != host {
				continue
			}
			service := lovageslipv1connect.NewCallerServiceClient(client, scheme+"://"+h.Address)
			if _, err := service.CancelRequest(ctx, connect.NewRequest(request)); err != nil {
				lastErr = err
			}
		}
		return lastErr
	}
}
