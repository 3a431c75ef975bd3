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

// announcementRecorder is a control host that records the announcements sent to it.
type announcementRecorder struct {
	lovageslipv1connect.UnimplementedControlServiceHandler
	mu            sync.Mutex
	announcements []*lovageslipv1.AnnounceRequest
}

func (r *announcementRecorder) Announce(_ context.Context, request *connect.Request[lovageslipv1.AnnounceRequest]) (*connect.Response[lovageslipv1.AnnounceResponse], error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.announcements = append(r.announcements, request.Msg)
	return connect.NewResponse(&lovageslipv1.AnnounceResponse{}), nil
}

func (r *announcementRecorder) last() *lovageslipv1.AnnounceRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.announcements) == 0 {
		return &lovageslipv1.AnnounceRequest{}
	}
	return r.announcements[len(r.announcements)-1]
}

// Guards against a server that doesn't announce itself because the first address
// doesn't answer, or that doesn't announce a new role or that it is leaving.
func TestAnnouncements(t *testing.T) {
	recorder := &announcementRecorder{}
	mux := http.NewServeMux()
	mux.Handle(lovageslipv1connect.NewControlServiceHandler(recorder))
	host := httptest.NewServer(mux)
	defer host.Close()
	server := start(t, Options{
		Name: "u1", Database: "db", DataCentre: "luzon", Slots: 5, MaxConnections: 70,
		AnnounceTo: []string{"http://127.0.0.1:1", host.URL},
	})
	eventually(t, "announced", func() bool { return recorder.last().Name == "u1" })
	first := recorder.last()
	assert.Equal(t, first.Address, server.Address())
	assert.Equal(t, first.Role, "primary")
	assert.Equal(t, first.Slots, uint32(5))
	assert.Equal(t, first.MaxConnections, uint32(70))
	callServerFunction(t, server, "follow(2, '127.0.0.1:1')")
	eventually(t, "change announced", func() bool { return recorder.last().Role == "replica" && recorder.last().Term == 2 })
	assert.NilError(t, server.AnnounceLeaving(t.Context()))
	assert.Assert(t, recorder.last().Leaving)
}
