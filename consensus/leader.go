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
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	// barrierIndex is the index of the barrier, an entry without a command
	// that the leader appends in its own term, or 0 before that. Until the
	// barrier is committed, the leader can't know which earlier entries are,
	// and refuses reads and changes.
	barrierIndex uint64
	peers        map[string]*peer
	waiters      map[uint64]*waiter
}

// peer is the leader's replication state for another member. Node.mu guards the
// fields after wake.
type peer struct {
	name   string
	client lovageslipv1connect.ConsensusServiceClient
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}

	nextIndex   uint64 // index of the next entry to send
	matchIndex  uint64 // last entry that the peer is known to have synced
	ackedCommit uint64 // commit index that the peer has acknowledged
	// ackedSendTime is when the latest request that the peer answered was
	// sent. The lease counts from that time, because the peer may have
	// handled the request at any time since then.
	ackedSendTime time.Time
	incarnation   string
}

// waiter is a call that waits until the entry that it appended is applied.
type waiter struct {
	term uint64
	done chan outcome // buffered, so that the sender never blocks
}

type outcome struct {
	result []byte
	err    error
}

// becomeLeader makes this host the leader after it has won the election of term.
// It does nothing if the host has left that candidacy since.
func (n *Node) becomeLeader(term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.term != term || n.role != roleCandidate || n.closed || n.storageErr != nil || n.diskFull {
		return
	}
	n.role = roleLeader
	n.restarted = false
	n.leader = n.options.Name
	n.leadership = &leadership{
		startedAt: bootclock.Now(),
		peers:     make(map[string]*peer),
		waiters:   make(map[uint64]*waiter),
	}
	n.leadership.ctx, n.leadership.cancel = context.WithCancel(n.ctx)
	n.metrics.Counter("elections_won_total").Inc(1)
	n.logger.Info("this host won the election and leads", "term", term)
	n.startPeersLocked()
	if n.log.lastIndex() > formationIndex {
		n.appendBarrierLocked()
	}
	n.advanceLocked()
}

func (n *Node) endLeadershipLocked() {
	n.logger.Info("this host no longer leads", "term", n.term)
	n.leadership.cancel()
	for _, w := range n.leadership.waiters {
		w.done <- outcome{err: outcomeUnknown("leadership lost before the entry was committed", nil)}
	}
	n.leadership = nil
	n.leader = ""
	n.resetElectionTimeoutLocked()
}

func (n *Node) startPeersLocked() {
	for _, m := range n.members.Members {
		if m.Name == n.options.Name || n.leadership.peers[m.Name] != nil {
			continue
		}
		p := &peer{name: m.Name, client: n.clientLocked(m.Address), wake: make(chan struct{}, 1)}
		p.nextIndex = n.log.lastIndex() + 1
		p.ctx, p.cancel = context.WithCancel(n.leadership.ctx)
		n.leadership.peers[m.Name] = p
		n.goLocked(func() { n.runHeartbeats(p) })
		n.goLocked(func() { n.runReplication(p) })
	}
}

// dropPeersLocked stops the heartbeats and the replication to hosts that are no
// longer members.
func (n *Node) dropPeersLocked() {
	for name, p := range n.leadership.peers {
		if findMember(n.members, name) == nil {
			p.cancel()
			delete(n.leadership.peers, name)
		}
	}
}

func (n *Node) wakePeersLocked() {
	for _, p := range n.leadership.peers {
		notify(p.wake)
	}
}

// appendBarrierLocked appends an entry without a command in the leader's term;
// see leadership.barrierIndex.
func (n *Node) appendBarrierLocked() {
	e := n.newEntryLocked()
	e.Payload = &pb.Entry_Barrier{Barrier: true}
	n.leadership.barrierIndex = e.Index
	n.appendLocked(e)
	n.wakePeersLocked()
}

func (n *Node) newEntryLocked() *pb.Entry {
	return &pb.Entry{Index: n.log.lastIndex() + 1, Term: n.term}
}

// advanceLocked runs on the leader when it starts to lead and after each peer's
// response or local sync. It continues the formation of the cluster, raises the
// commit index and promotes a member that has caught up.
func (n *Node) advanceLocked() {
	if n.log.lastIndex() <= formationIndex {
		n.advanceFormationLocked()
	}
	n.advanceCommitLocked()
	n.promoteLocked()
}

// advanceFormationLocked appends the first membership once the incarnations of
// all members are known, and the barrier once all members hold that membership;
// see formationIndex.
func (n *Node) advanceFormationLocked() {
	if n.logEmptyLocked() {
		n.appendFirstMembershipLocked()
		return
	}
	if n.durableIndex < formationIndex {
		return
	}
	for _, p := range n.leadership.peers {
		if p.matchIndex < formationIndex {
			return
		}
	}
	n.appendBarrierLocked()
}

func (n *Node) appendFirstMembershipLocked() {
	members := proto.Clone(n.members).(*pb.Membership)
	for _, m := range members.Members {
		m.Incarnation = n.incarnationLocked(m.Name)
		if m.Incarnation == "" {
			return
		}
	}
	n.appendMembershipLocked(members)
}

// incarnationLocked returns the incarnation that a member last reported, or ""
// if it has reported none to this leader.
func (n *Node) incarnationLocked(name string) string {
	if name == n.options.Name {
		return n.incarnation
	}
	if p := n.leadership.peers[name]; p != nil {
		return p.incarnation
	}
	return ""
}

// countsTowardsQuorumLocked reports whether a member's responses count towards a
// quorum: it is a voter that runs on the data folder recorded in the membership.
func (n *Node) countsTowardsQuorumLocked(m *pb.Member) bool {
	return m.Voter && n.incarnationLocked(m.Name) == m.Incarnation
}

