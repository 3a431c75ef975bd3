package consensus

import (
	"context"

	"connectrpc.com/connect"

	"lovageslip/bootclock"
	pb "lovageslip/gen/lovageslip/v1"
)

// AppendEntries answers a leader once everything that the answer claims is
// synced.
func (s *service) AppendEntries(ctx context.Context, request *connect.Request[pb.AppendEntriesRequest]) (*connect.Response[pb.AppendEntriesResponse], error) {
	n := s.n
	n.mu.Lock()
	if n.failed != nil || n.closed {
		n.mu.Unlock()
		return nil, toWire(noLeader("this host has stopped"))
	}
	response, op := n.acceptLocked(request.Msg)
	n.mu.Unlock()
	if err := n.awaitDisk(ctx, op); err != nil {
		return nil, toWire(err)
	}
	return connect.NewResponse(response), nil
}

// acceptLocked returns the answer and the op that it depends on.
func (n *Node) acceptLocked(r *pb.AppendEntriesRequest) (*pb.AppendEntriesResponse, *diskOp) {
	response := &pb.AppendEntriesResponse{Term: n.term, Incarnation: n.incarnation}
	if r.Term < n.term || r.Leader == n.options.Name {
		// The second is this host's own probe of its own address.
		return response, nil
	}
	n.hearLeaderLocked(r.Term, r.Leader)
	response.Term = n.term
	if r.PrevIndex < n.log.baseIndex {
		n.skipToBaseLocked(r)
	}
	if term, ok := n.log.term(r.PrevIndex); !ok || term != r.PrevTerm {
		response.MatchIndex = n.retryFromLocked(r.PrevIndex)
		return response, n.hardOp
	}
	response.Success = true
	last := r.PrevIndex + uint64(len(r.Entries))
	n.storeLocked(r.Entries)
	n.commitLocked(min(r.Commit, last))
	if len(r.Entries) == 0 {
		response.MatchIndex = min(last, n.durable)
		return response, n.hardOp
	}
	response.MatchIndex = last
	return response, n.lastOp
}

// hearLeaderLocked notes contact with the leader of a term that is not lower
// than this host's.
func (n *Node) hearLeaderLocked(term uint64, leader string) {
	if term > n.term || n.role != roleFollower || n.leader != leader {
		n.followTermLocked(term, leader)
	}
	n.heardAt = bootclock.Now()
	n.resetElectionLocked()
}

// skipToBaseLocked moves a request past the entries that this host's snapshot
// covers. They are committed, so every later leader holds the same ones.
func (n *Node) skipToBaseLocked(r *pb.AppendEntriesRequest) {
	skip := min(n.log.baseIndex-r.PrevIndex, uint64(len(r.Entries)))
	r.Entries = r.Entries[skip:]
	r.PrevIndex, r.PrevTerm = n.log.baseIndex, n.log.baseTerm
}

// retryFromLocked returns the index from which the leader should try again.
func (n *Node) retryFromLocked(prev uint64) uint64 {
	if prev > n.log.lastIndex() {
		return n.log.lastIndex() + 1
	}
	return n.log.firstOfTerm(prev)
}

// storeLocked adds the entries that this host lacks. An entry of another term
// at the same index was never committed and is dropped with all that follow.
func (n *Node) storeLocked(entries []*pb.Entry) {
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

func (n *Node) commitLocked(index uint64) {
	if index <= n.commit {
		return
	}
	n.commit = index
	notify(n.applyWake)
}
