package control

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"lovageslip/controlstate"
	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
)

// Announce registers an upstream or updates its registration. A command goes
// to the replicated log only if the announcement differs from the registration.
func (s *Server) Announce(ctx context.Context, r *connect.Request[pb.AnnounceRequest]) (*connect.Response[pb.AnnounceResponse], error) {
	return answerOrForward(ctx, s, r, s.announce, lovageslipv1connect.ControlServiceClient.Announce)
}

func (s *Server) announce(ctx context.Context, l *leadership, a *pb.AnnounceRequest) (*pb.AnnounceResponse, error) {
	if err := CheckAnnouncement(a); err != nil {
		return nil, err
	}
	frame := s.state.Frame()
	current := frame.Upstreams[a.GetName()]
	if current != nil && current.GetDatabase() != a.GetDatabase() {
		return nil, &fault.Invalid{Field: "name", Value: a.GetName(), Allowed: "a name that no upstream of another database has"}
	}
	if current != nil && proto.Equal(current, controlstate.Registration(current, a)) {
		s.metrics.Counter("announcements_unchanged_total").Inc(1)
		return &pb.AnnounceResponse{Version: frame.Version}, nil
	}
	result, err := s.propose(ctx, &pb.Command{Command: &pb.Command_Register{Register: &pb.RegisterUpstream{Announce: a}}})
	if err != nil {
		return nil, err
	}
	s.log.Info("upstream registered", "upstream", a.GetName(), "database", a.GetDatabase(), "leaving", a.GetLeaving())
	return &pb.AnnounceResponse{Version: result.GetVersion()}, nil
}

// CheckAnnouncement returns a *fault.Invalid for the first invalid field of an
// announcement, or nil.
func CheckAnnouncement(a *pb.AnnounceRequest) error {
	switch {
	case a.GetName() == "":
		return &fault.Invalid{Field: "name", Allowed: "a name"}
	case a.GetDatabase() == "":
		return &fault.Invalid{Field: "database", Allowed: "a name"}
	case a.GetSlots() == 0:
		return &fault.Invalid{Field: "slots", Value: "0", Allowed: "1 or more"}
	case a.GetMaxConnections() == 0:
		return &fault.Invalid{Field: "max_connections", Value: "0", Allowed: "1 or more"}
	}
	return checkAddress(a.GetAddress())
}
