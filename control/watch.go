package control

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"lovageslip/control/controlclient"
	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
)

// minWatchMessageInterval is the minimum time between two messages with
// changes, so that a burst of changes is sent as one message.
const minWatchMessageInterval = 20 * time.Millisecond

// Watch streams the state of this host and its changes. It starts after a
// quorum read, so that the first message is no older than the call.
func (s *Server) Watch(ctx context.Context, r *connect.Request[pb.WatchRequest], stream *connect.ServerStream[pb.WatchResponse]) error {
	if _, err := s.consensus.ReadIndex(ctx); err != nil {
		return controlclient.ToConnect(err)
	}
	frame := s.state.Frame()
	if frame.Version < r.Msg.GetVersion() {
		return unavailable("the caller holds a later version")
	}
	s.metrics.Counter("watches_total").Inc(1)
	if err := stream.Send(firstMessage(frame, r.Msg.GetVersion())); err != nil {
		return err
	}
	return s.streamChanges(ctx, frame, stream.Send)
}

// firstMessage returns the whole state, or just the version for a caller that
// already holds it: equal versions mean equal states.
func firstMessage(frame *controlstate.Frame, callerVersion uint64) *pb.WatchResponse {
	if callerVersion != 0 && callerVersion == frame.Version {
		return frame.ChangesSince(frame)
	}
	return frame.WholeMessage()
}

func (s *Server) streamChanges(ctx context.Context, sent *controlstate.Frame, send func(*pb.WatchResponse) error) error {
	ticker := time.NewTicker(s.timing.WatchInterval)
	defer ticker.Stop()
	for {
		changed := s.state.Changed()
		next := s.state.Frame()
		if next.Version != sent.Version {
			if err := send(s.deltas.between(sent, next)); err != nil {
				return err
			}
			sent = next
			if !pause.For(ctx, minWatchMessageInterval) {
				return ctx.Err()
			}
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
			if err := send(sent.ChangesSince(sent)); err != nil {
				return err
			}
		}
	}
}

// deltaCache keeps the latest difference between two versions, so that it is
// built once for all streams that are at the same version.
type deltaCache struct {
	// mu guards the fields below.
	mu       sync.Mutex
	from, to *controlstate.Frame
	message  *pb.WatchResponse
}

func (c *deltaCache) between(from, to *controlstate.Frame) *pb.WatchResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.message == nil || c.from != from || c.to != to {
		c.from, c.to, c.message = from, to, to.ChangesSince(from)
	}
	return c.message
}