// advanceCommitLocked raises the commit index to the last entry that a majority
// of the voters has synced, if that entry is of the leader's own term. An entry
// of an earlier term on a majority could still be replaced by a later leader.
func (n *Node) advanceCommitLocked() {
	var match []uint64
	for _, m := range voters(n.members) {
		match = append(match, n.matchIndexLocked(m))
	}
	index, ok := quorumValue(match, cmp.Compare[uint64])
	term, _ := n.log.term(index)
	if !ok || index <= n.commitIndex || term != n.term {
		return
	}
	n.commitIndex = index
	notify(n.applyWake)
	n.wakePeersLocked()
}

// matchIndexLocked returns the last entry that a member is known to have synced,
// or 0 if the member doesn't count towards a quorum.
func (n *Node) matchIndexLocked(m *pb.Member) uint64 {
	if m.Name == n.options.Name {
		return n.durableIndex
	}
	if !n.countsTowardsQuorumLocked(m) {
		return 0
	}
	return n.leadership.peers[m.Name].matchIndex
}

// quorumValue returns the highest value that a majority of the values reaches,
// and false if there are none. It sorts values in place.
func quorumValue[T any](values []T, compare func(a, b T) int) (value T, ok bool) {
	if len(values) == 0 {
		return value, false
	}
	slices.SortFunc(values, compare)
	return values[(len(values)-1)/2], true
}

// quorumContactLocked returns when the latest requests were sent that a quorum of
// the voters has answered. The lease counts from this time. This host itself
// counts as having answered now.
func (n *Node) quorumContactLocked() time.Time {
	now := bootclock.Now()
	var contacts []time.Time
	for _, m := range voters(n.members) {
		switch p := n.leadership.peers[m.Name]; {
		case m.Name == n.options.Name:
			contacts = append(contacts, now)
		case p != nil && n.countsTowardsQuorumLocked(m):
			contacts = append(contacts, p.ackedSendTime)
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

// stepDownWithoutQuorumLocked ends a leadership if no quorum has answered for
// electionTimeoutMax. Followers that still receive this leader's heartbeats,
// though their responses are lost, can then elect another leader.
func (n *Node) stepDownWithoutQuorumLocked() {
	contact := n.quorumContactLocked()
	if n.leadership.startedAt.After(contact) {
		contact = n.leadership.startedAt
	}
	if n.leadership.barrierIndex == 0 || bootclock.Since(contact) < electionTimeoutMax {
		return
	}
	n.metrics.Counter("leases_lost_total").Inc(1)
	n.becomeFollowerLocked("")
}

// checkLeadingLocked returns nil if this host leads with a valid lease and may
// answer reads and accept changes, and else *fault.NotRun with the cause.
func (n *Node) checkLeadingLocked() error {
	switch {
	case n.storageErr != nil:
		return &fault.NotRun{Reason: ReasonStorage, Detail: n.storageErr.Error()}
	case n.role != roleLeader:
		return noLeader("this host doesn't lead")
	case n.leadership.barrierIndex == 0 || n.commitIndex < n.leadership.barrierIndex:
		return noLeader("the leader has not committed an entry of its term")
	case !n.leaseValidLocked():
		return noLeader("the leader's lease has lapsed")
	}
	return nil
}

// Leadership implements Log. It reports true only once everything that earlier
// leaders committed has been applied here. The lease may end before the caller
// uses the result; Propose checks it again.
func (n *Node) Leadership() (term uint64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.checkLeadingLocked() != nil || n.lastApplied < n.leadership.barrierIndex {
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

// leaderLocked returns the leader, or nil if this host knows of none or has had
// no contact with it for electionTimeoutMax.
func (n *Node) leaderLocked() *pb.Member {
	if n.role != roleLeader && bootclock.Since(n.leaderContactAt) > electionTimeoutMax {
		return nil
	}
	return findMember(n.members, n.leader)
}

// leaderClient returns a client for the leader, and false if this host leads or
// knows of no leader.
func (n *Node) leaderClient() (lovageslipv1connect.ConsensusServiceClient, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.leaderLocked()
	if m == nil || m.Name == n.options.Name {
		return nil, false
	}
	return n.clientLocked(m.Address), true
}

// handleResponseLocked does what heartbeats and batches of entries have in common
// when a peer answers: it checks the term and records the contact and the peer's
// incarnation. It reports false if the response must be ignored, because this
// host no longer leads in the term of the request or the peer was removed.
func (n *Node) handleResponseLocked(p *peer, term uint64, sentAt time.Time, r *pb.AppendEntriesResponse) bool {
	if r.Term > n.term {
		n.adoptTermLocked(r.Term, "")
		return false
	}
	if n.role != roleLeader || n.term != term || n.leadership.peers[p.name] != p {
		return false
	}
	if sentAt.After(p.ackedSendTime) {
		p.ackedSendTime = sentAt
	}
	if p.incarnation != r.Incarnation {
		n.setIncarnationLocked(p, r.Incarnation)
	}
	return true
}

// setIncarnationLocked records the data folder that a peer answers from, when it
// is not known yet or has changed. What another folder held no longer counts, so
// the replication is woken to find out what this one holds.
func (n *Node) setIncarnationLocked(p *peer, incarnation string) {
	p.incarnation = incarnation
	p.matchIndex = 0
	notify(p.wake)
	m := findMember(n.members, p.name)
	if m == nil || n.logEmptyLocked() || m.Incarnation == incarnation {
		return
	}
	n.metrics.Counter("wrong_incarnation_total").Inc(1)
	n.logger.Warn("member answers from another data folder than it was added with and counts towards no quorum; remove it and add it again", "peer", p.name)
}
