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
	// boundedQueue is how many lines may wait to be written.
	boundedQueue = 1024
	// boundedRate and boundedBurst are the bytes that may be written a
	// second, and at once after a pause. A host of a small site writes
	// about 10 KB/s at its peak, so that the bound cuts off only loops.
	boundedRate  = 64 << 10
	boundedBurst = 256 << 10
	// reportInterval is the least time between two lines about dropped
	// lines, which are beyond the bound.
	reportInterval = time.Second
)

// Bounded is a writer that never blocks: it drops lines that come faster than
// they can or may be written, and says how many. It is safe for concurrent use.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stopped chan struct{}
	close   sync.Once
	budget  *rate.Limiter // in bytes
}

// NewBounded returns a writer in front of out.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{
		out:     out,
		lines:   make(chan []byte, boundedQueue),
		stopped: make(chan struct{}),
		budget:  rate.NewLimiter(boundedRate, boundedBurst),
	}
	go b.run()
	return b
}

// Write takes one line. It always reports success: a logger cannot do anything
// about a line that was dropped.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.budget.AllowN(time.Now(), len(line)) {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits. Nothing may be written afterwards.
func (b *Bounded) Close() {
	b.close.Do(func() { close(b.lines) })
	<-b.stopped
}

func (b *Bounded) run() {
	defer close(b.stopped)
	var reported int64
	var reportedAt time.Time
	report := func() {
		dropped := b.dropped.Load()
		if dropped == reported {
			return
		}
		_, _ = fmt.Fprintf(b.out, "{\"level\":\"WARN\",\"msg\":\"logging: lines dropped\",\"total\":%d}\n", dropped)
		reported, reportedAt = dropped, time.Now()
	}
	for line := range b.lines {
		// Nobody is left to tell of a log that cannot be written.
		_, _ = b.out.Write(line)
		if len(b.lines) == 0 && time.Since(reportedAt) >= reportInterval {
			report()
		}
	}
	report()
}
