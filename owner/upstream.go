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

// ownedUpstream is an upstream that this host owns, with its admission queue,
// its connections, its status poller and the confirmer of its commits.
type ownedUpstream struct {
	owner     *Owner
	name      string
	address   string
	database  string
	queue     *admission.Queue
	pool      *pool.Pool
	poller    *poller
	confirmer *confirmer
	ctx       context.Context
	stop      context.CancelFunc
	tasks     conc.WaitGroup

	// mu guards all fields below.
	mu      sync.Mutex
	streams int
	retired bool
}

func newOwnedUpstream(o *Owner, up registry.Upstream) *ownedUpstream {
	u := &ownedUpstream{owner: o, name: up.Name, address: up.Address, database: up.Database}
	// The prefix keeps these counters apart from those of the owner: a counter
	// must always have the same labels, and the owner counts refusals without
	// the label upstream.
	scope := o.metrics.SubScope("upstream").Tagged(map[string]string{"upstream": up.Name})
	u.queue = admission.New(admission.Options{
		Log: o.opts.Log, Metrics: scope, Slots: up.Slots, Bounds: o.opts.Bounds, Policy: o.opts.Policy(),
	})
	u.pool = pool.New(pool.Options{
		Log: o.opts.Log, Metrics: scope, Dialer: o.opts.Dialer,
		Address: up.Address, Database: up.Database, MaxConnections: up.MaxConnections,
	})
	u.poller = &poller{dialer: o.opts.Dialer, address: up.Address, database: up.Database, lastSuccess: time.Now()}
	u.confirmer = newConfirmer(o.opts.Dialer, o.log, up)
	u.ctx, u.stop = context.WithCancel(o.ctx)
	u.tasks.Go(func() { u.poller.run(u.ctx) })
	u.tasks.Go(u.closeIdleWithoutLease)
	return u
}

// closeIdleWithoutLease closes idle connections while the lease is not in
// force. Another host may own the upstream by then and need all connections
// that the server accepts.
func (u *ownedUpstream) closeIdleWithoutLease() {
	for u.ctx.Err() == nil {
		if _, inForce := u.owner.opts.Leases.Lease(u.name); !inForce {
			u.pool.CloseIdle()
		}
		pause.For(u.ctx, pollInterval)
	}
}

// update applies a change of the registry's view.
func (u *ownedUpstream) update(up registry.Upstream, view *registry.View) {
	u.queue.SetSlots(up.Slots)
	u.pool.SetLimit(up.MaxConnections)
	u.confirmer.update(view)
}

func (u *ownedUpstream) addStream() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.streams++
}

func (u *ownedUpstream) removeStream() {
	u.mu.Lock()
	u.streams--
	last := u.streams == 0 && u.retired
	u.mu.Unlock()
	if last {
		go u.close()
	}
}

// retire releases the upstream once its exchanges in flight have finished. The
// idle connections are closed at once, because the next owner needs them.
func (u *ownedUpstream) retire() {
	u.mu.Lock()
	u.retired = true
	unused := u.streams == 0
	u.mu.Unlock()
	u.pool.Close()
	if unused {
		u.close()
	}
}

func (u *ownedUpstream) close() {
	u.stop()
	u.pool.Close()
	u.confirmer.close()
	u.tasks.Wait()
}

func (u *ownedUpstream) hint() exchange.Hint {
	status, sentAt, hasStatus := u.poller.lastStatus()
	hint := exchange.Hint{
		Upstream:     u.name,
		ExpectedWait: u.queue.ExpectedWait(),
		Queued:       u.queue.Queued(),
	}
	hint.StartInterval, hint.Slots = u.queue.Capacity()
	if hasStatus {
		hint.Position = status.Position()
		hint.Primary = u.isPrimary(status)
		hint.DataAge = u.dataAge(status, sentAt)
	}
	return hint
}
