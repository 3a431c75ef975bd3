// Package owner is the owner role of a proxy: it runs exchanges on the
// upstreams whose lease this host holds, and confirms commits with the rest of
// their groups.
package owner

import (
	"context"
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

// Options configure an Owner.
type Options struct {
	Log     *slog.Logger
	Metrics tally.Scope
	// Host is the name of this host in the registry.
	Host      string
	Directory registry.Directory
	Leases    registry.Leases
	Dialer    upstream.Dialer
	// Bounds of each upstream's queue; zero fields take the defaults.
	Bounds admission.Bounds
	// Policy makes the policy of each queue; nil means admission.NewShortest.
	Policy func() admission.Policy
	// ConfirmTimeout bounds the wait for a majority after a commit; zero
	// means the class's wait, at least minConfirmTimeout.
	ConfirmTimeout time.Duration
	// SilentAfter is how long a connection may deliver nothing before it is
	// probed.
	SilentAfter time.Duration
}

const (
	// minConfirmTimeout leaves room for replicas that lag by some seconds.
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
	mu       sync.Mutex
	units    map[string]*unit
	draining bool
	active   int
	// quiet is closed and replaced when active falls to zero.
	quiet chan struct{}
}

var _ exchange.Handler = (*Owner)(nil)

// New returns an owner and starts to follow the directory.
func New(o Options) *Owner {
	if o.SilentAfter == 0 {
		o.SilentAfter = defaultSilentAfter
	}
	if o.Policy == nil {
		o.Policy = func() admission.Policy { return admission.NewShortest() }
	}
	w := &Owner{
		opts:    o,
		log:     logging.For(o.Log, "owner"),
		metrics: metrics.OrNoop(o.Metrics),
		units:   map[string]*unit{},
		quiet:   make(chan struct{}),
	}
	w.ctx, w.stop = context.WithCancel(context.Background())
	changed := o.Directory.Changed()
	w.reconcile()
	w.tasks.Go(func() { w.follow(changed) })
	return w
}

// follow starts and stops units as ownership changes.
func (o *Owner) follow(changed <-chan struct{}) {
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-changed:
		}
		// Taken before the view is read, so that no change is missed.
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
	for name, u := range o.units {
		up, known := view.Upstreams[name]
		if !known || up.Owner != o.opts.Host || up.Address != u.address || up.Database != u.database {
			delete(o.units, name)
			o.log.Info("upstream given up", "upstream", name)
			go u.retire()
		}
	}
	for name, up := range view.Upstreams {
		if up.Owner == o.opts.Host {
			o.own(name, up, view)
		}
	}
}

func (o *Owner) own(name string, up registry.Upstream, view *registry.View) {
	u := o.units[name]
	if u == nil {
		u = newUnit(o, up)
		o.units[name] = u
		o.log.Info("upstream taken over", "upstream", name, "address", up.Address)
	}
	u.update(up, view)
}

// Open starts an exchange.
// Errors: *fault.NotRun.
func (o *Owner) Open(_ context.Context, open exchange.Open) (exchange.Stream, error) {
	o.mu.Lock()
	u := o.units[open.Upstream]
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

// owns reports whether u still stands for its upstream. It does not after a
// change of owner or of address.
func (o *Owner) owns(u *unit) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.units[u.name] == u
}

func (o *Owner) refuse(class string, reason fault.Reason, detail string) *fault.NotRun {
	metrics.Refused(o.metrics, class, reason)
	return &fault.NotRun{Reason: reason, Detail: detail}
}

// begin counts an exchange as in flight. It reports false if new work is no
// longer taken.
func (o *Owner) begin() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return false
	}
	o.active++
	return true
}

func (o *Owner) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active--
	if o.active == 0 {
		close(o.quiet)
		o.quiet = make(chan struct{})
	}
}

// Drain refuses new exchanges and waits until those in flight have finished.
func (o *Owner) Drain(ctx context.Context) error {
	o.mu.Lock()
	o.draining = true
	quiet := o.quiet
	active := o.active
	o.mu.Unlock()
	if active == 0 {
		return nil
	}
	select {
	case <-quiet:
		return nil
	case <-ctx.Done():
		return &DrainTimeout{Active: active}
	}
}

// DrainTimeout reports exchanges that had not finished when Drain's context
// ended.
type DrainTimeout struct {
	// Active is how many exchanges were in flight when Drain began.
	Active int
}

func (e *DrainTimeout) Error() string {
	return "exchanges are still in flight after the drain deadline"
}

// Close stops everything, including exchanges in flight.
func (o *Owner) Close() error {
	o.mu.Lock()
	o.draining = true
	units := o.units
	o.units = map[string]*unit{}
	o.stop()
	o.mu.Unlock()
	o.tasks.Wait()
	for _, u := range units {
		u.close()
	}
	return nil
}
