// Package sitecontrol is the service of a control host. It accepts
// configurations from operators and announcements from upstreams, and streams
// the state of the site to proxies. On the host that leads the control hosts it
// also replaces primaries and adds and removes control hosts as members of the
// consensus. Package platform starts it; proxies call it through package
// sitewatch.
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
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"

	"lovageslip/bootclock"
	"lovageslip/consensus"
	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/quota"
	"lovageslip/site"
	"lovageslip/upstream"
)

// UpstreamStatus is what an upstream reports about itself.
type UpstreamStatus struct {
	Role upstream.Role
	// Term is the newest term that the upstream knows of. The position of a primary that
	// has committed nothing in its term is still one of an earlier term.
	Term upstream.Term
	// Received is the newest position in the replication log that it holds.
	Received upstream.Position
	// PausedTerm is the term in which the upstream was told to receive nothing more; 0 if
	// it receives.
	PausedTerm upstream.Term
}

// newestTerm returns the newest term of which the status tells.
func (s UpstreamStatus) newestTerm() upstream.Term { return max(s.Term, s.Received.Term) }

// Prober calls upstreams to ask for their status, to make them step down, or to pause
// their replication. It returns *BusyUpstream if the upstream answered that it has no
// free slot, and *CommandRefused if it answered with another error.
type Prober interface {
	Status(ctx context.Context, u *pb.SiteUpstream) (UpstreamStatus, error)
	// Position returns the position that the upstream holds if it is a
	// primary, and *NotPrimary if it is not. It needs no slot.
	Position(ctx context.Context, u *pb.SiteUpstream) (upstream.Position, error)
	// StepDown makes an upstream that is the primary of a lower term than the
	// given one a replica, and returns its status after that.
	StepDown(ctx context.Context, u *pb.SiteUpstream, term upstream.Term) (UpstreamStatus, error)
	// Pause makes a replica receive nothing more, until Resume, a promotion or its
	// restart, and returns its status after that. The term is above every term that an
	// upstream of the group has led.
	Pause(ctx context.Context, u *pb.SiteUpstream, term upstream.Term) (UpstreamStatus, error)
	// Resume ends a pause.
	Resume(ctx context.Context, u *pb.SiteUpstream) (UpstreamStatus, error)
}

// BusyUpstream reports an upstream that is alive but has no free slot.
type BusyUpstream struct{ ID string }

func (e *BusyUpstream) Error() string { return "upstream " + e.ID + " has no free slot" }

// CommandRefused reports an upstream that answered a command of a control host with an
// error.
type CommandRefused struct{ ID, Command string }

func (e *CommandRefused) Error() string { return "upstream " + e.ID + " refused " + e.Command }

// NotPrimary reports an upstream that answered that it is not a primary.
type NotPrimary struct{ ID string }

func (e *NotPrimary) Error() string { return "upstream " + e.ID + " is not a primary" }

// Promoter orders the platform to promote an upstream. A call that fails without
// an answer may still be carried out later, unless an order with a higher token
// has been accepted by then. It returns *PromotionRefused if the order was
// refused, and *OrderWithheld if it was not sent. Promote calls mayOrder right before
// it sends the order, after all that it has to wait for, and sends nothing if that
// returns false.
type Promoter interface {
	Promote(ctx context.Context, group, id, holder string, token uint64, mayOrder func() bool) error
}

// OrderWithheld reports an order that was not sent, because this host no longer led.
type OrderWithheld struct {
	Group string
	Token uint64
}

func (e *OrderWithheld) Error() string {
	return "promotion in group " + e.Group + " was not sent: this host no longer leads"
}

// PromotionRefused reports an order that the platform refused, because it has
// accepted one with a higher token or because the upstream does not run.
type PromotionRefused struct {
	Group, Upstream string
	Token           uint64
}

func (e *PromotionRefused) Error() string {
	return "promotion of " + e.Upstream + " in group " + e.Group + " was refused"
}

// Consensus is the replicated log of the control hosts and its members. *consensus.Node
// implements it and says which errors the methods return.
type Consensus interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	ReadIndex(ctx context.Context) (uint64, error)
	// Leadership returns the term in which this host leads, and Leader the host that leads.
	Leadership() (term uint64, ok bool)
	Leader() (name, address string, ok bool)
	Status() consensus.Status
	Members() []consensus.Member
	AddMember(ctx context.Context, name, address string) error
	RemoveMember(ctx context.Context, name string) error
}

var _ Consensus = (*consensus.Node)(nil)

// Options configure a Server; New takes them.
type Options struct {
	// Name is the host's name in promotion orders and reports.
	Name string
	// Address is the host's internal address, which is also its name as a
	// member of the consensus.
	Address string
	// Seeds returns internal addresses of control hosts that may be running.
	Seeds func() []string
	// MaxLost is how many control hosts may be lost at the same time without
	// the loss of the quorum.
	MaxLost   int
	Consensus Consensus
	State     *site.State
	Prober    Prober
	Promoter  Promoter
	// Quota is the tolerance of the limits of teams.
	Quota quota.Options
	// HTTPClient is for calls to other control hosts.
	HTTPClient *http.Client
	Log        *slog.Logger
	Metrics    tally.Scope
}

