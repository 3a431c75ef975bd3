package sitecontrol

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
	"lovageslip/site"
)

const (
	// watchInterval is the shortest time between two updates to one proxy, so
	// that changes in quick succession are sent as one update.
	watchInterval = 100 * time.Millisecond
	// KeepAliveInterval is the longest time between two updates to one proxy,
	// while this host knows a leader. An update is then sent even if nothing
	// has changed.
	KeepAliveInterval = 700 * time.Millisecond
	// firstUpdateTimeout bounds the wait for the quorum read before the first
	// update. It is longer than an election, and shorter than the silence
	// after which a proxy turns to another control host by itself.
	firstUpdateTimeout = 1200 * time.Millisecond
	// leaderlessLimit is how long a host may know no leader before it refuses
	// new watches at once. An election would be over by then, so that the host
	// is probably cut off from the others.
	leaderlessLimit = time.Second
)

// watcher holds what was last sent on one Watch stream.
type watcher struct {
	config  *pb.SiteConfig
	state   *pb.SiteState
	members []string
	// differences is set if the proxy accepts differences of the topology.
	differences bool
	// dataCentre is that of the proxy. relays is what was last sent of its
	// relays, at relaysSentAt.
	dataCentre   string
	relays       []*pb.RelayHost
	relaysSentAt time.Time
}

// Watch implements SiteService. It streams the state of the site to a proxy. The
// stream ends when this host knows no leader, so that the proxy turns to another
// control host. A host that stands by sends only the addresses of the members.
func (s *Server) Watch(ctx context.Context, r *connect.Request[pb.WatchSiteRequest], stream *connect.ServerStream[pb.SiteUpdate]) error {
	w := &watcher{dataCentre: r.Msg.DataCentre, differences: r.Msg.Differences}
	if members := s.standbyMembers(); members != nil {
		if err := stream.Send(&pb.SiteUpdate{ControlHosts: members}); err != nil {
			return err
		}
		return unavailable(noLeader())
	}
	s.log.Info("proxy watches the site", "proxy", r.Msg.Proxy)
	defer s.endWatch(r.Msg.Proxy, s.beginWatch(r.Msg))
	if err := s.readCommitted(ctx); err != nil {
		return unavailable(err)
	}
	for {
		state, index, changed := s.options.State.Current()
		update := w.update(state, index, s.memberAddresses())
		w.addRelays(update, s.relaysOf(w.dataCentre))
		if err := stream.Send(update); err != nil {
			return err
		}
		if err := s.waitForChange(ctx, w, changed); err != nil {
			return unavailable(err)
		}
	}
}

// readCommitted waits by a quorum read until this host's state includes all that
// was committed before the call. It fails soon on a host that cannot reach that
// state, for example because it has lost its disk, so that the proxy asks
// another one.
func (s *Server) readCommitted(ctx context.Context) error {
	if len(s.options.Consensus.Members()) == 0 || s.timeWithoutLeader() > leaderlessLimit {
		return noLeader()
	}
	ctx, cancel := context.WithTimeout(ctx, firstUpdateTimeout)
	defer cancel()
	_, err := s.options.Consensus.ReadIndex(ctx)
	return err
}

// waitForChange returns nil when the next update is due, and an error as soon as
// this host knows no leader or ctx ends.
func (s *Server) waitForChange(ctx context.Context, w *watcher, changed <-chan struct{}) error {
	for waited := time.Duration(0); waited < KeepAliveInterval; waited += watchInterval {
		if !pause.For(ctx, watchInterval) {
			return ctx.Err()
		}
		if _, _, ok := s.options.Consensus.Leader(); !ok {
			return noLeader()
		}
		select {
		case <-changed:
			return nil
		default:
		}
		if w.relaysDue(s.relaysOf(w.dataCentre)) {
			return nil
		}
	}
	return nil
}

// relaysInterval is the shortest time between two lists of relays to one proxy.
// After a restart of all proxies, the list changes with each report.
const relaysInterval = 400 * time.Millisecond

// relaysDue reports whether the list of relays has changed and may be sent.
func (w *watcher) relaysDue(relays []*pb.RelayHost) bool {
	return !slices.Equal(w.relays, relays) && now().Sub(w.relaysSentAt) >= relaysInterval
}

// addRelays adds the list of relays to an update if it is due.
func (w *watcher) addRelays(u *pb.SiteUpdate, relays []*pb.RelayHost) {
	if w.relaysDue(relays) {
		u.RelaysChanged, u.Relays = true, relays
		w.relays, w.relaysSentAt = relays, now()
	}
}

// update returns the parts of the state that have changed since the previous
// update to this proxy.
func (w *watcher) update(state *pb.SiteState, index uint64, members []string) *pb.SiteUpdate {
	u := &pb.SiteUpdate{Index: index}
	if state.Config != w.config {
		u.Config = state.Config
		w.config = state.Config
	}
	if w.state == nil || w.topologyChanged(state) || !slices.Equal(w.members, members) {
		u.Topology = true
		u.ControlHosts, u.Proxies = members, state.Proxies
		w.addTopology(u, state)
	}
	w.state, w.members = state, members
	return u
}

// addTopology adds the upstreams and groups to an update: those that differ from the
// previous one, if there was one and the proxy accepts differences, or else all. With
// whole lists, the updates of a site grow with its upstreams times its proxies for each
// change, and thousands of upstreams that start at the same moment keep the control
// hosts from answering them.
func (w *watcher) addTopology(u *pb.SiteUpdate, state *pb.SiteState) {
	if w.differences && w.state != nil {
		if d, ok := site.CompareTopology(w.state, state); ok {
			u.Difference = true
			u.Upstreams, u.RemovedUpstreams, u.Groups = d.Upstreams, d.Removed, d.Groups
			return
		}
	}
	u.Upstreams, u.Groups = state.Upstreams, state.Groups
}

func (w *watcher) topologyChanged(state *pb.SiteState) bool {
	return w.state.Proxies != state.Proxies ||
		!slices.Equal(w.state.Upstreams, state.Upstreams) ||
		!slices.Equal(w.state.Groups, state.Groups)
}

func (s *Server) memberAddresses() []string {
	var addresses []string
	for _, m := range s.options.Consensus.Members() {
		addresses = append(addresses, m.Address)
	}
	slices.Sort(addresses)
	return addresses
}
