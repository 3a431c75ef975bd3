package consensus

import (
	"crypto/rand"
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/wal"
)

// Kinds of records in the write-ahead log. Each segment starts with an
// identity, a hard state and a snapshot mark.
const (
	kindIdentity  uint8 = 1
	kindHardState uint8 = 2
	kindEntry     uint8 = 3
	// kindReset drops all entries before it; they were replaced by the
	// snapshot that the record names.
	kindReset uint8 = 4
	// kindSnapshot marks that a snapshot at this index or later exists, so
	// that the loss of its file is noticed.
	kindSnapshot uint8 = 5
)

// recovered is what a data folder holds.
type recovered struct {
	identity *pb.Member
	hard     *pb.HardState
	meta     *pb.SnapshotMeta
	snapshot []byte
	entries  entryLog
	// discarded is set if entries were dropped in favour of the snapshot, so
	// that a reset must be logged before further entries.
	discarded bool
	// needed is the index of the snapshot that must exist.
	needed uint64
}

// recoverState reads the snapshot and replays the records.
func recoverState(folder *wal.Folder, records []wal.Record) (*recovered, error) {
	r := &recovered{hard: &pb.HardState{}, meta: &pb.SnapshotMeta{}}
	if err := r.loadSnapshot(folder); err != nil {
		return nil, err
	}
	for _, record := range records {
		if err := r.replay(record); err != nil {
			return nil, err
		}
	}
	if r.identity == nil && (len(records) > 0 || r.snapshot != nil) {
		return nil, &BadLog{Detail: "no identity record"}
	}
	return r, r.joinSnapshot()
}

func (r *recovered) loadSnapshot(folder *wal.Folder) error {
	_, file, ok, err := folder.LoadSnapshot()
	if err != nil || !ok {
		return err
	}
	r.meta, r.snapshot, err = decodeSnapshot(file)
	return err
}

func (r *recovered) replay(record wal.Record) error {
	switch record.Kind {
	case kindIdentity:
		r.identity = &pb.Member{}
		return decode(record.Data, r.identity)
	case kindHardState:
		r.hard = &pb.HardState{}
		return decode(record.Data, r.hard)
	case kindReset:
		r.entries = entryLog{}
		return decode(record.Data, &pb.SnapshotMeta{})
	case kindSnapshot:
		mark := &pb.SnapshotMeta{}
		err := decode(record.Data, mark)
		r.needed = max(r.needed, mark.Index)
		return err
	case kindEntry:
		return r.replayEntry(record.Data)
	default:
		return &BadLog{Detail: "record of an unknown kind"}
	}
}

// replayEntry adds an entry. An entry at or before the last one replaces it
// and all that follow it.
func (r *recovered) replayEntry(data []byte) error {
	e := &pb.Entry{}
	if err := decode(data, e); err != nil {
		return err
	}
	l := &r.entries
	if len(l.entries) == 0 || e.Index <= l.baseIndex {
		*l = entryLog{baseIndex: e.Index - 1}
	}
	if e.Index > l.lastIndex()+1 {
		return &BadLog{Detail: "entries are missing"}
	}
	if e.Index <= l.lastIndex() {
		l.truncate(e.Index)
	}
	l.append(e)
	return nil
}

// joinSnapshot drops the entries that the snapshot covers, or all of them if
// they don't continue the snapshot.
func (r *recovered) joinSnapshot() error {
	if r.needed > r.meta.Index {
		return &BadLog{Detail: "the snapshot is missing"}
	}
	l := &r.entries
	if len(l.entries) == 0 {
		l.reset(r.meta)
		return nil
	}
	if l.baseIndex > r.meta.Index {
		return &BadLog{Detail: "entries between the snapshot and the log are missing"}
	}
	if l.baseIndex == r.meta.Index {
		l.baseTerm = r.meta.Term
	}
	r.discarded = !l.reset(r.meta)
	return nil
}

func decode(data []byte, m proto.Message) error {
	if err := proto.Unmarshal(data, m); err != nil {
		return &BadLog{Detail: "record can't be decoded", Err: err}
	}
	return nil
}

func encode(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		// Marshal fails only for invalid UTF-8 in names, which are
		// checked at the edge.
		panic(err)
	}
	return data
}

func entryRecord(e *pb.Entry) wal.Record {
	return wal.Record{Kind: kindEntry, Index: e.Index, Data: encode(e)}
}

// Layout of a snapshot: length of the metadata (4 bytes, little-endian),
// metadata, state.
const metaLengthSize = 4

func encodeSnapshot(meta *pb.SnapshotMeta, state []byte) []byte {
	encoded := encode(meta)
	data := binary.LittleEndian.AppendUint32(nil, uint32(len(encoded)))
	data = append(data, encoded...)
	return append(data, state...)
}

func decodeSnapshot(data []byte) (*pb.SnapshotMeta, []byte, error) {
	if len(data) < metaLengthSize {
		return nil, nil, &BadLog{Detail: "snapshot too short"}
	}
	length := uint64(binary.LittleEndian.Uint32(data))
	rest := data[metaLengthSize:]
	if uint64(len(rest)) < length {
		return nil, nil, &BadLog{Detail: "snapshot too short"}
	}
	meta := &pb.SnapshotMeta{}
	if err := decode(rest[:length], meta); err != nil {
		return nil, nil, err
	}
	return meta, rest[length:], nil
}

func snapshotMark(index uint64) wal.Record {
	return wal.Record{Kind: kindSnapshot, Data: encode(&pb.SnapshotMeta{Index: index})}
}

func newIncarnation() string { return rand.Text() }
