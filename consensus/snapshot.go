package consensus

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/wal"
)

// restoreOp is a snapshot from the leader that runApply is to install.
type restoreOp struct {
	meta  *pb.SnapshotMeta
	state []byte
	done  chan struct{} // closed by runApply
	// diskOp and err are set before done is closed. diskOp is nil if nothing
	// was restored.
	diskOp *diskOp
	err    error
}

// sendSnapshot sends the newest snapshot to a peer, and reports whether entries
// may follow without a delay.
func (n *Node) sendSnapshot(p *peer) bool {
	meta, state, err := n.loadSnapshot()
	if err != nil {
		n.failStorage(err)
		return false
	}
	n.logger.Info("leader sends a snapshot to a peer", "peer", p.name, "index", meta.Index)
	ctx, cancel := context.WithTimeout(p.ctx, snapshotTimeout)
	defer cancel()
	n.mu.Lock()
	term := n.term
	n.mu.Unlock()
	response, err := n.streamSnapshot(ctx, p, term, meta, state)
	if err != nil {
		n.metrics.Counter("snapshot_sends_failed_total").Inc(1)
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if response.Term > n.term {
		n.adoptTermLocked(response.Term, "")
		return false
	}
	if n.role != roleLeader || n.term != term {
		return false
	}
	// The snapshot itself doesn't count towards a quorum. The response to the
	// next batch of entries does.
	p.nextIndex = meta.Index + 1
	return true
}

func (n *Node) loadSnapshot() (*pb.SnapshotMeta, []byte, error) {
	n.snapshotFileMu.Lock()
	defer n.snapshotFileMu.Unlock()
	_, file, ok, err := n.folder.LoadSnapshot()
	if err != nil {
		return nil, nil, err
	}
	if !ok {
		return nil, nil, &UnusableLog{Detail: "the snapshot is missing"}
	}
	return decodeSnapshot(file)
}

func (n *Node) streamSnapshot(ctx context.Context, p *peer, term uint64, meta *pb.SnapshotMeta, state []byte) (*pb.InstallSnapshotResponse, error) {
	stream := p.client.InstallSnapshot(ctx)
	for {
		size := min(len(state), snapshotChunkBytes)
		chunk := &pb.InstallSnapshotRequest{
			Term:   term,
			Leader: n.options.Name,
			Meta:   meta,
			Data:   state[:size],
			Last:   size == len(state),
		}
		// After a failed Send, CloseAndReceive returns the cause.
		if err := stream.Send(chunk); err != nil || chunk.Last {
			break
		}
		state = state[size:]
	}
	response, err := stream.CloseAndReceive()
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// InstallSnapshot implements ConsensusService. It replaces this host's state by
// the snapshot that the leader streams, and answers once that is synced.
func (s *service) InstallSnapshot(ctx context.Context, stream *connect.ClientStream[pb.InstallSnapshotRequest]) (*connect.Response[pb.InstallSnapshotResponse], error) {
	n := s.n
	restore := &restoreOp{done: make(chan struct{})}
	complete := false
	for !complete && stream.Receive() {
		chunk := stream.Msg()
		if term, ok := n.acceptSnapshotChunk(chunk); !ok {
			return connect.NewResponse(&pb.InstallSnapshotResponse{Term: term}), nil
		}
		restore.meta = chunk.Meta
		restore.state = append(restore.state, chunk.Data...)
		complete = chunk.Last
	}
	if !complete || restore.meta == nil {
		return nil, toWire(outcomeUnknown("snapshot stream ended early", stream.Err()))
	}
	if err := n.installSnapshot(ctx, restore); err != nil {
		return nil, toWire(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return connect.NewResponse(&pb.InstallSnapshotResponse{Term: n.term}), nil
}

// acceptSnapshotChunk records contact with the leader that sent the chunk. It
// returns false, with this host's term, if the chunk is of an earlier term or
// this host has stopped.
func (n *Node) acceptSnapshotChunk(chunk *pb.InstallSnapshotRequest) (term uint64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if chunk.Term < n.term || n.storageErr != nil || n.closed {
		return n.term, false
	}
	n.recordLeaderContactLocked(chunk.Term, chunk.Leader)
	return n.term, true
}

// installSnapshot passes a snapshot to runApply and waits until it is restored and
// synced.
func (n *Node) installSnapshot(ctx context.Context, restore *restoreOp) error {
	n.mu.Lock()
	if n.pendingRestore != nil {
		n.mu.Unlock()
		return noLeader("another snapshot is being installed")
	}
	n.pendingRestore = restore
	n.mu.Unlock()
	notify(n.applyWake)
	select {
	case <-restore.done:
	case <-n.storageFailed:
		return n.Err()
	case <-n.ctx.Done():
		return noLeader("this host is stopping")
	}
	if restore.err != nil {
		return &fault.NotRun{Reason: ReasonStorage, Detail: restore.err.Error(), RetryAfter: diskFullRetryInterval}
	}
	return n.awaitDisk(ctx, restore.diskOp)
}

// runRestore installs a snapshot from the leader, unless this host has already
// applied as much. It saves the snapshot before the entries that the snapshot
// replaces are dropped, so that a crash between the two loses nothing.
func (n *Node) runRestore(r *restoreOp) {
	defer close(r.done)
	if r.meta.Index <= n.appliedIndex() {
		return
	}
	r.err = n.saveSnapshot(r.meta, r.state)
	switch {
	case isNoSpace(r.err):
		n.metrics.Counter("snapshots_failed_total").Inc(1)
		n.logger.Error("disk is full, so the leader's snapshot was not installed; the leader sends it again", "error", r.err)
		return
	case r.err != nil:
		n.failStorage(r.err)
		return
	}
	start := time.Now()
	if err := n.options.StateMachine.Restore(r.state); err != nil {
		n.failStorage(&UnusableLog{Detail: "snapshot refused by the state machine", Err: err})
		return
	}
	n.metrics.Timer("restore_seconds").Record(time.Since(start))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.adoptSnapshotLocked(r)
}

func (n *Node) appliedIndex() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastApplied
}

// adoptSnapshotLocked makes a restored snapshot the base of the log and queues the
// matching change of the write-ahead log.
func (n *Node) adoptSnapshotLocked(r *restoreOp) {
	op := &diskOp{compactThrough: r.meta.Index}
	if !n.log.reset(r.meta) {
		op.records = []wal.Record{{Kind: kindReset, Data: encode(r.meta)}}
		n.durableIndex = r.meta.Index
	}
	n.durableIndex = max(n.durableIndex, r.meta.Index)
	n.snapshotIndex = r.meta.Index
	n.commitIndex = max(n.commitIndex, r.meta.Index)
	n.setAppliedLocked(r.meta.Index)
	n.reloadMembersLocked()
	n.queueLocked(op)
	r.diskOp = op
	n.logger.Info("this host installed a snapshot from the leader", "index", r.meta.Index)
}
