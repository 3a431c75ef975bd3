package wal

import (
	"encoding/binary"
	"errors"
	"os"
	"strconv"
	"strings"
)

// OpenLog reads the log back and opens it for appending. It returns all
// records in order, or *Damaged; see the package comment for what is cut off.
// The returned records are synced.
func (f *Folder) OpenLog() (*Log, []Record, error) {
	l := &Log{folder: f, nextSeq: 1}
	names, err := f.names(segmentSuffix)
	if err != nil {
		return nil, nil, err
	}
	if len(names) == 0 {
		return l.create()
	}
	return l.recover(names)
}

func (l *Log) create() (*Log, []Record, error) {
	if _, found, err := l.folder.Read(syncedName); err != nil {
		return nil, nil, err
	} else if found {
		// A crash between writing the file and creating the first
		// segment leaves an empty mark; anything else is a loss.
		if _, length, err := l.readSynced(); err != nil || length > 0 {
			return nil, nil, l.damaged(syncedName, 0, "all segments are missing")
		}
	}
	if err := l.folder.Write(syncedName, encodeSynced(1, 0)); err != nil {
		return nil, nil, err
	}
	if err := l.openMarker(); err != nil {
		return nil, nil, err
	}
	if err := l.startSegment(); err != nil {
		return nil, nil, errors.Join(err, l.marker.Close())
	}
	return l, nil, nil
}

func (l *Log) openMarker() error {
	path := l.folder.path(syncedName)
	marker, err := l.folder.fs.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return failed("open", path, err)
	}
	l.marker = marker
	return nil
}

func encodeSynced(firstSeq uint64, length int64) []byte {
	mark := binary.LittleEndian.AppendUint64(nil, firstSeq)
	mark = binary.LittleEndian.AppendUint64(mark, uint64(length))
	return binary.LittleEndian.AppendUint32(mark, checksum(mark))
}

func (l *Log) readSynced() (firstSeq uint64, length int64, err error) {
	mark, found, err := l.folder.Read(syncedName)
	if err != nil {
		return 0, 0, err
	}
	if !found {
		return 0, 0, l.damaged(syncedName, 0, "missing while segments exist")
	}
	if len(mark) != syncedSize || checksum(mark[:16]) != binary.LittleEndian.Uint32(mark[16:]) {
		return 0, 0, l.damaged(syncedName, 0, "checksum")
	}
	return binary.LittleEndian.Uint64(mark), int64(binary.LittleEndian.Uint64(mark[8:])), nil
}

// reader collects what recovery learns from the segments.
type reader struct {
	log     *Log
	records []Record
	// markSeq and markLength are the content of the file "synced".
	markSeq    uint64
	markLength int64
	// tail is the content of the last segment, less a torn record.
	tail []byte
	torn bool
}

func (l *Log) recover(names []string) (*Log, []Record, error) {
	r := &reader{log: l}
	var err error
	if r.markSeq, r.markLength, err = l.readSynced(); err != nil {
		return nil, nil, err
	}
	for i, name := range names {
		if err := r.readSegment(name, i == len(names)-1); err != nil {
			return nil, nil, err
		}
	}
	if !r.hasMarkedSegment() {
		return nil, nil, l.damaged(syncedName, 0, "the synced segment is missing")
	}
	if err := l.openMarker(); err != nil {
		return nil, nil, err
	}
	if err := r.reopen(); err != nil {
		return nil, nil, errors.Join(err, l.marker.Close())
	}
	return l, r.records, nil
}

func (r *reader) hasMarkedSegment() bool {
	for _, s := range r.log.segments {
		if s.firstSeq == r.markSeq {
			return true
		}
	}
	return false
}

func (r *reader) readSegment(name string, last bool) error {
	l := r.log
	firstSeq, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 10, 64)
	if err != nil || (segment{firstSeq: firstSeq}).name() != name {
		return l.damaged(name, 0, "name of the segment")
	}
	if len(l.segments) > 0 && firstSeq != l.nextSeq {
		return l.damaged(name, 0, "records are missing before the segment")
	}
	data, _, err := l.folder.Read(name)
	if err != nil {
		return err
	}
	if firstSeq == r.markSeq && int64(len(data)) < r.markLength {
		return l.damaged(name, int64(len(data)), "shorter than its synced length")
	}
	l.nextSeq = firstSeq
	l.segments = append(l.segments, segment{firstSeq: firstSeq})
	if len(data) < segmentHeaderSize && last {
		r.tail, r.torn = nil, true
		return nil
	}
	if len(data) < segmentHeaderSize || !validSegmentHeader(data, firstSeq) {
		return l.damaged(name, 0, "header of the segment")
	}
	return r.readRecords(name, data, last)
}

func (r *reader) readRecords(name string, data []byte, last bool) error {
	l := r.log
	offset := int64(segmentHeaderSize)
	for offset < int64(len(data)) {
		record, size, outcome, detail := parseRecord(data[offset:], l.nextSeq)
		if outcome == parsedIncomplete && last {
			r.torn = true
			break
		}
		if outcome == parsedIncomplete {
			detail = "incomplete record in a segment that is not the last"
		}
		if outcome != parsedOK {
			return l.damaged(name, offset, detail)
		}
		r.records = append(r.records, record)
		l.noteIndex(record.Index)
		l.nextSeq++
		offset += size
	}
	if l.segments[len(l.segments)-1].firstSeq == r.markSeq && offset < r.markLength {
		return l.damaged(name, offset, "incomplete record inside the synced length")
	}
	r.tail = data[:offset]
	return nil
}

// reopen cuts off a torn record and opens the last segment for appending.
func (r *reader) reopen() error {
	l := r.log
	path := l.activePath()
	file, err := l.folder.fs.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return failed("open", path, err)
	}
	l.active = file
	if r.torn {
		l.folder.log.Warn("cutting off an incomplete record", "file", path, "offset", len(r.tail))
	}
	if err := r.rewrite(file, path); err != nil {
		return errors.Join(err, file.Close())
	}
	return nil
}

// rewrite writes the records after the synced length again before it syncs.
// They may be only in the page cache, and after a failed sync the kernel may
// hold them as clean, so that a new sync alone would not reach the disk.
func (r *reader) rewrite(file File, path string) error {
	l := r.log
	if len(r.tail) == 0 {
		r.tail = segmentHeader(l.nextSeq)
	}
	from := int64(0)
	if l.segments[len(l.segments)-1].firstSeq == r.markSeq {
		from = min(r.markLength, int64(len(r.tail)))
	}
	if err := file.Truncate(int64(len(r.tail))); err != nil {
		return failed("truncate", path, err)
	}
	if _, err := file.WriteAt(r.tail[from:], from); err != nil {
		return failed("write", path, err)
	}
	if err := file.Sync(); err != nil {
		return failed("sync", path, err)
	}
	if err := l.folder.syncDir(); err != nil {
		return err
	}
	l.size = int64(len(r.tail))
	return l.recordSynced()
}

func (l *Log) damaged(name string, offset int64, detail string) error {
	return &Damaged{File: l.folder.path(name), Offset: offset, Detail: detail}
}
