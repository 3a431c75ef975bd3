package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	lovageslipv1 "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
)

// registry records announcements.
type registry struct {
	lovageslipv1connect.UnimplementedControlServiceHandler
	mu   sync.Mutex
	seen []*lovageslipv1.AnnounceRequest
}

func (r *registry) Announce(_ context.Context, request *connect.Request[lovageslipv1.AnnounceRequest]) (*connect.Response[lovageslipv1.AnnounceResponse], error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, request.Msg)
	return connect.NewResponse(&lovageslipv1.AnnounceResponse{}), nil
}

func (r *registry) last() *lovageslipv1.AnnounceRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.seen) == 0 {
		return &lovageslipv1.AnnounceRequest{}
	}
	return r.seen[len(r.seen)-1]
}

// Guards against a server that isn't announced because one address is dead, or
// whose change of role or leaving isn't announced.
func TestAnnouncements(t *testing.T) {
	seen := &registry{}
	mux := http.NewServeMux()
	mux.Handle(lovageslipv1connect.NewControlServiceHandler(seen))
	host := httptest.NewServer(mux)
	defer host.Close()
	server := start(t, Options{
		Name: "u1", Database: "db", DataCentre: "luzon", Slots: 5, MaxConnections: 70,
		AnnounceTo: []string{"http://127.0.0.1:1", host.URL},
	})
	eventually(t, "announced", func() bool { return seen.last().Name == "u1" })
	first := seen.last()
	assert.Equal(t, first.Address, server.Address())
	assert.Equal(t, first.Role, "primary")
	assert.Equal(t, first.Slots, uint32(5))
	assert.Equal(t, first.MaxConnections, uint32(70))
	command(t, server, "follow(2, '127.0.0.1:1')")
	eventually(t, "change announced", func() bool { return seen.last().Role == "replica" && seen.last().Term == 2 })
	assert.NilError(t, server.AnnounceLeaving(t.Context()))
	assert.Assert(t, seen.last().Leaving)
}
