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

// Heartbeat renews the leases of a proxy. Only the leader answers.
func (s *Server) Heartbeat(ctx context.Context, r *connect.Request[pb.HeartbeatRequest]) (*connect.Response[pb.HeartbeatResponse], error) {
	return answer(ctx, s, r, s.beat, lovageslipv1connect.ControlServiceClient.Heartbeat)
}

func (s *Server) beat(ctx context.Context, l *leadership, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	if err := checkHost(r); err != nil {
		return nil, err
	}
	if err := l.ensureHost(ctx, r); err != nil {
		return nil, err
	}
	now := s.timing.now()
	frame := s.state.Frame()
	if frame.Hosts[r.GetHost()].GetIncarnation() != r.GetIncarnation() {
		return nil, &controlclient.Unavailable{Detail: "another process of this host has registered"}
	}
	l.release(frame, r)
	l.note(frame, r, now)
	response := &pb.HeartbeatResponse{
		Version:     frame.ConfigVersion,
		LeaseMicros: s.timing.Lease.Microseconds(),
	}
	l.renew(frame, response, r.GetHost(), now)
	// A later leader counts one lease from its start, so an answer is good
	// only if this leader was still in office after it had read the time.
	if !s.leads(l.term) {
		return nil, &controlclient.Unavailable{Detail: "this host leads no longer"}
	}
	s.metrics.Counter("heartbeats_total").Inc(1)
	return response, nil
}

func checkHost(r *pb.HeartbeatRequest) error {
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

// ensureHost registers a host that is new, has moved or has restarted.
func (l *leadership) ensureHost(ctx context.Context, r *pb.HeartbeatRequest) error {
	known := l.Frame().Hosts[r.GetHost()]
	same := known != nil &&
		known.GetAddress() == r.GetAddress() &&
		known.GetDataCentre() == r.GetDataCentre() &&
		known.GetIncarnation() == r.GetIncarnation()
	if same {
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

// release ends the leases that the host gives up. A host that leaves holds none
// any more, not even on upstreams that it does not know to be its own yet.
func (l *leadership) release(frame *controlstate.Frame, r *pb.HeartbeatRequest) {
	for _, u := range frame.OwnedBy(r.GetHost()) {
		if !r.GetLeaving() && !names(r.GetReleased(), u) {
			continue
		}
		l.leases.release(u)
		l.server.Wake()
	}
}

func names(released []*pb.OwnedEpoch, u *pb.Upstream) bool {
	return slices.ContainsFunc(released, func(o *pb.OwnedEpoch) bool {
		return o.GetUpstream() == u.GetName() && o.GetEpoch() == u.GetOwnerEpoch()
	})
}

// renew fills in which leases are renewed and which are to be handed over.
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

// note keeps the host's liveness and its reports on upstreams that it owns.
func (l *leadership) note(frame *controlstate.Frame, r *pb.HeartbeatRequest, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[r.GetHost()] = l.hosts[r.GetHost()].next(now, r, l.server.timing.HostAlive)
	for _, h := range r.GetHealth() {
		if frame.Upstreams[h.GetUpstream()].GetOwner() != r.GetHost() {
			continue
		}
		l.reports[h.GetUpstream()] = reportOf(h, now)
		l.messages[h.GetUpstream()] = h
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
