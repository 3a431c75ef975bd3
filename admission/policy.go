package admission

import (
	"container/list"
	"slices"
	"time"
)

// Policy decides which waiting request starts next and which running one is
// preempted. A Policy belongs to one Queue, which calls it with its lock held.
type Policy interface {
	push(u *upstreamState, w *waiter, now time.Time)
	remove(w *waiter)
	// next removes and returns the request to start in a free slot; nil if
	// none may start.
	next(u *upstreamState, now time.Time) *waiter
	// mayStart reports whether w, a batch of an open transaction, may start.
	mayStart(u *upstreamState, w *waiter, now time.Time) bool
	// predict returns how long w would wait for its start if it were pushed
	// now, and how long it may wait.
	predict(u *upstreamState, w *waiter, now time.Time) (start, limit time.Duration)
	// observe records the service time of a request that has finished.
	observe(u *upstreamState, s *Slot, elapsed time.Duration, now time.Time)
	// victim returns the running request to preempt, or nil, and the time at
	// which to call it again; zero means at the next change of the queue. It
	// is called only while all slots are in use.
	victim(u *upstreamState, now time.Time) (*Slot, time.Time)
}

// upstreamState is what a policy knows about its upstream: its slots, the
// requests that run in them and the service times.
type upstreamState struct {
	slots     int
	running   []*Slot
	estimator *estimator
}

func (u *upstreamState) removeRunning(s *Slot) {
	i := slices.Index(u.running, s)
	if i >= 0 {
		u.running = slices.Delete(u.running, i, i+1)
	}
}

// FIFO starts requests in the order of their arrival and refuses only those
// whose wait ends. Benchmarks compare other policies with it.
type FIFO struct {
	waiting list.List
}

// NewFIFO returns a policy without waiting requests.
func NewFIFO() *FIFO { return &FIFO{} }

func (f *FIFO) push(_ *upstreamState, w *waiter, _ time.Time) { w.element = f.waiting.PushBack(w) }

func (f *FIFO) remove(w *waiter) { f.waiting.Remove(w.element) }

func (f *FIFO) next(*upstreamState, time.Time) *waiter {
	e := f.waiting.Front()
	if e == nil {
		return nil
	}
	return f.waiting.Remove(e).(*waiter)
}

func (f *FIFO) mayStart(*upstreamState, *waiter, time.Time) bool { return true }

func (f *FIFO) predict(u *upstreamState, w *waiter, now time.Time) (start, limit time.Duration) {
	limit = w.deadline.Sub(now)
	return 0, limit
}

func (f *FIFO) victim(*upstreamState, time.Time) (*Slot, time.Time) { return nil, time.Time{} }

func (f *FIFO) observe(*upstreamState, *Slot, time.Duration, time.Time) {}
