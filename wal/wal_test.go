package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

func openFolder(t testing.TB, dir string, fs FS) *Folder {
	t.Helper()
	if fs == nil {
		fs = &faultyFS{}
	}
	f, err := OpenFolder(Options{Dir: dir, FS: fs, SegmentSize: 256})
	assert.NilError(t, err)
	return f
}

// writeTestLog returns the path of a closed data folder whose log holds total
// records in several segments.
func writeTestLog(t testing.TB, total int) string {
	t.Helper()
	dir := t.TempDir()
	f := openFolder(t, dir, nil)
	log, records, err := f.OpenLog()
	assert.NilError(t, err)
	assert.Equal(t, len(records), 0)
	for i := 1; i <= total; i++ {
		assert.NilError(t, log.Append([]Record{testRecord(i)}))
		if log.Full() && i < total {
			assert.NilError(t, log.Rotate(nil))
		}
	}
	assert.NilError(t, log.Close())
	assert.NilError(t, f.Close())
	return dir
}

func testRecord(i int) Record {
	return Record{Kind: 3, Index: uint64(i), Data: fmt.Appendf(nil, "record %d", i)}
}

func reopen(t testing.TB, dir string) ([]Record, error) {
	t.Helper()
	f := openFolder(t, dir, nil)
	defer f.Close()
	log, records, err := f.OpenLog()
	if err != nil {
		return nil, err
	}
	assert.NilError(t, log.Append([]Record{{Kind: 9}}))
	assert.NilError(t, log.Close())
	return records, nil
}

func segmentFiles(t testing.TB, dir string) []string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "*"+segmentSuffix))
	assert.NilError(t, err)
	return names
}

func lastSegment(t testing.TB, dir string) string {
	names := segmentFiles(t, dir)
	return names[len(names)-1]
}

func checkRecords(t testing.TB, records []Record, total int) {
	t.Helper()
	assert.Equal(t, len(records), total)
	for i, r := range records {
		assert.Equal(t, r.Seq, uint64(i+1))
		assert.Equal(t, string(r.Data), fmt.Sprintf("record %d", i+1))
	}
}

func appendBytes(t testing.TB, path string, data []byte) {
	t.Helper()
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	assert.NilError(t, err)
	_, err = file.Write(data)
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
}

func flipBit(t testing.TB, path string, offset int64) {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	data[offset] ^= 0x40
	assert.NilError(t, os.WriteFile(path, data, fileMode))
}

func assertDamaged(t testing.TB, err error, file string) *Damaged {
	t.Helper()
	var damaged *Damaged
	assert.Assert(t, errors.As(err, &damaged), "%v", err)
	assert.Equal(t, damaged.File, file)
	return damaged
}

// Guards against losing or reordering records over a restart.
func TestRecordsSurviveARestart(t *testing.T) {
	dir := writeTestLog(t, 50)
	assert.Check(t, len(segmentFiles(t, dir)) > 3)
	records, err := reopen(t, dir)
	assert.NilError(t, err)
	checkRecords(t, records, 50)
}

// Guards against a log that cannot be opened after a crash in the middle of a
// write, for every length that the torn record may have.
func TestTornRecordIsCutOff(t *testing.T) {
	encoded := appendRecord(nil, Record{Seq: 8, Kind: 3, Index: 8, Data: []byte("torn")})
	for length := range encoded {
		dir := writeTestLog(t, 7)
		appendBytes(t, lastSegment(t, dir), encoded[:length])
		records, err := reopen(t, dir)
		assert.NilError(t, err)
		checkRecords(t, records, 7)
		records, err = reopen(t, dir)
		assert.NilError(t, err)
		assert.Equal(t, len(records), 8)
	}
}

// Guards against a log that cannot be opened after a crash between the creation
// of a segment and its first sync.
func TestTornSegmentHeaderIsCutOff(t *testing.T) {
	for length := range segmentHeaderSize {
		dir := writeTestLog(t, 7)
		next := filepath.Join(dir, segment{firstSeq: 8}.name())
		assert.NilError(t, os.WriteFile(next, segmentHeader(8)[:length], fileMode))
		records, err := reopen(t, dir)
		assert.NilError(t, err)
		checkRecords(t, records, 7)
	}
}

