package controlstate

import (
	"google.golang.org/protobuf/proto"

	pb "lovageslip/gen/lovageslip/v1"
)

// Registration returns the registration of the upstream that sent announcement
// a. It keeps the owner of the earlier registration, registered, which may be
// nil.
func Registration(registered *pb.Upstream, a *pb.AnnounceRequest) *pb.Upstream {
	return &pb.Upstream{
		Name:           a.GetName(),
		Database:       a.GetDatabase(),
		Address:        a.GetAddress(),
		DataCentre:     a.GetDataCentre(),
		Slots:          a.GetSlots(),
		MaxConnections: a.GetMaxConnections(),
		Leaving:        a.GetLeaving(),
		Owner:          registered.GetOwner(),
		OwnerEpoch:     registered.GetOwnerEpoch(),
		OwnerAddress:   registered.GetOwnerAddress(),
	}
}

// register stores the registration of an upstream. It refuses a name that is
// already registered for another database.
func (s *State) register(a *pb.AnnounceRequest) bool {
	if a.GetName() == "" || a.GetDatabase() == "" {
		return false
	}
	registered, found := s.upstreams[a.GetName()]
	if found && registered.GetDatabase() != a.GetDatabase() {
		return false
	}
	next := Registration(registered, a)
	if found && proto.Equal(registered, next) {
		return true
	}
	s.upstreams[a.GetName()] = next
	s.addToNewGroup(next)
	if registered.GetLeaving() != next.GetLeaving() || (found && registered.GetAddress() != next.GetAddress()) {
		s.incrementConfigVersion()
		return true
	}
	s.incrementVersion()
	return true
}

func (s *State) assign(a *pb.AssignOwner) bool {
	registered, found := s.upstreams[a.GetUpstream()]
	if !found || registered.GetOwnerEpoch() != a.GetExpectedEpoch() {
		return false
	}
	host, found := s.hosts[a.GetHost()]
	if !found && a.GetHost() != "" {
		return false
	}
	s.setOwner(registered, a.GetHost(), host.GetAddress())
	return true
}

// setOwner sets the owner of an upstream and increments its owner epoch.
func (s *State) setOwner(registered *pb.Upstream, owner, address string) {
	next := proto.CloneOf(registered)
	next.Owner = owner
	next.OwnerAddress = address
	next.OwnerEpoch++
	s.upstreams[next.GetName()] = next
	s.incrementConfigVersion()
}

// removeUpstream deletes a registration. It refuses if the upstream is a member
// of its group, because members count for the majority.
func (s *State) removeUpstream(name string) bool {
	registered, found := s.upstreams[name]
	if !found || isMember(s.groups[registered.GetDatabase()], name) {
		return false
	}
	delete(s.upstreams, name)
	s.incrementConfigVersion()
	return true
}

// registerHost stores a proxy host. If the host has restarted, which its
// incarnation shows, it loses its upstreams, because the earlier process held
// their leases.
func (s *State) registerHost(h *pb.Host) bool {
	if h.GetName() == "" {
		return false
	}
	registered, found := s.hosts[h.GetName()]
	if found && proto.Equal(registered, h) {
		return true
	}
	s.hosts[h.GetName()] = proto.CloneOf(h)
	s.incrementVersion()
	if found && registered.GetIncarnation() != h.GetIncarnation() {
		s.clearOwnerOfUpstreams(h.GetName())
		return true
	}
	if found && registered.GetAddress() != h.GetAddress() {
		s.updateOwnerAddress(h)
	}
	return true
}

func (s *State) removeHost(name string) bool {
	if _, found := s.hosts[name]; !found {
		return false
	}
	delete(s.hosts, name)
	s.incrementVersion()
	s.clearOwnerOfUpstreams(name)
	return true
}

func (s *State) clearOwnerOfUpstreams(host string) {
	for _, u := range sortedValues(s.upstreams) {
		if u.GetOwner() == host {
			s.setOwner(u, "", "")
		}
	}
}

func (s *State) updateOwnerAddress(h *pb.Host) {
	for name, u := range s.upstreams {
		if u.GetOwner() != h.GetName() {
			continue
		}
		next := proto.CloneOf(u)
		next.OwnerAddress = h.GetAddress()
		s.upstreams[name] = next
	}
	s.incrementConfigVersion()
}
