package control

import (
	"context"
	"slices"
	"strings"

	"connectrpc.com/connect"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
)

// Status describes the system as the leader sees it.
func (s *Server) Status(ctx context.Context, r *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	return answerOrForward(ctx, s, r, s.status, lovageslipv1connect.ControlServiceClient.Status)
}

func (s *Server) status(ctx context.Context, l *leadership, _ *pb.StatusRequest) (*pb.StatusResponse, error) {
	if _, err := s.consensus.ReadIndex(ctx); err != nil {
		return nil, err
	}
	applied, _ := s.consensus.Applied()
	frame := s.state.Frame()
	whole := frame.WholeMessage()
	return &pb.StatusResponse{
		Host:      s.name,
		Leader:    s.name,
		Term:      l.term,
		Applied:   applied,
		Version:   frame.Version,
		Upstreams: whole.GetUpstreams(),
		Groups:    whole.GetGroups(),
		Hosts:     whole.GetHosts(),
		Health:    l.health(),
	}, nil
}

func (l *leadership) health() []*pb.UpstreamHealth {
	l.mu.Lock()
	defer l.mu.Unlock()
	health := make([]*pb.UpstreamHealth, 0, len(l.upstreamHealth))
	for _, h := range l.upstreamHealth {
		health = append(health, h)
	}
	slices.SortFunc(health, func(a, b *pb.UpstreamHealth) int { return strings.Compare(a.GetUpstream(), b.GetUpstream()) })
	return health
}
