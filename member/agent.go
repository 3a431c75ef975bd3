// Package member is the client side of ControlService on a proxy host. An Agent
// renews the proxy's leases on upstreams by heartbeats, keeps the view of the
// registry up to date through a Watch stream, and forwards announcements of
// upstreams to a control host. Package daemon runs it.
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
	// streamTimeout is how long a Watch stream may deliver no message. It is
	// four times the interval at which a control host sends on a stream
	// without changes.
	streamTimeout = 2 * time.Second
	// maxBehind is how long the view may be older than the version that the
	// leader required.
	maxBehind = time.Second
	// retryDelay is the mean backoff after the first failed call. It doubles
	// with each further failure up to maxRetryFactor times, and is
	// randomized, so that proxies do not all retry at the same moment.
	retryDelay     = 100 * time.Millisecond
	maxRetryFactor = 4
)

// HealthSource supplies the health reports that heartbeats carry, on the
// upstreams that this host owns.
type HealthSource interface {
	// Health returns the current reports. It must be safe for concurrent
	// use and must not block.
	Health() []*pb.UpstreamHealth
}

// Timing holds the durations that tests shorten. Zero fields mean the defaults.
type Timing struct {
	Heartbeat        time.Duration
	HeartbeatTimeout time.Duration
	StreamTimeout    time.Duration
	MaxBehind        time.Duration
	RetryDelay       time.Duration
}

// Options says which host an Agent represents and which control hosts it calls.
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
	// Health supplies the reports of heartbeats; nil for none.
	Health HealthSource
	// OnAnnouncement is called with each announcement that reaches this host,
	// before it is forwarded to a control host, so that the owner of an
	// upstream that is leaving can act at once. It may be nil and must not
	// block.
	OnAnnouncement func(*pb.AnnounceRequest)
	// HTTPClient reaches control hosts; controlclient.NewHTTPClient if nil.
	HTTPClient connect.HTTPClient
	Timing     Timing
}

// Agent implements registry.Directory and registry.Leases. It is safe for
// concurrent use.
type Agent struct {
	log          *slog.Logger
	metrics      tally.Scope
	options      Options
	timing       Timing
	incarnation  uint64
	clients      []lovageslipv1connect.ControlServiceClient
	heartbeatDue chan struct{}

	// mu guards every field below.
	mu      sync.Mutex
	frame   *controlstate.Frame // nil before the first confirmed state
	changed chan struct{}
	leases  map[string]registry.Lease
	// requiredVersion is the highest version that a heartbeat response has
	// required. behindSince is since when the view has been older than that;
	// zero if it is not.
	requiredVersion uint64
	behindSince     time.Time
	// pendingLeases are renewals that are not in force yet, because the view
	// is older than pendingVersion, which they require.
	pendingLeases  map[string]registry.Lease
	pendingVersion uint64
	// handedOverEpochs holds, by upstream, the epoch whose lease this host
	// has given up at the request of the leader.
	handedOverEpochs map[string]uint64
	releasing        bool
	// viewCurrentUntil is one lease after this host sent the last heartbeat
	// whose required version the view has reached. pendingCurrentUntil is
	// the same for the last heartbeat that was answered.
	viewCurrentUntil    time.Time
	pendingCurrentUntil time.Time
}

// New returns an agent. Run must be called for it to renew leases and to get a
// view.
func New(o Options) *Agent {
	client := o.HTTPClient
	if client == nil {
		client = controlclient.NewHTTPClient()
	}
	a := &Agent{
		log:              logging.For(o.Log, "member"),
		metrics:          metrics.OrNoop(o.Metrics).SubScope("member"),
		options:          o,
		timing:           o.Timing.withDefaults(),
		incarnation:      rand.Uint64() | 1,
		heartbeatDue:     make(chan struct{}, 1),
		changed:          make(chan struct{}),
		leases:           map[string]registry.Lease{},
		pendingLeases:    map[string]registry.Lease{},
		handedOverEpochs: map[string]uint64{},
	}
	for _, address := range o.Control {
		a.clients = append(a.clients, controlclient.New(client, address))
	}
	return a
}

func (t Timing) withDefaults() Timing {
	setDefault(&t.Heartbeat, heartbeatInterval)
	setDefault(&t.HeartbeatTimeout, heartbeatTimeout)
	setDefault(&t.StreamTimeout, streamTimeout)
	setDefault(&t.MaxBehind, maxBehind)
	setDefault(&t.RetryDelay, retryDelay)
	return t
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
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
	tasks.Go(func() { a.runHeartbeats(ctx) })
	tasks.Go(func() { a.runWatches(ctx) })
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

// SendHeartbeatNow makes Run send the next heartbeat at once instead of at the
// next interval, for example because an owned upstream has become unreachable.
func (a *Agent) SendHeartbeatNow() {
	select {
	case a.heartbeatDue <- struct{}{}:
	default:
	}
}

// backOff waits for a random time that grows with the number of consecutive
// failures.
func (a *Agent) backOff(ctx context.Context, failures int) {
	meanDelay := a.timing.RetryDelay * time.Duration(min(1<<min(failures-1, 16), maxRetryFactor))
	pause.For(ctx, meanDelay/2+rand.N(meanDelay))
}

func (a *Agent) client(i int) lovageslipv1connect.ControlServiceClient {
	return a.clients[i%len(a.clients)]
}

// randomHost returns the index of a random control host, so that proxies spread
// over the control hosts.
func (a *Agent) randomHost() int { return rand.IntN(max(1, len(a.clients))) }
