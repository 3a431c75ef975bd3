package standin

import (
	"container/list"
	"context"
	"sync"
)

// fifo admits a number of holders at a time and queues the others in order of
// arrival. It is safe for concurrent use.
type fifo struct {
	// mu guards the fields below.
	mu sync.Mutex
	// capacity of 0 means no limit.
	capacity int
	held     int
	waiting  list.List
}

// tryAcquire takes a place if there is one without waiting.
func (f *fifo) tryAcquire() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tryLocked()
}

func (f *fifo) tryLocked() bool {
	free := f.capacity == 0 || f.held < f.capacity && f.waiting.Len() == 0
	if free {
		f.held++
	}
	return free
}

// acquire waits for a place. It fails only when ctx ends.
func (f *fifo) acquire(ctx context.Context) error {
	return f.enqueue(ctx, f.waiting.PushBack)
}

// acquireNext is acquire ahead of all that wait.
func (f *fifo) acquireNext(ctx context.Context) error {
	return f.enqueue(ctx, f.waiting.PushFront)
}

func (f *fifo) enqueue(ctx context.Context, push func(any) *list.Element) error {
	f.mu.Lock()
	if f.tryLocked() {
		f.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	element := push(granted)
	f.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		return f.abandon(element, granted, ctx.Err())
	}
}

func (f *fifo) abandon(element *list.Element, granted chan struct{}, err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-granted:
		// The place was granted at the same moment; it goes to the next.
		f.held--
		f.grant()
	default:
		f.waiting.Remove(element)
	}
	return err
}

func (f *fifo) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held--
	f.grant()
}

func (f *fifo) setCapacity(capacity int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.capacity = capacity
	f.grant()
}

// grant hands free places to waiters. The caller holds mu.
func (f *fifo) grant() {
	for f.waiting.Len() > 0 && (f.capacity == 0 || f.held < f.capacity) {
		first := f.waiting.Front()
		f.waiting.Remove(first)
		f.held++
		close(first.Value.(chan struct{}))
	}
}

// queued returns the number of waiters.
func (f *fifo) queued() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting.Len()
}
