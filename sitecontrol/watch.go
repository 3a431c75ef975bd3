package sitecontrol

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
)

const (
	// watchInterval bounds how often one proxy is sent the state, so that a
	// series of changes costs one update.
	watchInterval = 100 * time.Millisecond
	// KeepAliveInterval is how often a control host that hears from the
	// leader sends an update, changed or not.
	KeepAliveInterval = 700 * time.Millisecond
	// firstUpdateTimeout bounds the wait for the first update. It is longer
	// than an election, and shorter than the silence after which a proxy
	// turns away by itself.
	firstUpdateTimeout = 1200 * time.Millisecond
	// leaderlessLimit is how long a host may be without a leader before it
	// turns proxies away at once: an election would be over, so that the
	// host is likely cut off from the others.
	leaderlessLimit = time.Second
)

// watcher is what one Watch stream has been sent.
type watcher struct {
	config  *pb.SiteConfig
	state   *pb.SiteState
	members []string
}

// Watch implements SiteService. The stream ends when this host hears from no
// leader, so that the proxy turns to another control host; a host that stands by
// names those that are members.
func (s *Server) Watch(ctx context.Context, r *connect.Request[pb.WatchSiteRequest], stream *connect.ServerStream[pb.SiteUpdate]) error {
	w := &watcher{}
	if members := s.standbyMembers(); members != nil {
		if err := stream.Send(&pb.SiteUpdate{ControlHosts: members}); err != nil {
			return err
		}
		return unavailable(noLeader())
	}
	s.log.Info("proxy watches the site", "proxy", r.Msg.Proxy)
	if err := s.readCommitted(ctx); err != nil {
		return unavailable(err)
	}
	for {
		state, index, changed := s.o.State.Current()
		if err := stream.Send(w.update(state, index, s.memberAddresses())); err != nil {
			return err
		}
		if err := s.waitForChange(ctx, changed); err != nil {
			return unavailable(err)
		}
	}
}

// readCommitted waits until this host's state includes all that was committed
// before the call. A host that cannot do so soon, for example because it has
// lost its disk, must not keep a proxy from asking another one.
func (s *Server) readCommitted(ctx context.Context) error {
	if len(s.o.Consensus.Members()) == 0 || s.leaderlessFor() > leaderlessLimit {
		return noLeader()
	}
	ctx, cancel := context.WithTimeout(ctx, firstUpdateTimeout)
	defer cancel()
	_, err := s.o.Consensus.ReadIndex(ctx)
	return err
}

// waitForChange returns when the next update is due, and an error as soon as
// this host hears from no leader or ctx ends.
func (s *Server) waitForChange(ctx context.Context, changed <-chan struct{}) error {
	for waited := time.Duration(0); waited < KeepAliveInterval; waited += watchInterval {
		if !pause.For(ctx, watchInterval) {
			return ctx.Err()
		}
		if _, _, ok := s.o.Consensus.Leader(); !ok {
			return noLeader()
		}
		select {
		case <-changed:
			return nil
		default:
		}
	}
	return nil
}

// update returns what has changed since the previous update.
func (w *watcher) update(state *pb.SiteState, index uint64, members []string) *pb.SiteUpdate {
	u := &pb.SiteUpdate{Index: index}
	if state.Config != w.config {
		u.Config = state.Config
		w.config = state.Config
	}
	if w.state == nil || w.topologyChanged(state) || !slices.Equal(w.members, members) {
		u.Topology = true
		u.Upstreams, u.Groups = state.Upstreams, state.Groups
		u.ControlHosts, u.Proxies = members, state.Proxies
	}
	w.state, w.members = state, members
	return u
}

func (w *watcher) topologyChanged(state *pb.SiteState) bool {
	return w.state.Proxies != state.Proxies ||
		!slices.Equal(w.state.Upstreams, state.Upstreams) ||
		!slices.Equal(w.state.Groups, state.Groups)
}

func (s *Server) memberAddresses() []string {
	var addresses []string
	for _, m := range s.o.Consensus.Members() {
		addresses = append(addresses, m.Address)
	}
	slices.Sort(addresses)
	return addresses
}
