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

// Options configure a data folder.
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

// Folder is a locked data folder. One process at a time may hold it.
type Folder struct {
	dir         string
	fs          FS
	segmentSize int64
	log         *slog.Logger
	lock        *os.File
}

// OpenFolder creates and locks the data folder and removes files that were
// never renamed to their final name. It returns *Locked if another process
// holds the folder.
func OpenFolder(o Options) (*Folder, error) {
	f := &Folder{dir: o.Dir, fs: o.FS, segmentSize: o.SegmentSize, log: logging.For(o.Log, "wal")}
	if f.fs == nil {
		f.fs = OS{}
	}
	if f.segmentSize <= 0 {
		f.segmentSize = defaultSegmentSize
	}
	if err := os.MkdirAll(f.dir, folderMode); err != nil {
		return nil, failed("create", f.dir, err)
	}
	if err := f.acquire(); err != nil {
		return nil, err
	}
	if err := f.removeTemporary(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Folder) acquire() error {
	path := f.path(lockName)
	lock, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return failed("open", path, err)
	}
	err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		lock.Close()
		return &Locked{Dir: f.dir}
	}
	if err != nil {
		lock.Close()
		return failed("lock", path, err)
	}
	f.lock = lock
	return nil
}

func (f *Folder) removeTemporary() error {
	names, err := f.names(tempSuffix)
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

// Close releases the folder.
func (f *Folder) Close() error { return f.lock.Close() }

// Read returns the content of a file that Write wrote, and false if there is
// none.
func (f *Folder) Read(name string) ([]byte, bool, error) {
	data, err := f.fs.ReadFile(f.path(name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, failed("read", f.path(name), err)
	}
	return data, true, nil
}

// Write replaces a file so that a crash leaves either the old or the new
// content. It returns once the new content is synced.
func (f *Folder) Write(name string, data []byte) error {
	temp := name + tempSuffix
	if err := f.writeSynced(temp, data); err != nil {
		return err
	}
	if err := f.fs.Rename(f.path(temp), f.path(name)); err != nil {
		return failed("rename", f.path(temp), err)
	}
	return f.syncDir()
}

func (f *Folder) writeSynced(name string, data []byte) error {
	path := f.path(name)
	file, err := f.fs.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return failed("create", path, err)
	}
	if _, err := file.Write(data); err != nil {
		return errors.Join(failed("write", path, err), file.Close())
	}
	if err := file.Sync(); err != nil {
		return errors.Join(failed("sync", path, err), file.Close())
	}
	if err := file.Close(); err != nil {
		return failed("close", path, err)
	}
	return nil
}

func (f *Folder) syncDir() error {
	if err := f.fs.SyncDir(f.dir); err != nil {
		return failed("sync", f.dir, err)
	}
	return nil
}

// remove also syncs the folder, so that removals become durable in order.
func (f *Folder) remove(name string) error {
	if err := f.fs.Remove(f.path(name)); err != nil {
		return failed("remove", f.path(name), err)
	}
	return f.syncDir()
}

func (f *Folder) names(suffix string) ([]string, error) {
	all, err := f.fs.ReadDir(f.dir)
	if err != nil {
		return nil, failed("list", f.dir, err)
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
