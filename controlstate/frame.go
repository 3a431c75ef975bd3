package controlstate

import (
	"maps"
	"sync"

	"lovageslip/class"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/registry"
	"lovageslip/upstream"
)

// Frame is an immutable copy of one version of the state, as protobuf messages.
// Frames share the messages that did not change between their versions, so the
// messages must not be modified either.
type Frame struct {
	Version       uint64
	ConfigVersion uint64
	Classes       map[string]*pb.Class
	Upstreams     map[string]*pb.Upstream
	Groups        map[string]*pb.Group
	Hosts         map[string]*pb.Host

	view       func() *registry.View
	byOwner    func() map[string][]*pb.Upstream
	byDatabase func() map[string][]*pb.Upstream
}

// Frame returns the current version of the state.
func (s *State) Frame() *Frame {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frame == nil {
		s.frame = s.newFrame()
	}
	return s.frame
}

func (s *State) newFrame() *Frame {
	f := &Frame{
		Version:       s.version,
		ConfigVersion: s.configVersion,
		Classes:       maps.Clone(s.classes),
		Upstreams:     maps.Clone(s.upstreams),
		Groups:        maps.Clone(s.groups),
		Hosts:         maps.Clone(s.hosts),
	}
	f.view = sync.OnceValue(f.buildView)
	f.byOwner = sync.OnceValue(func() map[string][]*pb.Upstream { return f.indexUpstreams((*pb.Upstream).GetOwner) })
	f.byDatabase = sync.OnceValue(func() map[string][]*pb.Upstream { return f.indexUpstreams((*pb.Upstream).GetDatabase) })
	return f
}

// View returns the frame as a registry.View, which the proxies use to route
// requests.
func (f *Frame) View() *registry.View { return f.view() }

// OwnedBy returns the upstreams that a host owns, sorted by name.
func (f *Frame) OwnedBy(host string) []*pb.Upstream { return f.byOwner()[host] }

// InDatabase returns the upstreams of a database, sorted by name.
func (f *Frame) InDatabase(database string) []*pb.Upstream { return f.byDatabase()[database] }

func (f *Frame) indexUpstreams(key func(*pb.Upstream) string) map[string][]*pb.Upstream {
	index := map[string][]*pb.Upstream{}
	for _, u := range sortedValues(f.Upstreams) {
		if k := key(u); k != "" {
			index[k] = append(index[k], u)
		}
	}
	return index
}

func (f *Frame) buildView() *registry.View {
	v := &registry.View{
		Version:       f.Version,
		ConfigVersion: f.ConfigVersion,
		Classes:       make(map[string]class.Class, len(f.Classes)),
		Upstreams:     make(map[string]registry.Upstream, len(f.Upstreams)),
		Groups:        make(map[string]registry.Group, len(f.Groups)),
		Hosts:         make(map[string]registry.Host, len(f.Hosts)),
	}
	for name, m := range f.Classes {
		v.Classes[name] = ClassFromMessage(m)
	}
	for name, m := range f.Upstreams {
		v.Upstreams[name] = UpstreamFromMessage(m)
	}
	for name, m := range f.Groups {
		v.Groups[name] = GroupFromMessage(m)
	}
	for name, m := range f.Hosts {
		v.Hosts[name] = registry.Host{Name: m.GetName(), Address: m.GetAddress(), DataCentre: m.GetDataCentre()}
	}
	return v
}

// UpstreamFromMessage converts the message of a registered upstream.
func UpstreamFromMessage(m *pb.Upstream) registry.Upstream {
	return registry.Upstream{
		Name:           m.GetName(),
		Database:       m.GetDatabase(),
		Address:        m.GetAddress(),
		DataCentre:     m.GetDataCentre(),
		Slots:          int(m.GetSlots()),
		MaxConnections: int(m.GetMaxConnections()),
		Leaving:        m.GetLeaving(),
		Owner:          m.GetOwner(),
		OwnerEpoch:     m.GetOwnerEpoch(),
		OwnerAddress:   m.GetOwnerAddress(),
	}
}

// GroupFromMessage converts the message of a group. The primary is empty during
// a change of primary.
func GroupFromMessage(m *pb.Group) registry.Group {
	return registry.Group{
		Database: m.GetDatabase(),
		Term:     upstream.Term(m.GetTerm()),
		Primary:  m.GetPrimary(),
		Members:  m.GetMembers(),
	}
}
