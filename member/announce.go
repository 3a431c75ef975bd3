package member

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"lovageslip/control/controlclient"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
)

// Announce forwards an upstream's announcement to a control host, trying each
// of them once. This is safe because a repeated announcement changes nothing.
func (a *Agent) Announce(ctx context.Context, r *pb.AnnounceRequest) (*pb.AnnounceResponse, error) {
	var lastErr error = &controlclient.Unavailable{Detail: "no control host is configured"}
	first := a.randomHost()
	for i := range a.clients {
		response, err := a.announceTo(ctx, first+i, r)
		if err == nil {
			return response, nil
		}
		lastErr = controlclient.FromConnect(err)
		if connect.CodeOf(err) == connect.CodeInvalidArgument || ctx.Err() != nil {
			break
		}
	}
	a.metrics.Counter("announcements_failed_total").Inc(1)
	return nil, lastErr
}

func (a *Agent) announceTo(ctx context.Context, host int, r *pb.AnnounceRequest) (*pb.AnnounceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.HeartbeatTimeout)
	defer cancel()
	response, err := a.client(host).Announce(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// AnnounceHandler returns the path and the handler of the Announce call, which
// proxies serve as control hosts do: JSON over HTTP POST or connect.
func (a *Agent) AnnounceHandler() (string, http.Handler) {
	serve := func(ctx context.Context, r *connect.Request[pb.AnnounceRequest]) (*connect.Response[pb.AnnounceResponse], error) {
		if a.options.OnAnnouncement != nil {
			a.options.OnAnnouncement(r.Msg)
		}
		response, err := a.Announce(ctx, r.Msg)
		if err != nil {
			return nil, controlclient.ToConnect(err)
		}
		return connect.NewResponse(response), nil
	}
	path := lovageslipv1connect.ControlServiceAnnounceProcedure
	return path, connect.NewUnaryHandler(path, serve)
}
