package admission

import (
	"container/list"
	"sync"
	"time"
)

// NotMeasured is passed to Slot.Release if no service time was measured, for
// example because no connection could be opened.
const NotMeasured time.Duration = -1

// waiter is a request in the queue.
type waiter struct {
	Request
	arrived  time.Time
	deadline time.Time
	started  bool
	// expectedLong says whether the request is expected to run long. It is
	// set when the request is considered for a start.
	expectedLong bool
	// predicted is the predicted wait in seconds, before its correction by
	// the waits of earlier requests.
	predicted float64
	element   *list.Element
	// bucket is the bucket of the policy that holds the waiter, if the policy
	// has buckets.
	bucket *bucket
	// grant is called with the slot once the request may start. The queue's
	// lock is held, so it must not block.
	grant func(*Slot)
}

// Slot is the permission to run one request on the upstream.
type Slot struct {
	queue      *Queue
	request    *waiter
	once       sync.Once
	preemption chan struct{}

	// The fields below are guarded by the queue's lock.
	startedAt          time.Time
	preemptionDisabled bool
	preempted          bool
	// expectedLong says whether the request was expected to run long when it
	// started, long whether it counts as long now.
	expectedLong bool
	long         bool
}

// Preempted returns a channel that is closed when the queue preempts the
// request: the holder has to stop it, release the slot and run it again later.
func (s *Slot) Preempted() <-chan struct{} { return s.preemption }

// DisablePreemption excludes the request from preemption because it can no
// longer be run again, for example because a part of its answer has been sent to
// the caller. It returns false if the request has been preempted already.
func (s *Slot) DisablePreemption() bool {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	s.preemptionDisabled = true
	return !s.preempted
}

// Release returns the slot to the queue. elapsed is the service time on the
// upstream, or NotMeasured. Calls after the first have no effect.
func (s *Slot) Release(elapsed time.Duration) {
	s.once.Do(func() { s.queue.release(s, elapsed) })
}

func (q *Queue) release(s *Slot, elapsed time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.upstream.removeRunning(s)
	if elapsed >= 0 {
		q.policy.observe(&q.upstream, s, elapsed, now)
		q.upstream.estimator.observe(s.request.kind(), elapsed, now)
	}
	q.dispatch(now)
}

// dispatch starts waiting requests while slots are free, then preempts a
// running one if the policy wants that.
func (q *Queue) dispatch(now time.Time) {
	for len(q.upstream.running) < q.upstream.slots {
		w := q.nextWaiter(now)
		if w == nil {
			break
		}
		q.count(w, -1)
		q.start(w, now)
	}
	q.preempt(now)
}

// nextWaiter removes and returns the request to start next, batches of open
// transactions first; nil if none may start.
func (q *Queue) nextWaiter(now time.Time) *waiter {
	for e := q.continuations.Front(); e != nil; e = e.Next() {
		w := e.Value.(*waiter)
		if q.policy.mayStart(&q.upstream, w, now) {
			q.continuations.Remove(e)
			return w
		}
	}
	return q.policy.next(&q.upstream, now)
}

func (q *Queue) start(w *waiter, now time.Time) {
	w.started = true
	s := &Slot{queue: q, request: w, startedAt: now, preemption: make(chan struct{}), expectedLong: w.expectedLong, long: w.expectedLong}
	q.upstream.running = append(q.upstream.running, s)
	w.grant(s)
}

// preempt asks the policy for a request to preempt if all slots are in use and
// others wait. It arms the clock for the time at which to ask again.
func (q *Queue) preempt(now time.Time) {
	if len(q.upstream.running) < q.upstream.slots || q.waiting == 0 {
		return
	}
	victim, next := q.policy.victim(&q.upstream, now)
	if victim != nil {
		victim.preempted = true
		close(victim.preemption)
	}
	if !next.IsZero() {
		q.clock.Arm(next)
	}
}

// wallClock is the clock of a queue outside of simulations.
type wallClock struct {
	mu       sync.Mutex // guards armedFor
	armedFor time.Time
	timer    *time.Timer
	tick     func()
}

func newWallClock(tick func()) *wallClock { return &wallClock{tick: tick} }

func (c *wallClock) Now() time.Time { return time.Now() }

func (c *wallClock) Arm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.armedFor.IsZero() && !c.armedFor.After(at) {
		return
	}
	c.armedFor = at
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer = time.AfterFunc(time.Until(at), c.fire)
}

func (c *wallClock) fire() {
	c.mu.Lock()
	c.armedFor = time.Time{}
	c.mu.Unlock()
	c.tick()
}
