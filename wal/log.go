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
	// unwritten holds encoded records that are not synced yet. It is empty
	// between calls, unless the last one failed with *NoSpace.
	unwritten []byte
	// syncedStale is set while the file "synced" does not name the active
	// segment.
	syncedStale bool
}

// Append writes the records in order and returns once they are synced. If it
// fails, any part of the batch may be on the disk. After *NoSpace the records
// stay queued, and Flush tries again; after any other error the log refuses
// every later call with the same error.
func (l *Log) Append(records []Record) error {
	if l.err != nil {
		return l.err
	}
	l.unwritten = l.encode(l.unwritten, records)
	for _, r := range records {
		l.updateMaxIndex(r.Index)
	}
	return l.Flush()
}

// Flush writes and syncs the records that calls which failed with *NoSpace have
// left queued. Errors are those of Append. Writing again is safe: nothing after
// the synced length has been acknowledged, and the records go to the same place.
func (l *Log) Flush() error {
	if l.err != nil {
		return l.err
	}
	if err := writeAndSync(l.active, l.activePath(), l.unwritten, l.size); err != nil {
		return l.setErr(err)
	}
	l.size += int64(len(l.unwritten))
	l.unwritten = l.unwritten[:0]
	return l.setErr(l.writeSyncedLength())
}

// encode appends the encoded records to buffer and numbers them.
func (l *Log) encode(buffer []byte, records []Record) []byte {
	for _, r := range records {
		r.Seq = l.nextSeq
		l.nextSeq++
		buffer = appendRecord(buffer, r)
	}
	return buffer
}

func (l *Log) updateMaxIndex(index uint64) {
	last := &l.segments[len(l.segments)-1]
	last.maxIndex = max(last.maxIndex, index)
}

// writeAndSync writes data to a file at the given offset and syncs it.
func writeAndSync(file File, path string, data []byte, offset int64) error {
	if len(data) == 0 {
		return nil
	}
	if _, err := file.WriteAt(data, offset); err != nil {
		return newWriteError("write", path, err)
	}
	if err := file.Sync(); err != nil {
		return newFileError("sync", path, err)
	}
	return nil
}

// writeSyncedLength updates the file "synced". It does not sync that file; the
// package comment says why this is safe.
func (l *Log) writeSyncedLength() error {
	content := encodeSynced(l.segments[len(l.segments)-1].firstSeq, l.size)
	if _, err := l.syncedFile.WriteAt(content, 0); err != nil {
		return newWriteError("write", l.folder.path(syncedFileName), err)
	}
	l.syncedStale = false
	return nil
}

// Full reports whether the active segment has reached its size limit.
func (l *Log) Full() bool { return l.size >= l.folder.segmentSize }

// Rotate starts a new segment with the given records and returns once they are
// synced. The caller passes copies of those earlier records that recovery needs
// even after RemoveThrough has deleted their segments. No records may be queued.
// After *NoSpace the old segment stays in use, and Rotate may be called again
// later.
func (l *Log) Rotate(first []Record) error {
	if l.err != nil {
		return l.err
	}
	previous, path := l.active, l.activePath()
	if err := l.startSegment(first); err != nil {
		return l.setErr(err)
	}
	if err := previous.Close(); err != nil {
		return l.setErr(newFileError("close", path, err))
	}
	var noSpace *NoSpace
	if err := l.writeSyncedLength(); !errors.As(err, &noSpace) {
		return l.setErr(err)
	}
	// Until the next call writes it, the file names the previous segment, as
	// after a crash at this point.
	l.syncedStale = true
	return nil
}

// startSegment makes a new segment with the given records the active one. If the
// disk has no room for it, nothing changes.
func (l *Log) startSegment(first []Record) error {
	next := segment{firstSeq: l.nextSeq}
	for _, r := range first {
		next.maxIndex = max(next.maxIndex, r.Index)
	}
	path := l.folder.path(next.name())
	file, err := l.folder.fs.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return newWriteError("create", path, err)
	}
	content := l.encode(segmentHeader(next.firstSeq), first)
	if err := writeAndSync(file, path, content, 0); err != nil {
		l.nextSeq = next.firstSeq
		return l.folder.discard(file, next.name(), err)
	}
	if err := l.folder.syncDir(); err != nil {
		return err
	}
	l.segments = append(l.segments, next)
	l.active, l.size = file, int64(len(content))
	return nil
}

// RemoveThrough deletes the oldest segments, as long as all their records have
// an Index of at most index. It never deletes the active segment. After *NoSpace
// nothing was deleted, and the call may be repeated.
func (l *Log) RemoveThrough(index uint64) error {
	if l.err != nil {
		return l.err
	}
	if l.syncedStale {
		if err := l.writeSyncedLength(); err != nil {
			return l.setErr(err)
		}
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

// setErr stores err, so that the log refuses later calls, and returns it. It does
// not store *NoSpace, after which the log stays usable.
func (l *Log) setErr(err error) error {
	var noSpace *NoSpace
	if !errors.As(err, &noSpace) {
		l.err = err
	}
	return err
}

func (l *Log) activePath() string {
	return l.folder.path(l.segments[len(l.segments)-1].name())
}
