package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"

	"lovageslip/control/controlclient"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
)

// answerOrForward runs handle if this host leads, and otherwise forwards the
// request to the leader with call. A request that was forwarded already is
// refused instead, so that it cannot circulate between hosts.
func answerOrForward[Q, A any](
	ctx context.Context,
	s *Server,
	r *connect.Request[Q],
	handle func(context.Context, *leadership, *Q) (*A, error),
	call func(lovageslipv1connect.ControlServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) (*connect.Response[A], error) {
	if l, ok := s.activeLeadership(); ok {
		a, err := handle(ctx, l, r.Msg)
		if err != nil {
			return nil, controlclient.ToConnect(err)
		}
		return connect.NewResponse(a), nil
	}
	if r.Header().Get(controlclient.ForwardedHeader) != "" {
		s.metrics.Counter("forwarded_refused_total").Inc(1)
		return nil, unavailable("this host does not lead")
	}
	return forward(ctx, s, r, call)
}

func forward[Q, A any](
	ctx context.Context,
	s *Server,
	r *connect.Request[Q],
	call func(lovageslipv1connect.ControlServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) (*connect.Response[A], error) {
	name, address, ok := s.consensus.Leader()
	if !ok || name == s.name {
		return nil, unavailable("no leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, s.timing.ForwardTimeout)
	defer cancel()
	ctx, stop := s.contextWhileLeader(ctx, address)
	defer stop()
	forwarded := connect.NewRequest(r.Msg)
	forwarded.Header().Set(controlclient.ForwardedHeader, s.name)
	s.metrics.Counter("forwarded_total").Inc(1)
	response, err := call(s.peer(address), ctx, forwarded)
	if err != nil {
		return nil, controlclient.ToConnect(controlclient.FromConnect(err))
	}
	return connect.NewResponse(response.Msg), nil
}

// contextWhileLeader returns a context that ends once the host at address is no
// longer known as the leader. A frozen leader keeps its connections open and
// answers nothing, so a call to it would otherwise wait for the whole timeout
// although another leader could answer.
func (s *Server) contextWhileLeader(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	tasks.Go(func() {
		ticker := time.NewTicker(s.timing.Tick)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if _, leaderAddress, _ := s.consensus.Leader(); leaderAddress != address {
					cancel()
				}
			}
		}
	})
	return ctx, func() {
		cancel()
		tasks.Wait()
	}
}

func unavailable(detail string) error {
	return controlclient.ToConnect(&controlclient.Unavailable{Detail: detail})
}

func (s *Server) peer(address string) lovageslipv1connect.ControlServiceClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	client, ok := s.peers[address]
	if !ok {
		client = controlclient.New(s.client, address)
		s.peers[address] = client
	}
	return client
}
