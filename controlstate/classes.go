package controlstate

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"lovageslip/class"
	pb "lovageslip/gen/lovageslip/v1"
)

const (
	// maxAnswers bounds the answers kept for resent changes. At 1,500
	// changes a day it covers five days.
	maxAnswers = 8192
	// maxHistory bounds the changes kept for operators.
	maxHistory = 8192
)

// ClassFromMessage converts a class of a message.
func ClassFromMessage(m *pb.Class) class.Class {
	return class.Class{
		Name: m.GetName(),
		Wait: time.Duration(m.GetWaitMicros()) * time.Microsecond,
		Age:  time.Duration(m.GetAgeMicros()) * time.Microsecond,
	}
}

// ClassToMessage converts a class to its message.
func ClassToMessage(c class.Class) *pb.Class {
	return &pb.Class{Name: c.Name, WaitMicros: c.Wait.Microseconds(), AgeMicros: c.Age.Microseconds()}
}

// Problems returns why a change can never be accepted; none if it is valid.
// It depends on the request alone.
func Problems(r *pb.ChangeClassRequest) []string {
	var problems []string
	if r.GetChangeId() == "" || len(r.GetChangeId()) > maxChangeID {
		problems = append(problems, "change_id: must have 1 to 128 bytes")
	}
	if r.GetRemove() {
		if r.GetClass().GetName() == "" {
			problems = append(problems, "class: the name of the class to remove is missing")
		}
		return problems
	}
	for _, p := range ClassFromMessage(r.GetClass()).Validate() {
		problems = append(problems, p.Error())
	}
	return problems
}

const maxChangeID = 128

func accepted(r *pb.ChangeClassResponse) bool {
	return !r.GetConflict() && len(r.GetProblems()) == 0
}

// changeClass answers a resent change id as it was answered first.
func (s *State) changeClass(r *pb.ChangeClassRequest, at int64) *pb.ChangeClassResponse {
	if first, ok := s.answers.get(r.GetChangeId()); ok {
		return first
	}
	response := s.judge(r)
	if len(Problems(r)) > 0 {
		return response
	}
	if accepted(response) {
		s.acceptClass(r, at)
	}
	s.answers.put(r.GetChangeId(), response)
	return response
}

// judge says what the answer to a change is in the current state.
func (s *State) judge(r *pb.ChangeClassRequest) *pb.ChangeClassResponse {
	if problems := Problems(r); len(problems) > 0 {
		return &pb.ChangeClassResponse{Version: s.classVersion, Problems: problems}
	}
	if r.GetExpectedVersion() != s.classVersion {
		return &pb.ChangeClassResponse{Version: s.classVersion, Conflict: true, Winner: s.winner(r.GetExpectedVersion())}
	}
	if _, ok := s.classes[r.GetClass().GetName()]; r.GetRemove() && !ok {
		return &pb.ChangeClassResponse{Version: s.classVersion, Problems: []string{"class: " + r.GetClass().GetName() + " is not defined"}}
	}
	return &pb.ChangeClassResponse{Version: s.classVersion + 1}
}

func (s *State) acceptClass(r *pb.ChangeClassRequest, at int64) {
	s.classVersion++
	stored := proto.CloneOf(r.GetClass())
	if r.GetRemove() {
		delete(s.classes, stored.GetName())
	} else {
		s.classes[stored.GetName()] = stored
	}
	s.history = append(s.history, &pb.ClassChange{
		Version:            s.classVersion,
		ChangeId:           r.GetChangeId(),
		Operator:           r.GetOperator(),
		Class:              stored,
		Removed:            r.GetRemove(),
		AcceptedUnixMicros: at,
	})
	if len(s.history) > maxHistory {
		s.history = slices.Clone(s.history[len(s.history)-maxHistory:])
	}
	s.bumpConfig()
}

// winner returns the change that was accepted on top of the expected version,
// or the latest change if that one is not known.
func (s *State) winner(expected uint64) *pb.ClassChange {
	for _, c := range s.history {
		if c.GetVersion() == expected+1 {
			return c
		}
	}
	if len(s.history) == 0 {
		return nil
	}
	return s.history[len(s.history)-1]
}

// DryRun returns the answer that a change would get now, and changes nothing.
func (s *State) DryRun(r *pb.ChangeClassRequest) *pb.ChangeClassResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first, ok := s.answers.get(r.GetChangeId()); ok {
		return first
	}
	return s.judge(r)
}

// Classes returns the version of the classes and the classes by name.
func (s *State) Classes() (uint64, []*pb.Class) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.classVersion, sortedValues(s.classes)
}

// History returns up to limit accepted changes, the latest first. A limit of
// zero returns all that are kept.
func (s *State) History(limit int) []*pb.ClassChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit <= 0 || limit > len(s.history) {
		limit = len(s.history)
	}
	changes := slices.Clone(s.history[len(s.history)-limit:])
	slices.Reverse(changes)
	return changes
}

func sortedValues[M any](m map[string]M) []M {
	values := make([]M, 0, len(m))
	for _, name := range sortedKeys(m) {
		values = append(values, m[name])
	}
	return values
}

func sortedKeys[M any](m map[string]M) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

// answerCache keeps the first answers of the latest change ids, oldest first.
type answerCache struct {
	limit int
	order []string
	byID  map[string]*pb.ChangeClassResponse
}

func newAnswerCache(limit int) *answerCache {
	return &answerCache{limit: limit, byID: map[string]*pb.ChangeClassResponse{}}
}

func (b *answerCache) get(id string) (*pb.ChangeClassResponse, bool) {
	r, ok := b.byID[id]
	return r, ok
}

func (b *answerCache) put(id string, r *pb.ChangeClassResponse) {
	b.byID[id] = r
	b.order = append(b.order, id)
	if len(b.order) <= b.limit {
		return
	}
	delete(b.byID, b.order[0])
	b.order = b.order[1:]
}
