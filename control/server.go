// Package control implements ControlService, which package daemon serves on
// each control host: announcements of upstreams, heartbeats and leases of
// proxies, the Watch stream and operators' changes. The host that leads the
// replicated log also assigns owners to upstreams and changes their primaries.
package control

import (
	"context"
	"log/slog"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"lovageslip/consensus"
	"lovageslip/control/controlclient"
	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/upstream"
)

// Options holds the dependencies and the timing of a Server.
type Options struct {
	Log     *slog.Logger
	Metrics tally.Scope
	// Name is this host's name.
	Name string
	// Consensus is the replicated log; State is the state machine that
	// applies its entries.
	Consensus consensus.Log
	State     *controlstate.State
	// Dialer connects to upstreams for changes of primary. If it is nil, the
	// host changes no primary.
	Dialer upstream.Dialer
	// HTTPClient reaches other control hosts; controlclient.NewHTTPClient if
	// nil.
	HTTPClient connect.HTTPClient
	// Timing overrides the default durations in tests; zero fields keep them.
	Timing Timing
}

// Server implements ControlService. It is safe for concurrent use.
type Server struct {
	name      string
	log       *slog.Logger
	metrics   tally.Scope
	consensus consensus.Log
	state     *controlstate.State
	dialer    upstream.Dialer
	client    connect.HTTPClient
	timing    Timing
	deltas    deltaCache
	// failoverLog and failoverMetrics are passed to the failover supervisor
	// of each leadership.
	failoverLog     *slog.Logger
	failoverMetrics tally.Scope
	wake            chan struct{}

	// mu guards leadership and peers.
	mu         sync.Mutex
	leadership *leadership // nil unless this host acts as leader
	peers      map[string]lovageslipv1connect.ControlServiceClient
}

// New returns a server. Run must be called for it to act as leader.
func New(o Options) *Server {
	client := o.HTTPClient
	if client == nil {
		client = controlclient.NewHTTPClient()
	}
	return &Server{
		name:      o.Name,
		log:       logging.For(o.Log, "control"),
		metrics:   metrics.OrNoop(o.Metrics).SubScope("control"),
		consensus: o.Consensus,
		state:     o.State,
		dialer:    o.Dialer,
		client:    client,
		timing:    o.Timing.withDefaults(),
		wake:      make(chan struct{}, 1),
		peers:     map[string]lovageslipv1connect.ControlServiceClient{},

		failoverLog:     o.Log,
		failoverMetrics: o.Metrics,
	}
}

// Handler returns the path and the handler of the service, for a mux that
// serves HTTP/1.1 or HTTP/2 without TLS.
func (s *Server) Handler() (string, http.Handler) {
	return lovageslipv1connect.NewControlServiceHandler(s)
}

// propose appends a command to the replicated log and returns the result of
// applying it.
func (s *Server) propose(ctx context.Context, cmd *pb.Command) (*pb.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timing.ProposeTimeout)
	defer cancel()
	cmd.ProposedUnixMicros = s.timing.now().UnixMicro()
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, &controlstate.SnapshotError{Op: "encode", Err: err}
	}
	result, err := s.consensus.Propose(ctx, data)
	if err != nil {
		s.metrics.Counter("proposals_failed_total").Inc(1)
		return nil, err
	}
	return controlstate.DecodeResult(result), nil
}

// Wake makes the leader loop run at once instead of at its next tick, for
// example after the leadership has changed.
func (s *Server) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
