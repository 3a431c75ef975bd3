package consensus

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lovageslip/bootclock"
	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
)

// leadership is the state of a leader in one term. Node.mu guards it.
type leadership struct {
	ctx    context.Context
	cancel context.CancelFunc
	since  time.Time
	// barrier is the leader's first entry of its own term, or 0 before it.
	// Reads and changes wait until it is committed.
	barrier uint64
	peers   map[string]*peer
	waiters map[uint64]*waiter
}

// peer is another member as the leader sees it. Node.mu guards the fields
// after wake.
type peer struct {
	name   string
	client lovageslipv1connect.ConsensusServiceClient
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}

	next       uint64
	match      uint64
	sentCommit uint64
	// ackedAt is the send time of the latest request that was answered.
	ackedAt     time.Time
	incarnation string
}

// waiter is a proposal that waits for its entry to be applied.
type waiter struct {
	term uint64
	done chan outcome // has room for one
}

type outcome struct {
	result []byte
	err    error
}

func (n *Node) becomeLeader(term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.term != term || n.role != roleCandidate || n.closed || n.failed != nil {
		return
	}
	n.role = roleLeader
	n.leader = n.options.Name
	n.lead = &leadership{
		since:   bootclock.Now(),
		peers:   make(map[string]*peer),
		waiters: make(map[uint64]*waiter),
	}
	n.lead.ctx, n.lead.cancel = context.WithCancel(n.ctx)
	n.metrics.Counter("elections_won_total").Inc(1)
	n.logger.Info("leading", "term", term)
	n.startPeersLocked()
	if n.log.lastIndex() > formationIndex {
		n.appendBarrierLocked()
	}
	n.progressLocked()
}

func (n *Node) endLeadershipLocked() {
	n.logger.Info("no longer leading", "term", n.term)
	n.lead.cancel()
	for _, w := range n.lead.waiters {
		w.done <- outcome{err: unknown("leadership lost before the entry was committed", nil)}
	}
	n.lead = nil
	n.leader = ""
	n.resetElectionLocked()
}

func (n *Node) startPeersLocked() {
	for _, m := range n.members.Members {
		if m.Name == n.options.Name || n.lead.peers[m.Name] != nil {
			continue
		}
		p := &peer{name: m.Name, client: n.clientLocked(m.Address), wake: make(chan struct{}, 1)}
		p.next = n.log.lastIndex() + 1
		p.ctx, p.cancel = context.WithCancel(n.lead.ctx)
		n.lead.peers[m.Name] = p
		n.goLocked(func() { n.runHeartbeats(p) })
		n.goLocked(func() { n.runReplication(p) })
	}
}

// dropPeersLocked stops the goroutines for hosts that are no longer members.
func (n *Node) dropPeersLocked() {
	for name, p := range n.lead.peers {
		if findMember(n.members, name) == nil {
			p.cancel()
			delete(n.lead.peers, name)
		}
	}
}

func (n *Node) wakePeersLocked() {
	for _, p := range n.lead.peers {
		notify(p.wake)
	}
}

func (n *Node) appendBarrierLocked() {
	e := n.newEntryLocked()
	e.Payload = &pb.Entry_Barrier{Barrier: true}
	n.lead.barrier = e.Index
	n.appendLocked(e)
	n.wakePeersLocked()
}

func (n *Node) newEntryLocked() *pb.Entry {
	return &pb.Entry{Index: n.log.lastIndex() + 1, Term: n.term}
}

// progressLocked does whatever the latest answers and syncs allow.
func (n *Node) progressLocked() {
	if n.log.lastIndex() <= formationIndex {
		n.formLocked()
	}
	n.advanceCommitLocked()
	n.promoteLocked()
}

// formLocked logs the first membership once all incarnations are known, and
// goes on once all members hold it; see formationIndex.
func (n *Node) formLocked() {
	if n.formingLocked() {
		n.logFormationLocked()
		return
	}
	if n.durable < formationIndex {
		return
	}
	for _, p := range n.lead.peers {
		if p.match < formationIndex {
			return
		}
	}
	n.appendBarrierLocked()
}

func (n *Node) logFormationLocked() {
	members := proto.Clone(n.members).(*pb.Membership)
	for _, m := range members.Members {
		m.Incarnation = n.incarnationLocked(m.Name)
		if m.Incarnation == "" {
			return
		}
	}
	n.appendMembershipLocked(members)
}

// incarnationLocked returns the incarnation that a member last reported.
func (n *Node) incarnationLocked(name string) string {
	if name == n.options.Name {
		return n.incarnation
	}
	if p := n.lead.peers[name]; p != nil {
		return p.incarnation
	}
	return ""
}

// countsLocked reports whether a member's answers count towards a quorum.
func (n *Node) countsLocked(m *pb.Member) bool {
	return m.Voter && n.incarnationLocked(m.Name) == m.Incarnation
}

