package wal

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

const (
	snapshotSuffix     = ".snapshot"
	snapshotMagic      = "LVSSNAP1"
	snapshotHeaderSize = 20
)

// Layout of a snapshot file: magic (8 bytes), index (8), CRC-32C of the data
// (4), data.

// SaveSnapshot stores a snapshot, syncs it and then removes older ones. Calls
// must not overlap, but they may overlap with the use of the log.
func (f *Folder) SaveSnapshot(index uint64, data []byte) error {
	content := make([]byte, 0, snapshotHeaderSize+len(data))
	content = append(content, snapshotMagic...)
	content = binary.LittleEndian.AppendUint64(content, index)
	content = binary.LittleEndian.AppendUint32(content, checksum(data))
	content = append(content, data...)
	name := snapshotName(index)
	if err := f.Write(name, content); err != nil {
		return err
	}
	return f.removeSnapshotsBefore(name)
}

func (f *Folder) removeSnapshotsBefore(name string) error {
	names, err := f.names(snapshotSuffix)
	if err != nil {
		return err
	}
	for _, other := range names {
		if other >= name {
			continue
		}
		if err := f.remove(other); err != nil {
			return err
		}
	}
	return nil
}

// LoadSnapshot returns the newest snapshot, or ok false if there is none. A
// damaged snapshot is reported, and no older one is used instead, because the
// log that would follow it may be gone.
func (f *Folder) LoadSnapshot() (index uint64, data []byte, ok bool, err error) {
	names, err := f.names(snapshotSuffix)
	if err != nil || len(names) == 0 {
		return 0, nil, false, err
	}
	name := names[len(names)-1]
	content, _, err := f.Read(name)
	if err != nil {
		return 0, nil, false, err
	}
	index, parseErr := strconv.ParseUint(strings.TrimSuffix(name, snapshotSuffix), 10, 64)
	if parseErr != nil || snapshotName(index) != name {
		return 0, nil, false, &Damaged{File: f.path(name), Detail: "name of the snapshot"}
	}
	data, detail := parseSnapshot(content, index)
	if detail != "" {
		return 0, nil, false, &Damaged{File: f.path(name), Detail: detail}
	}
	return index, data, true, nil
}

func parseSnapshot(content []byte, index uint64) (data []byte, detail string) {
	if len(content) < snapshotHeaderSize || string(content[:8]) != snapshotMagic {
		return nil, "header of the snapshot"
	}
	if binary.LittleEndian.Uint64(content[8:]) != index {
		return nil, "index of the snapshot"
	}
	data = content[snapshotHeaderSize:]
	if checksum(data) != binary.LittleEndian.Uint32(content[16:]) {
		return nil, "checksum of the snapshot"
	}
	return data, ""
}

func snapshotName(index uint64) string { return fmt.Sprintf("%020d%s", index, snapshotSuffix) }
