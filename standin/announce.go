package standin

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	lovageslipv1 "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/upstream"
)

const (
	announceInterval = 2 * time.Second
	announceTimeout  = time.Second
)

// announcer reports the server's role, term and capacity to the proxies or
// control hosts given in Options.AnnounceTo.
type announcer struct {
	server  *Server
	clients []lovageslipv1connect.ControlServiceClient
	leaving atomic.Bool
	now     chan struct{}
}

func newAnnouncer(s *Server, urls []string) *announcer {
	a := &announcer{server: s, now: make(chan struct{}, 1)}
	httpClient := cmp.Or(s.options.HTTPClient, http.DefaultClient)
	for _, url := range urls {
		client := lovageslipv1connect.NewControlServiceClient(httpClient, url, connect.WithProtoJSON())
		a.clients = append(a.clients, client)
	}
	return a
}

// identity is the part of the server's status that is announced as soon as it
// changes, without waiting for announceInterval.
type identity struct {
	role upstream.Role
	term upstream.Term
}

// run announces the server when it starts, when its role or term changes, and
// every announceInterval. An announcement that no address answered is repeated
// after announceInterval.
func (a *announcer) run(ctx context.Context) {
	var announced identity
	answered := false
	for ctx.Err() == nil {
		status, changed := a.server.state.watch()
		currentIdentity := identity{role: status.Role, term: status.Term}
		if answered && currentIdentity == announced {
			a.waitUntilDue(ctx, currentIdentity, changed)
			answered = false
			continue
		}
		answered = a.announce(ctx) == nil
		announced = currentIdentity
		if !answered {
			waitFor(ctx, nil, announceInterval)
		}
	}
}

// waitUntilDue returns when announceInterval has passed, the role or term
// differs from the announced one, or ctx ends.
func (a *announcer) waitUntilDue(ctx context.Context, announced identity, changed <-chan struct{}) {
	timer := time.NewTimer(announceInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
		var status upstream.Status
		status, changed = a.server.state.watch()
		if status.Role != announced.role || status.Term != announced.term {
			return
		}
	}
}

// announce sends the announcement to one address after the other until one
// answers. It returns the last error if none does.
func (a *announcer) announce(ctx context.Context) error {
	var err error
	for _, client := range a.clients {
		if err = a.announceTo(ctx, client); err == nil {
			return nil
		}
		a.server.log.Debug("announcement to a proxy or control host failed", "error", err)
	}
	return err
}

func (a *announcer) announceTo(ctx context.Context, client lovageslipv1connect.ControlServiceClient) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, err := client.Announce(ctx, connect.NewRequest(a.message()))
	return err
}

func (a *announcer) message() *lovageslipv1.AnnounceRequest {
	status := a.server.state.status()
	return &lovageslipv1.AnnounceRequest{
		Name:           a.server.options.Name,
		Database:       a.server.options.Database,
		Address:        cmp.Or(a.server.options.Advertise, a.server.address),
		DataCentre:     a.server.options.DataCentre,
		Role:           status.Role.String(),
		Term:           uint64(status.Term),
		Position:       uint64(status.Offset),
		Slots:          uint32(a.server.options.Slots),
		MaxConnections: uint32(a.server.options.MaxConnections),
		Leaving:        a.leaving.Load(),
	}
}

// leave announces that the server is leaving. It repeats this until an address
// has answered or ctx ends.
func (a *announcer) leave(ctx context.Context) error {
	a.leaving.Store(true)
	for {
		err := a.announce(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		waitFor(ctx, nil, reconnectDelay)
	}
}
