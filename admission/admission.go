// Package admission is the queue in front of one upstream. It hands out the
// upstream's slots, learns how long work of each kind takes, and refuses at
// once what it cannot start in time.
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

// Default bounds of a queue.
const (
	DefaultClassEntries  = 16384
	DefaultClassBytes    = 64 << 20
	DefaultCallerEntries = 4096
	DefaultCallerBytes   = 16 << 20
)

// Bounds limit what may wait in a queue.
type Bounds struct {
	ClassEntries  int
	ClassBytes    int
	CallerEntries int
	CallerBytes   int
}

// Options configure a Queue.
type Options struct {
	Log     *slog.Logger
	Metrics tally.Scope
	// Slots is how many statements may run at a time; at least 1.
	Slots int
	// Policy orders the waiting work; nil means Shortest.
	Policy Policy
	// Bounds with zero fields take the defaults.
	Bounds Bounds

	clock clock
}

// clock lets the benchmark run the queue in virtual time.
type clock interface {
	Now() time.Time
	// Arm asks for a call of Queue.tick at the given time.
	Arm(at time.Time)
}

// Request describes work that asks for a slot.
type Request struct {
	Class  string
	Caller string
	// Shape is a hash of the statement texts.
	Shape uint64
	Bytes int
	// Waited and WaitRemaining are the time spent and the time left until
	// the work must start.
	Waited        time.Duration
	WaitRemaining time.Duration
	// Continuation marks a batch of an open transaction. It goes before
	// new work and is never refused because of its wait.
	Continuation bool
	// Preemptible says that the work can be stopped and run again while
	// Slot.Keep has not been called.
	Preemptible bool
	// Long marks work that was stopped because it ran long. It is never
	// refused because of its wait, because it started within it.
	Long bool
}

// Queue is the queue of one upstream. It is safe for concurrent use.
type Queue struct {
	log     *slog.Logger
	metrics tally.Scope
	bounds  Bounds
	clock   clock

	// mu guards all fields below.
	mu            sync.Mutex
	board         board
	policy        Policy
	continuations list.List
	classes       map[string]*usage
	callers       map[string]*usage
	waiting       int
}

type usage struct {
	entries int
	bytes   int
}

// New returns a queue.
func New(o Options) *Queue {
	if o.Policy == nil {
		o.Policy = NewShortest()
	}
	q := &Queue{
		log:     logging.For(o.Log, "admission"),
		metrics: metrics.OrNoop(o.Metrics),
		bounds:  o.Bounds.withDefaults(),
		clock:   o.clock,
		policy:  o.Policy,
		classes: map[string]*usage{},
		callers: map[string]*usage{},
	}
	if q.clock == nil {
		q.clock = newWallClock(q.tick)
	}
	q.board.slots = max(1, o.Slots)
	q.board.learned = newLearner()
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

// Acquire waits for a slot.
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
		return q.leave(w, granted, fault.ReasonCancelled)
	case <-expired:
		return q.leave(w, granted, fault.ReasonWaitExceeded)
	}
}

func expiry(req Request) (<-chan time.Time, func() bool) {
	if req.Continuation || req.Long {
		return nil, func() bool { return true }
	}
	timer := time.NewTimer(max(0, req.WaitRemaining))
	return timer.C, timer.Stop
}

// enqueue adds w, or refuses it at once.
func (q *Queue) enqueue(w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	w.arrived = now
	w.deadline = now.Add(w.WaitRemaining)
	if q.full(w) {
		return q.refuse(w, fault.ReasonQueueFull, "the queue of the upstream is full", q.backlog(now))
	}
	if start, late := q.late(w, now); late {
		return q.refuse(w, fault.ReasonWaitExceeded, "the predicted start lies beyond the wait", start)
	}
	q.add(w, now)
	q.dispatch(now)
	return nil
}

