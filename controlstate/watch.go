package controlstate

import (
	"slices"

	pb "lovageslip/gen/lovageslip/v1"
)

// WholeMessage returns the whole frame as the first message of a Watch stream.
func (f *Frame) WholeMessage() *pb.WatchResponse {
	return &pb.WatchResponse{
		Version:       f.Version,
		ConfigVersion: f.ConfigVersion,
		Whole:         true,
		Classes:       sortedValues(f.Classes),
		Upstreams:     sortedValues(f.Upstreams),
		Groups:        sortedValues(f.Groups),
		Hosts:         sortedValues(f.Hosts),
	}
}

// ChangesSince returns the changes from an earlier frame of the same state to f,
// as a message of a Watch stream. Without a change, it has the versions only.
func (f *Frame) ChangesSince(old *Frame) *pb.WatchResponse {
	m := &pb.WatchResponse{Version: f.Version, ConfigVersion: f.ConfigVersion}
	if f.Version == old.Version {
		return m
	}
	m.Classes, m.RemovedClasses = diffMessages(old.Classes, f.Classes)
	m.Upstreams, m.RemovedUpstreams = diffMessages(old.Upstreams, f.Upstreams)
	m.Groups, _ = diffMessages(old.Groups, f.Groups)
	m.Hosts, m.RemovedHosts = diffMessages(old.Hosts, f.Hosts)
	return m
}

// diffMessages returns the messages that differ between two maps, and the keys
// that only old has. It compares pointers, since frames share a message until it
// changes.
func diffMessages[M comparable](old, new map[string]M) (changed []M, removed []string) {
	var names []string
	for name, m := range new {
		if before, ok := old[name]; !ok || before != m {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		changed = append(changed, new[name])
	}
	for name := range old {
		if _, ok := new[name]; !ok {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return changed, removed
}

// FrameFromMessage returns the frame of the first message of a Watch stream.
func FrameFromMessage(m *pb.WatchResponse) *Frame {
	s := New(Options{})
	s.version = m.GetVersion()
	s.configVersion = m.GetConfigVersion()
	s.mergeChanges(m)
	return s.newFrame()
}

// WithChanges returns a new frame that consists of f and the changes in a later
// message of the stream.
func (f *Frame) WithChanges(m *pb.WatchResponse) *Frame {
	s := New(Options{})
	s.version = m.GetVersion()
	s.configVersion = m.GetConfigVersion()
	s.classes, s.upstreams, s.groups, s.hosts = f.Classes, f.Upstreams, f.Groups, f.Hosts
	next := s.newFrame()
	s.classes, s.upstreams, s.groups, s.hosts = next.Classes, next.Upstreams, next.Groups, next.Hosts
	s.mergeChanges(m)
	return next
}

func (s *State) mergeChanges(m *pb.WatchResponse) {
	for _, c := range m.GetClasses() {
		s.classes[c.GetName()] = c
	}
	for _, u := range m.GetUpstreams() {
		s.upstreams[u.GetName()] = u
	}
	for _, g := range m.GetGroups() {
		s.groups[g.GetDatabase()] = g
	}
	for _, h := range m.GetHosts() {
		s.hosts[h.GetName()] = h
	}
	for _, name := range m.GetRemovedClasses() {
		delete(s.classes, name)
	}
	for _, name := range m.GetRemovedUpstreams() {
		delete(s.upstreams, name)
	}
	for _, name := range m.GetRemovedHosts() {
		delete(s.hosts, name)
	}
}
