package wal

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"lovageslip/logging"
)

const (
	fileMode   os.FileMode = 0o600
	folderMode os.FileMode = 0o700
	lockName               = "lock"
	tempSuffix             = ".tmp"
)

// Options are the parameters of OpenFolder.
type Options struct {
	// Dir is the data folder; it is created if it is missing.
	Dir string
	// FS defaults to OS.
	FS FS
	// SegmentSize is the size in bytes from which Full reports true; it
	// defaults to 4 MiB.
	SegmentSize int64
	Log         *slog.Logger
}

const defaultSegmentSize int64 = 4 << 20

// Folder is an open data folder. It is locked, so that only one process at a
// time can have it open.
type Folder struct {
	dir         string
	fs          FS
	segmentSize int64
	log         *slog.Logger
	lock        *os.File
}

// OpenFolder creates the data folder if it is missing, locks it and removes
// temporary files that a crashed process left before it could rename them. It
// returns *Locked if another process has the folder open.
func OpenFolder(o Options) (*Folder, error) {
	f := &Folder{dir: o.Dir, fs: o.FS, segmentSize: o.SegmentSize, log: logging.For(o.Log, "wal")}
	if f.fs == nil {
		f.fs = OS{}
	}
	if f.segmentSize <= 0 {
		f.segmentSize = defaultSegmentSize
	}
	if err := os.MkdirAll(f.dir, folderMode); err != nil {
		return nil, newFileError("create", f.dir, err)
	}
	if err := f.acquireLock(); err != nil {
		return nil, err
	}
	if err := f.removeTemporaryFiles(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Folder) acquireLock() error {
	path := f.path(lockName)
	lock, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return newFileError("open", path, err)
	}
	err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		lock.Close()
		return &Locked{Dir: f.dir}
	}
	if err != nil {
		lock.Close()
		return newFileError("lock", path, err)
	}
	f.lock = lock
	return nil
}

func (f *Folder) removeTemporaryFiles() error {
	names, err := f.namesWithSuffix(tempSuffix)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := f.remove(name); err != nil {
			return err
		}
	}
	return nil
}

// Close unlocks the folder.
func (f *Folder) Close() error { return f.lock.Close() }

// Read returns the content of a file and true, or false if the file does not
// exist.
func (f *Folder) Read(name string) ([]byte, bool, error) {
	data, err := f.fs.ReadFile(f.path(name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, newFileError("read", f.path(name), err)
	}
	return data, true, nil
}

// Write replaces a file atomically: after a crash it has either the old or the
// new content. Write returns once the new content is synced. After *NoSpace the
// file has its old content, and no space is taken up by the new one.
func (f *Folder) Write(name string, data []byte) error {
	temp := name + tempSuffix
	if err := f.writeSynced(temp, data); err != nil {
		return err
	}
	if err := f.fs.Rename(f.path(temp), f.path(name)); err != nil {
		return f.removeIfFull(temp, newWriteError("rename", f.path(temp), err))
	}
	return f.syncDir()
}

// discard closes and removes a file that could not be written for lack of space,
// and returns err. A file for which err is another error is only closed.
func (f *Folder) discard(file File, name string, err error) error {
	if closeErr := file.Close(); closeErr != nil {
		return newFileError("close", f.path(name), errors.Join(err, closeErr))
	}
	return f.removeIfFull(name, err)
}

// removeIfFull removes a file if err is *NoSpace, and returns err. If the file
// cannot be removed, it returns that error instead.
func (f *Folder) removeIfFull(name string, err error) error {
	var noSpace *NoSpace
	if !errors.As(err, &noSpace) {
		return err
	}
	if removeErr := f.remove(name); removeErr != nil {
		return removeErr
	}
	return err
}

func (f *Folder) writeSynced(name string, data []byte) error {
	path := f.path(name)
	file, err := f.fs.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return newWriteError("create", path, err)
	}
	if _, err := file.Write(data); err != nil {
		return f.discard(file, name, newWriteError("write", path, err))
	}
	if err := file.Sync(); err != nil {
		return errors.Join(newFileError("sync", path, err), file.Close())
	}
	if err := file.Close(); err != nil {
		return newFileError("close", path, err)
	}
	return nil
}

func (f *Folder) syncDir() error {
	if err := f.fs.SyncDir(f.dir); err != nil {
		return newFileError("sync", f.dir, err)
	}
	return nil
}

// remove deletes a file and syncs the folder, so that removals become durable
// in the order in which they were made.
func (f *Folder) remove(name string) error {
	if err := f.fs.Remove(f.path(name)); err != nil {
		return newFileError("remove", f.path(name), err)
	}
	return f.syncDir()
}

func (f *Folder) namesWithSuffix(suffix string) ([]string, error) {
	all, err := f.fs.ReadDir(f.dir)
	if err != nil {
		return nil, newFileError("list", f.dir, err)
	}
	var names []string
	for _, name := range all {
		if strings.HasSuffix(name, suffix) {
			names = append(names, name)
		}
	}
	return names, nil
}

func (f *Folder) path(name string) string { return filepath.Join(f.dir, name) }
