package sitewatch

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"lovageslip/bootclock"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/internal/pause"
	"lovageslip/site"
	"lovageslip/sitecontrol"
	"lovageslip/tlsconf"
)

// fakeControlHost is a control host that knows a leader. Its state does not change.
type fakeControlHost struct {
	lovageslipv1connect.UnimplementedSiteServiceHandler
	state *pb.SiteUpdate
	// confirmedAt is when it has last confirmed its state. The zero time stands for
	// a host that confirms it with each report.
	confirmedAt time.Time
}

func startFakeControlHost(t *testing.T, h *fakeControlHost) (address string) {
	mux := http.NewServeMux()
	mux.Handle(lovageslipv1connect.NewSiteServiceHandler(h))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = tlsconf.Protocols(false, true)
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (h *fakeControlHost) Watch(ctx context.Context, _ *connect.Request[pb.WatchSiteRequest], stream *connect.ServerStream[pb.SiteUpdate]) error {
	update := h.state
	for {
		if err := stream.Send(update); err != nil {
			return err
		}
		update = &pb.SiteUpdate{Index: h.state.Index}
		if !pause.For(ctx, sitecontrol.KeepAliveInterval) {
			return ctx.Err()
		}
	}
}

func (h *fakeControlHost) Report(context.Context, *connect.Request[pb.ReportRequest]) (*connect.Response[pb.ReportResponse], error) {
	response := &pb.ReportResponse{Index: h.state.Index, ConfirmedMs: 1}
	if !h.confirmedAt.IsZero() {
		response.ConfirmedMs = uint32(bootclock.Since(h.confirmedAt)/time.Millisecond) + 1
	}
	return connect.NewResponse(response), nil
}

// viewChannel is a Proxy that passes its views on.
type viewChannel chan *site.View

func (c viewChannel) SetView(v *site.View)                                 { c <- v }
func (c viewChannel) PrimaryReachability() (unreachable, untried []string) { return nil, nil }

// Guards against a proxy that never learns that an upstream leaves, because it watches a
// control host that knows a leader but lags behind the others.
func TestProxyTurnsFromAControlHostThatLags(t *testing.T) {
	const leavingPeriod = 7 * time.Second // of the users' sites
	begunAt := bootclock.Now()
	config := &pb.SiteConfig{Version: 1, Groups: []*pb.SiteGroup{{Name: "g"}}}
	current := startFakeControlHost(t, &fakeControlHost{state: &pb.SiteUpdate{
		Index: 6, Config: config, Topology: true, Upstreams: []*pb.SiteUpstream{newUpstream("a", 0, true)},
	}})
	lagging := startFakeControlHost(t, &fakeControlHost{confirmedAt: begunAt, state: &pb.SiteUpdate{
		Index: 5, Config: config, Topology: true, Upstreams: []*pb.SiteUpstream{newUpstream("a", 0, false)}, ControlHosts: []string{current},
	}})
	w := New(Options{
		Name: "p1", Seeds: func() []string { return []string{lagging} }, HTTPClient: tlsconf.HTTPClient(nil), Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	views, ended := make(viewChannel, 10), make(chan struct{})
	go func() { defer close(ended); w.Run(ctx, views) }()
	defer func() { cancel(); <-ended }()
	periodOver := time.After(leavingPeriod)
	for leaving := false; !leaving; {
		select {
		case v := <-views:
			leaving = v.Groups()[0].Upstream("a").Leaving
		case <-periodOver:
			t.Fatal("the proxy kept the view of the host that lags")
		}
	}
	assert.Assert(t, bootclock.Since(begunAt) > sitecontrol.ReportInterval, "the proxy watched the current host first")
}
