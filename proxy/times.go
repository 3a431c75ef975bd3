package proxy

import (
	"sync"
	"time"
)

// timesWeight is the weight of one statement in the expected time.
const timesWeight = 0.1

// serviceTimes are how long the statements of each database take, from being
// sent to being answered. It is safe for concurrent use.
type serviceTimes struct {
	mu    sync.Mutex
	times map[string]time.Duration
}

func (t *serviceTimes) add(database string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.times == nil {
		t.times = make(map[string]time.Duration)
	}
	known, ok := t.times[database]
	if !ok {
		known = took
	}
	t.times[database] = known + time.Duration(timesWeight*float64(took-known))
}

func (t *serviceTimes) expected(database string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.times[database]
}