// late returns the predicted start of w and whether it lies beyond what w may
// wait.
func (q *Queue) late(w *waiter, now time.Time) (start time.Duration, late bool) {
	if w.Continuation || w.Long {
		return 0, false
	}
	start, limit := q.policy.predict(&q.board, w, now)
	return start, start > limit
}

func (q *Queue) refuse(w *waiter, reason fault.Reason, detail string, drain time.Duration) error {
	metrics.Refused(q.metrics, w.Class, reason)
	return &fault.NotRun{Reason: reason, Detail: detail, RetryAfter: retryAfter(drain)}
}

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// retryAfter is drawn from one to two times the time that the queue needs, so
// that refused callers do not all come back at the same moment.
func retryAfter(drain time.Duration) time.Duration {
	base := min(max(drain, minRetryAfter), maxRetryAfter)
	return base + rand.N(base)
}

func (q *Queue) backlog(now time.Time) time.Duration {
	// With a deadline far away, everything that waits goes before the probe.
	probe := &waiter{arrived: now, deadline: now.Add(class.MaxWait)}
	start, _ := q.policy.predict(&q.board, probe, now)
	return start
}

func (q *Queue) add(w *waiter, now time.Time) {
	q.count(w, 1)
	if w.Continuation {
		w.element = q.continuations.PushBack(w)
		return
	}
	q.policy.push(&q.board, w, now)
}

func (q *Queue) count(w *waiter, n int) {
	q.waiting += n
	adjust(q.classes, w.Class, n, n*w.Bytes)
	adjust(q.callers, w.Caller, n, n*w.Bytes)
}

func adjust(m map[string]*usage, key string, entries, bytes int) {
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
	if u := q.classes[w.Class]; u != nil {
		if u.entries >= q.bounds.ClassEntries || u.bytes+w.Bytes > q.bounds.ClassBytes {
			return true
		}
	}
	u := q.callers[w.Caller]
	if u == nil {
		return false
	}
	return u.entries >= q.bounds.CallerEntries || u.bytes+w.Bytes > q.bounds.CallerBytes
}

// leave takes w out of the queue. A slot that was granted in the meantime is
// used if w only ran out of time, and given back if its caller is gone.
func (q *Queue) leave(w *waiter, granted chan *Slot, reason fault.Reason) (*Slot, error) {
	if !q.remove(w) {
		s := <-granted
		if reason == fault.ReasonWaitExceeded {
			return s, nil
		}
		s.Release(NotMeasured)
	}
	return nil, q.refuse(w, reason, "left the queue before a slot was free", q.ExpectedWait())
}

// remove reports whether w was still waiting.
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

// SetSlots changes the number of slots. Work that runs already is not stopped.
func (q *Queue) SetSlots(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.board.slots = max(1, n)
	q.dispatch(q.clock.Now())
}

// ExpectedWait is the predicted wait of a typical new request.
func (q *Queue) ExpectedWait() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.backlog(q.clock.Now())
}

// Pace is the mean time between two starts while work waits, and how many
// slots there are.
func (q *Queue) Pace() (interval time.Duration, slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := q.board.learned.all.refine(service{}, q.clock.Now())
	return seconds(all.mean / float64(max(q.board.slots, 1))), q.board.slots
}

// Queued is how many requests wait.
func (q *Queue) Queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// Running is how many slots are held.
func (q *Queue) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.board.running)
}

// Patience is how long work of a kind may stay without a sign of life before
// it is taken for lost, judged by what has run on the upstream.
func (q *Queue) Patience(class string, shape uint64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.board.learned.patience(kind{class: class, shape: shape}, q.clock.Now())
}

// Lost takes note that work was taken for lost after elapsed. The next work
// gets more time, in case the verdict was wrong.
func (q *Queue) Lost(elapsed time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.board.learned.sawLong(elapsed.Seconds(), q.clock.Now())
}

// tick continues after the time that was armed.
func (q *Queue) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch(q.clock.Now())
}
