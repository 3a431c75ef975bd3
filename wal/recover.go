package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// OpenLog reads the log back and opens it for appending. It returns all
// records in order, or *Damaged. It removes a torn record at the end of the
// log; see the package comment. The returned records are synced.
func (f *Folder) OpenLog() (*Log, []Record, error) {
	l := &Log{folder: f, nextSeq: 1}
	names, err := f.namesWithSuffix(segmentSuffix)
	if err != nil {
		return nil, nil, err
	}
	if len(names) == 0 {
		return l.create()
	}
	return l.recover(names)
}

func (l *Log) create() (*Log, []Record, error) {
	if _, found, err := l.folder.Read(syncedFileName); err != nil {
		return nil, nil, err
	} else if found {
		// A crash between writing this file and creating the first
		// segment leaves a synced length of 0. Any other content means
		// that segments were lost.
		if _, length, err := l.readSynced(); err != nil || length > 0 {
			return nil, nil, l.damaged(syncedFileName, 0, "all segments are missing")
		}
	}
	if err := l.folder.Write(syncedFileName, encodeSynced(1, 0)); err != nil {
		return nil, nil, err
	}
	if err := l.openSyncedFile(); err != nil {
		return nil, nil, err
	}
	if err := l.startSegment(nil); err != nil {
		return nil, nil, errors.Join(err, l.syncedFile.Close())
	}
	if err := l.writeSyncedLength(); err != nil {
		return nil, nil, errors.Join(err, l.Close())
	}
	return l, nil, nil
}

func (l *Log) openSyncedFile() error {
	path := l.folder.path(syncedFileName)
	file, err := l.folder.fs.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return newFileError("open", path, err)
	}
	l.syncedFile = file
	return nil
}

func encodeSynced(firstSeq uint64, length int64) []byte {
	content := binary.LittleEndian.AppendUint64(nil, firstSeq)
	content = binary.LittleEndian.AppendUint64(content, uint64(length))
	return binary.LittleEndian.AppendUint32(content, checksum(content))
}

func (l *Log) readSynced() (firstSeq uint64, length int64, err error) {
	content, found, err := l.folder.Read(syncedFileName)
	if err != nil {
		return 0, 0, err
	}
	if !found {
		return 0, 0, l.damaged(syncedFileName, 0, "file is missing, but segments exist")
	}
	if len(content) != syncedFileSize || checksum(content[:16]) != binary.LittleEndian.Uint32(content[16:]) {
		return 0, 0, l.damaged(syncedFileName, 0, fmt.Sprintf("wrong length or checksum: the file has %d bytes, a valid one has %d", len(content), syncedFileSize))
	}
	return binary.LittleEndian.Uint64(content), int64(binary.LittleEndian.Uint64(content[8:])), nil
}

// recovery reads the segments back and collects their records.
type recovery struct {
	log     *Log
	records []Record
	// syncedSeq and syncedLength are the content of the file "synced": the
	// first sequence number of the last segment that was synced, and its
	// synced length in bytes.
	syncedSeq    uint64
	syncedLength int64
	// lastData is the content of the last segment up to a torn record.
	lastData []byte
	torn     bool
}

func (l *Log) recover(names []string) (*Log, []Record, error) {
	r := &recovery{log: l}
	var err error
	if r.syncedSeq, r.syncedLength, err = l.readSynced(); err != nil {
		return nil, nil, err
	}
	for i, name := range names {
		if err := r.readSegment(name, i == len(names)-1); err != nil {
			return nil, nil, err
		}
	}
	if !r.hasSyncedSegment() {
		return nil, nil, l.damaged(syncedFileName, 0, fmt.Sprintf("the segment that the file names is missing; it starts at sequence number %d", r.syncedSeq))
	}
	if err := l.openSyncedFile(); err != nil {
		return nil, nil, err
	}
	if err := r.openLastSegment(); err != nil {
		return nil, nil, errors.Join(err, l.syncedFile.Close())
	}
	return l, r.records, nil
}

