package admission

import (
	"container/list"
	"sync"
	"time"
)

// NotMeasured is passed to Release when the time held says nothing about the
// work, for example because no connection could be had.
const NotMeasured time.Duration = -1

// waiter is a request in the queue.
type waiter struct {
	Request
	arrived  time.Time
	deadline time.Time
	started  bool
	// long is set when the work starts: whether it is expected to be long.
	long bool
	// predicted is the uncorrected prediction of the wait, in seconds.
	predicted float64
	element   *list.Element
	// bucket is the list of a policy that holds the waiter.
	bucket *bucket
	// grant receives the slot; it is called with the queue's lock held and
	// must not block.
	grant func(*Slot)
}

// Slot is the right to run one statement.
type Slot struct {
	queue *Queue
	work  *waiter
	once  sync.Once
	yield chan struct{}

	// Guarded by the queue's lock.
	since     time.Time
	keep      bool
	preempted bool
	// expectedLong says that the work was expected to be long, long that it
	// counts as long now.
	expectedLong bool
	long         bool
}

// Yield is closed when the queue wants the work stopped and run again later.
func (s *Slot) Yield() <-chan struct{} { return s.yield }

// Keep says that the work can no longer be run again, for example because its
// answer has begun. It reports false if the queue has asked for the slot.
func (s *Slot) Keep() bool {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	s.keep = true
	return !s.preempted
}

// Release returns the slot. elapsed is how long the work ran on the upstream.
// Calls after the first have no effect.
func (s *Slot) Release(elapsed time.Duration) {
	s.once.Do(func() { s.queue.release(s, elapsed) })
}

func (q *Queue) release(s *Slot, elapsed time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.board.drop(s)
	if elapsed >= 0 {
		q.policy.observe(&q.board, s, elapsed, now)
		q.board.learned.observe(s.work.key(), elapsed, now)
	}
	q.dispatch(now)
}

// dispatch starts what may start now.
func (q *Queue) dispatch(now time.Time) {
	for len(q.board.running) < q.board.slots {
		w := q.take(now)
		if w == nil {
			break
		}
		q.count(w, -1)
		q.start(w, now)
	}
	q.preempt(now)
}

func (q *Queue) take(now time.Time) *waiter {
	for e := q.continuations.Front(); e != nil; e = e.Next() {
		w := e.Value.(*waiter)
		if q.policy.allows(&q.board, w, now) {
			q.continuations.Remove(e)
			return w
		}
	}
	return q.policy.next(&q.board, now)
}

func (q *Queue) start(w *waiter, now time.Time) {
	w.started = true
	s := &Slot{queue: q, work: w, since: now, yield: make(chan struct{}), expectedLong: w.long, long: w.long}
	q.board.running = append(q.board.running, s)
	w.grant(s)
}

// preempt asks for a slot back if the policy wants one, and arms the clock
// for the next time that it might.
func (q *Queue) preempt(now time.Time) {
	if len(q.board.running) < q.board.slots || q.waiting == 0 {
		return
	}
	victim, next := q.policy.victim(&q.board, now)
	if victim != nil {
		victim.preempted = true
		close(victim.yield)
	}
	if !next.IsZero() {
		q.clock.Arm(next)
	}
}

// wallClock is the clock of a queue that serves real requests.
type wallClock struct {
	mu    sync.Mutex // guards at
	at    time.Time
	timer *time.Timer
	tick  func()
}

func newWallClock(tick func()) *wallClock { return &wallClock{tick: tick} }

func (c *wallClock) Now() time.Time { return time.Now() }

func (c *wallClock) Arm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.at.IsZero() && !c.at.After(at) {
		return
	}
	c.at = at
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer = time.AfterFunc(time.Until(at), c.fire)
}

func (c *wallClock) fire() {
	c.mu.Lock()
	c.at = time.Time{}
	c.mu.Unlock()
	c.tick()
}
