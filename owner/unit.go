package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"lovageslip/admission"
	"lovageslip/exchange"
	"lovageslip/internal/pause"
	"lovageslip/pool"
	"lovageslip/registry"
)

// unit is one owned upstream with its queue, connections and watchers.
type unit struct {
	owner    *Owner
	name     string
	address  string
	database string
	queue    *admission.Queue
	pool     *pool.Pool
	poller   *poller
	confirm  *confirmer
	ctx      context.Context
	stop     context.CancelFunc
	tasks    conc.WaitGroup

	// mu guards all fields below.
	mu      sync.Mutex
	streams int
	retired bool
}

func newUnit(o *Owner, up registry.Upstream) *unit {
	u := &unit{owner: o, name: up.Name, address: up.Address, database: up.Database}
	// A name of its own: a counter name must not come with different labels, and
	// the owner counts refusals without the label upstream.
	scope := o.metrics.SubScope("upstream").Tagged(map[string]string{"upstream": up.Name})
	u.queue = admission.New(admission.Options{
		Log: o.opts.Log, Metrics: scope, Slots: up.Slots, Bounds: o.opts.Bounds, Policy: o.opts.Policy(),
	})
	u.pool = pool.New(pool.Options{
		Log: o.opts.Log, Metrics: scope, Dialer: o.opts.Dialer,
		Address: up.Address, Database: up.Database, MaxConnections: up.MaxConnections,
	})
	u.poller = &poller{dialer: o.opts.Dialer, address: up.Address, database: up.Database, lastSuccess: time.Now()}
	u.confirm = newConfirmer(o.opts.Dialer, o.log, up)
	u.ctx, u.stop = context.WithCancel(o.ctx)
	u.tasks.Go(func() { u.poller.run(u.ctx) })
	u.tasks.Go(u.followLease)
	return u
}

// followLease closes idle connections while the lease is not in force: another
// host may own the upstream by then and count on its connections.
func (u *unit) followLease() {
	for u.ctx.Err() == nil {
		if _, inForce := u.owner.opts.Leases.Lease(u.name); !inForce {
			u.pool.CloseIdle()
		}
		pause.For(u.ctx, pollInterval)
	}
}

// update follows a change of the registry.
func (u *unit) update(up registry.Upstream, view *registry.View) {
	u.queue.SetSlots(up.Slots)
	u.pool.SetLimit(up.MaxConnections)
	u.confirm.update(view)
}

func (u *unit) enter() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.streams++
}

func (u *unit) leave() {
	u.mu.Lock()
	u.streams--
	last := u.streams == 0 && u.retired
	u.mu.Unlock()
	if last {
		go u.close()
	}
}

// retire closes the unit once its exchanges in flight have finished. Its idle
// connections are closed at once, because the next owner needs them.
func (u *unit) retire() {
	u.mu.Lock()
	u.retired = true
	idle := u.streams == 0
	u.mu.Unlock()
	u.pool.Close()
	if idle {
		u.close()
	}
}

func (u *unit) close() {
	u.stop()
	u.pool.Close()
	u.confirm.close()
	u.tasks.Wait()
}

func (u *unit) hint() exchange.Hint {
	status, at, known := u.poller.last()
	hint := exchange.Hint{
		Upstream:     u.name,
		ExpectedWait: u.queue.ExpectedWait(),
		Queued:       u.queue.Queued(),
	}
	hint.Interval, hint.Slots = u.queue.Pace()
	if known {
		hint.Position = status.Position()
		hint.Primary = u.isPrimary(status)
		hint.DataAge = u.dataAge(status, at)
	}
	return hint
}
