package wal

import "fmt"

// Damaged reports stored data that can't be read back as it was written. The
// host must not run on it: it is wiped, removed from the cluster and added
// again.
type Damaged struct {
	File   string
	Offset int64
	Detail string
}

func (e *Damaged) Error() string {
	return fmt.Sprintf("damaged file %s at offset %d: %s", e.File, e.Offset, e.Detail)
}

// Failed reports a file operation that failed. After a failed write or sync of
// the log, nothing is known of what is on the disk, so the log refuses every
// later call with the first error until it is opened again. errors.Is finds
// the cause, for example syscall.ENOSPC.
type Failed struct {
	Op   string
	File string
	Err  error
}

func (e *Failed) Error() string {
	return fmt.Sprintf("%s of %s failed: %v", e.Op, e.File, e.Err)
}

func (e *Failed) Unwrap() error { return e.Err }

// Locked reports a data folder that another process has open.
type Locked struct {
	Dir string
}

func (e *Locked) Error() string { return "data folder " + e.Dir + " is in use by another process" }

func failed(op, file string, err error) error {
	return &Failed{Op: op, File: file, Err: err}
}
