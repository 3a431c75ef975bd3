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

// Member is a control host that belongs to the cluster.
type Member struct {
	Name string
	// Address is host:port of the host's HTTP server.
	Address string
	Voter   bool
	// Incarnation is the random identifier of the host's data folder.
	Incarnation string
}

// Options are the arguments of Start, which configure a Node.
type Options struct {
	// Name and Address are those of this host.
	Name, Address string
	// DataDir is the data folder. Only one process at a time can open it.
	DataDir string
	// InitialMembers are the hosts that form a new cluster. All of them must
	// be given the same list, and all must be up until the cluster has formed.
	// The list is ignored once the data folder holds a log. It is empty on a
	// host that waits to be added to an existing cluster.
	InitialMembers []Member
	StateMachine   StateMachine
	// HTTPClient is for calls to other members; it defaults to HTTP/2
	// without TLS.
	HTTPClient connect.HTTPClient
	// Scheme is http, the default, or https.
	Scheme string
	// FS is the file system; it defaults to wal.OS. Tests replace it to
	// inject disk failures.
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
	wal         *wal.Log     // used only by runDisk while the node runs
	preamble    []wal.Record // first records of each segment of wal
	// pendingCompaction is the index of a saved snapshot whose segments have
	// not been removed yet, or 0. Only runDisk uses it.
	pendingCompaction uint64
	logger            *slog.Logger
	metrics           tally.Scope
	httpClient        connect.HTTPClient
	cancel            context.CancelFunc
	ctx               context.Context
	group             conc.WaitGroup
	diskWake          chan struct{}
	applyWake         chan struct{}
	storageFailed     chan struct{}
	snapshotFileMu    sync.Mutex // held while a snapshot file is read or written

	// mu guards all fields below.
	mu   sync.Mutex
	role role
	// restarted is set until this host leads or a leader contacts it for the
	// first time since its start.
	restarted bool
	term      uint64
	votedFor  string
	leader    string
	// leaderContactAt is when the last request of a leader arrived, or when
	// this host started.
	leaderContactAt time.Time
	// electionDeadline is when this host campaigns unless a leader's request
	// or a vote that it grants moves the time.
	electionDeadline time.Time
	log              entryLog
	commitIndex      uint64
	lastApplied      uint64
	durableIndex     uint64 // last entry that is synced to this host's disk
	snapshotIndex    uint64
	// bytesSinceSnapshot is the size of the entries that were appended since
	// the last snapshot or, if that is later, the start of this host.
	bytesSinceSnapshot int
	appliedCh          chan struct{}
	members            *pb.Membership
	// membersIndex is the index of the entry that set members.
	membersIndex   uint64
	diskOps        []*diskOp // queued for runDisk
	lastDiskOp     *diskOp   // the latest one queued
	hardStateOp    *diskOp   // the latest one that wrote term and vote
	storageErr     error
	diskFull       bool // set while writes wait for room on the disk
	closed         bool
	pendingRestore *restoreOp  // waits for runApply, or nil
	leadership     *leadership // nil unless this host leads
	clients        map[string]lovageslipv1connect.ConsensusServiceClient
}

var _ Log = (*Node)(nil)

// Start recovers the state from the data folder and starts the node, which
// stops when ctx ends or at Close. The caller serves the node's Handlers to the
// other members.
func Start(ctx context.Context, options Options) (*Node, error) {
	if err := checkOptions(options); err != nil {
		return nil, err
	}
	folder, err := wal.OpenFolder(wal.Options{Dir: options.DataDir, FS: options.FS, Log: options.Log})
	if err != nil {
		return nil, err
	}
	n, err := start(ctx, options, folder)
	if err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	return n, nil
}

