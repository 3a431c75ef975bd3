package consensus

import (
	"context"

	pb "lovageslip/gen/lovageslip/v1"
)

// runApply applies committed entries, installs snapshots from the leader and
// takes snapshots. Once the node has started, no other goroutine uses the state
// machine.
func (n *Node) runApply(ctx context.Context) {
	for {
		restore, entries := n.pendingApply()
		switch {
		case restore != nil:
			n.runRestore(restore)
		case len(entries) > 0:
			n.applyEntries(entries)
			n.snapshotIfDue()
		default:
			select {
			case <-n.applyWake:
			case <-ctx.Done():
				return
			}
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// pendingApply returns the snapshot to restore, if there is one, or else the next
// committed entries to apply.
func (n *Node) pendingApply() (*restoreOp, []*pb.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if restore := n.pendingRestore; restore != nil {
		n.pendingRestore = nil
		return restore, nil
	}
	if n.commitIndex <= n.lastApplied {
		return nil, nil
	}
	entries := n.log.batchFrom(n.lastApplied + 1)
	committed := min(uint64(len(entries)), n.commitIndex-n.lastApplied)
	return nil, entries[:committed]
}

func (n *Node) applyEntries(entries []*pb.Entry) {
	results := make([][]byte, len(entries))
	for i, e := range entries {
		if command, ok := e.Payload.(*pb.Entry_Command); ok {
			results[i] = n.options.StateMachine.Apply(e.Index, command.Command)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setAppliedLocked(entries[len(entries)-1].Index)
	for i, e := range entries {
		n.completeProposalLocked(e, results[i])
		if e.GetMembership() != nil {
			n.membersCommittedLocked()
		}
	}
}

func (n *Node) setAppliedLocked(index uint64) {
	n.lastApplied = index
	close(n.appliedCh)
	n.appliedCh = make(chan struct{})
}

// snapshotIfDue saves a snapshot of the applied state once enough entries were
// applied since the last one. It drops the entries that the snapshot covers from
// disk and, except for the last trailingEntries, from memory.
func (n *Node) snapshotIfDue() {
	meta := n.dueSnapshot()
	if meta == nil {
		return
	}
	state, err := n.options.StateMachine.Snapshot()
	if err != nil {
		n.metrics.Counter("snapshots_failed_total").Inc(1)
		n.logger.Error("state machine failed to take a snapshot; it is tried again after the next applied entries", "error", err)
		return
	}
	err = n.saveSnapshot(meta, state)
	switch {
	case isNoSpace(err):
		n.metrics.Counter("snapshots_failed_total").Inc(1)
		n.logger.Error("disk is full, so no snapshot was saved; it is tried again after the next applied entries", "error", err)
		return
	case err != nil:
		n.failStorage(err)
		return
	}
	n.metrics.Counter("snapshots_total").Inc(1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.snapshotIndex = meta.Index
	n.bytesSinceSnapshot = 0
	n.log.compact(n.log.trailingFrom(meta.Index))
	n.queueLocked(&diskOp{compactThrough: meta.Index})
}

// dueSnapshot returns the metadata of the snapshot to take now, or nil.
func (n *Node) dueSnapshot() *pb.SnapshotMeta {
	n.mu.Lock()
	defer n.mu.Unlock()
	due := n.lastApplied-n.snapshotIndex >= snapshotIntervalEntries || n.bytesSinceSnapshot >= snapshotIntervalBytes
	if !due || n.lastApplied == n.snapshotIndex || n.storageErr != nil {
		return nil
	}
	term, _ := n.log.term(n.lastApplied)
	members, _ := n.log.membersAt(n.lastApplied)
	return &pb.SnapshotMeta{Index: n.lastApplied, Term: term, Membership: members}
}

func (n *Node) saveSnapshot(meta *pb.SnapshotMeta, state []byte) error {
	n.snapshotFileMu.Lock()
	defer n.snapshotFileMu.Unlock()
	return n.folder.SaveSnapshot(meta.Index, encodeSnapshot(meta, state))
}
