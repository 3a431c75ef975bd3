// Package controlstate implements the replicated state machine of the control
// hosts. The state consists of the classes, the registered upstreams and their
// owners, the proxy hosts, and the term, primary and promotion step of each
// group. Package consensus applies each committed command to it on every control
// host. Whether a command takes effect depends on the state and the command
// alone, so that all control hosts reach the same state. Proxies receive copies
// of the state as Frames.
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

// Options are the parameters of New. The zero value is usable.
type Options struct {
	Log     *slog.Logger
	Metrics tally.Scope
}

// State implements consensus.StateMachine for encoded Command messages. The
// messages in its maps are replaced, never modified, so that frames can share
// them. All methods are safe for concurrent use.
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
	frame         *Frame // cached; nil after a change until Frame is called
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
// command that cannot be decoded changes nothing. Of a refused command, at most
// its leader term and the answer to its class change are stored.
func (s *State) Apply(_ uint64, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := &pb.CommandResult{}
	cmd := &pb.Command{}
	oldVersion := s.version
	if err := proto.Unmarshal(command, cmd); err == nil && s.acceptLeaderTerm(cmd) {
		s.applyCommand(cmd, result)
	}
	result.Version = s.version
	if s.version != oldVersion {
		s.notify()
	}
	s.countCommand(result.Applied)
	return encode(result)
}

// acceptLeaderTerm reports whether a command may be applied, and stores its
// leader term if it has one. It refuses the commands of a leader that has been
// replaced, since they may be committed late.
func (s *State) acceptLeaderTerm(cmd *pb.Command) bool {
	if cmd.LeaderTerm == 0 {
		return !needsLeader(cmd)
	}
	if cmd.LeaderTerm < s.leaderTerm {
		return false
	}
	s.leaderTerm = cmd.LeaderTerm
	return true
}

// needsLeader reports whether only a control leader may propose a command,
// because the decision depends on the leases and the health of upstreams that
// the leader knows.
func needsLeader(cmd *pb.Command) bool {
	switch cmd.Command.(type) {
	case *pb.Command_ChangeClass, *pb.Command_Register:
		return false
	}
	return true
}

func (s *State) applyCommand(cmd *pb.Command, result *pb.CommandResult) {
	switch c := cmd.Command.(type) {
	case *pb.Command_ChangeClass:
		result.ClassChange = s.changeClass(c.ChangeClass, cmd.ProposedUnixMicros)
		result.Applied = isAccepted(result.ClassChange)
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

func (s *State) countCommand(applied bool) {
	if applied {
		s.metrics.Counter("commands_applied_total").Inc(1)
		return
	}
	s.metrics.Counter("commands_refused_total").Inc(1)
}

// incrementVersion marks a change of the state. After a change that affects
// requests, incrementConfigVersion is called instead.
func (s *State) incrementVersion() {
	s.version++
	s.frame = nil
}

// incrementConfigVersion marks a change of the state that affects requests.
func (s *State) incrementConfigVersion() {
	s.incrementVersion()
	s.configVersion = s.version
}

func (s *State) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of the state.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// View returns the current view. It is never nil.
func (s *State) View() *registry.View { return s.Frame().View() }

// LeaderTerm returns the highest leader term of all committed commands so far.
func (s *State) LeaderTerm() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaderTerm
}

func encode(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Encoding fails only for invalid UTF-8, and a command with invalid
		// UTF-8 cannot be decoded in the first place.
		return nil
	}
	return data
}

// DecodeResult decodes the CommandResult that Apply returned. It returns an empty
// result if data cannot be decoded.
func DecodeResult(data []byte) *pb.CommandResult {
	result := &pb.CommandResult{}
	if err := proto.Unmarshal(data, result); err != nil {
		return &pb.CommandResult{}
	}
	return result
}
