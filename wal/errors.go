package wal

import (
	"errors"
	"fmt"
	"syscall"
)

// Damaged reports a stored file whose content differs from what was written.
// The host must not start with it: the operator wipes the data folder, removes
// the host from the cluster and adds it again.
type Damaged struct {
	File   string
	Offset int64
	Detail string
}

func (e *Damaged) Error() string {
	return fmt.Sprintf("damaged file %s at offset %d: %s", e.File, e.Offset, e.Detail)
}

// FileError reports a file operation that failed. After a failed write or sync
// of the log, the content on the disk is unknown, so the log refuses every
// later call with the first error until it is opened again; *NoSpace is the
// exception. errors.Is finds the cause, for example syscall.EIO.
type FileError struct {
	Op   string
	File string
	Err  error
}

func (e *FileError) Error() string {
	return fmt.Sprintf("%s of %s failed: %v", e.Op, e.File, e.Err)
}

func (e *FileError) Unwrap() error { return e.Err }

// NoSpace reports a write that the disk had no room for. Nothing has been synced
// since, so the log stays usable: see Log.Append, Log.Flush and Log.Rotate. A sync
// that fails for lack of space is a *FileError instead, because the kernel may
// have dropped the data by then.
type NoSpace struct {
	// Err is the *FileError of the write.
	Err error
}

func (e *NoSpace) Error() string { return "no space left on the disk: " + e.Err.Error() }

func (e *NoSpace) Unwrap() error { return e.Err }

// newWriteError returns *NoSpace if the disk was full, and *FileError otherwise.
func newWriteError(op, file string, err error) error {
	failed := newFileError(op, file, err)
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return &NoSpace{Err: failed}
	}
	return failed
}

// Locked reports a data folder that another process has open.
type Locked struct {
	Dir string
}

func (e *Locked) Error() string { return "data folder " + e.Dir + " is in use by another process" }

func newFileError(op, file string, err error) error {
	return &FileError{Op: op, File: file, Err: err}
}
