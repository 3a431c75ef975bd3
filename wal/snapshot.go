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
// must not run concurrently with each other, but may run concurrently with
// calls to the Log.
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
	names, err := f.namesWithSuffix(snapshotSuffix)
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

// LoadSnapshot returns the newest snapshot, or ok false if there is none. It
// returns *Damaged if that snapshot is damaged, and doesn't fall back to an older
// one, because the log records that follow the older one may have been removed.
func (f *Folder) LoadSnapshot() (index uint64, data []byte, ok bool, err error) {
	names, err := f.namesWithSuffix(snapshotSuffix)
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
		return 0, nil, false, &Damaged{File: f.path(name), Detail: "invalid snapshot file name"}
	}
	data, detail := parseSnapshot(content, index)
	if detail != "" {
		return 0, nil, false, &Damaged{File: f.path(name), Detail: detail}
	}
	return index, data, true, nil
}

func parseSnapshot(content []byte, index uint64) (data []byte, detail string) {
	if len(content) < snapshotHeaderSize || string(content[:8]) != snapshotMagic {
		return nil, "snapshot header is truncated or invalid"
	}
	if binary.LittleEndian.Uint64(content[8:]) != index {
		return nil, "snapshot index differs from the file name"
	}
	data = content[snapshotHeaderSize:]
	if checksum(data) != binary.LittleEndian.Uint32(content[16:]) {
		return nil, "snapshot data checksum mismatch"
	}
	return data, ""
}

func snapshotName(index uint64) string { return fmt.Sprintf("%020d%s", index, snapshotSuffix) }
