package controlstate

import (
	"google.golang.org/protobuf/proto"

	pb "lovageslip/gen/lovageslip/v1"
)

// Registration returns the registration that an announcement asks for, with
// the ownership of the current one, which may be nil.
func Registration(current *pb.Upstream, a *pb.AnnounceRequest) *pb.Upstream {
	return &pb.Upstream{
		Name:           a.GetName(),
		Database:       a.GetDatabase(),
		Address:        a.GetAddress(),
		DataCentre:     a.GetDataCentre(),
		Slots:          a.GetSlots(),
		MaxConnections: a.GetMaxConnections(),
		Leaving:        a.GetLeaving(),
		Owner:          current.GetOwner(),
		OwnerEpoch:     current.GetOwnerEpoch(),
		OwnerAddress:   current.GetOwnerAddress(),
	}
}

// register refuses a name that already belongs to another database.
func (s *State) register(a *pb.AnnounceRequest) bool {
	if a.GetName() == "" || a.GetDatabase() == "" {
		return false
	}
	current, known := s.upstreams[a.GetName()]
	if known && current.GetDatabase() != a.GetDatabase() {
		return false
	}
	next := Registration(current, a)
	if known && proto.Equal(current, next) {
		return true
	}
	s.upstreams[a.GetName()] = next
	s.joinNewGroup(next)
	if current.GetLeaving() != next.GetLeaving() || (known && current.GetAddress() != next.GetAddress()) {
		s.bumpConfig()
		return true
	}
	s.bump()
	return true
}

func (s *State) assign(a *pb.AssignOwner) bool {
	current, known := s.upstreams[a.GetUpstream()]
	if !known || current.GetOwnerEpoch() != a.GetExpectedEpoch() {
		return false
	}
	host, known := s.hosts[a.GetHost()]
	if !known && a.GetHost() != "" {
		return false
	}
	s.setOwner(current, a.GetHost(), host.GetAddress())
	return true
}

// setOwner gives an upstream a new owner under the next epoch.
func (s *State) setOwner(current *pb.Upstream, owner, address string) {
	next := proto.CloneOf(current)
	next.Owner = owner
	next.OwnerAddress = address
	next.OwnerEpoch++
	s.upstreams[next.GetName()] = next
	s.bumpConfig()
}

// removeUpstream refuses members, because they count for a majority.
func (s *State) removeUpstream(name string) bool {
	current, known := s.upstreams[name]
	if !known || isMember(s.groups[current.GetDatabase()], name) {
		return false
	}
	delete(s.upstreams, name)
	s.bumpConfig()
	return true
}

// registerHost takes the upstreams from a host that has restarted: the lease
// belonged to the process that is gone.
func (s *State) registerHost(h *pb.Host) bool {
	if h.GetName() == "" {
		return false
	}
	current, known := s.hosts[h.GetName()]
	if known && proto.Equal(current, h) {
		return true
	}
	s.hosts[h.GetName()] = proto.CloneOf(h)
	s.bump()
	if known && current.GetIncarnation() != h.GetIncarnation() {
		s.clearOwner(h.GetName())
		return true
	}
	if known && current.GetAddress() != h.GetAddress() {
		s.moveOwner(h)
	}
	return true
}

func (s *State) removeHost(name string) bool {
	if _, known := s.hosts[name]; !known {
		return false
	}
	delete(s.hosts, name)
	s.bump()
	s.clearOwner(name)
	return true
}

func (s *State) clearOwner(host string) {
	for _, u := range sortedValues(s.upstreams) {
		if u.GetOwner() == host {
			s.setOwner(u, "", "")
		}
	}
}

func (s *State) moveOwner(h *pb.Host) {
	for name, u := range s.upstreams {
		if u.GetOwner() != h.GetName() {
			continue
		}
		next := proto.CloneOf(u)
		next.OwnerAddress = h.GetAddress()
		s.upstreams[name] = next
	}
	s.bumpConfig()
}
