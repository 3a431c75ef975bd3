package admission

import (
	"container/list"
	"slices"
	"time"
)

// Policy decides the order of the waiting work. A Policy belongs to one Queue
// and is called with the queue's lock held.
type Policy interface {
	push(b *board, w *waiter, now time.Time)
	remove(w *waiter)
	// next removes and returns the work to start in a free slot; nil if
	// none may start.
	next(b *board, now time.Time) *waiter
	// allows reports whether w, which goes before new work, may start.
	allows(b *board, w *waiter, now time.Time) bool
	// predict returns when w would start if it were pushed now, and how
	// long it may wait.
	predict(b *board, w *waiter, now time.Time) (start, limit time.Duration)
	// observe takes note of work that has finished.
	observe(b *board, s *Slot, elapsed time.Duration, now time.Time)
	// victim returns the running work to stop, or nil, and when to ask
	// again, or zero. It is called only while all slots are held.
	victim(b *board, now time.Time) (*Slot, time.Time)
}

// board is what a policy knows of its upstream.
type board struct {
	slots   int
	running []*Slot
	learned *learner
}

func (b *board) drop(s *Slot) {
	i := slices.Index(b.running, s)
	if i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
	}
}

// FIFO serves in order of arrival and refuses nothing but what expires. It is
// the baseline that other policies are compared with.
type FIFO struct {
	waiting list.List
}

// NewFIFO returns the baseline policy.
func NewFIFO() *FIFO { return &FIFO{} }

func (f *FIFO) push(_ *board, w *waiter, _ time.Time) { w.element = f.waiting.PushBack(w) }

func (f *FIFO) remove(w *waiter) { f.waiting.Remove(w.element) }

func (f *FIFO) next(*board, time.Time) *waiter {
	e := f.waiting.Front()
	if e == nil {
		return nil
	}
	return f.waiting.Remove(e).(*waiter)
}

func (f *FIFO) allows(*board, *waiter, time.Time) bool { return true }

func (f *FIFO) predict(b *board, w *waiter, now time.Time) (start, limit time.Duration) {
	limit = w.deadline.Sub(now)
	return 0, limit
}

func (f *FIFO) victim(*board, time.Time) (*Slot, time.Time) { return nil, time.Time{} }

func (f *FIFO) observe(*board, *Slot, time.Duration, time.Time) {}
