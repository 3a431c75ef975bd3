package member

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"lovageslip/control/controlclient"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/registry"
)

// heartbeats sends a heartbeat at each interval or nudge. After a failure the
// next one goes to another control host: a repeated heartbeat is harmless.
func (a *Agent) heartbeats(ctx context.Context) {
	ticker := time.NewTicker(a.timing.Heartbeat)
	defer ticker.Stop()
	failures := 0
	for host := a.firstHost(); ctx.Err() == nil; {
		if err := a.heartbeat(ctx, host, nil); err != nil {
			a.metrics.Counter("heartbeats_failed_total").Inc(1)
			a.log.Debug("heartbeat failed", "err", err)
			host++
			failures++
			a.pause(ctx, failures)
			continue
		}
		failures = 0
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-a.nudged:
		}
	}
}

func (a *Agent) heartbeat(ctx context.Context, host int, released []*pb.OwnedEpoch) error {
	ctx, cancel := context.WithTimeout(ctx, a.timing.HeartbeatTimeout)
	defer cancel()
	request := connect.NewRequest(a.request(released))
	sent := time.Now()
	response, err := a.client(host).Heartbeat(ctx, request)
	if err != nil {
		return controlclient.FromConnect(err)
	}
	a.renew(sent, response.Msg)
	return nil
}

func (a *Agent) request(released []*pb.OwnedEpoch) *pb.HeartbeatRequest {
	r := &pb.HeartbeatRequest{
		Host:        a.options.Name,
		Address:     a.options.Address,
		DataCentre:  a.options.DataCentre,
		Version:     a.heldVersion(),
		Released:    released,
		Incarnation: a.incarnation,
	}
	if a.options.Health != nil {
		r.Health = a.options.Health.Health()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.Leaving = a.releasing
	r.Released = append(r.Released, a.handedOverNow()...)
	return r
}

// renew takes the renewals of an answer. They count from the sending of the
// request, and only once the view has the version that they require.
func (a *Agent) renew(sent time.Time, r *pb.HeartbeatResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.required = max(a.required, r.GetVersion())
	until := sent.Add(time.Duration(r.GetLeaseMicros()) * time.Microsecond)
	a.pendingUntil = until
	a.pendingRequired = r.GetVersion()
	defer a.noteBehind()
	if a.releasing {
		a.countPending()
		return
	}
	a.handOver(r.GetHandover())
	a.pending = make(map[string]registry.Lease, len(r.GetRenewed()))
	for _, owned := range r.GetRenewed() {
		a.pending[owned.GetUpstream()] = registry.Lease{Epoch: owned.GetEpoch(), Until: until}
	}
	a.countPending()
}

// handOver gives up single upstreams that another host should own. a.mu is held.
func (a *Agent) handOver(handover []*pb.OwnedEpoch) {
	for _, owned := range handover {
		if a.handedOver[owned.GetUpstream()] == owned.GetEpoch() {
			continue
		}
		delete(a.leases, owned.GetUpstream())
		a.handedOver[owned.GetUpstream()] = owned.GetEpoch()
		a.Nudge()
	}
}

// handedOverNow names the upstreams that were handed over and that the view
// still gives to this host. Naming one again is harmless. a.mu is held.
func (a *Agent) handedOverNow() []*pb.OwnedEpoch {
	if a.frame == nil {
		return nil
	}
	var released []*pb.OwnedEpoch
	for _, u := range a.frame.OwnedBy(a.options.Name) {
		if a.handedOver[u.GetName()] == u.GetOwnerEpoch() {
			released = append(released, &pb.OwnedEpoch{Upstream: u.GetName(), Epoch: u.GetOwnerEpoch()})
		}
	}
	return released
}

// countPending puts renewals in force whose version the view has. a.mu is held.
func (a *Agent) countPending() {
	if a.frame == nil || a.frame.Version < a.pendingRequired {
		return
	}
	a.currentUntil = a.pendingUntil
	for name, lease := range a.pending {
		u := a.frame.Upstreams[name]
		kept := a.handedOver[name] != lease.Epoch
		if kept && u.GetOwner() == a.options.Name && u.GetOwnerEpoch() == lease.Epoch {
			a.leases[name] = later(a.leases[name], lease)
		}
	}
	a.pending = map[string]registry.Lease{}
	a.noteBehind()
}

func later(x, y registry.Lease) registry.Lease {
	if x.Epoch == y.Epoch && x.Until.After(y.Until) {
		return x
	}
	return y
}

// noteBehind keeps the time since when the view has been too old. a.mu is held.
func (a *Agent) noteBehind() {
	behind := a.frame == nil || a.frame.Version < a.required
	switch {
	case !behind:
		a.behindSince = time.Time{}
	case a.behindSince.IsZero():
		a.behindSince = time.Now()
	}
}

// dropLost ends leases on upstreams that the view gives to another epoch.
// a.mu is held.
func (a *Agent) dropLost() {
	for name, lease := range a.leases {
		u := a.frame.Upstreams[name]
		if u.GetOwner() != a.options.Name || u.GetOwnerEpoch() != lease.Epoch {
			delete(a.leases, name)
		}
	}
}

// Lease returns the lease on an upstream and whether it is in force now.
func (a *Agent) Lease(name string) (registry.Lease, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	lease, held := a.leases[name]
	return lease, held && time.Now().Before(lease.Until)
}

// ConfigVersion returns the highest version that a renewal has required.
func (a *Agent) ConfigVersion() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.required
}

// Current reports whether the view was current at some time within the last
// lease. If not, this host has lost contact with the quorum.
func (a *Agent) Current() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.currentUntil)
}

// Release gives up all leases at once and hands the upstreams over, for a
// graceful shutdown. Nothing new may be admitted on them from the call on. It
// returns once a control host has confirmed it or ctx ends; without a
// confirmation the upstreams get a new owner when the leases run out. Run may
// go on: heartbeats then say that the host is leaving.
func (a *Agent) Release(ctx context.Context) error {
	released := a.giveUp()
	if len(a.clients) == 0 {
		return &controlclient.Unavailable{Detail: "no control host is configured"}
	}
	first := a.firstHost()
	for i := 0; ; i++ {
		err := a.heartbeat(ctx, first+i, released)
		if err == nil {
			a.log.Info("upstreams handed over", "count", len(released))
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		a.pause(ctx, i+1)
	}
}

// giveUp names all upstreams that the view gives to this host, with or without
// a lease, so that none of them has to wait for a lease to run out.
func (a *Agent) giveUp() []*pb.OwnedEpoch {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releasing = true
	a.leases = map[string]registry.Lease{}
	a.pending = map[string]registry.Lease{}
	if a.frame == nil {
		return nil
	}
	var released []*pb.OwnedEpoch
	for _, u := range a.frame.OwnedBy(a.options.Name) {
		released = append(released, &pb.OwnedEpoch{Upstream: u.GetName(), Epoch: u.GetOwnerEpoch()})
	}
	return released
}