// Server is a control host. It is safe for concurrent use.
type Server struct {
	options Options
	log     *slog.Logger
	metrics tally.Scope
	clients *Clients
	// limiter counts the operations of teams for the whole site.
	limiter *quota.Limiter
	// reach is which other control hosts answer requests that are passed on.
	reach reach

	// admitMu is held while a host is added to the members.
	admitMu sync.Mutex
	// mu guards the fields below.
	mu sync.Mutex
	// reports holds the newest report of each reporter.
	reports map[string]report
	// counts is the sum of all reports at countedAt; nil if there is none yet.
	counts    *reportCounts
	countedAt time.Time
	// watches holds the number of the latest watch of each proxy that watches
	// this host; lastWatch is the highest one.
	watches   map[string]uint64
	lastWatch uint64
	// relays holds, by data centre, the proxies that report to this host and
	// relay commands for others, sorted by name. A change replaces the slice.
	relays map[string][]*pb.RelayHost
	// announcements holds, by upstream id, the last announcement that this host
	// received as the leader, and when. The start of a term resets the times.
	announcements map[string]announcement
	// standby is set while this host stands by, and nil otherwise.
	standby *standbyInfo
	// discoveredPeers are the control hosts that a peer named when it could
	// not decide whether this host may join.
	discoveredPeers []string
	// lastLeaderAt is when this host last knew a leader, or when it started.
	lastLeaderAt time.Time
	// samples holds the newest known position of the primary of each group.
	samples map[string]*positionSample
	// confirmed is the newest confirmation that this host's state is complete.
	confirmed confirmation
	// countsSince is the start of this host or the last change of the members, which
	// moves teams between counters. members are those of that time.
	countsSince time.Time
	members     []string

	// confirming allows one quorum read for confirmations at a time.
	confirming singleflight.Group
	topologies topologyCache
}

type report struct {
	message    *pb.ReportRequest
	receivedAt time.Time
}

type announcement struct {
	upstream   *pb.SiteUpstream
	receivedAt time.Time
	// removed is set once the upstream has been removed at its own request.
	removed bool
}

var _ lovageslipv1connect.SiteServiceHandler = (*Server)(nil)

// New returns a server. Run must be called for it to join the members and to do
// a leader's duties.
func New(o Options) *Server {
	return &Server{
		options:       o,
		log:           logging.For(o.Log, "control"),
		metrics:       metrics.OrNoop(o.Metrics).SubScope("control"),
		clients:       NewClients(o.HTTPClient),
		limiter:       quota.New(counterQuota(o.Quota)),
		countsSince:   now(),
		reports:       make(map[string]report),
		watches:       make(map[string]uint64),
		relays:        make(map[string][]*pb.RelayHost),
		announcements: make(map[string]announcement),
		samples:       make(map[string]*positionSample),
		lastLeaderAt:  now(),
	}
}

// Handler returns the path and the HTTP handler of the site service, which
// proxies and other control hosts call.
func (s *Server) Handler() (string, http.Handler) {
	return lovageslipv1connect.NewSiteServiceHandler(s)
}

// propose commits a command to the log and returns the result of its application
// to the state. Errors are those of consensus.Log.Propose, *fault.IO if the
// command cannot be encoded, and *fault.OutcomeUnknown if the result cannot be
// decoded.
func (s *Server) propose(ctx context.Context, c *pb.SiteCommand) (*pb.SiteCommandResult, error) {
	command, err := proto.Marshal(c)
	if err != nil {
		return nil, &fault.IO{Op: "encode command", Err: err}
	}
	result, err := s.options.Consensus.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	var decoded pb.SiteCommandResult
	if err := proto.Unmarshal(result, &decoded); err != nil {
		return nil, &fault.OutcomeUnknown{Reason: fault.ReasonOutcomeUnknown, Detail: "result cannot be decoded", Err: err}
	}
	return &decoded, nil
}

// StoreConfig commits a configuration that the caller has checked, and the
// document that it was read from. A configuration that is not newer than the
// stored one is acknowledged and changes nothing. After *fault.OutcomeUnknown
// the configuration may still come into force.
func (s *Server) StoreConfig(ctx context.Context, config *pb.SiteConfig, document []byte) error {
	state, _, _ := s.options.State.Current()
	if state.Config != nil && config.Version <= state.Config.Version {
		s.log.Info("configuration changes nothing because it is not newer than the stored one", "version", config.Version, "stored", state.Config.Version)
		return nil
	}
	packed, err := compressDocument(document)
	if err != nil {
		return err
	}
	command := &pb.StoreConfig{Config: config, Document: packed}
	result, err := s.propose(ctx, &pb.SiteCommand{Command: &pb.SiteCommand_StoreConfig{StoreConfig: command}})
	if err != nil {
		s.log.Warn("storing a configuration failed", "version", config.Version, "error", err)
		return err
	}
	s.log.Info("configuration acknowledged", "version", config.Version, "index", result.Index, "changed", result.Changed)
	return nil
}

// Document returns the document of the newest configuration as the operator sent
// it, after a quorum read; nil if there is none. Its errors are those of
// consensus.Log.ReadIndex, and *fault.IO.
func (s *Server) Document(ctx context.Context) ([]byte, error) {
	if _, err := s.options.Consensus.ReadIndex(ctx); err != nil {
		s.log.Warn("reading the configuration failed", "error", err)
		return nil, err
	}
	state, _, _ := s.options.State.Current()
	return decompressDocument(state.Document)
}

// LeaderHost returns the IP of the control host that leads, or false if this host
// knows no leader.
func (s *Server) LeaderHost() (string, bool) {
	_, address, ok := s.options.Consensus.Leader()
	if !ok {
		return "", false
	}
	host, _, found := strings.Cut(address, ":")
	return host, found
}

// unavailable returns the Connect error that carries err to the calling host.
func unavailable(err error) error { return connect.NewError(connect.CodeUnavailable, err) }

// now is the clock of this package. The model of changes of primary in the tests
// replaces it with virtual time.
var now = bootclock.Now
