package wal

import (
	"bytes"
	"errors"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards recovery against silent data loss: whatever bytes of the last segment
// are damaged, it returns all acknowledged records unchanged, or *Damaged. keep
// is the length that the segment is truncated to, flips are the offsets of bytes
// in which a bit is flipped, and tail is appended. The seeds are in testdata.
func FuzzRecover(f *testing.F) {
	f.Fuzz(func(t *testing.T, keep uint16, flips, tail []byte) {
		dir := writeTestLog(t, 20)
		name := lastSegment(t, dir)
		before, err := os.ReadFile(name)
		assert.NilError(t, err)
		data := append([]byte(nil), before[:min(int(keep), len(before))]...)
		for _, offset := range flips {
			if int(offset) < len(data) {
				data[offset] ^= 1 << (offset % 8)
			}
		}
		data = append(data, tail...)
		assert.NilError(t, os.WriteFile(name, data, fileMode))
		records, err := reopen(t, dir)
		if err != nil {
			var damaged *Damaged
			assert.Check(t, errors.As(err, &damaged), "%v", err)
			assert.Check(t, !bytes.Equal(data, before), "intact log refused: %v", err)
			return
		}
		assert.Check(t, bytes.HasPrefix(data, before), "damage not reported")
		checkRecords(t, records[:20], 20)
	})
}
