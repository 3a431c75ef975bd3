package sitecontrol

import (
	"sync"

	pb "lovageslip/gen/lovageslip/v1"
)

// topology is the upstreams and groups of a state, by group. It is immutable.
type topology struct {
	state     *pb.SiteState
	upstreams map[string][]*pb.SiteUpstream
	groups    map[string]*pb.SiteGroupState
}

func newTopology(state *pb.SiteState) *topology {
	t := &topology{
		state:     state,
		upstreams: make(map[string][]*pb.SiteUpstream),
		groups:    make(map[string]*pb.SiteGroupState, len(state.Groups)),
	}
	for _, u := range state.Upstreams {
		t.upstreams[u.Group] = append(t.upstreams[u.Group], u)
	}
	for _, g := range state.Groups {
		t.groups[g.Group] = g
	}
	return t
}

// topologyCache holds the topology of the newest state. Each watch over a group looks
// up its upstreams ten times a second; a search through all upstreams of the site for
// each of them would grow with the square of the site.
type topologyCache struct {
	mu      sync.Mutex
	current *topology
}

// topology returns the topology of the current state.
func (s *Server) topology() *topology {
	state, _, _ := s.options.State.Current()
	s.topologies.mu.Lock()
	defer s.topologies.mu.Unlock()
	if s.topologies.current == nil || s.topologies.current.state != state {
		s.topologies.current = newTopology(state)
	}
	return s.topologies.current
}
