// Package owner implements the owner role of a proxy. An upstream is owned by
// one host at a time, which holds a lease on it. Entry proxies send their
// requests to the owner (see package exchange). The owner admits and queues
// them, runs them on the upstream, and acknowledges a commit once a majority of
// the upstream's group holds it. The daemon starts one Owner in each proxy.
package owner

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"lovageslip/admission"
	"lovageslip/exchange"
	"lovageslip/fault"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/registry"
	"lovageslip/upstream"
)

// Options configures an Owner, which serves the upstreams owned by one host.
type Options struct {
	Log     *slog.Logger
	Metrics tally.Scope
	// Host is the name of this host in the registry.
	Host      string
	Directory registry.Directory
	Leases    registry.Leases
	Dialer    upstream.Dialer
	// Bounds limits each upstream's queue; zero fields take the defaults.
	Bounds admission.Bounds
	// Policy makes the policy of each queue; nil means admission.NewShortestJobFirst.
	Policy func() admission.Policy
	// ConfirmTimeout bounds the wait for a majority after a commit; zero
	// means the class's wait, at least minConfirmTimeout.
	ConfirmTimeout time.Duration
	// SilentAfter is how long a connection may deliver nothing during a batch
	// before it is probed; zero means defaultSilentAfter.
	SilentAfter time.Duration
}

const (
	// minConfirmTimeout allows for replicas that lag by some seconds.
	minConfirmTimeout  = 5 * time.Second
	defaultSilentAfter = time.Second
)

// Owner runs exchanges on owned upstreams. It is safe for concurrent use.
type Owner struct {
	opts    Options
	log     *slog.Logger
	metrics tally.Scope
	ctx     context.Context
	stop    context.CancelFunc
	tasks   conc.WaitGroup

	// mu guards all fields below.
	mu        sync.Mutex
	upstreams map[string]*ownedUpstream
	draining  bool
	inFlight  int
	// allFinished is closed and replaced when inFlight falls to zero.
	allFinished chan struct{}
}

var _ exchange.Handler = (*Owner)(nil)

// New returns an owner that follows the directory's views until it is closed.
func New(options Options) *Owner {
	if options.SilentAfter == 0 {
		options.SilentAfter = defaultSilentAfter
	}
	if options.Policy == nil {
		options.Policy = func() admission.Policy { return admission.NewShortestJobFirst() }
	}
	o := &Owner{
		opts:        options,
		log:         logging.For(options.Log, "owner"),
		metrics:     metrics.OrNoop(options.Metrics),
		upstreams:   map[string]*ownedUpstream{},
		allFinished: make(chan struct{}),
	}
	o.ctx, o.stop = context.WithCancel(context.Background())
	changed := options.Directory.Changed()
	o.reconcile()
	o.tasks.Go(func() { o.followDirectory(changed) })
	return o
}

// followDirectory starts and stops the use of upstreams as ownership changes.
func (o *Owner) followDirectory(changed <-chan struct{}) {
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-changed:
		}
		// The channel is fetched before the view is read, so that no change is
		// missed.
		changed = o.opts.Directory.Changed()
		o.reconcile()
	}
}

func (o *Owner) reconcile() {
	view := o.opts.Directory.View()
	if view == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ctx.Err() != nil {
		return
	}
	for name, u := range o.upstreams {
		up, registered := view.Upstreams[name]
		if !registered || up.Owner != o.opts.Host || up.Address != u.address || up.Database != u.database {
			delete(o.upstreams, name)
			o.log.Info("this host released an upstream whose owner or registration changed", "upstream", name)
			go u.retire()
		}
	}
	for name, up := range view.Upstreams {
		if up.Owner == o.opts.Host {
			o.startOrUpdate(name, up, view)
		}
	}
}

func (o *Owner) startOrUpdate(name string, up registry.Upstream, view *registry.View) {
	u := o.upstreams[name]
	if u == nil {
		u = newOwnedUpstream(o, up)
		o.upstreams[name] = u
		o.log.Info("this host took ownership of an upstream", "upstream", name, "address", up.Address)
	}
	u.update(up, view)
}

// Open starts an exchange.
// Errors: *fault.NotRun.
func (o *Owner) Open(_ context.Context, open exchange.Open) (exchange.Stream, error) {
	o.mu.Lock()
	u := o.upstreams[open.Upstream]
	draining := o.draining
	o.mu.Unlock()
	if draining {
		return nil, o.refuse(open.Class, fault.ReasonShutdown, "the owner is shutting down")
	}
	if u == nil {
		return nil, o.refuse(open.Class, fault.ReasonNotOwner, "this host does not own "+open.Upstream)
	}
	return newStream(o, u, open), nil
}

// isCurrent reports whether u still serves its upstream. It does not after a
// change of the upstream's owner, address or database.
func (o *Owner) isCurrent(u *ownedUpstream) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.upstreams[u.name] == u
}

func (o *Owner) refuse(class string, reason fault.Reason, detail string) *fault.NotRun {
	metrics.CountRefusal(o.metrics, class, reason)
	return &fault.NotRun{Reason: reason, Detail: detail}
}

// beginExchange counts an exchange as in flight. It reports false if the owner
// is draining and takes no new work.
func (o *Owner) beginExchange() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return false
	}
	o.inFlight++
	return true
}

func (o *Owner) endExchange() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight--
	if o.inFlight == 0 {
		close(o.allFinished)
		o.allFinished = make(chan struct{})
	}
}

// Drain refuses new exchanges and waits until those in flight have finished.
// Errors: *DrainTimeout if ctx ends first.
func (o *Owner) Drain(ctx context.Context) error {
	o.mu.Lock()
	o.draining = true
	allFinished := o.allFinished
	inFlight := o.inFlight
	o.mu.Unlock()
	if inFlight == 0 {
		return nil
	}
	select {
	case <-allFinished:
		return nil
	case <-ctx.Done():
		return &DrainTimeout{Active: inFlight}
	}
}

// DrainTimeout reports exchanges that had not finished when Drain's context
// ended.
type DrainTimeout struct {
	// Active is how many exchanges were in flight when Drain began.
	Active int
}

func (e *DrainTimeout) Error() string {
	return fmt.Sprintf("drain ended before all of %d exchanges in flight had finished", e.Active)
}

// Close ends all exchanges, also those in flight, and releases all upstreams.
func (o *Owner) Close() error {
	o.mu.Lock()
	o.draining = true
	upstreams := o.upstreams
	o.upstreams = map[string]*ownedUpstream{}
	o.stop()
	o.mu.Unlock()
	o.tasks.Wait()
	for _, u := range upstreams {
		u.close()
	}
	return nil
}
