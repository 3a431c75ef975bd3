package consensus

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"
	"unicode/utf8"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/wal"
)

// Member is a host of the cluster.
type Member struct {
	Name string
	// Address is host:port of the host's HTTP server.
	Address string
	Voter   bool
	// Incarnation names the data folder of the host.
	Incarnation string
}

// Options configure a Node.
type Options struct {
	// Name and Address are those of this host.
	Name, Address string
	// DataDir is the data folder. It belongs to one process at a time.
	DataDir string
	// InitialMembers form a new cluster. The list must be the same on all of
	// them, and all of them must be up until the cluster has formed. It is
	// ignored once the data folder holds a log. It is empty on a host that
	// waits to be added to an existing cluster.
	InitialMembers []Member
	StateMachine   StateMachine
	// HTTPClient is for calls to other members; it defaults to HTTP/2
	// without TLS.
	HTTPClient connect.HTTPClient
	// Scheme is http, the default, or https.
	Scheme string
	// FS is for tests that inject disk failures; it defaults to wal.OS.
	FS      wal.FS
	Log     *slog.Logger
	Metrics tally.Scope
}

type role int

const (
	roleFollower role = iota
	roleCandidate
	roleLeader
)

// Node is a member of the cluster. It implements Log and is safe for
// concurrent use.
type Node struct {
	options     Options
	incarnation string
	folder      *wal.Folder
	wal         *wal.Log // used by runDisk only
	preamble    []wal.Record
	logger      *slog.Logger
	metrics     tally.Scope
	httpClient  connect.HTTPClient
	cancel      context.CancelFunc
	ctx         context.Context
	group       conc.WaitGroup
	opsWake     chan struct{}
	applyWake   chan struct{}
	failedCh    chan struct{}
	snapshots   sync.Mutex // held while snapshot files are read or written

	// mu guards all fields below.
	mu       sync.Mutex
	role     role
	term     uint64
	votedFor string
	leader   string
	// heardAt is when a leader was last heard, or when this host started.
	heardAt time.Time
	// electionAt is when this host campaigns if it hears from no leader.
	electionAt time.Time
	log        entryLog
	commit     uint64
	applied    uint64
	durable    uint64 // last entry on this host's disk
	snapIndex  uint64
	appliedCh  chan struct{}
	members    *pb.Membership
	// membersIndex is the entry that set members.
	membersIndex uint64
	ops          []*diskOp
	lastOp       *diskOp
	hardOp       *diskOp
	failed       error
	closed       bool
	restore      *restoreOp
	lead         *leadership // nil unless leader
	clients      map[string]lovageslipv1connect.ConsensusServiceClient
}

var _ Log = (*Node)(nil)

// Start recovers the state from the data folder and joins the cluster. The
// caller then serves Handlers. The node stops when ctx ends or at Close.
func Start(ctx context.Context, o Options) (*Node, error) {
	if err := checkNames(o); err != nil {
		return nil, err
	}
	folder, err := wal.OpenFolder(wal.Options{Dir: o.DataDir, FS: o.FS, Log: o.Log})
	if err != nil {
		return nil, err
	}
	n, err := start(ctx, o, folder)
	if err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	return n, nil
}

func checkNames(o Options) error {
	if err := checkMember(o.Name, o.Address); err != nil {
		return err
	}
	for _, m := range o.InitialMembers {
		if err := checkMember(m.Name, m.Address); err != nil {
			return err
		}
	}
	return nil
}

func checkMember(name, address string) error {
	const allowed = "UTF-8, not empty"
	if name == "" || !utf8.ValidString(name) {
		return &fault.Invalid{Field: "name", Value: name, Allowed: allowed}
	}
	if address == "" || !utf8.ValidString(address) {
		return &fault.Invalid{Field: "address", Value: address, Allowed: allowed}
	}
	return nil
}

