package control

import (
	"context"

	"connectrpc.com/connect"

	"lovageslip/control/controlclient"
	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
)

// ChangeClass changes a class. It is idempotent: a call with a known change id
// gets the answer to the first call.
func (s *Server) ChangeClass(ctx context.Context, r *connect.Request[pb.ChangeClassRequest]) (*connect.Response[pb.ChangeClassResponse], error) {
	return answerOrForward(ctx, s, r, s.changeClass, lovageslipv1connect.ControlServiceClient.ChangeClass)
}

func (s *Server) changeClass(ctx context.Context, _ *leadership, r *pb.ChangeClassRequest) (*pb.ChangeClassResponse, error) {
	if r.GetDryRun() || len(controlstate.ValidateClassChange(r)) > 0 {
		if _, err := s.consensus.ReadIndex(ctx); err != nil {
			return nil, err
		}
		return s.state.DryRun(r), nil
	}
	result, err := s.propose(ctx, &pb.Command{Command: &pb.Command_ChangeClass{ChangeClass: r}})
	if err != nil {
		return nil, err
	}
	s.countChange(result.GetClassChange())
	return result.GetClassChange(), nil
}

func (s *Server) countChange(r *pb.ChangeClassResponse) {
	if r.GetConflict() {
		s.metrics.Counter("class_conflicts_total").Inc(1)
		return
	}
	s.metrics.Counter("class_changes_total").Inc(1)
}

// ListClasses returns the classes after a quorum read.
func (s *Server) ListClasses(ctx context.Context, _ *connect.Request[pb.ListClassesRequest]) (*connect.Response[pb.ListClassesResponse], error) {
	if _, err := s.consensus.ReadIndex(ctx); err != nil {
		return nil, controlclient.ToConnect(err)
	}
	version, classes := s.state.Classes()
	return connect.NewResponse(&pb.ListClassesResponse{Version: version, Classes: classes}), nil
}

// History returns the accepted class changes after a quorum read, the latest
// first.
func (s *Server) History(ctx context.Context, r *connect.Request[pb.HistoryRequest]) (*connect.Response[pb.HistoryResponse], error) {
	if _, err := s.consensus.ReadIndex(ctx); err != nil {
		return nil, controlclient.ToConnect(err)
	}
	changes := s.state.History(int(r.Msg.GetLimit()))
	return connect.NewResponse(&pb.HistoryResponse{Changes: changes}), nil
}
