// Package member is the proxy's side of control. An Agent keeps the proxy's
// leases by heartbeats, holds the view of the registry that a Watch stream
// brings, and passes announcements of upstreams on to control.
package member

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"lovageslip/control/controlclient"
	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/internal/pause"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/registry"
)

const (
	// heartbeatInterval leaves room for five lost heartbeats in a lease.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout lets two control hosts be tried within a lease.
	heartbeatTimeout = time.Second
	// silenceLimit is four times the interval at which a control host sends
	// on a Watch stream without changes.
	silenceLimit = 2 * time.Second
	// behindLimit is how long a stream may be behind the leader's version.
	behindLimit = time.Second
	// retryDelay is the mean pause after the first failed call. It doubles
	// with each further failure up to maxRetryFactor times, and is
	// randomized, so that proxies do not return to a control host at once.
	retryDelay     = 100 * time.Millisecond
	maxRetryFactor = 4
)

// HealthSource supplies reports on the upstreams that this host owns.
type HealthSource interface {
	// Health returns the current reports. It must be safe for concurrent
	// use and must not block.
	Health() []*pb.UpstreamHealth
}

// Timing holds the times that tests shorten. Zero fields mean the defaults.
type Timing struct {
	Heartbeat        time.Duration
	HeartbeatTimeout time.Duration
	Silence          time.Duration
	Behind           time.Duration
	Retry            time.Duration
}

// Options configures an Agent.
type Options struct {
	Log     *slog.Logger
	Metrics tally.Scope
	// Control lists the addresses of the control hosts (IP number and port).
	Control []string
	// Name, Address (IP number and port for other hosts) and DataCentre
	// describe this host.
	Name       string
	Address    string
	DataCentre string
	// Health may be nil.
	Health HealthSource
	// Announced is told of each announcement that reaches this host, before
	// control answers, so that an owner acts on a leaving upstream at once.
	// It may be nil and must not block.
	Announced func(*pb.AnnounceRequest)
	// HTTPClient reaches control hosts; controlclient.NewHTTPClient if nil.
	HTTPClient connect.HTTPClient
	Timing     Timing
}

// Agent implements registry.Directory and registry.Leases. It is safe for
// concurrent use.
type Agent struct {
	log         *slog.Logger
	metrics     tally.Scope
	options     Options
	timing      Timing
	incarnation uint64
	clients     []lovageslipv1connect.ControlServiceClient
	nudged      chan struct{}

	// mu guards every field below.
	mu      sync.Mutex
	frame   *controlstate.Frame // nil before the first confirmed state
	changed chan struct{}
	leases  map[string]registry.Lease
	// required is the version that the last renewal named, and behindSince
	// since when the view has been older than that.
	required    uint64
	behindSince time.Time
	// pending are renewals that do not count yet, because the view is older
	// than the version that they require.
	pending         map[string]registry.Lease
	pendingRequired uint64
	// handedOver are epochs that were given up at the request of control.
	handedOver map[string]uint64
	releasing  bool
	// currentUntil is one lease after the sending of the last heartbeat whose
	// version the view has; pendingUntil is the same for the last answered one.
	currentUntil time.Time
	pendingUntil time.Time
}

// New returns an agent. Run must be called for it to do anything.
func New(o Options) *Agent {
	client := o.HTTPClient
	if client == nil {
		client = controlclient.NewHTTPClient()
	}
	a := &Agent{
		log:         logging.For(o.Log, "member"),
		metrics:     metrics.OrNoop(o.Metrics).SubScope("member"),
		options:     o,
		timing:      o.Timing.withDefaults(),
		incarnation: rand.Uint64() | 1,
		nudged:      make(chan struct{}, 1),
		changed:     make(chan struct{}),
		leases:      map[string]registry.Lease{},
		pending:     map[string]registry.Lease{},
		handedOver:  map[string]uint64{},
	}
	for _, address := range o.Control {
		a.clients = append(a.clients, controlclient.New(client, address))
	}
	return a
}

func (t Timing) withDefaults() Timing {
	or(&t.Heartbeat, heartbeatInterval)
	or(&t.HeartbeatTimeout, heartbeatTimeout)
	or(&t.Silence, silenceLimit)
	or(&t.Behind, behindLimit)
	or(&t.Retry, retryDelay)
	return t
}

func or(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// Run sends heartbeats and watches until ctx ends. Without a control host it
// returns at once.
func (a *Agent) Run(ctx context.Context) {
	if len(a.clients) == 0 {
		a.log.Error("no control host is configured")
		return
	}
	var tasks conc.WaitGroup
	tasks.Go(func() { a.heartbeats(ctx) })
	tasks.Go(func() { a.watches(ctx) })
	tasks.Wait()
}

// View returns the current view; nil before the first quorum-confirmed state.
func (a *Agent) View() *registry.View {
	a.mu.Lock()
	frame := a.frame
	a.mu.Unlock()
	if frame == nil {
		return nil
	}
	return frame.View()
}

// Changed returns a channel that is closed at the next change of the view.
func (a *Agent) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// Nudge sends the next heartbeat now, for example because an owned upstream
// has become unreachable.
func (a *Agent) Nudge() {
	select {
	case a.nudged <- struct{}{}:
	default:
	}
}

// pause waits for a random time that grows with the failures in a row.
func (a *Agent) pause(ctx context.Context, failures int) {
	mean := a.timing.Retry * time.Duration(min(1<<min(failures-1, 16), maxRetryFactor))
	pause.For(ctx, mean/2+rand.N(mean))
}

func (a *Agent) client(i int) lovageslipv1connect.ControlServiceClient {
	return a.clients[i%len(a.clients)]
}

// firstHost spreads proxies over the control hosts.
func (a *Agent) firstHost() int { return rand.IntN(max(1, len(a.clients))) }
