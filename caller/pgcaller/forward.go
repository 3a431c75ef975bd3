package pgcaller

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/emptypb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"lovageslip/registry"
)

// cancelProcedure takes a key, the process id in the upper half.
const cancelProcedure = "/lovageslip.v1.CallerService/Cancel"

const secretBits = 32

// CancelHandler returns the path and the HTTP handler that takes cancel
// requests from other hosts.
func (s *Server) CancelHandler() (string, http.Handler) {
	cancel := func(ctx context.Context, request *connect.Request[wrapperspb.UInt64Value]) (*connect.Response[emptypb.Empty], error) {
		value := request.Msg.GetValue()
		s.Cancel(ctx, uint32(value>>secretBits), uint32(value))
		return connect.NewResponse(&emptypb.Empty{}), nil
	}
	return cancelProcedure, connect.NewUnaryHandler(cancelProcedure, cancel)
}

// NewCancelForwarder returns a forwarder that sends cancel requests to the
// other hosts of the registry whose name has the key's hash. ownName is this
// host's name.
func NewCancelForwarder(directory registry.Directory, ownName, scheme string, client *http.Client) CancelForwarder {
	return func(ctx context.Context, host uint32, process, secret uint32) error {
		view := directory.View()
		if view == nil {
			return nil
		}
		value := uint64(process)<<secretBits | uint64(secret)
		var last error
		for _, h := range view.Hosts {
			if h.Name == ownName || HostHash(h.Name) != host {
				continue
			}
			if err := forwardCancel(ctx, client, scheme+"://"+h.Address, value); err != nil {
				last = err
			}
		}
		return last
	}
}

func forwardCancel(ctx context.Context, client *http.Client, base string, value uint64) error {
	call := connect.NewClient[wrapperspb.UInt64Value, emptypb.Empty](client, base+cancelProcedure)
	_, err := call.CallUnary(ctx, connect.NewRequest(wrapperspb.UInt64(value)))
	return err
}
