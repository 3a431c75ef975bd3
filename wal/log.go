// Package wal keeps a write-ahead log, snapshots and small files in one data
// folder. It knows nothing of what the records mean.
//
// The log is a series of segment files, each named after its first record.
// Nothing counts until Append has returned: it writes a batch of records and
// syncs them with one fsync.
//
// After each sync, the segment and its synced length are written to the file
// "synced", without a sync of its own. That length is never ahead of what is
// on the disk. Recovery cuts off only a record that the last segment is too
// short for and that begins at or after the synced length. Everything else is
// reported as *Damaged: a bad checksum anywhere (also in the last record), a
// gap, and a last segment shorter than its synced length.
//
// What can be told apart: after a crash of the process, the file "synced" is
// exact, so a torn record is always told from a loss of acknowledged records.
// After a loss of power, the file may be some seconds old; damage inside a
// record is still always found, but if the disk also lost the end of the last
// segment although it had confirmed the sync, and the cut falls after the
// recorded length, the loss looks like a torn record.
package wal

import (
	"errors"
	"fmt"
	"os"
)

const (
	segmentSuffix = ".wal"
	syncedName    = "synced"
	syncedSize    = 20
)

type segment struct {
	firstSeq uint64
	// maxIndex is the highest Index of the records in the segment.
	maxIndex uint64
}

func (s segment) name() string { return fmt.Sprintf("%020d%s", s.firstSeq, segmentSuffix) }

// Log is an open write-ahead log. It isn't safe for concurrent use.
type Log struct {
	folder   *Folder
	segments []segment
	nextSeq  uint64
	active   File
	size     int64
	marker   File
	err      error
	buffer   []byte
}

// Append writes the records, in order, and returns once they are synced. If
// it fails, any part of the batch may be on the disk, and the log refuses
// every later call with the same error.
func (l *Log) Append(records []Record) error {
	if l.err != nil {
		return l.err
	}
	l.buffer = l.buffer[:0]
	for _, r := range records {
		r.Seq = l.nextSeq
		l.nextSeq++
		l.buffer = appendRecord(l.buffer, r)
		l.noteIndex(r.Index)
	}
	if err := l.writeAndSync(); err != nil {
		return l.fail(err)
	}
	return l.fail(l.recordSynced())
}

func (l *Log) noteIndex(index uint64) {
	last := &l.segments[len(l.segments)-1]
	last.maxIndex = max(last.maxIndex, index)
}

func (l *Log) writeAndSync() error {
	path := l.activePath()
	if _, err := l.active.WriteAt(l.buffer, l.size); err != nil {
		return failed("write", path, err)
	}
	if err := l.active.Sync(); err != nil {
		return failed("sync", path, err)
	}
	l.size += int64(len(l.buffer))
	return nil
}

// recordSynced isn't followed by a sync: see the package comment.
func (l *Log) recordSynced() error {
	mark := encodeSynced(l.segments[len(l.segments)-1].firstSeq, l.size)
	if _, err := l.marker.WriteAt(mark, 0); err != nil {
		return failed("write", l.folder.path(syncedName), err)
	}
	return nil
}

// Full reports that the active segment has reached its size limit.
func (l *Log) Full() bool { return l.size >= l.folder.segmentSize }

// Rotate starts a new segment with the given records, which are synced when it
// returns. The caller repeats in them what later segments need from earlier
// ones.
func (l *Log) Rotate(first []Record) error {
	if l.err != nil {
		return l.err
	}
	if err := l.active.Close(); err != nil {
		return l.fail(failed("close", l.activePath(), err))
	}
	if err := l.startSegment(); err != nil {
		return l.fail(err)
	}
	return l.Append(first)
}

func (l *Log) startSegment() error {
	l.segments = append(l.segments, segment{firstSeq: l.nextSeq})
	path := l.activePath()
	file, err := l.folder.fs.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return failed("create", path, err)
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
	return l.recordSynced()
}

// RemoveThrough removes the leading segments whose records are all at or below
// index. The active segment always stays.
func (l *Log) RemoveThrough(index uint64) error {
	if l.err != nil {
		return l.err
	}
	// Recovery must not find a mark that names a removed segment.
	if err := l.marker.Sync(); err != nil {
		return l.fail(failed("sync", l.folder.path(syncedName), err))
	}
	for len(l.segments) > 1 && l.segments[0].maxIndex <= index {
		if err := l.folder.remove(l.segments[0].name()); err != nil {
			return l.fail(err)
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// Close closes the files. Everything that was acknowledged is already synced.
func (l *Log) Close() error {
	if l.err == nil {
		l.err = failed("write", l.activePath(), os.ErrClosed)
	}
	return errors.Join(l.active.Close(), l.marker.Close())
}

func (l *Log) fail(err error) error {
	if l.err == nil {
		l.err = err
	}
	return l.err
}

func (l *Log) activePath() string {
	return l.folder.path(l.segments[len(l.segments)-1].name())
}
