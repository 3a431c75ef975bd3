package consensus

import (
	"context"

	pb "lovageslip/gen/lovageslip/v1"
)

// runApply is the only goroutine that uses the state machine once the node has
// started.
func (n *Node) runApply(ctx context.Context) {
	for {
		restore, entries := n.nextApply()
		switch {
		case restore != nil:
			n.runRestore(restore)
		case len(entries) > 0:
			n.applyAll(entries)
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

func (n *Node) nextApply() (*restoreOp, []*pb.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if restore := n.restore; restore != nil {
		n.restore = nil
		return restore, nil
	}
	if n.commit <= n.applied {
		return nil, nil
	}
	entries := n.log.from(n.applied + 1)
	committed := min(uint64(len(entries)), n.commit-n.applied)
	return nil, entries[:committed]
}

func (n *Node) applyAll(entries []*pb.Entry) {
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
		n.answerLocked(e, results[i])
		if e.GetMembership() != nil {
			n.membersCommittedLocked()
		}
	}
}

func (n *Node) setAppliedLocked(index uint64) {
	n.applied = index
	close(n.appliedCh)
	n.appliedCh = make(chan struct{})
}

// snapshotIfDue takes a snapshot of what has been applied and lets go of the
// entries that it covers.
func (n *Node) snapshotIfDue() {
	meta := n.dueSnapshot()
	if meta == nil {
		return
	}
	state, err := n.options.StateMachine.Snapshot()
	if err != nil {
		n.metrics.Counter("snapshots_failed_total").Inc(1)
		n.logger.Error("state machine gave no snapshot; trying again after the next entry", "error", err)
		return
	}
	if err := n.saveSnapshot(meta, state); err != nil {
		n.fail(err)
		return
	}
	n.metrics.Counter("snapshots_total").Inc(1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.snapIndex = meta.Index
	if meta.Index > trailingEntries {
		n.log.compact(meta.Index - trailingEntries)
	}
	n.queueLocked(&diskOp{compact: meta.Index})
}

func (n *Node) dueSnapshot() *pb.SnapshotMeta {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.applied-n.snapIndex < snapshotEvery || n.failed != nil {
		return nil
	}
	term, _ := n.log.term(n.applied)
	members, _ := n.log.membersAt(n.applied)
	return &pb.SnapshotMeta{Index: n.applied, Term: term, Membership: members}
}

func (n *Node) saveSnapshot(meta *pb.SnapshotMeta, state []byte) error {
	n.snapshots.Lock()
	defer n.snapshots.Unlock()
	return n.folder.SaveSnapshot(meta.Index, encodeSnapshot(meta, state))
}
