package consensus

import (
	"google.golang.org/protobuf/proto"

	pb "lovageslip/gen/lovageslip/v1"
)

// entryLog is the part of the log that is held in memory: the entries after
// baseIndex. An entry is never changed once it is in the log. The base fields
// describe the last entry that was dropped from memory because a snapshot covers
// it.
type entryLog struct {
	baseIndex   uint64
	baseTerm    uint64
	baseMembers *pb.Membership
	entries     []*pb.Entry
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and false if the entry is not
// in memory.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entryAt(index).Term, true
}

func (l *entryLog) entryAt(index uint64) *pb.Entry { return l.entries[index-l.baseIndex-1] }

func (l *entryLog) append(e *pb.Entry) { l.entries = append(l.entries, e) }

// truncate drops the entries from index on. The kept part is copied, because
// readers may still hold the old slice.
func (l *entryLog) truncate(index uint64) {
	kept := l.entries[:index-l.baseIndex-1]
	l.entries = append([]*pb.Entry(nil), kept...)
}

// batchFrom returns the entries that start at index, limited to maxBatchEntries
// and, from the second entry on, to maxBatchBytes.
func (l *entryLog) batchFrom(index uint64) []*pb.Entry {
	if index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.baseIndex-1:]
	size := 0
	for i, e := range rest {
		size += proto.Size(e)
		if i == maxBatchEntries || (i > 0 && size > maxBatchBytes) {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// firstOfTerm returns the index of the first entry in memory that has the same
// term as the entry at index.
func (l *entryLog) firstOfTerm(index uint64) uint64 {
	term, _ := l.term(index)
	for index > l.baseIndex+1 && l.entryAt(index-1).Term == term {
		index--
	}
	return index
}

// membersAt returns the membership in force at index, and the index of the
// entry that set it.
func (l *entryLog) membersAt(index uint64) (*pb.Membership, uint64) {
	for i := index; i > l.baseIndex; i-- {
		if m := l.entryAt(i).GetMembership(); m != nil {
			return m, i
		}
	}
	return l.baseMembers, l.baseIndex
}

// compact drops the entries up to and including index from memory.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	members, _ := l.membersAt(index)
	term, _ := l.term(index)
	l.entries = append([]*pb.Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm, l.baseMembers = index, term, members
}

// trailingFrom returns the index up to which the entries that a snapshot at
// index covers can be dropped from memory, so that what stays of them is within
// trailingEntries and trailingBytes.
func (l *entryLog) trailingFrom(index uint64) uint64 {
	size := 0
	for kept := index; kept > l.baseIndex; kept-- {
		size += proto.Size(l.entryAt(kept))
		if index-kept >= trailingEntries || size > trailingBytes {
			return kept
		}
	}
	return l.baseIndex
}

// reset makes a snapshot the base of the log. Entries after the snapshot are kept
// if the log holds the snapshot's last entry. It reports whether they were kept.
func (l *entryLog) reset(meta *pb.SnapshotMeta) bool {
	if term, ok := l.term(meta.Index); ok && term == meta.Term {
		l.compact(meta.Index)
		l.baseMembers = meta.Membership
		return true
	}
	l.entries = nil
	l.baseIndex, l.baseTerm, l.baseMembers = meta.Index, meta.Term, meta.Membership
	return false
}
