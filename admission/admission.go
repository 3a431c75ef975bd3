// Package admission implements admission control for one upstream. The owner
// of the upstream acquires a slot from the Queue for every batch. The queue
// limits how many batches run at a time, estimates service times from the
// batches that have run, and refuses a request at once if the predicted start
// lies beyond its wait.
package admission

import (
	"container/list"
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"lovageslip/class"
	"lovageslip/fault"
	"lovageslip/logging"
	"lovageslip/metrics"
)

// Default limits on the requests that wait in a queue, for one class and for
// one caller.
const (
	DefaultClassEntries  = 16384
	DefaultClassBytes    = 64 << 20
	DefaultCallerEntries = 4096
	DefaultCallerBytes   = 16 << 20
)

// Bounds limits the requests that may wait in a queue: their number and their
// bytes, for each class and for each caller. Requests beyond are refused.
type Bounds struct {
	ClassEntries  int
	ClassBytes    int
	CallerEntries int
	CallerBytes   int
}

// Options configures the Queue of one upstream. Log and Metrics are optional.
type Options struct {
	Log     *slog.Logger
	Metrics tally.Scope
	// Slots is how many requests may run at a time; less than 1 means 1.
	Slots int
	// Policy decides the order of the waiting requests; nil means that those
	// expected to be short go first.
	Policy Policy
	// Bounds limits what may wait; zero fields take the defaults.
	Bounds Bounds

	clock clock
}

// clock is the time source of a queue. Tests replace it to run the queue in
// virtual time.
type clock interface {
	Now() time.Time
	// Arm schedules a call of Queue.tick at the given time.
	Arm(at time.Time)
}

// Request describes a batch that needs a slot.
type Request struct {
	Class  string
	Caller string
	// Shape is a hash of the statement texts. Requests of the same class and
	// shape are expected to take the same time.
	Shape uint64
	Bytes int
	// Waited is how long the request has waited already, WaitRemaining how
	// long it may still wait until it must start.
	Waited        time.Duration
	WaitRemaining time.Duration
	// Continuation marks a batch of an open transaction. It starts before
	// new requests and is never refused because of its wait.
	Continuation bool
	// Preemptible is true if the request can be stopped and run again, until
	// the holder of its slot excludes it from preemption.
	Preemptible bool
	// Preempted marks a request that was preempted because it ran long. It is
	// never refused because of its wait, since its first run started in time.
	Preempted bool
}

// Queue limits how many requests run on one upstream and holds those that wait.
// It is safe for concurrent use.
type Queue struct {
	log     *slog.Logger
	metrics tally.Scope
	bounds  Bounds
	clock   clock

	// mu guards all fields below.
	mu            sync.Mutex
	upstream      upstreamState
	policy        Policy
	continuations list.List
	classUsage    map[string]*usage
	callerUsage   map[string]*usage
	waiting       int
}

// usage counts the waiting requests of one class or caller.
type usage struct {
	entries int
	bytes   int
}

// New returns an empty queue.
func New(o Options) *Queue {
	if o.Policy == nil {
		o.Policy = NewShortestJobFirst()
	}
	q := &Queue{
		log:         logging.For(o.Log, "admission"),
		metrics:     metrics.OrNoop(o.Metrics),
		bounds:      o.Bounds.withDefaults(),
		clock:       o.clock,
		policy:      o.Policy,
		classUsage:  map[string]*usage{},
		callerUsage: map[string]*usage{},
	}
	if q.clock == nil {
		q.clock = newWallClock(q.tick)
	}
	q.upstream.slots = max(1, o.Slots)
	q.upstream.estimator = newEstimator()
	return q
}

