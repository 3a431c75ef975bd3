package daemon

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"lovageslip/caller/pgcaller"
	"lovageslip/fault"
	lovageslipv1 "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/registry"
)

// cancelService takes cancel requests that arrived at other proxies.
type cancelService struct {
	proxy *proxy
}

// CancelRequest implements CallerService. An unknown key is no error, as in the
// callers' protocol: the answer must not tell whether a key exists.
func (c *cancelService) CancelRequest(ctx context.Context, r *connect.Request[lovageslipv1.CancelCallerRequest],
) (*connect.Response[lovageslipv1.CancelCallerResponse], error) {
	c.proxy.callers.Cancel(ctx, r.Msg.GetProcess(), r.Msg.GetSecret())
	return connect.NewResponse(&lovageslipv1.CancelCallerResponse{}), nil
}

// forwardCancel returns a function that passes a cancel request on to the hosts
// whose name has the given hash.
func forwardCancel(directory registry.Directory, client *http.Client) pgcaller.CancelForwarder {
	return func(ctx context.Context, host uint32, process, secret uint32) error {
		view := directory.View()
		if view == nil {
			return &fault.NotRun{Reason: fault.ReasonNoUpstream, Detail: "no hosts are known yet"}
		}
		request := &lovageslipv1.CancelCallerRequest{Process: process, Secret: secret}
		for _, h := range view.Hosts {
			if pgcaller.HostHash(h.Name) != host {
				continue
			}
			service := lovageslipv1connect.NewCallerServiceClient(client, "http://"+h.Address)
			if _, err := service.CancelRequest(ctx, connect.NewRequest(request)); err != nil {
				return &fault.IO{Op: "forward cancel request to " + h.Name, Err: err}
			}
		}
		return nil
	}
}
