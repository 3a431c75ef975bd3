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
	// maxAnswers limits how many answers are kept for changes that are sent
	// again. At 1,500 changes a day, this covers five days.
	maxAnswers = 8192
	// maxHistory limits how many accepted changes are kept for operators.
	maxHistory = 8192
)

// ClassFromMessage converts a protobuf message to a class.
func ClassFromMessage(m *pb.Class) class.Class {
	return class.Class{
		Name: m.GetName(),
		Wait: time.Duration(m.GetWaitMicros()) * time.Microsecond,
		Age:  time.Duration(m.GetAgeMicros()) * time.Microsecond,
	}
}

// ClassToMessage converts a class to its protobuf message.
func ClassToMessage(c class.Class) *pb.Class {
	return &pb.Class{Name: c.Name, WaitMicros: c.Wait.Microseconds(), AgeMicros: c.Age.Microseconds()}
}

// ValidateClassChange returns the reasons why a class change can't be accepted in
// any state, or none. The result depends on the request alone.
func ValidateClassChange(r *pb.ChangeClassRequest) []string {
	var problems []string
	if r.GetChangeId() == "" || len(r.GetChangeId()) > maxChangeIDBytes {
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

const maxChangeIDBytes = 128

func isAccepted(r *pb.ChangeClassResponse) bool {
	return !r.GetConflict() && len(r.GetProblems()) == 0
}

// changeClass applies a class change. If the change id was answered before, it
// returns the first answer again and changes nothing, so that a change can be
// sent again after a lost answer.
func (s *State) changeClass(r *pb.ChangeClassRequest, acceptedUnixMicros int64) *pb.ChangeClassResponse {
	if first, ok := s.answers.get(r.GetChangeId()); ok {
		return first
	}
	response := s.evaluateClassChange(r)
	if len(ValidateClassChange(r)) > 0 {
		return response
	}
	if isAccepted(response) {
		s.acceptClassChange(r, acceptedUnixMicros)
	}
	s.answers.add(r.GetChangeId(), response)
	return response
}

// evaluateClassChange returns the answer to a class change in the current state,
// without applying the change.
func (s *State) evaluateClassChange(r *pb.ChangeClassRequest) *pb.ChangeClassResponse {
	if problems := ValidateClassChange(r); len(problems) > 0 {
		return &pb.ChangeClassResponse{Version: s.classVersion, Problems: problems}
	}
	if r.GetExpectedVersion() != s.classVersion {
		return &pb.ChangeClassResponse{Version: s.classVersion, Conflict: true, Winner: s.conflictingChange(r.GetExpectedVersion())}
	}
	if _, ok := s.classes[r.GetClass().GetName()]; r.GetRemove() && !ok {
		return &pb.ChangeClassResponse{Version: s.classVersion, Problems: []string{"class: " + r.GetClass().GetName() + " is not defined"}}
	}
	return &pb.ChangeClassResponse{Version: s.classVersion + 1}
}

func (s *State) acceptClassChange(r *pb.ChangeClassRequest, acceptedUnixMicros int64) {
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
		AcceptedUnixMicros: acceptedUnixMicros,
	})
	if len(s.history) > maxHistory {
		s.history = slices.Clone(s.history[len(s.history)-maxHistory:])
	}
	s.incrementConfigVersion()
}

// conflictingChange returns the change that was accepted instead of a change that
// expected expectedVersion. If the history no longer has it, it returns the
// latest change, or nil if there is none.
func (s *State) conflictingChange(expectedVersion uint64) *pb.ClassChange {
	for _, c := range s.history {
		if c.GetVersion() == expectedVersion+1 {
			return c
		}
	}
	if len(s.history) == 0 {
		return nil
	}
	return s.history[len(s.history)-1]
}

// DryRun returns the answer that a change would get now, without applying it.
func (s *State) DryRun(r *pb.ChangeClassRequest) *pb.ChangeClassResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first, ok := s.answers.get(r.GetChangeId()); ok {
		return first
	}
	return s.evaluateClassChange(r)
}

// Classes returns the version of the classes and the classes, sorted by name.
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

// answerCache keeps the answers to the latest changes, by change id. It drops
// the oldest answer once it holds more than limit.
type answerCache struct {
	limit int
	ids   []string // oldest first
	byID  map[string]*pb.ChangeClassResponse
}

func newAnswerCache(limit int) *answerCache {
	return &answerCache{limit: limit, byID: map[string]*pb.ChangeClassResponse{}}
}

func (c *answerCache) get(id string) (*pb.ChangeClassResponse, bool) {
	r, ok := c.byID[id]
	return r, ok
}

func (c *answerCache) add(id string, r *pb.ChangeClassResponse) {
	c.byID[id] = r
	c.ids = append(c.ids, id)
	if len(c.ids) <= c.limit {
		return
	}
	delete(c.byID, c.ids[0])
	c.ids = c.ids[1:]
}
