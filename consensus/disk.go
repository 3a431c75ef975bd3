package consensus

import (
	"context"
	"errors"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
	"lovageslip/wal"
)

// diskOp is a group of records that must be written and synced, or a compaction.
// Operations reach the disk in the order in which they were queued, so state in
// memory may be ahead of the disk as long as every response waits for the
// operations that it depends on.
type diskOp struct {
	records []wal.Record
	// lastIndex and lastTerm are those of the last entry in records, or 0.
	lastIndex, lastTerm uint64
	hardState           *wal.Record // the term and vote in records, or nil
	// compactThrough is the index of a saved snapshot, or 0. The segments that
	// the snapshot covers are removed.
	compactThrough uint64
	done           chan struct{} // closed once synced
}

func (n *Node) queueLocked(op *diskOp) {
	op.done = make(chan struct{})
	n.diskOps = append(n.diskOps, op)
	n.lastDiskOp = op
	notify(n.diskWake)
}

// setHardStateLocked changes term and vote. The caller waits for n.hardStateOp
// before it answers another host.
func (n *Node) setHardStateLocked(term uint64, votedFor string) {
	n.term = term
	n.votedFor = votedFor
	data := encode(&pb.HardState{Term: term, VotedFor: votedFor})
	record := wal.Record{Kind: kindHardState, Data: data}
	op := &diskOp{records: []wal.Record{record}, hardState: &record}
	n.queueLocked(op)
	n.hardStateOp = op
}

// appendLocked adds entries to the end of the log and queues their write.
func (n *Node) appendLocked(entries ...*pb.Entry) {
	op := &diskOp{}
	for _, e := range entries {
		n.log.append(e)
		record := entryRecord(e)
		op.records = append(op.records, record)
		n.bytesSinceSnapshot += len(record.Data)
		op.lastIndex, op.lastTerm = e.Index, e.Term
		if e.GetMembership() != nil {
			n.reloadMembersLocked()
		}
	}
	n.queueLocked(op)
}

// truncateLocked drops the entries from index on from memory. On disk they stay;
// recovery lets the entries that replace them take precedence.
func (n *Node) truncateLocked(index uint64) {
	n.log.truncate(index)
	n.durableIndex = min(n.durableIndex, index-1)
	n.reloadMembersLocked()
}

// awaitDisk waits until an operation is synced. A nil operation counts as synced.
func (n *Node) awaitDisk(ctx context.Context, op *diskOp) error {
	if op == nil {
		return nil
	}
	select {
	case <-op.done:
		return nil
	case <-n.storageFailed:
		return n.Err()
	case <-ctx.Done():
		return cancelled(ctx)
	case <-n.ctx.Done():
		return hostStopping()
	}
}

// runDisk writes the queued operations, with one sync for all that were queued
// since the last write. It ends at the first failure other than a full disk.
func (n *Node) runDisk(ctx context.Context) {
	for {
		ops := n.takeQueuedOps()
		if len(ops) == 0 {
			select {
			case <-n.diskWake:
				continue
			case <-ctx.Done():
				return
			}
		}
		err := n.writeOps(ctx, ops)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			n.failStorage(err)
			return
		}
		n.finishOps(ops)
	}
}

func (n *Node) takeQueuedOps() []*diskOp {
	n.mu.Lock()
	defer n.mu.Unlock()
	ops := n.diskOps
	n.diskOps = nil
	return ops
}

func (n *Node) writeOps(ctx context.Context, ops []*diskOp) error {
	var records []wal.Record
	for _, op := range ops {
		records = append(records, op.records...)
		n.pendingCompaction = max(n.pendingCompaction, op.compactThrough)
		if op.hardState != nil {
			n.preamble[1] = *op.hardState
		}
	}
	if len(records) > 0 {
		if err := n.appendRecords(ctx, records); err != nil {
			return err
		}
	}
	return n.rotateIfDue()
}

// appendRecords writes and syncs records. While the disk is full, it waits and
// tries again; none of the operations that wait for the records is answered
// before that.
func (n *Node) appendRecords(ctx context.Context, records []wal.Record) error {
	err := n.wal.Append(records)
	for isNoSpace(err) {
		n.setDiskFull(err)
		if !pause.For(ctx, diskFullRetryInterval) {
			return ctx.Err()
		}
		err = n.wal.Flush()
	}
	if err == nil {
		n.clearDiskFull()
	}
	return err
}

func isNoSpace(err error) bool {
	var noSpace *wal.NoSpace
	return errors.As(err, &noSpace)
}

// rotateIfDue starts a new segment if the active one is full, or if older ones can
// be removed because a snapshot covers them. On a full disk it does neither, and
// is tried again after the next write.
func (n *Node) rotateIfDue() error {
	compact := n.pendingCompaction
	if compact > 0 {
		n.preamble[2] = snapshotMark(compact)
	}
	if compact == 0 && !n.wal.Full() {
		return nil
	}
	err := n.wal.Rotate(n.preamble)
	if err == nil && compact > 0 {
		err = n.wal.RemoveThrough(compact)
	}
	switch {
	case isNoSpace(err):
		n.metrics.Counter("rotations_postponed_total").Inc(1)
		return nil
	case err == nil:
		n.pendingCompaction = 0
	}
	return err
}

// setDiskFull makes this host stop leading and voting until clearDiskFull, because
// it cannot keep what it would have to promise.
func (n *Node) setDiskFull(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.diskFull {
		return
	}
	n.diskFull = true
	n.metrics.Gauge("disk_full").Update(1)
	n.logger.Error("disk is full; this host neither leads, votes nor acknowledges entries until there is room", "error", err)
	n.becomeFollowerLocked("")
}

func (n *Node) clearDiskFull() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.diskFull {
		return
	}
	n.diskFull = false
	n.metrics.Gauge("disk_full").Update(0)
	n.logger.Info("disk has room again; this host votes and acknowledges entries")
}

func (n *Node) finishOps(ops []*diskOp) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, op := range ops {
		close(op.done)
		// Another leader's entries may have replaced these in memory while
		// they were written.
		term, ok := n.log.term(op.lastIndex)
		if op.lastIndex > 0 && ok && term == op.lastTerm {
			n.durableIndex = max(n.durableIndex, op.lastIndex)
		}
	}
	if n.role == roleLeader {
		n.advanceLocked()
	}
}

// failStorage stops this host from voting, acknowledging entries and leading
// until it is restarted. After a failed write or sync, any part of the records
// may be on the disk.
func (n *Node) failStorage(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storageErr != nil {
		return
	}
	n.storageErr = &StorageFailed{Err: err}
	close(n.storageFailed)
	n.metrics.Counter("storage_failed_total").Inc(1)
	n.logger.Error("storage failed; this host neither votes nor acknowledges entries until it is restarted", "error", err)
	n.becomeFollowerLocked("")
}

// Err returns *StorageFailed once the disk has failed, else nil.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storageErr
}

// Failed returns a channel that is closed when the disk fails.
func (n *Node) Failed() <-chan struct{} { return n.storageFailed }

// notify wakes the goroutine that receives from wake, a channel with a buffer of
// one. A signal that is already pending is enough.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
