// Package controlstate is the replicated state of the control hosts: classes,
// registered upstreams, ownership, proxy hosts, and the term, primary and
// promotion step of each group. All decisions that must be agreed on are made
// here, by guards that depend on the state and the command alone.
package controlstate

import (
	"log/slog"
	"sync"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/registry"
)

// Options configures a State. The zero value is usable.
type Options struct {
	Log     *slog.Logger
	Metrics tally.Scope
}

// State implements consensus.StateMachine over the message Command. Messages
// in its maps are never modified in place, so that frames may share them.
// All methods are safe for concurrent use.
type State struct {
	log     *slog.Logger
	metrics tally.Scope

	// mu guards every field below.
	mu            sync.Mutex
	version       uint64
	configVersion uint64
	classVersion  uint64
	leaderTerm    uint64
	classes       map[string]*pb.Class
	upstreams     map[string]*pb.Upstream
	groups        map[string]*pb.Group
	hosts         map[string]*pb.Host
	history       []*pb.ClassChange
	answers       *answerCache
	frame         *Frame // nil if older than version
	changed       chan struct{}
}

// New returns an empty state.
func New(o Options) *State {
	s := &State{
		log:     logging.For(o.Log, "controlstate"),
		metrics: metrics.OrNoop(o.Metrics),
		changed: make(chan struct{}),
	}
	s.clear()
	return s
}

func (s *State) clear() {
	s.classes = map[string]*pb.Class{}
	s.upstreams = map[string]*pb.Upstream{}
	s.groups = map[string]*pb.Group{}
	s.hosts = map[string]*pb.Host{}
	s.history = nil
	s.answers = newAnswerCache(maxAnswers)
	s.frame = nil
}

// Apply applies a committed command and returns an encoded CommandResult. A
// command that cannot be decoded, or that a guard refuses, changes nothing.
func (s *State) Apply(_ uint64, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := &pb.CommandResult{}
	cmd := &pb.Command{}
	before := s.version
	if err := proto.Unmarshal(command, cmd); err == nil && s.admitLeader(cmd) {
		s.dispatch(cmd, result)
	}
	result.Version = s.version
	if s.version != before {
		s.notify()
	}
	s.count(result.Applied)
	return encode(result)
}

// admitLeader refuses commands of leaders that have been replaced.
func (s *State) admitLeader(cmd *pb.Command) bool {
	if cmd.LeaderTerm == 0 {
		return !needsLeader(cmd)
	}
	if cmd.LeaderTerm < s.leaderTerm {
		return false
	}
	s.leaderTerm = cmd.LeaderTerm
	return true
}

// needsLeader is true for all commands that a control leader decides by what
// it knows of leases and health.
func needsLeader(cmd *pb.Command) bool {
	switch cmd.Command.(type) {
	case *pb.Command_ChangeClass, *pb.Command_Register:
		return false
	}
	return true
}

func (s *State) dispatch(cmd *pb.Command, result *pb.CommandResult) {
	switch c := cmd.Command.(type) {
	case *pb.Command_ChangeClass:
		result.ClassChange = s.changeClass(c.ChangeClass, cmd.ProposedUnixMicros)
		result.Applied = accepted(result.ClassChange)
	case *pb.Command_Register:
		result.Applied = s.register(c.Register.GetAnnounce())
	case *pb.Command_Assign:
		result.Applied = s.assign(c.Assign)
	case *pb.Command_PromotionStarted:
		result.Applied = s.promotionStarted(c.PromotionStarted)
	case *pb.Command_PromotionChosen:
		result.Applied = s.promotionChosen(c.PromotionChosen)
	case *pb.Command_PromotionFinished:
		result.Applied = s.promotionFinished(c.PromotionFinished)
	case *pb.Command_Host:
		result.Applied = s.registerHost(c.Host.GetHost())
	case *pb.Command_RemoveHost:
		result.Applied = s.removeHost(c.RemoveHost.GetName())
	case *pb.Command_AdoptPrimary:
		result.Applied = s.adoptPrimary(c.AdoptPrimary)
	case *pb.Command_ChangeMember:
		result.Applied = s.changeMember(c.ChangeMember)
	case *pb.Command_RemoveUpstream:
		result.Applied = s.removeUpstream(c.RemoveUpstream.GetName())
	case *pb.Command_LeaderStarted:
		result.Applied = true
	}
}

func (s *State) count(applied bool) {
	if applied {
		s.metrics.Counter("commands_applied_total").Inc(1)
		return
	}
	s.metrics.Counter("commands_refused_total").Inc(1)
}

// bump records a change that no request depends on.
func (s *State) bump() {
	s.version++
	s.frame = nil
}

// bumpConfig records a change that requests depend on.
func (s *State) bumpConfig() {
	s.bump()
	s.configVersion = s.version
}

func (s *State) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// View returns the current view. It is never nil.
func (s *State) View() *registry.View { return s.Frame().View() }

// LeaderTerm returns the highest term of a control leader seen in a command.
func (s *State) LeaderTerm() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaderTerm
}

func encode(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Only invalid UTF-8 fails to encode, and such a command fails to decode.
		return nil
	}
	return data
}

// DecodeResult decodes what Apply returned. It returns an empty result if the
// data are damaged.
func DecodeResult(data []byte) *pb.CommandResult {
	result := &pb.CommandResult{}
	if err := proto.Unmarshal(data, result); err != nil {
		return &pb.CommandResult{}
	}
	return result
}
