package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type stuckWriter struct{ release chan struct{} }

func (w *stuckWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// Guards against a process that waits for a reader of its log.
func TestBoundedNeverBlocks(t *testing.T) {
	w := &stuckWriter{release: make(chan struct{})}
	b := NewBounded(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * boundedQueue {
			_, _ = b.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write blocked")
	}
	assert.Assert(t, b.Dropped() >= boundedQueue)
	close(w.release)
	b.Close()
}

// Guards against a loop that fills the disk of whoever keeps the log, and
// against drops that nobody learns of.
func TestBoundedDropsAndSaysSo(t *testing.T) {
	var mu sync.Mutex
	var out bytes.Buffer
	b := NewBounded(writerFunc(func(p []byte) (int, error) {
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
	assert.Assert(t, out.Len() < 2*boundedBurst, "%d bytes", out.Len())
	assert.Assert(t, b.Dropped() > 0)
	reports := strings.Count(out.String(), "lines dropped")
	assert.Assert(t, reports >= 1 && reports <= 3, "%d reports in a fraction of a second", reports)
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }
