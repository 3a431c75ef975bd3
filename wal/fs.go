package wal

import (
	"io"
	"os"
)

// File is an open file. Tests wrap it to inject write and sync errors.
type File interface {
	io.Reader
	io.Writer
	io.WriterAt
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// FS holds the file system operations that the package uses.
type FS interface {
	OpenFile(path string, flag int, mode os.FileMode) (File, error)
	ReadFile(path string) ([]byte, error)
	// ReadDir returns the names in a directory, sorted.
	ReadDir(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes created, renamed and removed names durable.
	SyncDir(dir string) error
}

// OS is the operating system's file system.
type OS struct{}

// OpenFile implements FS.
func (OS) OpenFile(path string, flag int, mode os.FileMode) (File, error) {
	return os.OpenFile(path, flag, mode)
}

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// ReadDir implements FS.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	handle, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer handle.Close()
	return handle.Sync()
}
