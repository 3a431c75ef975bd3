package consensus

import (
	"context"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/wal"
)

// diskOp is a step that must be synced. Ops reach the disk in the order in
// which they were queued, so state in memory may run ahead of the disk as long
// as every answer waits for the ops that it depends on.
type diskOp struct {
	records []wal.Record
	// lastIndex and lastTerm name the last entry in records.
	lastIndex, lastTerm uint64
	hard                *wal.Record
	// compact, if not 0, removes what a snapshot at this index covers.
	compact uint64
	done    chan struct{}
}

func (n *Node) queueLocked(op *diskOp) {
	op.done = make(chan struct{})
	n.ops = append(n.ops, op)
	n.lastOp = op
	notify(n.opsWake)
}

// setHardStateLocked changes term and vote. The caller waits for n.hardOp
// before it answers.
func (n *Node) setHardStateLocked(term uint64, votedFor string) {
	n.term = term
	n.votedFor = votedFor
	data := encode(&pb.HardState{Term: term, VotedFor: votedFor})
	record := wal.Record{Kind: kindHardState, Data: data}
	op := &diskOp{records: []wal.Record{record}, hard: &record}
	n.queueLocked(op)
	n.hardOp = op
}

// appendLocked adds entries to the end of the log and queues their write.
func (n *Node) appendLocked(entries ...*pb.Entry) {
	op := &diskOp{}
	for _, e := range entries {
		n.log.append(e)
		op.records = append(op.records, entryRecord(e))
		op.lastIndex, op.lastTerm = e.Index, e.Term
		if e.GetMembership() != nil {
			n.membersChangedLocked()
		}
	}
	n.queueLocked(op)
}

// truncateLocked drops the entries from index on from memory. On the disk they
// are overridden by the entries that replace them.
func (n *Node) truncateLocked(index uint64) {
	n.log.truncate(index)
	n.durable = min(n.durable, index-1)
	n.membersChangedLocked()
}

// awaitDisk waits until an op is synced. A nil op counts as synced.
func (n *Node) awaitDisk(ctx context.Context, op *diskOp) error {
	if op == nil {
		return nil
	}
	select {
	case <-op.done:
		return nil
	case <-n.failedCh:
		return n.Err()
	case <-ctx.Done():
		return cancelled(ctx)
	case <-n.ctx.Done():
		return stopping()
	}
}

// runDisk writes queued ops, with one sync for all that have gathered.
func (n *Node) runDisk(ctx context.Context) {
	for {
		ops := n.takeOps()
		if len(ops) == 0 {
			select {
			case <-n.opsWake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if err := n.writeOps(ops); err != nil {
			n.fail(err)
			return
		}
		n.finishOps(ops)
	}
}

func (n *Node) takeOps() []*diskOp {
	n.mu.Lock()
	defer n.mu.Unlock()
	ops := n.ops
	n.ops = nil
	return ops
}

func (n *Node) writeOps(ops []*diskOp) error {
	var records []wal.Record
	var compact uint64
	for _, op := range ops {
		records = append(records, op.records...)
		compact = max(compact, op.compact)
		if op.hard != nil {
			n.preamble[1] = *op.hard
		}
	}
	if len(records) > 0 {
		if err := n.wal.Append(records); err != nil {
			return err
		}
	}
	if compact > 0 {
		n.preamble[2] = snapshotMark(compact)
	}
	if compact > 0 || n.wal.Full() {
		if err := n.wal.Rotate(n.preamble); err != nil {
			return err
		}
	}
	if compact > 0 {
		return n.wal.RemoveThrough(compact)
	}
	return nil
}

func (n *Node) finishOps(ops []*diskOp) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, op := range ops {
		close(op.done)
		// The entries may have been replaced in memory since.
		term, ok := n.log.term(op.lastIndex)
		if op.lastIndex > 0 && ok && term == op.lastTerm {
			n.durable = max(n.durable, op.lastIndex)
		}
	}
	if n.role == roleLeader {
		n.progressLocked()
	}
}

// fail stops this host from voting, acknowledging and leading.
func (n *Node) fail(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil {
		return
	}
	n.failed = &StorageFailed{Err: err}
	close(n.failedCh)
	n.metrics.Counter("storage_failed_total").Inc(1)
	n.logger.Error("storage failed; no votes or acknowledgements until a restart", "error", err)
	n.followLocked("")
}

// Err returns *StorageFailed once the disk has failed, else nil.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.failed
}

// Failed returns a channel that is closed when the disk fails.
func (n *Node) Failed() <-chan struct{} { return n.failedCh }

// notify wakes the reader of a channel with room for one signal.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