// Guards against damage that recovery does not notice or removes as a torn
// record. The test changes each byte of each segment, also in the last record.
func TestDamageIsReported(t *testing.T) {
	dir := writeTestLog(t, 20)
	for _, name := range segmentFiles(t, dir) {
		info, err := os.Stat(name)
		assert.NilError(t, err)
		for offset := range info.Size() {
			flipBit(t, name, offset)
			_, err := reopen(t, dir)
			damaged := assertDamaged(t, err, name)
			assert.Check(t, damaged.Offset <= offset)
			flipBit(t, name, offset)
		}
	}
	records, err := reopen(t, dir)
	assert.NilError(t, err)
	checkRecords(t, records, 20)
}

// Guards against a loss of acknowledged records that recovery takes for a torn
// write because the last segment was truncated inside a record.
func TestTruncationOfAcknowledgedRecordsIsReported(t *testing.T) {
	dir := writeTestLog(t, 20)
	name := lastSegment(t, dir)
	data, err := os.ReadFile(name)
	assert.NilError(t, err)
	for length := range data {
		assert.NilError(t, os.WriteFile(name, data[:length], fileMode))
		_, err := reopen(t, dir)
		assertDamaged(t, err, name)
	}
}

// Guards against removing an acknowledged record as torn after it was
// overwritten by the start of a longer record.
func TestOverwrittenAcknowledgedRecordIsReported(t *testing.T) {
	dir := writeTestLog(t, 20)
	name := lastSegment(t, dir)
	data, err := os.ReadFile(name)
	assert.NilError(t, err)
	last := testRecord(20)
	last.Seq = 20
	start := len(data) - len(appendRecord(nil, last))
	last.Data = make([]byte, 1000)
	copy(data[start:], appendRecord(nil, last))
	assert.NilError(t, os.WriteFile(name, data, fileMode))
	_, err = reopen(t, dir)
	assert.Equal(t, assertDamaged(t, err, name).Offset, int64(start))
}

// Guards against missing segments that recovery does not notice, and against a
// log whose segments are all missing and that is then opened as a new one.
func TestMissingSegmentIsReported(t *testing.T) {
	// The first segment may be missing, since RemoveThrough deletes it after a
	// snapshot.
	for position := 1; position < len(segmentFiles(t, writeTestLog(t, 20))); position++ {
		dir := writeTestLog(t, 20)
		assert.NilError(t, os.Remove(segmentFiles(t, dir)[position]))
		_, err := reopen(t, dir)
		var damaged *Damaged
		assert.Check(t, errors.As(err, &damaged), "%v", err)
	}
	dir := writeTestLog(t, 20)
	for _, name := range segmentFiles(t, dir) {
		assert.NilError(t, os.Remove(name))
	}
	_, err := reopen(t, dir)
	assertDamaged(t, err, filepath.Join(dir, syncedFileName))
}

// Guards against segments that are never removed, and against removing records
// that no snapshot covers.
func TestRemoveThroughKeepsWhatIsNeeded(t *testing.T) {
	dir := writeTestLog(t, 50)
	f := openFolder(t, dir, nil)
	log, _, err := f.OpenLog()
	assert.NilError(t, err)
	before := len(segmentFiles(t, dir))
	assert.NilError(t, log.RemoveThrough(30))
	assert.Check(t, len(segmentFiles(t, dir)) < before)
	assert.NilError(t, log.Close())
	assert.NilError(t, f.Close())
	records, err := reopen(t, dir)
	assert.NilError(t, err)
	assert.Check(t, records[0].Index <= 31 && records[0].Index > 1)
	assert.Equal(t, records[len(records)-1].Index, uint64(50))
}

// Guards against two processes that write to the same log.
func TestFolderIsLockedAgainstSecondOpen(t *testing.T) {
	dir := t.TempDir()
	f := openFolder(t, dir, nil)
	_, err := OpenFolder(Options{Dir: dir})
	var locked *Locked
	assert.Check(t, errors.As(err, &locked), "%v", err)
	assert.NilError(t, f.Close())
	assert.NilError(t, openFolder(t, dir, nil).Close())
}

// faultyFS makes writes or syncs of segments fail with the errors that are set.
// It does not sync to the disk, since the tests simulate no power failure.
type faultyFS struct {
	OS
	writeErr, syncErr error
}

type faultyFile struct {
	File
	fs *faultyFS
}

func (f *faultyFS) SyncDir(string) error { return nil }

func (f *faultyFS) OpenFile(path string, flag int, mode os.FileMode) (File, error) {
	file, err := f.OS.OpenFile(path, flag, mode)
	if err != nil || !strings.HasSuffix(path, segmentSuffix) {
		return file, err
	}
	return &faultyFile{File: file, fs: f}, nil
}

