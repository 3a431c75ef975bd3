package proxy

import (
	"sync"
	"time"
)

// operationTimeWeight is the weight of one operation in the moving average.
const operationTimeWeight = 0.1

// operationTimes holds the moving average of the time that operations of each
// kind take at upstreams, from sending their statements to the answers. It is
// safe for concurrent use.
type operationTimes struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

func (t *operationTimes) add(kind string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.means == nil {
		t.means = make(map[string]time.Duration)
	}
	mean, ok := t.means[kind]
	if !ok {
		mean = took
	}
	t.means[kind] = mean + time.Duration(operationTimeWeight*float64(took-mean))
}

func (t *operationTimes) expected(kind string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.means[kind]
}