func (n *Node) advanceCommitLocked() {
	var match []uint64
	for _, m := range voters(n.members) {
		match = append(match, n.matchLocked(m))
	}
	index, ok := quorumValue(match, cmp.Compare[uint64])
	term, _ := n.log.term(index)
	if !ok || index <= n.commit || term != n.term {
		return
	}
	n.commit = index
	notify(n.applyWake)
	n.wakePeersLocked()
}

func (n *Node) matchLocked(m *pb.Member) uint64 {
	if m.Name == n.options.Name {
		return n.durable
	}
	if !n.countsLocked(m) {
		return 0
	}
	return n.lead.peers[m.Name].match
}

// quorumValue returns the highest value that a majority reaches.
func quorumValue[T any](values []T, compare func(a, b T) int) (value T, ok bool) {
	if len(values) == 0 {
		return value, false
	}
	slices.SortFunc(values, compare)
	return values[(len(values)-1)/2], true
}

// quorumContactLocked returns the latest time at which a quorum of voters
// still took this host for the leader.
func (n *Node) quorumContactLocked() time.Time {
	now := bootclock.Now()
	var contacts []time.Time
	for _, m := range voters(n.members) {
		switch p := n.lead.peers[m.Name]; {
		case m.Name == n.options.Name:
			contacts = append(contacts, now)
		case p != nil && n.countsLocked(m):
			contacts = append(contacts, p.ackedAt)
		default:
			contacts = append(contacts, time.Time{})
		}
	}
	contact, _ := quorumValue(contacts, time.Time.Compare)
	return contact
}

func (n *Node) leaseValidLocked() bool {
	return n.role == roleLeader && bootclock.Since(n.quorumContactLocked()) < leaseDuration
}

// stepDownIfAloneLocked ends a leadership without a quorum, so that followers
// that still receive its heartbeats elect a leader whose answers arrive.
func (n *Node) stepDownIfAloneLocked() {
	contact := n.quorumContactLocked()
	if n.lead.since.After(contact) {
		contact = n.lead.since
	}
	if n.lead.barrier == 0 || bootclock.Since(contact) < electionTimeoutMax {
		return
	}
	n.metrics.Counter("leases_lost_total").Inc(1)
	n.followLocked("")
}

// leadingLocked returns nil if this host may answer reads and accept changes.
func (n *Node) leadingLocked() error {
	switch {
	case n.failed != nil:
		return &fault.NotRun{Reason: ReasonStorage, Detail: n.failed.Error()}
	case n.role != roleLeader:
		return noLeader("this host doesn't lead")
	case n.lead.barrier == 0 || n.commit < n.lead.barrier:
		return noLeader("the leader has not committed an entry of its term")
	case !n.leaseValidLocked():
		return noLeader("the leader's lease has lapsed")
	}
	return nil
}

// Leadership implements Log. It reports true only once everything that earlier
// leaders committed has been applied here. The lease may end between the
// return and the use of the result; Propose checks it again.
func (n *Node) Leadership() (term uint64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadingLocked() != nil || n.applied < n.lead.barrier {
		return 0, false
	}
	return n.term, true
}

// Leader implements Log.
func (n *Node) Leader() (name, address string, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.leaderLocked()
	if m == nil {
		return "", "", false
	}
	return m.Name, m.Address, true
}

// leaderLocked returns the leader, or nil if none was heard lately.
func (n *Node) leaderLocked() *pb.Member {
	if n.role != roleLeader && bootclock.Since(n.heardAt) > electionTimeoutMax {
		return nil
	}
	return findMember(n.members, n.leader)
}

func (n *Node) leaderClient() (lovageslipv1connect.ConsensusServiceClient, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.leaderLocked()
	if m == nil || m.Name == n.options.Name {
		return nil, false
	}
	return n.clientLocked(m.Address), true
}

// handleAnswerLocked does what all answers of peers have in common. It reports
// false if the answer belongs to an earlier term.
func (n *Node) handleAnswerLocked(p *peer, term uint64, sentAt time.Time, r *pb.AppendEntriesResponse) bool {
	if r.Term > n.term {
		n.followTermLocked(r.Term, "")
		return false
	}
	if n.role != roleLeader || n.term != term || n.lead.peers[p.name] != p {
		return false
	}
	if sentAt.After(p.ackedAt) {
		p.ackedAt = sentAt
	}
	if p.incarnation != r.Incarnation {
		n.noteIncarnationLocked(p, r.Incarnation)
	}
	return true
}

func (n *Node) noteIncarnationLocked(p *peer, incarnation string) {
	p.incarnation = incarnation
	p.match = 0
	m := findMember(n.members, p.name)
	if m == nil || n.formingLocked() || m.Incarnation == incarnation {
		return
	}
	n.metrics.Counter("wrong_incarnation_total").Inc(1)
	n.logger.Warn("member returned with another data folder and doesn't count; remove it and add it again", "peer", p.name)
}
