package consensus

import (
	"context"
	"time"

	"lovageslip/bootclock"
	"lovageslip/internal/pause"
)

// Status is the state of a node, for operators, metrics and the packages that
// manage the membership.
type Status struct {
	Name        string
	Incarnation string
	// Role is follower, candidate or leader.
	Role   string
	Leader string
	Term   uint64
	// LeaseValid is true on a leader that may answer reads and accept
	// changes now.
	LeaseValid bool
	// Last, Durable, Commit and Applied are the indexes of the last entry in
	// memory, synced to this host's disk, known to be committed, and applied
	// to the state machine.
	Last, Durable, Commit, Applied uint64
	// Snapshot is the last index that this host's newest snapshot covers.
	Snapshot uint64
	Members  []MemberStatus
	// Err is *StorageFailed once the disk has failed.
	Err error
}

// MemberStatus is what this host knows of a member. For members other than
// itself, only a leader fills in the fields after Member.
type MemberStatus struct {
	Member
	// Match is the last entry that the member is known to have synced.
	Match uint64
	// ContactAge is the age of the leader's last contact with the member. It
	// counts from when the latest request that the member answered was sent,
	// or from when this host began to lead if the member has answered none.
	ContactAge time.Duration
	// WrongIncarnation is true if the member runs on another data folder
	// than the one it was added with. It counts towards no quorum until it
	// is removed and added again.
	WrongIncarnation bool
}

var roleNames = map[role]string{
	roleFollower:  "follower",
	roleCandidate: "candidate",
	roleLeader:    "leader",
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := Status{
		Name:        n.options.Name,
		Incarnation: n.incarnation,
		Role:        roleNames[n.role],
		Leader:      n.leader,
		Term:        n.term,
		LeaseValid:  n.checkLeadingLocked() == nil,
		Last:        n.log.lastIndex(),
		Durable:     n.durableIndex,
		Commit:      n.commitIndex,
		Applied:     n.lastApplied,
		Snapshot:    n.snapshotIndex,
		Err:         n.storageErr,
	}
	for _, m := range n.membersLocked() {
		s.Members = append(s.Members, n.memberStatusLocked(m))
	}
	return s
}

func (n *Node) memberStatusLocked(m Member) MemberStatus {
	s := MemberStatus{Member: m}
	if m.Name == n.options.Name {
		s.Match = n.durableIndex
		s.WrongIncarnation = m.Incarnation != n.incarnation && !n.logEmptyLocked()
		return s
	}
	if n.leadership == nil || n.leadership.peers[m.Name] == nil {
		return s
	}
	p := n.leadership.peers[m.Name]
	s.Match = p.matchIndex
	lastContact := p.ackedSendTime
	if lastContact.Before(n.leadership.startedAt) {
		lastContact = n.leadership.startedAt
	}
	s.ContactAge = bootclock.Since(lastContact)
	s.WrongIncarnation = p.incarnation != "" && p.incarnation != m.Incarnation && !n.logEmptyLocked()
	return s
}

// runGauges updates the metrics of the node's state every gaugeInterval.
func (n *Node) runGauges(ctx context.Context) {
	for {
		s := n.Status()
		n.metrics.Gauge("term").Update(float64(s.Term))
		n.metrics.Gauge("commit_index").Update(float64(s.Commit))
		n.metrics.Gauge("applied_index").Update(float64(s.Applied))
		n.metrics.Gauge("unsynced_entries").Update(float64(s.Last - min(s.Durable, s.Last)))
		n.metrics.Gauge("leading").Update(boolGauge(s.LeaseValid))
		n.metrics.Gauge("storage_failed").Update(boolGauge(s.Err != nil))
		if !pause.For(ctx, gaugeInterval) {
			return
		}
	}
}

func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
