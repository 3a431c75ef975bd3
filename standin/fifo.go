package standin

import (
	"container/list"
	"context"
	"sync"
)

// fifoSemaphore is a semaphore whose waiters are served in order of arrival. It
// is safe for concurrent use.
type fifoSemaphore struct {
	// mu guards the fields below.
	mu sync.Mutex
	// capacity is how many units can be acquired at a time; 0 for no limit.
	capacity int
	inUse    int
	waiting  list.List
}

// tryAcquire acquires a unit if it can do so without waiting.
func (f *fifoSemaphore) tryAcquire() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tryAcquireLocked()
}

func (f *fifoSemaphore) tryAcquireLocked() bool {
	free := f.capacity == 0 || f.inUse < f.capacity && f.waiting.Len() == 0
	if free {
		f.inUse++
	}
	return free
}

// acquire acquires a unit, behind all waiters. It fails only when ctx ends.
func (f *fifoSemaphore) acquire(ctx context.Context) error {
	return f.enqueue(ctx, f.waiting.PushBack)
}

// acquireNext is acquire ahead of all waiters.
func (f *fifoSemaphore) acquireNext(ctx context.Context) error {
	return f.enqueue(ctx, f.waiting.PushFront)
}

func (f *fifoSemaphore) enqueue(ctx context.Context, push func(any) *list.Element) error {
	f.mu.Lock()
	if f.tryAcquireLocked() {
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

func (f *fifoSemaphore) abandon(element *list.Element, granted chan struct{}, err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-granted:
		// The unit was granted at the same moment; the next waiter gets it.
		f.inUse--
		f.grant()
	default:
		f.waiting.Remove(element)
	}
	return err
}

func (f *fifoSemaphore) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inUse--
	f.grant()
}

func (f *fifoSemaphore) setCapacity(capacity int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.capacity = capacity
	f.grant()
}

// grant gives free units to the first waiters. The caller holds mu.
func (f *fifoSemaphore) grant() {
	for f.waiting.Len() > 0 && (f.capacity == 0 || f.inUse < f.capacity) {
		first := f.waiting.Front()
		f.waiting.Remove(first)
		f.inUse++
		close(first.Value.(chan struct{}))
	}
}

// queued returns the number of waiters.
func (f *fifoSemaphore) queued() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting.Len()
}