func (f *faultyFile) WriteAt(data []byte, offset int64) (int, error) {
	if f.fs.writeErr != nil {
		n, _ := f.File.WriteAt(data[:len(data)/2], offset)
		return n, f.fs.writeErr
	}
	return f.File.WriteAt(data, offset)
}

func (f *faultyFile) Sync() error {
	return f.fs.syncErr
}

// Guards against a log that accepts records after a failed write or sync, when
// the content on the disk is unknown.
func TestFailedWriteOrSyncStopsTheLog(t *testing.T) {
	for _, fs := range []*faultyFS{{writeErr: syscall.EIO}, {syncErr: syscall.EIO}, {syncErr: syscall.ENOSPC}} {
		cause := errors.Join(fs.writeErr, fs.syncErr)
		dir := writeTestLog(t, 7)
		faulty := &faultyFS{}
		f := openFolder(t, dir, faulty)
		log, _, err := f.OpenLog()
		assert.NilError(t, err)
		faulty.writeErr, faulty.syncErr = fs.writeErr, fs.syncErr
		first := log.Append([]Record{testRecord(8)})
		var fileErr *FileError
		assert.Check(t, errors.As(first, &fileErr), "%v", first)
		assert.Check(t, errors.Is(first, cause.(interface{ Unwrap() []error }).Unwrap()[0]))
		faulty.writeErr, faulty.syncErr = nil, nil
		assert.Equal(t, log.Append([]Record{testRecord(9)}), first)
		assert.Equal(t, log.Rotate(nil), first)
		assert.NilError(t, log.Close())
		assert.NilError(t, f.Close())
		records, err := reopen(t, dir)
		assert.NilError(t, err)
		assert.Check(t, len(records) == 7 || len(records) == 8)
	}
}

// Guards against using a snapshot that is damaged or was not completely written.
func TestIncompleteOrDamagedSnapshotIsNotUsed(t *testing.T) {
	dir := t.TempDir()
	f := openFolder(t, dir, nil)
	_, _, ok, err := f.LoadSnapshot()
	assert.NilError(t, err)
	assert.Check(t, !ok)
	assert.NilError(t, f.SaveSnapshot(10, []byte("ten")))
	assert.NilError(t, f.SaveSnapshot(20, []byte("twenty")))
	half := filepath.Join(dir, snapshotName(30)+tempSuffix)
	assert.NilError(t, os.WriteFile(half, []byte("hal"), fileMode))
	assert.NilError(t, f.Close())
	f = openFolder(t, dir, nil)
	defer f.Close()
	index, data, ok, err := f.LoadSnapshot()
	assert.NilError(t, err)
	assert.Check(t, ok && index == 20 && string(data) == "twenty")
	_, err = os.Stat(half)
	assert.Check(t, errors.Is(err, os.ErrNotExist))
	name := filepath.Join(dir, snapshotName(20))
	info, err := os.Stat(name)
	assert.NilError(t, err)
	for offset := range info.Size() {
		flipBit(t, name, offset)
		_, _, _, err = f.LoadSnapshot()
		assertDamaged(t, err, name)
		flipBit(t, name, offset)
	}
}

// Measures how long recovery takes for several log lengths.
func BenchmarkRecovery(b *testing.B) {
	for _, total := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("records=%d", total), func(b *testing.B) {
			dir := writeLongLog(b, total)
			for b.Loop() {
				f, err := OpenFolder(Options{Dir: dir})
				assert.NilError(b, err)
				log, records, err := f.OpenLog()
				assert.NilError(b, err)
				assert.Equal(b, len(records), total)
				assert.NilError(b, log.Close())
				assert.NilError(b, f.Close())
			}
		})
	}
}

func writeLongLog(b *testing.B, total int) string {
	dir := b.TempDir()
	f, err := OpenFolder(Options{Dir: dir})
	assert.NilError(b, err)
	log, _, err := f.OpenLog()
	assert.NilError(b, err)
	batch := make([]Record, 100)
	for done := 0; done < total; done += len(batch) {
		for i := range batch {
			batch[i] = Record{Kind: 3, Index: uint64(done + i + 1), Data: make([]byte, 100)}
		}
		assert.NilError(b, log.Append(batch))
		if log.Full() {
			assert.NilError(b, log.Rotate(nil))
		}
	}
	assert.NilError(b, log.Close())
	assert.NilError(b, f.Close())
	return dir
}