func start(ctx context.Context, o Options, folder *wal.Folder) (*Node, error) {
	log, records, err := folder.OpenLog()
	if err != nil {
		return nil, err
	}
	state, err := recoverState(folder, records)
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	n := newNode(o, folder, log)
	if err := n.load(state); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	n.ctx, n.cancel = context.WithCancel(ctx)
	n.group.Go(func() { n.runDisk(n.ctx) })
	n.group.Go(func() { n.runApply(n.ctx) })
	n.group.Go(func() { n.runElections(n.ctx) })
	n.group.Go(func() { n.runGauges(n.ctx) })
	return n, nil
}

func newNode(o Options, folder *wal.Folder, log *wal.Log) *Node {
	n := &Node{
		options:    o,
		folder:     folder,
		wal:        log,
		logger:     logging.For(o.Log, "consensus").With("member", o.Name),
		metrics:    metrics.OrNoop(o.Metrics).SubScope("consensus"),
		httpClient: o.HTTPClient,
		opsWake:    make(chan struct{}, 1),
		applyWake:  make(chan struct{}, 1),
		failedCh:   make(chan struct{}),
		appliedCh:  make(chan struct{}),
		clients:    make(map[string]lovageslipv1connect.ConsensusServiceClient),
	}
	if n.httpClient == nil {
		n.httpClient = NewHTTPClient()
	}
	if n.options.Scheme == "" {
		n.options.Scheme = "http"
	}
	return n
}

// load takes over the recovered state.
func (n *Node) load(state *recovered) error {
	if state.identity == nil {
		state.identity = &pb.Member{Name: n.options.Name, Incarnation: newIncarnation()}
	}
	if state.identity.Name != n.options.Name {
		return &WrongFolder{Want: n.options.Name, Found: state.identity.Name}
	}
	n.incarnation = state.identity.Incarnation
	n.preamble = []wal.Record{
		{Kind: kindIdentity, Data: encode(state.identity)},
		{Kind: kindHardState, Data: encode(state.hard)},
		snapshotMark(state.meta.Index),
	}
	if err := n.writePreamble(state); err != nil {
		return err
	}
	if state.snapshot != nil {
		if err := n.options.StateMachine.Restore(state.snapshot); err != nil {
			return &BadLog{Detail: "snapshot refused by the state machine", Err: err}
		}
	}
	n.term, n.votedFor = state.hard.Term, state.hard.VotedFor
	n.log = state.entries
	n.snapIndex = state.meta.Index
	n.commit, n.applied = state.meta.Index, state.meta.Index
	n.durable = n.log.lastIndex()
	n.membersChangedLocked()
	n.startTimersLocked()
	return nil
}

func (n *Node) writePreamble(state *recovered) error {
	records := n.preamble
	if state.discarded {
		reset := wal.Record{Kind: kindReset, Data: encode(state.meta)}
		records = append(records[:len(records):len(records)], reset)
	}
	return n.wal.Append(records)
}

// Close stops the node and releases the data folder. Calls in progress fail.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	n.followLocked("")
	n.mu.Unlock()
	n.cancel()
	n.group.Wait()
	return errors.Join(n.wal.Close(), n.folder.Close())
}

// goLocked starts a goroutine that Close waits for.
func (n *Node) goLocked(f func()) {
	if !n.closed {
		n.group.Go(f)
	}
}

// Route is a handler and the path under which it is served.
type Route struct {
	Path    string
	Handler http.Handler
}

// Handlers returns what the caller serves over HTTP/2 at Options.Address.
func (n *Node) Handlers() []Route {
	consensusPath, consensusHandler := lovageslipv1connect.NewConsensusServiceHandler(&service{n})
	memberPath, memberHandler := lovageslipv1connect.NewMemberServiceHandler(&memberService{n})
	return []Route{
		{Path: consensusPath, Handler: consensusHandler},
		{Path: memberPath, Handler: memberHandler},
	}
}

// service answers the calls of other members.
type service struct{ n *Node }
