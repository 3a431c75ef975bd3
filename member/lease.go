package member

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"lovageslip/control/controlclient"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/registry"
)

// runHeartbeats sends a heartbeat at each interval and after each call of
// SendHeartbeatNow. After a failure the next heartbeat goes to another control
// host; this is safe because a repeated heartbeat is harmless.
func (a *Agent) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(a.timing.Heartbeat)
	defer ticker.Stop()
	failures := 0
	for host := a.randomHost(); ctx.Err() == nil; {
		if err := a.sendHeartbeat(ctx, host, nil); err != nil {
			a.metrics.Counter("heartbeats_failed_total").Inc(1)
			a.log.Debug("heartbeat to a control host failed", "err", err)
			host++
			failures++
			a.backOff(ctx, failures)
			continue
		}
		failures = 0
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-a.heartbeatDue:
		}
	}
}

func (a *Agent) sendHeartbeat(ctx context.Context, host int, released []*pb.OwnedEpoch) error {
	ctx, cancel := context.WithTimeout(ctx, a.timing.HeartbeatTimeout)
	defer cancel()
	request := connect.NewRequest(a.heartbeatRequest(released))
	sent := time.Now()
	response, err := a.client(host).Heartbeat(ctx, request)
	if err != nil {
		return controlclient.FromConnect(err)
	}
	a.applyHeartbeatResponse(sent, response.Msg)
	return nil
}

func (a *Agent) heartbeatRequest(released []*pb.OwnedEpoch) *pb.HeartbeatRequest {
	r := &pb.HeartbeatRequest{
		Host:        a.options.Name,
		Address:     a.options.Address,
		DataCentre:  a.options.DataCentre,
		Version:     a.viewVersion(),
		Released:    released,
		Incarnation: a.incarnation,
	}
	if a.options.Health != nil {
		r.Health = a.options.Health.Health()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.Leaving = a.releasing
	r.Released = append(r.Released, a.epochsToRelease()...)
	return r
}

// applyHeartbeatResponse stores the renewals of a response. Their leases run
// from the moment when the request was sent, and are in force only once the
// view has reached the version that the response requires.
func (a *Agent) applyHeartbeatResponse(sent time.Time, r *pb.HeartbeatResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requiredVersion = max(a.requiredVersion, r.GetVersion())
	until := sent.Add(time.Duration(r.GetLeaseMicros()) * time.Microsecond)
	a.pendingCurrentUntil = until
	a.pendingVersion = r.GetVersion()
	defer a.updateBehindSince()
	if a.releasing {
		a.activatePendingLeases()
		return
	}
	a.handOver(r.GetHandover())
	a.pendingLeases = make(map[string]registry.Lease, len(r.GetRenewed()))
	for _, owned := range r.GetRenewed() {
		a.pendingLeases[owned.GetUpstream()] = registry.Lease{Epoch: owned.GetEpoch(), Until: until}
	}
	a.activatePendingLeases()
}

// handOver ends the leases on the upstreams that the leader wants to move to
// another host. a.mu is held.
func (a *Agent) handOver(handover []*pb.OwnedEpoch) {
	for _, owned := range handover {
		if a.handedOverEpochs[owned.GetUpstream()] == owned.GetEpoch() {
			continue
		}
		delete(a.leases, owned.GetUpstream())
		a.handedOverEpochs[owned.GetUpstream()] = owned.GetEpoch()
		a.SendHeartbeatNow()
	}
}

// epochsToRelease returns the upstreams that were handed over and of which this
// host is still the owner in the view. Releasing one twice is harmless. a.mu is
// held.
func (a *Agent) epochsToRelease() []*pb.OwnedEpoch {
	if a.frame == nil {
		return nil
	}
	var released []*pb.OwnedEpoch
	for _, u := range a.frame.OwnedBy(a.options.Name) {
		if a.handedOverEpochs[u.GetName()] == u.GetOwnerEpoch() {
			released = append(released, &pb.OwnedEpoch{Upstream: u.GetName(), Epoch: u.GetOwnerEpoch()})
		}
	}
	return released
}

// activatePendingLeases puts pending renewals in force if the view has reached
// the version that they require. a.mu is held.
func (a *Agent) activatePendingLeases() {
	if a.frame == nil || a.frame.Version < a.pendingVersion {
		return
	}
	a.viewCurrentUntil = a.pendingCurrentUntil
	for name, lease := range a.pendingLeases {
		u := a.frame.Upstreams[name]
		notHandedOver := a.handedOverEpochs[name] != lease.Epoch
		if notHandedOver && u.GetOwner() == a.options.Name && u.GetOwnerEpoch() == lease.Epoch {
			a.leases[name] = laterLease(a.leases[name], lease)
		}
	}
	a.pendingLeases = map[string]registry.Lease{}
	a.updateBehindSince()
}

func laterLease(x, y registry.Lease) registry.Lease {
	if x.Epoch == y.Epoch && x.Until.After(y.Until) {
		return x
	}
	return y
}

// updateBehindSince sets behindSince when the view falls behind requiredVersion,
// and clears it when the view has caught up. a.mu is held.
func (a *Agent) updateBehindSince() {
	behind := a.frame == nil || a.frame.Version < a.requiredVersion
	switch {
	case !behind:
		a.behindSince = time.Time{}
	case a.behindSince.IsZero():
		a.behindSince = time.Now()
	}
}

// dropLostLeases ends leases on upstreams that have another owner or another
// owner epoch in the view. a.mu is held.
func (a *Agent) dropLostLeases() {
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
	return a.requiredVersion
}

// ViewCurrent reports whether the view was current at some time within the last
// lease. If it was not, this host has lost contact with the quorum.
func (a *Agent) ViewCurrent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.viewCurrentUntil)
}

// Release gives up all leases at once and hands the upstreams over, for a
// graceful shutdown. From the call on no new work may be admitted on them. It
// returns once a control host has confirmed the release or ctx ends. Without a
// confirmation the upstreams get a new owner when the leases expire. Run may
// continue; its heartbeats then say that the host is leaving.
func (a *Agent) Release(ctx context.Context) error {
	released := a.releaseAllLeases()
	if len(a.clients) == 0 {
		return &controlclient.Unavailable{Detail: "no control host is configured"}
	}
	first := a.randomHost()
	for i := 0; ; i++ {
		err := a.sendHeartbeat(ctx, first+i, released)
		if err == nil {
			a.log.Info("this host released the leases of its upstreams", "count", len(released))
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		a.backOff(ctx, i+1)
	}
}

// releaseAllLeases ends all leases of this host and refuses later ones. It
// returns all upstreams that this host owns in the view, also those on which it
// holds no lease, so that none of them has to wait for a lease to expire.
func (a *Agent) releaseAllLeases() []*pb.OwnedEpoch {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releasing = true
	a.leases = map[string]registry.Lease{}
	a.pendingLeases = map[string]registry.Lease{}
	if a.frame == nil {
		return nil
	}
	var released []*pb.OwnedEpoch
	for _, u := range a.frame.OwnedBy(a.options.Name) {
		released = append(released, &pb.OwnedEpoch{Upstream: u.GetName(), Epoch: u.GetOwnerEpoch()})
	}
	return released
}