func (b Bounds) withDefaults() Bounds {
	setDefault(&b.ClassEntries, DefaultClassEntries)
	setDefault(&b.ClassBytes, DefaultClassBytes)
	setDefault(&b.CallerEntries, DefaultCallerEntries)
	setDefault(&b.CallerBytes, DefaultCallerBytes)
	return b
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// Acquire waits for a slot. The caller must release the slot.
// Errors: *fault.NotRun with ReasonWaitExceeded, ReasonQueueFull or
// ReasonCancelled.
func (q *Queue) Acquire(ctx context.Context, req Request) (*Slot, error) {
	granted := make(chan *Slot, 1)
	w := &waiter{Request: req, grant: func(s *Slot) { granted <- s }}
	if err := q.enqueue(w); err != nil {
		return nil, err
	}
	expired, stop := expiry(req)
	defer stop()
	select {
	case s := <-granted:
		return s, nil
	case <-ctx.Done():
		return q.abandon(w, granted, fault.ReasonCancelled)
	case <-expired:
		return q.abandon(w, granted, fault.ReasonWaitExceeded)
	}
}

func expiry(req Request) (<-chan time.Time, func() bool) {
	if req.Continuation || req.Preempted {
		return nil, func() bool { return true }
	}
	timer := time.NewTimer(max(0, req.WaitRemaining))
	return timer.C, timer.Stop
}

// enqueue adds w to the queue, or returns an error if the queue is full or w
// cannot start in time.
func (q *Queue) enqueue(w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	w.arrived = now
	w.deadline = now.Add(w.WaitRemaining)
	if q.full(w) {
		return q.refuse(w, fault.ReasonQueueFull, "the queue of the upstream is full", q.backlog(now))
	}
	if start, late := q.predictStart(w, now); late {
		return q.refuse(w, fault.ReasonWaitExceeded, "the predicted start lies beyond the wait", start)
	}
	q.add(w, now)
	q.dispatch(now)
	return nil
}

// predictStart returns how long w is predicted to wait for a slot and whether
// that is longer than w may wait.
func (q *Queue) predictStart(w *waiter, now time.Time) (start time.Duration, late bool) {
	if w.Continuation || w.Preempted {
		return 0, false
	}
	start, limit := q.policy.predict(&q.upstream, w, now)
	return start, start > limit
}

func (q *Queue) refuse(w *waiter, reason fault.Reason, detail string, drain time.Duration) error {
	metrics.CountRefusal(q.metrics, w.Class, reason)
	return &fault.NotRun{Reason: reason, Detail: detail, RetryAfter: retryAfter(drain)}
}

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// retryAfter returns a random time between one and two times the drain time of
// the queue, so that refused callers do not all retry at the same moment.
func retryAfter(drain time.Duration) time.Duration {
	base := min(max(drain, minRetryAfter), maxRetryAfter)
	return base + rand.N(base)
}

// backlog returns the predicted wait of a request of unknown class and shape
// that has to wait for all others of its length, short or long.
func (q *Queue) backlog(now time.Time) time.Duration {
	// With the longest wait that a class can have, the probe starts last.
	probe := &waiter{arrived: now, deadline: now.Add(class.MaxWait)}
	start, _ := q.policy.predict(&q.upstream, probe, now)
	return start
}

func (q *Queue) add(w *waiter, now time.Time) {
	q.count(w, 1)
	if w.Continuation {
		w.element = q.continuations.PushBack(w)
		return
	}
	q.policy.push(&q.upstream, w, now)
}

func (q *Queue) count(w *waiter, n int) {
	q.waiting += n
	adjustUsage(q.classUsage, w.Class, n, n*w.Bytes)
	adjustUsage(q.callerUsage, w.Caller, n, n*w.Bytes)
}

func adjustUsage(m map[string]*usage, key string, entries, bytes int) {
	u := m[key]
	if u == nil {
		u = &usage{}
		m[key] = u
	}
	u.entries += entries
	u.bytes += bytes
	if u.entries == 0 {
		delete(m, key)
	}
}

func (q *Queue) full(w *waiter) bool {
	if u := q.classUsage[w.Class]; u != nil {
		if u.entries >= q.bounds.ClassEntries || u.bytes+w.Bytes > q.bounds.ClassBytes {
			return true
		}
	}
	u := q.callerUsage[w.Caller]
	if u == nil {
		return false
	}
	return u.entries >= q.bounds.CallerEntries || u.bytes+w.Bytes > q.bounds.CallerBytes
}

// abandon removes w, whose caller has gone or whose wait has ended, from the
// queue and returns the refusal. If a slot was granted in the meantime, it is
// returned after the end of a wait, and released if the caller has gone.
func (q *Queue) abandon(w *waiter, granted chan *Slot, reason fault.Reason) (*Slot, error) {
	if !q.remove(w) {
		s := <-granted
		if reason == fault.ReasonWaitExceeded {
			return s, nil
		}
		s.Release(NotMeasured)
	}
	return nil, q.refuse(w, reason, "left the queue before a slot was free", q.ExpectedWait())
}

// remove removes w from the queue. It returns false if w has started already.
func (q *Queue) remove(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.started {
		return false
	}
	if w.Continuation {
		q.continuations.Remove(w.element)
	} else {
		q.policy.remove(w)
	}
	q.count(w, -1)
	q.dispatch(q.clock.Now())
	return true
}

// SetSlots changes the number of slots; less than 1 means 1. Running requests
// are not stopped if there are fewer slots than before.
func (q *Queue) SetSlots(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.upstream.slots = max(1, n)
	q.dispatch(q.clock.Now())
}

// ExpectedWait returns the predicted wait of a new request of unknown class and
// shape.
func (q *Queue) ExpectedWait() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.backlog(q.clock.Now())
}

// Capacity returns the estimated mean time between the starts of two requests
// while others wait, and the number of slots.
func (q *Queue) Capacity() (interval time.Duration, slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := q.upstream.estimator.overall.withPrior(serviceTime{}, q.clock.Now())
	return toDuration(all.mean / float64(max(q.upstream.slots, 1))), q.upstream.slots
}

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// Running returns the number of slots in use.
func (q *Queue) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.upstream.running)
}

// InactivityTimeout returns how long nothing may be received from the upstream
// until a running request of a class and shape is considered lost. It is derived
// from the service times seen so far.
func (q *Queue) InactivityTimeout(class string, shape uint64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.upstream.estimator.inactivityTimeout(kind{class: class, shape: shape}, q.clock.Now())
}

// ObserveLost records that a request was considered lost after elapsed without
// any sign of activity. It raises the inactivity timeouts, in case the request
// was only slow.
func (q *Queue) ObserveLost(elapsed time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.upstream.estimator.observeLongest(elapsed.Seconds(), q.clock.Now())
}

// tick is called by the clock at the time passed to Arm. It starts requests
// and preempts running ones that are due.
func (q *Queue) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch(q.clock.Now())
}
