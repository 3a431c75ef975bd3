package consensus

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/wal"
)

// restoreOp is a snapshot from the leader that waits for runApply.
type restoreOp struct {
	meta  *pb.SnapshotMeta
	state []byte
	done  chan struct{}
	op    *diskOp // set before done is closed
}

// sendSnapshot sends the newest snapshot to a peer and reports success.
func (n *Node) sendSnapshot(p *peer) bool {
	meta, state, err := n.loadSnapshot()
	if err != nil {
		n.fail(err)
		return false
	}
	n.logger.Info("sending a snapshot", "peer", p.name, "index", meta.Index)
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
		n.followTermLocked(response.Term, "")
		return false
	}
	if n.role != roleLeader || n.term != term {
		return false
	}
	// The answer doesn't count towards a quorum; the next batch does.
	p.next = meta.Index + 1
	return true
}

func (n *Node) loadSnapshot() (*pb.SnapshotMeta, []byte, error) {
	n.snapshots.Lock()
	defer n.snapshots.Unlock()
	_, file, ok, err := n.folder.LoadSnapshot()
	if err != nil {
		return nil, nil, err
	}
	if !ok {
		return nil, nil, &BadLog{Detail: "the snapshot is missing"}
	}
	return decodeSnapshot(file)
}

func (n *Node) streamSnapshot(ctx context.Context, p *peer, term uint64, meta *pb.SnapshotMeta, state []byte) (*pb.InstallSnapshotResponse, error) {
	stream := p.client.InstallSnapshot(ctx)
	for {
		size := min(len(state), snapshotChunk)
		chunk := &pb.InstallSnapshotRequest{
			Term:   term,
			Leader: n.options.Name,
			Meta:   meta,
			Data:   state[:size],
			Last:   size == len(state),
		}
		// After an error, CloseAndReceive returns its cause.
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

// InstallSnapshot replaces this host's state by the leader's snapshot.
func (s *service) InstallSnapshot(ctx context.Context, stream *connect.ClientStream[pb.InstallSnapshotRequest]) (*connect.Response[pb.InstallSnapshotResponse], error) {
	n := s.n
	restore := &restoreOp{done: make(chan struct{})}
	complete := false
	for !complete && stream.Receive() {
		chunk := stream.Msg()
		if term, ok := n.hearSnapshot(chunk); !ok {
			return connect.NewResponse(&pb.InstallSnapshotResponse{Term: term}), nil
		}
		restore.meta = chunk.Meta
		restore.state = append(restore.state, chunk.Data...)
		complete = chunk.Last
	}
	if !complete || restore.meta == nil {
		return nil, toWire(unknown("snapshot stream ended early", stream.Err()))
	}
	if err := n.install(ctx, restore); err != nil {
		return nil, toWire(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return connect.NewResponse(&pb.InstallSnapshotResponse{Term: n.term}), nil
}

func (n *Node) hearSnapshot(chunk *pb.InstallSnapshotRequest) (term uint64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if chunk.Term < n.term || n.failed != nil || n.closed {
		return n.term, false
	}
	n.hearLeaderLocked(chunk.Term, chunk.Leader)
	return n.term, true
}

// install hands a snapshot to runApply and waits until it is in place and
// synced.
func (n *Node) install(ctx context.Context, restore *restoreOp) error {
	n.mu.Lock()
	if n.restore != nil {
		n.mu.Unlock()
		return noLeader("another snapshot is being installed")
	}
	n.restore = restore
	n.mu.Unlock()
	notify(n.applyWake)
	select {
	case <-restore.done:
	case <-n.failedCh:
		return n.Err()
	case <-n.ctx.Done():
		return noLeader("this host is stopping")
	}
	return n.awaitDisk(ctx, restore.op)
}

// runRestore stores the snapshot before the log forgets what it replaces.
func (n *Node) runRestore(r *restoreOp) {
	defer close(r.done)
	if r.meta.Index <= n.appliedIndex() {
		return
	}
	if err := n.saveSnapshot(r.meta, r.state); err != nil {
		n.fail(err)
		return
	}
	start := time.Now()
	if err := n.options.StateMachine.Restore(r.state); err != nil {
		n.fail(&BadLog{Detail: "snapshot refused by the state machine", Err: err})
		return
	}
	n.metrics.Timer("restore_seconds").Record(time.Since(start))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.adoptLocked(r)
}

func (n *Node) appliedIndex() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.applied
}

func (n *Node) adoptLocked(r *restoreOp) {
	op := &diskOp{compact: r.meta.Index}
	if !n.log.reset(r.meta) {
		op.records = []wal.Record{{Kind: kindReset, Data: encode(r.meta)}}
		n.durable = r.meta.Index
	}
	n.durable = max(n.durable, r.meta.Index)
	n.snapIndex = r.meta.Index
	n.commit = max(n.commit, r.meta.Index)
	n.setAppliedLocked(r.meta.Index)
	n.membersChangedLocked()
	n.queueLocked(op)
	r.op = op
	n.logger.Info("installed a snapshot", "index", r.meta.Index)
}