func (r *recovery) hasSyncedSegment() bool {
	for _, s := range r.log.segments {
		if s.firstSeq == r.syncedSeq {
			return true
		}
	}
	return false
}

func (r *recovery) readSegment(name string, last bool) error {
	l := r.log
	firstSeq, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 10, 64)
	if err != nil || (segment{firstSeq: firstSeq}).name() != name {
		return l.damaged(name, 0, "invalid segment file name")
	}
	if len(l.segments) > 0 && firstSeq != l.nextSeq {
		return l.damaged(name, 0, fmt.Sprintf("segment starts at sequence number %d, expected %d after the segment before it", firstSeq, l.nextSeq))
	}
	data, _, err := l.folder.Read(name)
	if err != nil {
		return err
	}
	if firstSeq == r.syncedSeq && int64(len(data)) < r.syncedLength {
		return l.damaged(name, int64(len(data)), fmt.Sprintf("segment is shorter than its synced length of %d bytes", r.syncedLength))
	}
	l.nextSeq = firstSeq
	l.segments = append(l.segments, segment{firstSeq: firstSeq})
	if len(data) < segmentHeaderSize && last {
		r.lastData, r.torn = nil, true
		return nil
	}
	if len(data) < segmentHeaderSize || !validSegmentHeader(data, firstSeq) {
		return l.damaged(name, 0, "segment header is truncated or invalid")
	}
	return r.readRecords(name, data, last)
}

func (r *recovery) readRecords(name string, data []byte, last bool) error {
	l := r.log
	offset := int64(segmentHeaderSize)
	for offset < int64(len(data)) {
		record, size, outcome, detail := parseRecord(data[offset:], l.nextSeq)
		if outcome == parsedIncomplete && last {
			r.torn = true
			break
		}
		if outcome == parsedIncomplete {
			detail = "incomplete record in a segment that is not the last one"
		}
		if outcome != parsedOK {
			return l.damaged(name, offset, detail)
		}
		r.records = append(r.records, record)
		l.updateMaxIndex(record.Index)
		l.nextSeq++
		offset += size
	}
	if l.segments[len(l.segments)-1].firstSeq == r.syncedSeq && offset < r.syncedLength {
		return l.damaged(name, offset, fmt.Sprintf("incomplete record within the synced length of %d bytes", r.syncedLength))
	}
	r.lastData = data[:offset]
	return nil
}

// openLastSegment opens the last segment for appending and removes a torn
// record at its end.
func (r *recovery) openLastSegment() error {
	l := r.log
	path := l.activePath()
	file, err := l.folder.fs.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return newFileError("open", path, err)
	}
	l.active = file
	if r.torn {
		l.folder.log.Warn("truncating the last segment at an incomplete record", "file", path, "offset", len(r.lastData))
	}
	if err := r.rewriteUnsynced(file, path); err != nil {
		return errors.Join(err, file.Close())
	}
	return nil
}

// rewriteUnsynced writes the records after the synced length again and then
// syncs the segment. The records may be in the page cache only, and after a
// failed sync the kernel may have marked their pages clean, so that another
// sync without a new write would not store them on the disk.
func (r *recovery) rewriteUnsynced(file File, path string) error {
	l := r.log
	if len(r.lastData) == 0 {
		r.lastData = segmentHeader(l.nextSeq)
	}
	from := int64(0)
	if l.segments[len(l.segments)-1].firstSeq == r.syncedSeq {
		from = min(r.syncedLength, int64(len(r.lastData)))
	}
	if err := file.Truncate(int64(len(r.lastData))); err != nil {
		return newWriteError("truncate", path, err)
	}
	if _, err := file.WriteAt(r.lastData[from:], from); err != nil {
		return newWriteError("write", path, err)
	}
	if err := file.Sync(); err != nil {
		return newFileError("sync", path, err)
	}
	if err := l.folder.syncDir(); err != nil {
		return err
	}
	l.size = int64(len(r.lastData))
	return l.writeSyncedLength()
}

func (l *Log) damaged(name string, offset int64, detail string) error {
	return &Damaged{File: l.folder.path(name), Offset: offset, Detail: detail}
}
