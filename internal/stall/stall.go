// Package stall measures for how long this process had to wait for a processor, so that
// tests with bounds on time can leave out what the machine took. It is for tests alone.
package stall

import (
	"sync/atomic"
	"time"
)

// tick is how often a Meter measures. The chains of steps that tests bound wait for a
// processor about as often.
const tick = 5 * time.Millisecond

// Meter adds up for how long a goroutine that is due waits for a processor. It is safe
// for concurrent use.
type Meter struct {
	total atomic.Int64
	stop  chan struct{}
}

// Start returns a meter that runs until Stop.
func Start() *Meter {
	m := &Meter{stop: make(chan struct{})}
	go m.run()
	return m
}

func (m *Meter) run() {
	for {
		begun := time.Now()
		select {
		case <-m.stop:
			return
		case <-time.After(tick):
			m.total.Add(int64(time.Since(begun) - tick))
		}
	}
}

// Stop ends the meter. It must be called once.
func (m *Meter) Stop() { close(m.stop) }

// Stopwatch returns a function that returns the time since now, less the stalls meanwhile.
func (m *Meter) Stopwatch() (elapsed func() time.Duration) {
	begun, stalled := time.Now(), m.total.Load()
	return func() time.Duration { return time.Since(begun) - time.Duration(m.total.Load()-stalled) }
}
