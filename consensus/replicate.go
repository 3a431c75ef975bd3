package consensus

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"lovageslip/bootclock"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
)

// runHeartbeats sends heartbeats to one peer, whose responses renew the lease. It
// is separate from runReplication, so that a peer that is slow to sync entries
// still renews the lease.
func (n *Node) runHeartbeats(p *peer) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		n.sendHeartbeat(p)
		select {
		case <-ticker.C:
		case <-p.ctx.Done():
			return
		}
	}
}

func (n *Node) sendHeartbeat(p *peer) {
	request := n.heartbeatRequest(p)
	if request == nil {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, heartbeatTimeout)
	defer cancel()
	sentAt := bootclock.Now()
	response, err := p.client.AppendEntries(ctx, connect.NewRequest(request))
	if err != nil {
		n.metrics.Counter("heartbeats_failed_total").Inc(1)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handleResponseLocked(p, request.Term, sentAt, response.Msg) {
		n.advanceLocked()
	}
}

// heartbeatRequest builds a request without entries, or returns nil if this host
// no longer leads. The request names the last entry that the peer is known to
// hold, and a commit index up to it, so that the peer can commit its own entries
// up to there.
func (n *Node) heartbeatRequest(p *peer) *pb.AppendEntriesRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.ctx.Err() != nil || n.role != roleLeader {
		return nil
	}
	request := &pb.AppendEntriesRequest{Term: n.term, Leader: n.options.Name}
	if term, ok := n.log.term(p.matchIndex); ok {
		request.PrevIndex, request.PrevTerm = p.matchIndex, term
		request.Commit = min(n.commitIndex, p.matchIndex)
	}
	return request
}

// runReplication sends entries to one peer, one request at a time.
func (n *Node) runReplication(p *peer) {
	for p.ctx.Err() == nil {
		if !n.awaitWork(p) {
			return
		}
		if n.replicateOnce(p) {
			continue
		}
		// The peer ignores entries that it already holds, so a request
		// whose answer was lost can be sent again.
		wait := retryDelay/2 + rand.N(retryDelay)
		pause.For(p.ctx, wait)
	}
}

// awaitWork waits until there is something to send to the peer: it lacks entries
// or the latest commit index, or it isn't known yet what the peer holds. It
// returns false when the peer's context ends.
func (n *Node) awaitWork(p *peer) bool {
	for {
		n.mu.Lock()
		hasWork := p.matchIndex == 0 || p.nextIndex <= n.log.lastIndex() || p.ackedCommit < n.commitIndex
		// Before the first entry there is nothing to replicate.
		hasWork = hasWork && !n.logEmptyLocked()
		n.mu.Unlock()
		if hasWork {
			return p.ctx.Err() == nil
		}
		select {
		case <-p.wake:
		case <-p.ctx.Done():
			return false
		}
	}
}

// replicateOnce sends one batch of entries, or a snapshot, and reports whether the
// next request may follow without a delay.
func (n *Node) replicateOnce(p *peer) bool {
	request, needsSnapshot := n.appendRequest(p)
	if needsSnapshot {
		return n.sendSnapshot(p)
	}
	if request == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(p.ctx, appendTimeout)
	defer cancel()
	sentAt := bootclock.Now()
	response, err := p.client.AppendEntries(ctx, connect.NewRequest(request))
	if err != nil {
		n.metrics.Counter("appends_failed_total").Inc(1)
		return false
	}
	return n.handleAppendResponse(p, request, sentAt, response.Msg)
}

// appendRequest builds the next request with entries, or returns nil if this host
// no longer leads. needsSnapshot is true if the entries that the peer needs have
// been compacted.
func (n *Node) appendRequest(p *peer) (request *pb.AppendEntriesRequest, needsSnapshot bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.ctx.Err() != nil || n.role != roleLeader {
		return nil, false
	}
	prevTerm, ok := n.log.term(p.nextIndex - 1)
	if !ok {
		return nil, true
	}
	entries := n.log.batchFrom(p.nextIndex)
	return &pb.AppendEntriesRequest{
		Term:      n.term,
		Leader:    n.options.Name,
		PrevIndex: p.nextIndex - 1,
		PrevTerm:  prevTerm,
		Entries:   entries,
		Commit:    n.commitIndex,
	}, false
}

// handleAppendResponse records a peer's response to a batch of entries, and
// reports whether the next request may follow without a delay.
func (n *Node) handleAppendResponse(p *peer, request *pb.AppendEntriesRequest, sentAt time.Time, r *pb.AppendEntriesResponse) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.handleResponseLocked(p, request.Term, sentAt, r) {
		return false
	}
	if !r.Success {
		p.nextIndex = max(1, min(r.MatchIndex, p.nextIndex-1))
		return true
	}
	p.matchIndex = max(p.matchIndex, r.MatchIndex)
	p.nextIndex = max(p.nextIndex, r.MatchIndex+1)
	p.ackedCommit = min(request.Commit, r.MatchIndex)
	n.advanceLocked()
	return r.MatchIndex >= request.PrevIndex+uint64(len(request.Entries))
}
