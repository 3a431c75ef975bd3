package sitecontrol

import (
	"bytes"
	"compress/gzip"
	"io"

	"lovageslip/fault"
)

// compressDocument compresses a configuration document with gzip for the log,
// whose entries are limited in size. Documents repeat the names of their fields
// for each route, so that they shrink to about a tenth.
func compressDocument(document []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(document); err != nil {
		return nil, &fault.IO{Op: "compress document", Err: err}
	}
	if err := w.Close(); err != nil {
		return nil, &fault.IO{Op: "compress document", Err: err}
	}
	return b.Bytes(), nil
}

// decompressDocument returns a stored document as the operator sent it, or nil
// if none is stored.
func decompressDocument(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, &fault.IO{Op: "read stored document", Err: err}
	}
	document, err := io.ReadAll(r)
	if err != nil {
		return nil, &fault.IO{Op: "read stored document", Err: err}
	}
	return document, nil
}
