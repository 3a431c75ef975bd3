package controlstate

import (
	"google.golang.org/protobuf/proto"

	pb "lovageslip/gen/lovageslip/v1"
)

// SnapshotError reports a snapshot that cannot be encoded or decoded.
type SnapshotError struct {
	Op  string // "encode" or "decode"
	Err error
}

func (e *SnapshotError) Error() string { return e.Op + " control state: " + e.Err.Error() }

func (e *SnapshotError) Unwrap() error { return e.Err }

// Snapshot returns the whole state as an encoded ControlState message.
func (s *State) Snapshot() ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.toMessage())
	if err != nil {
		return nil, &SnapshotError{Op: "encode", Err: err}
	}
	return data, nil
}

func (s *State) toMessage() *pb.ControlState {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &pb.ControlState{
		Version:       s.version,
		ConfigVersion: s.configVersion,
		ClassVersion:  s.classVersion,
		LeaderTerm:    s.leaderTerm,
		Classes:       sortedValues(s.classes),
		Upstreams:     sortedValues(s.upstreams),
		Groups:        sortedValues(s.groups),
		Hosts:         sortedValues(s.hosts),
		History:       append([]*pb.ClassChange(nil), s.history...),
	}
	for _, id := range s.answers.ids {
		m.Answers = append(m.Answers, &pb.ChangeAnswer{ChangeId: id, Response: s.answers.byID[id]})
	}
	return m
}

// Restore replaces the whole state with the one that Snapshot encoded. On an
// error the state is unchanged.
func (s *State) Restore(data []byte) error {
	m := &pb.ControlState{}
	if err := proto.Unmarshal(data, m); err != nil {
		return &SnapshotError{Op: "decode", Err: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clear()
	s.version = m.GetVersion()
	s.configVersion = m.GetConfigVersion()
	s.classVersion = m.GetClassVersion()
	s.leaderTerm = m.GetLeaderTerm()
	s.mergeChanges(&pb.WatchResponse{Classes: m.GetClasses(), Upstreams: m.GetUpstreams(), Groups: m.GetGroups(), Hosts: m.GetHosts()})
	s.history = m.GetHistory()
	for _, a := range m.GetAnswers() {
		s.answers.add(a.GetChangeId(), a.GetResponse())
	}
	s.notify()
	return nil
}
