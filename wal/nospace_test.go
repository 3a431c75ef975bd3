package wal

import (
	"errors"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// limitedFS refuses one operation that needs space, the one with number refuseAt,
// and the next repeats of it. A refused write stores a half of the data, unless it
// only overwrites blocks that the file has already.
type limitedFS struct {
	OS
	operations, refuseAt, repeats int
}

func (f *limitedFS) SyncDir(string) error { return nil }

func (f *limitedFS) refuses() bool {
	f.operations++
	return f.operations >= f.refuseAt && f.operations < f.refuseAt+f.repeats
}

func (f *limitedFS) OpenFile(path string, flag int, mode os.FileMode) (File, error) {
	if flag&os.O_CREATE != 0 && f.refuses() {
		return nil, syscall.ENOSPC
	}
	file, err := f.OS.OpenFile(path, flag, mode)
	return &limitedFile{File: file, fs: f}, err
}

func (f *limitedFS) Rename(from, to string) error {
	if f.refuses() {
		return syscall.ENOSPC
	}
	return f.OS.Rename(from, to)
}

type limitedFile struct {
	File
	fs *limitedFS
}

func (f *limitedFile) Sync() error { return nil }

func (f *limitedFile) Write(data []byte) (int, error) {
	if f.fs.refuses() {
		n, _ := f.File.Write(data[:len(data)/2])
		return n, syscall.ENOSPC
	}
	return f.File.Write(data)
}

func (f *limitedFile) WriteAt(data []byte, offset int64) (int, error) {
	switch refused := f.fs.refuses(); {
	case refused && len(data) == syncedFileSize && offset == 0:
		return 0, syscall.ENOSPC
	case refused:
		n, _ := f.File.WriteAt(data[:len(data)/2], offset)
		return n, syscall.ENOSPC
	}
	return f.File.WriteAt(data, offset)
}

// untilRoom repeats an operation while the disk is full.
func untilRoom(t *testing.T, operation func() error) {
	t.Helper()
	for {
		err := operation()
		var noSpace *NoSpace
		if !errors.As(err, &noSpace) {
			assert.NilError(t, err)
			return
		}
	}
}

// appendOnFullDisk appends a record and flushes it until there is room. With
// crash set, it closes the log at the first refusal and reports that.
func appendOnFullDisk(t *testing.T, log *Log, r Record, crash bool) (crashed bool) {
	t.Helper()
	err := log.Append([]Record{r})
	if err != nil && crash {
		return true
	}
	if err != nil {
		untilRoom(t, log.Flush)
	}
	return false
}

// Guards against the loss, the repetition or the reordering of records, and against
// a log or folder that cannot be opened again, after the disk was full at any one
// write, in the middle of a record, of a segment or of a snapshot, or at a rename.
func TestDiskFullAtEachWrite(t *testing.T) {
	for _, crash := range []bool{false, true} {
		for refuseAt := 1; ; refuseAt++ {
			fs := &limitedFS{refuseAt: refuseAt, repeats: 1 + refuseAt%3}
			playOnFullDisk(t, fs, crash)
			if fs.operations < refuseAt {
				assert.Check(t, refuseAt > 20, "the run has only %d writes", fs.operations)
				break
			}
		}
	}
}

func playOnFullDisk(t *testing.T, fs *limitedFS, crash bool) {
	t.Helper()
	dir := t.TempDir()
	folder := openFolder(t, dir, fs)
	var log *Log
	untilRoom(t, func() (err error) { log, _, err = folder.OpenLog(); return err })
	acknowledged := uint64(0)
	for i := uint64(1); i <= 6; i++ {
		if appendOnFullDisk(t, log, testRecord(int(i)), crash) {
			break
		}
		acknowledged = i
		if i%2 == 0 {
			untilRoom(t, func() error { return folder.SaveSnapshot(i, []byte("state")) })
			untilRoom(t, func() error { return log.Rotate(nil) })
			untilRoom(t, func() error { return log.RemoveThrough(0) })
		}
	}
	assert.NilError(t, log.Close())
	assert.NilError(t, folder.Close())
	records, err := reopen(t, dir)
	assert.NilError(t, err)
	assert.Check(t, len(records) >= int(acknowledged), "%d records, %d acknowledged", len(records), acknowledged)
	assert.Check(t, len(records) <= int(acknowledged)+1)
	for i, r := range records {
		assert.Equal(t, r.Index, uint64(i+1))
	}
	folder = openFolder(t, dir, nil)
	defer folder.Close()
	index, _, _, err := folder.LoadSnapshot()
	assert.NilError(t, err)
	assert.Check(t, index >= acknowledged/2*2 || crash, "snapshot %d, %d acknowledged", index, acknowledged)
}
