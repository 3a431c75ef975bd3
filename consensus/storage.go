package consensus

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/wal"
)

// Kinds of records in the write-ahead log. Each segment starts with the preamble:
// an identity, a hard state (term and vote) and a snapshot mark.
const (
	kindIdentity  uint8 = 1
	kindHardState uint8 = 2
	kindEntry     uint8 = 3
	// kindReset invalidates all entries before it. The snapshot that the
	// record names has replaced them.
	kindReset uint8 = 4
	// kindSnapshot records that a snapshot at this index or later was saved,
	// so that recovery detects the loss of its file.
	kindSnapshot uint8 = 5
)

// recoveredState is the state that was read from a data folder at the start.
type recoveredState struct {
	identity     *pb.Member
	hard         *pb.HardState
	snapshotMeta *pb.SnapshotMeta
	snapshot     []byte
	entries      entryLog
	// entriesDiscarded is set if the log's entries were dropped because they
	// don't continue the snapshot. A kindReset record must then precede further
	// entries, so that the dropped ones are not replayed.
	entriesDiscarded bool
	// requiredSnapshot is the highest index of all snapshot marks. A snapshot at
	// this index or later must exist.
	requiredSnapshot uint64
}

// recoverState reads the newest snapshot and replays the records of the
// write-ahead log.
func recoverState(folder *wal.Folder, records []wal.Record) (*recoveredState, error) {
	r := &recoveredState{hard: &pb.HardState{}, snapshotMeta: &pb.SnapshotMeta{}}
	if err := r.loadSnapshot(folder); err != nil {
		return nil, err
	}
	for _, record := range records {
		if err := r.replay(record); err != nil {
			return nil, err
		}
	}
	if r.identity == nil && (len(records) > 0 || r.snapshot != nil) {
		return nil, &UnusableLog{Detail: "the data folder holds records or a snapshot but no identity record"}
	}
	return r, r.joinSnapshot()
}

func (r *recoveredState) loadSnapshot(folder *wal.Folder) error {
	_, file, ok, err := folder.LoadSnapshot()
	if err != nil || !ok {
		return err
	}
	r.snapshotMeta, r.snapshot, err = decodeSnapshot(file)
	return err
}

func (r *recoveredState) replay(record wal.Record) error {
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
		r.requiredSnapshot = max(r.requiredSnapshot, mark.Index)
		return err
	case kindEntry:
		return r.replayEntry(record.Data)
	default:
		return &UnusableLog{Detail: fmt.Sprintf("record of unknown kind %d", record.Kind)}
	}
}

// replayEntry adds an entry. An entry at an index that the log already holds
// replaces the entry there and all that follow it.
func (r *recoveredState) replayEntry(data []byte) error {
	e := &pb.Entry{}
	if err := decode(data, e); err != nil {
		return err
	}
	l := &r.entries
	if len(l.entries) == 0 || e.Index <= l.baseIndex {
		*l = entryLog{baseIndex: e.Index - 1}
	}
	if e.Index > l.lastIndex()+1 {
		return &UnusableLog{Detail: fmt.Sprintf("entry %d follows entry %d; those between are missing", e.Index, l.lastIndex())}
	}
	if e.Index <= l.lastIndex() {
		l.truncate(e.Index)
	}
	l.append(e)
	return nil
}

// joinSnapshot makes the snapshot the base of the replayed log. It drops the
// entries that the snapshot covers, or all of them if they don't continue the
// snapshot.
func (r *recoveredState) joinSnapshot() error {
	if r.requiredSnapshot > r.snapshotMeta.Index {
		return &UnusableLog{Detail: fmt.Sprintf("the snapshot at index %d or later is missing; the newest one found covers entries up to %d", r.requiredSnapshot, r.snapshotMeta.Index)}
	}
	l := &r.entries
	if len(l.entries) == 0 {
		l.reset(r.snapshotMeta)
		return nil
	}
	if l.baseIndex > r.snapshotMeta.Index {
		return &UnusableLog{Detail: fmt.Sprintf("entries %d to %d between the snapshot and the log are missing", r.snapshotMeta.Index+1, l.baseIndex)}
	}
	if l.baseIndex == r.snapshotMeta.Index {
		l.baseTerm = r.snapshotMeta.Term
	}
	r.entriesDiscarded = !l.reset(r.snapshotMeta)
	return nil
}

func decode(data []byte, m proto.Message) error {
	if err := proto.Unmarshal(data, m); err != nil {
		return &UnusableLog{Detail: "record can't be decoded", Err: err}
	}
	return nil
}

func encode(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		// Marshal fails only for invalid UTF-8, and checkMember rejects
		// names and addresses that contain it.
		panic(err)
	}
	return data
}

func entryRecord(e *pb.Entry) wal.Record {
	return wal.Record{Kind: kindEntry, Index: e.Index, Data: encode(e)}
}

// metaLengthSize is the size in bytes of the length field of a snapshot. A
// snapshot consists of the length of its metadata (little-endian), the metadata
// and the state of the state machine.
const metaLengthSize = 4

func encodeSnapshot(meta *pb.SnapshotMeta, state []byte) []byte {
	encoded := encode(meta)
	data := binary.LittleEndian.AppendUint32(nil, uint32(len(encoded)))
	data = append(data, encoded...)
	return append(data, state...)
}

func decodeSnapshot(data []byte) (*pb.SnapshotMeta, []byte, error) {
	if len(data) < metaLengthSize {
		return nil, nil, &UnusableLog{Detail: fmt.Sprintf("the snapshot is too short for the length field of its metadata: %d of %d bytes found", len(data), metaLengthSize)}
	}
	length := uint64(binary.LittleEndian.Uint32(data))
	rest := data[metaLengthSize:]
	if uint64(len(rest)) < length {
		return nil, nil, &UnusableLog{Detail: fmt.Sprintf("the snapshot is too short for its metadata: %d of %d bytes found", len(rest), length)}
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
