package control

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"

	"lovageslip/control/controlclient"
	"lovageslip/controlstate"
	"lovageslip/failover"
	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/upstream"
)

// Heartbeat renews the leases of a proxy. Only the leader answers; other hosts
// forward the request to it.
func (s *Server) Heartbeat(ctx context.Context, r *connect.Request[pb.HeartbeatRequest]) (*connect.Response[pb.HeartbeatResponse], error) {
	return answerOrForward(ctx, s, r, s.heartbeat, lovageslipv1connect.ControlServiceClient.Heartbeat)
}

func (s *Server) heartbeat(ctx context.Context, l *leadership, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	if err := checkHeartbeat(r); err != nil {
		return nil, err
	}
	if err := l.ensureHostRegistered(ctx, r); err != nil {
		return nil, err
	}
	now := s.timing.now()
	frame := s.state.Frame()
	if frame.Hosts[r.GetHost()].GetIncarnation() != r.GetIncarnation() {
		return nil, &controlclient.Unavailable{Detail: "another process of this host has registered"}
	}
	l.release(frame, r)
	l.recordHeartbeat(frame, r, now)
	response := &pb.HeartbeatResponse{
		Version:     frame.ConfigVersion,
		LeaseMicros: s.timing.Lease.Microseconds(),
	}
	l.renew(frame, response, r.GetHost(), now)
	// The next leader waits one lease expiry from its own start before it
	// reassigns upstreams. The renewals are therefore valid only if this host
	// was still the leader after it had read the time.
	if !s.leads(l.term) {
		return nil, &controlclient.Unavailable{Detail: "this host leads no longer"}
	}
	s.metrics.Counter("heartbeats_total").Inc(1)
	return response, nil
}

func checkHeartbeat(r *pb.HeartbeatRequest) error {
	if r.GetHost() == "" {
		return &fault.Invalid{Field: "host", Allowed: "a name"}
	}
	return checkAddress(r.GetAddress())
}

func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &fault.Invalid{Field: "address", Value: address, Allowed: "IP number and port"}
	}
	return nil
}

// ensureHostRegistered registers the host of a heartbeat if it is new, has
// restarted, or has another address or data centre than before.
func (l *leadership) ensureHostRegistered(ctx context.Context, r *pb.HeartbeatRequest) error {
	registered := l.Frame().Hosts[r.GetHost()]
	unchanged := registered != nil &&
		registered.GetAddress() == r.GetAddress() &&
		registered.GetDataCentre() == r.GetDataCentre() &&
		registered.GetIncarnation() == r.GetIncarnation()
	if unchanged {
		return nil
	}
	host := &pb.Host{Name: r.GetHost(), Address: r.GetAddress(), DataCentre: r.GetDataCentre(), Incarnation: r.GetIncarnation()}
	applied, err := l.Propose(ctx, &pb.Command{Command: &pb.Command_Host{Host: &pb.RegisterHost{Host: host}}})
	if err != nil {
		return err
	}
	if !applied {
		return &controlclient.Unavailable{Detail: "the host was not registered"}
	}
	l.server.log.Info("host registered", "host", host.GetName(), "data_centre", host.GetDataCentre())
	return nil
}

// release ends the leases that the host has released. A host that is leaving
// loses all its leases, including those on upstreams that were assigned to it
// so recently that it does not know of them and cannot list them.
func (l *leadership) release(frame *controlstate.Frame, r *pb.HeartbeatRequest) {
	for _, u := range frame.OwnedBy(r.GetHost()) {
		if !r.GetLeaving() && !containsEpoch(r.GetReleased(), u) {
			continue
		}
		l.leases.release(u)
		l.server.Wake()
	}
}

func containsEpoch(released []*pb.OwnedEpoch, u *pb.Upstream) bool {
	return slices.ContainsFunc(released, func(o *pb.OwnedEpoch) bool {
		return o.GetUpstream() == u.GetName() && o.GetEpoch() == u.GetOwnerEpoch()
	})
}

// renew renews the host's leases, and lists in the response r which of them are
// renewed and which upstreams the host must hand over.
func (l *leadership) renew(frame *controlstate.Frame, r *pb.HeartbeatResponse, host string, now time.Time) {
	for _, u := range frame.OwnedBy(host) {
		owned := &pb.OwnedEpoch{Upstream: u.GetName(), Epoch: u.GetOwnerEpoch()}
		if l.leases.renew(u, now) {
			r.Renewed = append(r.Renewed, owned)
		} else if l.leases.isStopped(u) {
			r.Handover = append(r.Handover, owned)
		}
	}
}

// recordHeartbeat stores the time of the host's heartbeat and its reports on
// upstreams that it owns.
func (l *leadership) recordHeartbeat(frame *controlstate.Frame, r *pb.HeartbeatRequest, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hostContacts[r.GetHost()] = l.hostContacts[r.GetHost()].afterHeartbeat(now, r, l.server.timing.HostTimeout)
	for _, h := range r.GetHealth() {
		if frame.Upstreams[h.GetUpstream()].GetOwner() != r.GetHost() {
			continue
		}
		l.reports[h.GetUpstream()] = reportOf(h, now)
		l.upstreamHealth[h.GetUpstream()] = h
	}
}

func reportOf(h *pb.UpstreamHealth, now time.Time) failover.Report {
	return failover.Report{
		At:                now,
		Reachable:         h.GetReachable(),
		Unreachable:       time.Duration(h.GetUnreachableMicros()) * time.Microsecond,
		Primary:           h.GetPrimary(),
		Term:              upstream.Term(h.GetTerm()),
		Offset:            upstream.Offset(h.GetPosition()),
		PrimaryContactAge: time.Duration(h.GetPrimaryContactAgeMicros()) * time.Microsecond,
	}
}
