// Package sitecontrol is the service of a control host: it accepts
// configurations and announcements, sends the state of the site to proxies,
// and, while it leads, changes primaries and keeps the membership of the
// control hosts whole.
package sitecontrol

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"lovageslip/bootclock"
	"lovageslip/consensus"
	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/site"
	"lovageslip/upstream"
)

// UpstreamStatus is an upstream's own report.
type UpstreamStatus struct {
	Role upstream.Role
	// Received is the newest position that it holds.
	Received upstream.Position
}

// Prober asks an upstream for its status. It returns ErrBusy if the upstream
// answered that it has no free slot.
type Prober interface {
	Status(ctx context.Context, u *pb.SiteUpstream) (UpstreamStatus, error)
	// Position returns what the upstream holds if it leads, and *NotLeading
	// if it does not. It needs no slot.
	Position(ctx context.Context, u *pb.SiteUpstream) (upstream.Position, error)
	// StepDown makes a primary of a lower term a replica.
	StepDown(ctx context.Context, u *pb.SiteUpstream, term upstream.Term) (UpstreamStatus, error)
}

// BusyUpstream reports an upstream that is alive but has no free slot.
type BusyUpstream struct{ ID string }

func (e *BusyUpstream) Error() string { return "upstream " + e.ID + " is busy" }

// NotLeading reports an upstream that answered that it does not lead.
type NotLeading struct{ ID string }

func (e *NotLeading) Error() string { return "upstream " + e.ID + " does not lead" }

// Promoter orders a change of primary. A call without an answer may be carried
// out later; the token then decides whether it still counts. It returns
// *PromotionRefused if the order was refused.
type Promoter interface {
	Promote(ctx context.Context, group, id, holder string, token uint64) error
}

// PromotionRefused reports an order that a newer token has overtaken or whose
// upstream does not run.
type PromotionRefused struct {
	Group, Upstream string
	Token           uint64
}

func (e *PromotionRefused) Error() string {
	return "promotion of " + e.Upstream + " in group " + e.Group + " was refused"
}

// Options configure a Server.
type Options struct {
	// Name is the host's name, as it appears in orders and logs.
	Name string
	// Address is the internal address, and the name in the consensus.
	Address string
	// Seeds returns internal addresses of control hosts that may be running.
	Seeds func() []string
	// MaxLost is how many control hosts may be lost at the same time.
	MaxLost   int
	Consensus *consensus.Node
	State     *site.State
	Prober    Prober
	Promoter  Promoter
	// HTTPClient is for calls to other control hosts.
	HTTPClient *http.Client
	Log        *slog.Logger
	Metrics    tally.Scope
}

// Server is a control host. It is safe for concurrent use.
type Server struct {
	o       Options
	log     *slog.Logger
	metrics tally.Scope
	clients *Clients

	// admitting lets one host join at a time.
	admitting sync.Mutex
	// mu guards the fields below.
	mu sync.Mutex
	// reports are the newest ones by reporter.
	reports map[string]report
	// seen is when and with what each upstream last announced itself to
	// this host as the leader.
	seen map[string]announcement
	// standby is set while this host is not needed as a member.
	standby *standby
	// learned are hosts that another one named when it could not decide.
	learned []string
	// leaderAt is when a leader was last known, or when this host started.
	leaderAt time.Time
	// sampled is what the primaries of groups held.
	sampled map[string]*sampledGroup
}

type report struct {
	message *pb.ReportRequest
	at      time.Time
}

type announcement struct {
	upstream *pb.SiteUpstream
	at       time.Time
}

var _ lovageslipv1connect.SiteServiceHandler = (*Server)(nil)

// New returns a server; Run must be called for it to take part.
func New(o Options) *Server {
	return &Server{
		o:        o,
		log:      logging.For(o.Log, "control"),
		metrics:  metrics.OrNoop(o.Metrics).SubScope("control"),
		clients:  NewClients(o.HTTPClient),
		reports:  make(map[string]report),
		seen:     make(map[string]announcement),
		sampled:  make(map[string]*sampledGroup),
		leaderAt: now(),
	}
}

// Handler returns the path and the handler for proxies and control hosts.
func (s *Server) Handler() (string, http.Handler) {
	return lovageslipv1connect.NewSiteServiceHandler(s)
}

// propose logs a command and returns the result of its application. Errors are
// those of consensus.Log.Propose.
func (s *Server) propose(ctx context.Context, c *pb.SiteCommand) (*pb.SiteCommandResult, error) {
	command, err := proto.Marshal(c)
	if err != nil {
		return nil, &fault.IO{Op: "encode command", Err: err}
	}
	result, err := s.o.Consensus.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	var decoded pb.SiteCommandResult
	if err := proto.Unmarshal(result, &decoded); err != nil {
		return nil, &fault.OutcomeUnknown{Reason: fault.ReasonOutcomeUnknown, Detail: "result cannot be decoded", Err: err}
	}
	return &decoded, nil
}

// StoreConfig stores a configuration that has been checked. A configuration
// that is not newer than the stored one is acknowledged and changes nothing.
// After *fault.OutcomeUnknown it may still come into force.
func (s *Server) StoreConfig(ctx context.Context, config *pb.SiteConfig, document []byte) error {
	state, _, _ := s.o.State.Current()
	if state.Config != nil && config.Version <= state.Config.Version {
		s.log.Info("configuration is not newer than the stored one", "version", config.Version, "stored", state.Config.Version)
		return nil
	}
	packed, err := pack(document)
	if err != nil {
		return err
	}
	command := &pb.StoreConfig{Config: config, Document: packed}
	result, err := s.propose(ctx, &pb.SiteCommand{Command: &pb.SiteCommand_StoreConfig{StoreConfig: command}})
	if err != nil {
		s.log.Warn("configuration not stored", "version", config.Version, "error", err)
		return err
	}
	s.log.Info("configuration acknowledged", "version", config.Version, "index", result.Index, "changed", result.Changed)
	return nil
}

// Document returns the newest configuration as it was sent; nil if there is
// none. Its errors are those of consensus.Log.ReadIndex, and *fault.IO.
func (s *Server) Document(ctx context.Context) ([]byte, error) {
	if _, err := s.o.Consensus.ReadIndex(ctx); err != nil {
		s.log.Warn("configuration not read", "error", err)
		return nil, err
	}
	state, _, _ := s.o.State.Current()
	return unpack(state.Document)
}

// LeaderHost returns the IP of the leading control host, if it is known.
func (s *Server) LeaderHost() (string, bool) {
	_, address, ok := s.o.Consensus.Leader()
	if !ok {
		return "", false
	}
	host, _, found := strings.Cut(address, ":")
	return host, found
}

// unavailable maps an error of this package to the wire between hosts.
func unavailable(err error) error { return connect.NewError(connect.CodeUnavailable, err) }

func now() time.Time { return bootclock.Now() }
