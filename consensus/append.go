package consensus

import (
	"context"

	"connectrpc.com/connect"

	"lovageslip/bootclock"
	pb "lovageslip/gen/lovageslip/v1"
)

// AppendEntries implements ConsensusService. It answers a leader's heartbeat or
// batch of entries once everything that the response acknowledges is synced.
func (s *service) AppendEntries(ctx context.Context, request *connect.Request[pb.AppendEntriesRequest]) (*connect.Response[pb.AppendEntriesResponse], error) {
	n := s.n
	n.mu.Lock()
	if n.storageErr != nil || n.closed {
		n.mu.Unlock()
		return nil, toWire(noLeader("this host has stopped"))
	}
	response, op := n.handleAppendLocked(request.Msg)
	n.mu.Unlock()
	if err := n.awaitDisk(ctx, op); err != nil {
		return nil, toWire(err)
	}
	return connect.NewResponse(response), nil
}

// handleAppendLocked returns the response to a leader's request and the disk
// operation that must be synced before the response is sent.
func (n *Node) handleAppendLocked(r *pb.AppendEntriesRequest) (*pb.AppendEntriesResponse, *diskOp) {
	response := &pb.AppendEntriesResponse{Term: n.term, Incarnation: n.incarnation}
	if r.Term < n.term || r.Leader == n.options.Name {
		// A request that names this host as the leader is its own: it was
		// told to add a member at its own address, and probes that address.
		return response, nil
	}
	n.recordLeaderContactLocked(r.Term, r.Leader)
	response.Term = n.term
	if r.PrevIndex < n.log.baseIndex {
		n.skipCompactedLocked(r)
	}
	if term, ok := n.log.term(r.PrevIndex); !ok || term != r.PrevTerm {
		response.MatchIndex = n.retryIndexLocked(r.PrevIndex)
		return response, n.hardStateOp
	}
	response.Success = true
	last := r.PrevIndex + uint64(len(r.Entries))
	n.storeEntriesLocked(r.Entries)
	n.raiseCommitLocked(min(r.Commit, last))
	if len(r.Entries) == 0 {
		response.MatchIndex = min(last, n.durableIndex)
		return response, n.hardStateOp
	}
	response.MatchIndex = last
	return response, n.lastDiskOp
}

// recordLeaderContactLocked records a request from the leader of a term that is
// not lower than this host's, and restarts the election timeout.
func (n *Node) recordLeaderContactLocked(term uint64, leader string) {
	if term > n.term || n.role != roleFollower || n.leader != leader {
		n.adoptTermLocked(term, leader)
	}
	n.restarted = false
	n.leaderContactAt = bootclock.Now()
	n.resetElectionTimeoutLocked()
}

// skipCompactedLocked drops from a request the entries that this host has
// compacted into a snapshot. They are committed, so every later leader holds the
// same ones.
func (n *Node) skipCompactedLocked(r *pb.AppendEntriesRequest) {
	skip := min(n.log.baseIndex-r.PrevIndex, uint64(len(r.Entries)))
	r.Entries = r.Entries[skip:]
	r.PrevIndex, r.PrevTerm = n.log.baseIndex, n.log.baseTerm
}

// retryIndexLocked returns the index from which the leader should send entries
// after this host's log didn't match at prevIndex. It skips the whole term of
// the entry there, so that the leader needs one request per term and not one per
// entry.
func (n *Node) retryIndexLocked(prevIndex uint64) uint64 {
	if prevIndex > n.log.lastIndex() {
		return n.log.lastIndex() + 1
	}
	return n.log.firstOfTerm(prevIndex)
}

// storeEntriesLocked appends the entries that this host lacks. An entry of this
// host that has another term at the same index was never committed, and is
// dropped with all that follow it.
func (n *Node) storeEntriesLocked(entries []*pb.Entry) {
	for i, e := range entries {
		term, ok := n.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			n.truncateLocked(e.Index)
		}
		n.appendLocked(entries[i:]...)
		return
	}
}

// raiseCommitLocked raises the commit index and wakes runApply.
func (n *Node) raiseCommitLocked(index uint64) {
	if index <= n.commitIndex {
		return
	}
	n.commitIndex = index
	notify(n.applyWake)
}
