// Package wal stores a write-ahead log, snapshots and small files in one data
// folder. Package consensus keeps its replicated log and its votes in it; wal
// does not interpret the data of records and snapshots.
//
// The log is a series of segment files, each named after the sequence number of
// its first record. Append writes a batch of records and syncs them with one
// fsync. Records are durable once Append has returned, and not before.
//
// After each sync, the log writes the last segment and its synced length to the
// file "synced", but does not sync that file. The length in it is never greater
// than what was synced. Recovery removes a record only if the last segment ends
// inside the record (a torn write) and the record begins at or after the synced
// length. Everything else is reported as *Damaged: a wrong checksum in any
// record, also in the last one, missing records, and a last segment that is
// shorter than its synced length.
//
// Limits of this check: after a crash of the process, the file "synced" is
// up to date, so recovery always distinguishes a torn write from a loss of
// acknowledged records. After a power failure, the file may be some seconds
// old. Damage inside a record is still always found. But if the disk confirmed
// a sync and then lost the end of the last segment, and the remaining part ends
// inside a record after the stored length, the loss looks like a torn write.
package wal

import (
	"errors"
	"fmt"
	"os"
)

const (
	segmentSuffix  = ".wal"
	syncedFileName = "synced"
	syncedFileSize = 20
)

type segment struct {
	firstSeq uint64
	// maxIndex is the highest Index of the records in the segment.
	maxIndex uint64
}

func (s segment) name() string { return fmt.Sprintf("%020d%s", s.firstSeq, segmentSuffix) }

// Log is an open write-ahead log. It is not safe for concurrent use.
type Log struct {
	folder     *Folder
	segments   []segment
	nextSeq    uint64
	active     File
	size       int64
	syncedFile File
	err        error
	buffer     []byte
}

// Append writes the records in order and returns once they are synced. If it
// fails, any part of the batch may be on the disk, and the log refuses every
// later call with the same error.
func (l *Log) Append(records []Record) error {
	if l.err != nil {
		return l.err
	}
	l.buffer = l.buffer[:0]
	for _, r := range records {
		r.Seq = l.nextSeq
		l.nextSeq++
		l.buffer = appendRecord(l.buffer, r)
		l.updateMaxIndex(r.Index)
	}
	if err := l.writeAndSync(); err != nil {
		return l.setErr(err)
	}
	return l.setErr(l.writeSyncedLength())
}

func (l *Log) updateMaxIndex(index uint64) {
	last := &l.segments[len(l.segments)-1]
	last.maxIndex = max(last.maxIndex, index)
}

func (l *Log) writeAndSync() error {
	path := l.activePath()
	if _, err := l.active.WriteAt(l.buffer, l.size); err != nil {
		return newFileError("write", path, err)
	}
	if err := l.active.Sync(); err != nil {
		return newFileError("sync", path, err)
	}
	l.size += int64(len(l.buffer))
	return nil
}

// writeSyncedLength updates the file "synced". It does not sync that file; the
// package comment says why this is safe.
func (l *Log) writeSyncedLength() error {
	content := encodeSynced(l.segments[len(l.segments)-1].firstSeq, l.size)
	if _, err := l.syncedFile.WriteAt(content, 0); err != nil {
		return newFileError("write", l.folder.path(syncedFileName), err)
	}
	return nil
}

// Full reports whether the active segment has reached its size limit.
func (l *Log) Full() bool { return l.size >= l.folder.segmentSize }

// Rotate starts a new segment with the given records and returns once they are
// synced. The caller passes copies of those earlier records that recovery needs
// even after RemoveThrough has deleted their segments.
func (l *Log) Rotate(first []Record) error {
	if l.err != nil {
		return l.err
	}
	if err := l.active.Close(); err != nil {
		return l.setErr(newFileError("close", l.activePath(), err))
	}
	if err := l.startSegment(); err != nil {
		return l.setErr(err)
	}
	return l.Append(first)
}

func (l *Log) startSegment() error {
	l.segments = append(l.segments, segment{firstSeq: l.nextSeq})
	path := l.activePath()
	file, err := l.folder.fs.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return newFileError("create", path, err)
	}
	l.active = file
	l.size = 0
	l.buffer = append(l.buffer[:0], segmentHeader(l.nextSeq)...)
	if err := l.writeAndSync(); err != nil {
		return err
	}
	if err := l.folder.syncDir(); err != nil {
		return err
	}
	return l.writeSyncedLength()
}

// RemoveThrough deletes the oldest segments, as long as all their records have
// an Index of at most index. It never deletes the active segment.
func (l *Log) RemoveThrough(index uint64) error {
	if l.err != nil {
		return l.err
	}
	// After a power failure, the file "synced" must not name a segment that is
	// deleted here, because recovery would report damage.
	if err := l.syncedFile.Sync(); err != nil {
		return l.setErr(newFileError("sync", l.folder.path(syncedFileName), err))
	}
	for len(l.segments) > 1 && l.segments[0].maxIndex <= index {
		if err := l.folder.remove(l.segments[0].name()); err != nil {
			return l.setErr(err)
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// Close closes the files. All acknowledged records are already synced.
func (l *Log) Close() error {
	if l.err == nil {
		l.err = newFileError("write", l.activePath(), os.ErrClosed)
	}
	return errors.Join(l.active.Close(), l.syncedFile.Close())
}

// setErr stores err unless an earlier error is stored, and returns the stored
// error.
func (l *Log) setErr(err error) error {
	if l.err == nil {
		l.err = err
	}
	return l.err
}

func (l *Log) activePath() string {
	return l.folder.path(l.segments[len(l.segments)-1].name())
}
