package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is how many lines may wait for the underlying writer.
	maxQueuedLines = 1024
	// maxBytesPerSecond is the sustained rate, and maxBurstBytes is how much
	// may be written at once after a pause. A host of a small site writes
	// about 10 KB/s at its peak, so the limits apply only to faults such as
	// a loop that logs.
	maxBytesPerSecond = 64 << 10
	maxBurstBytes     = 256 << 10
	// reportInterval is the minimum time between two reports about dropped
	// lines. The reports do not count towards the limits.
	reportInterval = time.Second
)

// BoundedWriter is a log writer that never blocks. It drops lines that exceed the
// rate limit, and lines that arrive faster than the underlying writer takes them.
// It reports in the log how many lines were dropped. It is safe for concurrent
// use.
type BoundedWriter struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	stopped chan struct{}
	close   sync.Once
	limiter *rate.Limiter // in bytes
}

// NewBoundedWriter returns a writer that passes lines on to out. It starts a
// goroutine for this, which Close ends.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{
		out:     out,
		queue:   make(chan []byte, maxQueuedLines),
		stopped: make(chan struct{}),
		limiter: rate.NewLimiter(maxBytesPerSecond, maxBurstBytes),
	}
	go b.writeLines()
	return b
}

// Write queues one line. It reports success even if the line is dropped, because
// a logger can't handle the error.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	if !b.limiter.AllowN(time.Now(), len(line)) {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes the queued lines. Write must not be called afterwards.
func (b *BoundedWriter) Close() {
	b.close.Do(func() { close(b.queue) })
	<-b.stopped
}

func (b *BoundedWriter) writeLines() {
	defer close(b.stopped)
	var reportedDrops int64
	var reportedAt time.Time
	report := func() {
		dropped := b.dropped.Load()
		if dropped == reportedDrops {
			return
		}
		_, _ = fmt.Fprintf(b.out, "{\"level\":\"WARN\",\"msg\":\"logging: lines dropped\",\"total\":%d}\n", dropped)
		reportedDrops, reportedAt = dropped, time.Now()
	}
	for line := range b.queue {
		// There is no other place to report that the log cannot be written.
		_, _ = b.out.Write(line)
		if len(b.queue) == 0 && time.Since(reportedAt) >= reportInterval {
			report()
		}
	}
	report()
}
