package consensus

import (
	"context"
	"time"

	"lovageslip/bootclock"
	"lovageslip/internal/pause"
)

// Status is what operators and metrics see of a node.
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
	// Last, Durable, Commit and Applied are indexes in the log: the last
	// entry held in memory, on this host's disk, known to be committed, and
	// applied to the state machine.
	Last, Durable, Commit, Applied uint64
	// Snapshot is the index of this host's newest snapshot.
	Snapshot uint64
	Members  []MemberStatus
	// Err is *StorageFailed once the disk has failed.
	Err error
}

// MemberStatus is a member as this host sees it. Only a leader knows the last
// three fields of the others.
type MemberStatus struct {
	Member
	// Match is the last entry that the member is known to have synced.
	Match uint64
	// Silent is the time since the send time of the latest request that the
	// member answered, or since this host leads if it has answered none.
	Silent time.Duration
	// WrongIncarnation is true if the member runs on another data folder
	// than the one it was added with. It doesn't count until it is removed
	// and added again.
	WrongIncarnation bool
}

var roleNames = map[role]string{
	roleFollower:  "follower",
	roleCandidate: "candidate",
	roleLeader:    "leader",
}

// Status returns the state of the node.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := Status{
		Name:        n.options.Name,
		Incarnation: n.incarnation,
		Role:        roleNames[n.role],
		Leader:      n.leader,
		Term:        n.term,
		LeaseValid:  n.leadingLocked() == nil,
		Last:        n.log.lastIndex(),
		Durable:     n.durable,
		Commit:      n.commit,
		Applied:     n.applied,
		Snapshot:    n.snapIndex,
		Err:         n.failed,
	}
	for _, m := range n.membersLocked() {
		s.Members = append(s.Members, n.memberStatusLocked(m))
	}
	return s
}

func (n *Node) memberStatusLocked(m Member) MemberStatus {
	s := MemberStatus{Member: m}
	if m.Name == n.options.Name {
		s.Match = n.durable
		s.WrongIncarnation = m.Incarnation != n.incarnation && !n.formingLocked()
		return s
	}
	if n.lead == nil || n.lead.peers[m.Name] == nil {
		return s
	}
	p := n.lead.peers[m.Name]
	s.Match = p.match
	heard := p.ackedAt
	if heard.Before(n.lead.since) {
		heard = n.lead.since
	}
	s.Silent = bootclock.Since(heard)
	s.WrongIncarnation = p.incarnation != "" && p.incarnation != m.Incarnation && !n.formingLocked()
	return s
}

// runGauges reports the state once a second.
func (n *Node) runGauges(ctx context.Context) {
	for {
		s := n.Status()
		n.metrics.Gauge("term").Update(float64(s.Term))
		n.metrics.Gauge("commit_index").Update(float64(s.Commit))
		n.metrics.Gauge("applied_index").Update(float64(s.Applied))
		n.metrics.Gauge("unsynced_entries").Update(float64(s.Last - min(s.Durable, s.Last)))
		n.metrics.Gauge("leading").Update(gaugeOf(s.LeaseValid))
		n.metrics.Gauge("storage_failed").Update(gaugeOf(s.Err != nil))
		if !pause.For(ctx, gaugeInterval) {
			return
		}
	}
}

func gaugeOf(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
