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

// runHeartbeats renews the lease with one peer. It is separate from the
// replication, so that a peer whose disk is slow still renews it.
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
	request := n.heartbeatFor(p)
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
	if n.handleAnswerLocked(p, request.Term, sentAt, response.Msg) {
		n.progressLocked()
	}
}

// heartbeatFor builds a request without entries, or nil if this host no longer
// leads. It names the last entry that the peer is known to hold, so that the
// peer can rely on the commit index.
func (n *Node) heartbeatFor(p *peer) *pb.AppendEntriesRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.ctx.Err() != nil || n.role != roleLeader {
		return nil
	}
	request := &pb.AppendEntriesRequest{Term: n.term, Leader: n.options.Name}
	if term, ok := n.log.term(p.match); ok {
		request.PrevIndex, request.PrevTerm = p.match, term
		request.Commit = min(n.commit, p.match)
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

// awaitWork waits until the peer lacks something.
func (n *Node) awaitWork(p *peer) bool {
	for {
		n.mu.Lock()
		work := p.match == 0 || p.next <= n.log.lastIndex() || p.sentCommit < n.commit
		// Before the first entry there is nothing to ask a peer for.
		work = work && !n.formingLocked()
		n.mu.Unlock()
		if work {
			return p.ctx.Err() == nil
		}
		select {
		case <-p.wake:
		case <-p.ctx.Done():
			return false
		}
	}
}

// replicateOnce sends one batch or a snapshot and reports success.
func (n *Node) replicateOnce(p *peer) bool {
	request, behind := n.batchFor(p)
	if behind {
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
	return n.handleBatch(p, request, sentAt, response.Msg)
}

// batchFor builds the next request. It reports behind if the peer needs a
// snapshot.
func (n *Node) batchFor(p *peer) (request *pb.AppendEntriesRequest, behind bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.ctx.Err() != nil || n.role != roleLeader {
		return nil, false
	}
	prevTerm, ok := n.log.term(p.next - 1)
	if !ok {
		return nil, true
	}
	entries := n.log.from(p.next)
	return &pb.AppendEntriesRequest{
		Term:      n.term,
		Leader:    n.options.Name,
		PrevIndex: p.next - 1,
		PrevTerm:  prevTerm,
		Entries:   entries,
		Commit:    n.commit,
	}, false
}

// handleBatch reports whether the next request may follow at once.
func (n *Node) handleBatch(p *peer, request *pb.AppendEntriesRequest, sentAt time.Time, r *pb.AppendEntriesResponse) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.handleAnswerLocked(p, request.Term, sentAt, r) {
		return false
	}
	if !r.Success {
		p.next = max(1, min(r.MatchIndex, p.next-1))
		return true
	}
	p.match = max(p.match, r.MatchIndex)
	p.next = max(p.next, r.MatchIndex+1)
	p.sentCommit = min(request.Commit, r.MatchIndex)
	n.progressLocked()
	return r.MatchIndex >= request.PrevIndex+uint64(len(request.Entries))
}