func checkOptions(options Options) error {
	if err := checkMember(options.Name, options.Address); err != nil {
		return err
	}
	for _, m := range options.InitialMembers {
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

func start(ctx context.Context, options Options, folder *wal.Folder) (*Node, error) {
	log, records, err := folder.OpenLog()
	if err != nil {
		return nil, err
	}
	state, err := recoverState(folder, records)
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	n := newNode(options, folder, log)
	if err := n.loadRecovered(state); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	n.ctx, n.cancel = context.WithCancel(ctx)
	n.group.Go(func() { n.runDisk(n.ctx) })
	n.group.Go(func() { n.runApply(n.ctx) })
	n.group.Go(func() { n.runElections(n.ctx) })
	n.group.Go(func() { n.electAfterRestart(n.ctx) })
	n.group.Go(func() { n.runGauges(n.ctx) })
	return n, nil
}

func newNode(options Options, folder *wal.Folder, log *wal.Log) *Node {
	n := &Node{
		options:       options,
		folder:        folder,
		wal:           log,
		logger:        logging.For(options.Log, "consensus").With("member", options.Name),
		metrics:       metrics.OrNoop(options.Metrics).SubScope("consensus"),
		httpClient:    options.HTTPClient,
		diskWake:      make(chan struct{}, 1),
		applyWake:     make(chan struct{}, 1),
		storageFailed: make(chan struct{}),
		appliedCh:     make(chan struct{}),
		clients:       make(map[string]lovageslipv1connect.ConsensusServiceClient),
	}
	if n.httpClient == nil {
		n.httpClient = NewHTTPClient()
	}
	if n.options.Scheme == "" {
		n.options.Scheme = "http"
	}
	return n
}

// loadRecovered initialises the node from the recovered state. It first appends
// the preamble to the write-ahead log, which on a new host stores the identity.
func (n *Node) loadRecovered(state *recoveredState) error {
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
		snapshotMark(state.snapshotMeta.Index),
	}
	if err := n.writePreamble(state); err != nil {
		return err
	}
	if state.snapshot != nil {
		if err := n.options.StateMachine.Restore(state.snapshot); err != nil {
			return &UnusableLog{Detail: "snapshot refused by the state machine", Err: err}
		}
	}
	n.term, n.votedFor = state.hard.Term, state.hard.VotedFor
	n.log = state.entries
	n.snapshotIndex = state.snapshotMeta.Index
	n.commitIndex, n.lastApplied = state.snapshotMeta.Index, state.snapshotMeta.Index
	n.durableIndex = n.log.lastIndex()
	n.restarted = true
	n.reloadMembersLocked()
	n.startElectionTimeoutLocked()
	return nil
}

func (n *Node) writePreamble(state *recoveredState) error {
	records := n.preamble
	if state.entriesDiscarded {
		reset := wal.Record{Kind: kindReset, Data: encode(state.snapshotMeta)}
		records = append(records[:len(records):len(records)], reset)
	}
	return n.wal.Append(records)
}

// Close stops the node, waits for its goroutines and releases the data folder.
// Calls in progress fail.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	n.becomeFollowerLocked("")
	n.mu.Unlock()
	n.cancel()
	n.group.Wait()
	return errors.Join(n.wal.Close(), n.folder.Close())
}

// goLocked starts a goroutine that Close waits for. It does nothing on a closed
// node.
func (n *Node) goLocked(f func()) {
	if !n.closed {
		n.group.Go(f)
	}
}

// Route is an HTTP handler and the path under which it is served.
type Route struct {
	Path    string
	Handler http.Handler
}

// Handlers returns the handlers that the caller of Start serves over HTTP/2 at
// Options.Address.
func (n *Node) Handlers() []Route {
	consensusPath, consensusHandler := lovageslipv1connect.NewConsensusServiceHandler(&service{n})
	memberPath, memberHandler := lovageslipv1connect.NewMemberServiceHandler(&memberService{n})
	return []Route{
		{Path: consensusPath, Handler: consensusHandler},
		{Path: memberPath, Handler: memberHandler},
	}
}

// service implements ConsensusService, which other members call.
type service struct{ n *Node }
