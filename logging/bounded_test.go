package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

type blockedWriter struct{ release chan struct{} }

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// Guards against a process that blocks because nothing reads its log.
func TestBoundedNeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	b := NewBoundedWriter(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueuedLines {
			_, _ = b.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write blocked")
	}
	assert.Assert(t, b.Dropped() >= maxQueuedLines)
	close(w.release)
	b.Close()
}

// Guards against a loop that fills the disk on which the log is stored, and
// against lines that are dropped without a report. Time is virtual, because on a
// busy machine the pauses would take seconds, in which more reports are due.
func TestBoundedReportsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var out bytes.Buffer
		b := NewBoundedWriter(writerFunc(func(p []byte) (int, error) {
			mu.Lock()
			defer mu.Unlock()
			return out.Write(p)
		}))
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 2000 {
			_, _ = b.Write(line)
			time.Sleep(10 * time.Microsecond)
		}
		b.Close()
		assert.Assert(t, out.Len() < 2*maxBurstBytes, "%d bytes", out.Len())
		assert.Assert(t, b.Dropped() > 0)
		reports := strings.Count(out.String(), "lines dropped")
		assert.Assert(t, reports >= 1 && reports <= 3, "%d reports in a fraction of a second", reports)
	})
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }
