package owner

import (
	"context"
	"sync"
	"time"

	"lovageslip/admission"
	"lovageslip/class"
	"lovageslip/exchange"
	"lovageslip/fault"
	"lovageslip/internal/pause"
	"lovageslip/upstream"
)

// stream is one exchange on an owned upstream; see exchange.Stream. Run is
// called by one goroutine at a time.
type stream struct {
	owner    *Owner
	upstream *ownedUpstream
	open     exchange.Open
	// ctx ends when the stream is closed.
	ctx  context.Context
	stop context.CancelFunc

	// mu guards all fields below.
	mu      sync.Mutex
	closed  bool
	running bool
	// pinned is the connection of an open transaction.
	pinned upstream.Conn
	// cancel stops the step of Run that is in progress; nil if there is none.
	cancel func(context.Context) error
}

var _ exchange.Stream = (*stream)(nil)

func newStream(o *Owner, u *ownedUpstream, open exchange.Open) *stream {
	s := &stream{owner: o, upstream: u, open: open}
	s.ctx, s.stop = context.WithCancel(o.ctx)
	return s
}

func (s *stream) refuse(reason fault.Reason, detail string) *fault.NotRun {
	return s.owner.refuse(s.open.Class, reason, detail)
}

// Run executes a batch; see exchange.Stream.
func (s *stream) Run(ctx context.Context, batch upstream.Batch, sink upstream.Sink) (exchange.BatchResult, error) {
	pinned, err := s.beginBatch()
	if err != nil {
		return exchange.BatchResult{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	j := &job{stream: s, batch: batch, sink: sink, conn: pinned, continuation: pinned != nil, arrived: time.Now()}
	result, err := j.run(ctx)
	s.endBatch(j.conn)
	return result, err
}

// beginBatch marks the stream as running and returns the connection of its open
// transaction, if there is one. A stream counts as in flight from its first
// batch to the end of its transaction.
func (s *stream) beginBatch() (upstream.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.running {
		return nil, s.refuse(fault.ReasonProtocol, "the exchange has ended or is busy")
	}
	if s.pinned == nil {
		if !s.owner.beginExchange() {
			return nil, s.refuse(fault.ReasonShutdown, "the owner is shutting down")
		}
		s.upstream.addStream()
	}
	s.running = true
	pinned := s.pinned
	s.pinned = nil
	return pinned, nil
}

// endBatch ends what beginBatch began. conn is the connection of a transaction
// that is still open, or nil.
func (s *stream) endBatch(conn upstream.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = false
	s.cancel = nil
	if conn != nil && !s.closed {
		s.pinned = conn
		go s.keepAlive(conn)
		return
	}
	s.finishExchange(conn)
}

const (
	// keepAliveInterval is a third of the time after which the server ends an
	// idle transaction.
	keepAliveInterval = time.Second
	keepAliveTimeout  = 500 * time.Millisecond
)

// keepAlive sends a query at each interval while a transaction is idle between
// two batches. The server's idle timeout then ends only the transactions of
// owners that no longer run.
func (s *stream) keepAlive(conn upstream.Conn) {
	for pause.For(s.ctx, keepAliveInterval) {
		if !s.keepAliveOnce(conn) {
			return
		}
	}
}

// keepAliveOnce reports false once the transaction is no longer idle. The next
// batch waits until the query has been answered.
func (s *stream) keepAliveOnce(conn upstream.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pinned != conn {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, keepAliveTimeout)
	defer cancel()
	// The server refuses the query in a failed transaction, but it counts as
	// activity there too. The next batch notices a broken connection.
	_, _ = conn.Status(ctx)
	return true
}

// finishExchange ends the stream's use of the upstream. The connection of an
// open transaction is closed, which makes the server roll back for certain.
func (s *stream) finishExchange(conn upstream.Conn) {
	if conn != nil {
		s.upstream.pool.Discard(conn)
	}
	s.upstream.removeStream()
	s.owner.endExchange()
}

// setCancel sets the function that Cancel calls from now on.
func (s *stream) setCancel(f func(context.Context) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = f
}

// Cancel cancels the batch that is running; see exchange.Stream.
func (s *stream) Cancel(ctx context.Context) error {
	s.mu.Lock()
	f := s.cancel
	s.mu.Unlock()
	if f == nil {
		return nil
	}
	return f(ctx)
}

// Close ends the exchange; see exchange.Stream.
func (s *stream) Close() error {
	s.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	if s.pinned != nil {
		s.finishExchange(s.pinned)
		s.pinned = nil
	}
	return nil
}

// job is one batch from its arrival at the owner to the end of its answer.
type job struct {
	stream       *stream
	batch        upstream.Batch
	sink         upstream.Sink
	continuation bool
	arrived      time.Time
	class        class.Class
	freshness    *freshness
	// conn is set while the job holds a connection; after run it is the
	// connection of a transaction that is still open.
	conn upstream.Conn
	slot *admission.Slot
	// restarted is true once the queue has preempted the batch in favour of
	// short work.
	restarted bool
}

func (j *job) run(ctx context.Context) (exchange.BatchResult, error) {
	if err := j.admit(ctx); err != nil {
		j.discardConn()
		return exchange.BatchResult{}, err
	}
	j.freshness = j.stream.upstream.freshness(j.class, j.arrived)
	defer j.freshness.done()
	result, err := j.execute(ctx)
	if err != nil {
		return exchange.BatchResult{}, err
	}
	return j.complete(ctx, result)
}

// waitRemaining returns how long the batch may still wait for its start.
func (j *job) waitRemaining() time.Duration {
	return j.batch.WaitRemaining - time.Since(j.arrived)
}

// complete passes the withheld end of the answer to the caller once the commit
// is confirmed. It holds no slot and no connection while it waits.
func (j *job) complete(ctx context.Context, r upstream.Result) (exchange.BatchResult, error) {
	result := exchange.BatchResult{State: r.State, DatabaseError: r.DatabaseError}
	if r.Committed {
		if err := j.confirmCommit(ctx, r.StatusAfter); err != nil {
			j.discardConn()
			return exchange.BatchResult{}, err
		}
		result.Commit = r.StatusAfter.Position()
	}
	if len(r.AnswerTail) > 0 {
		if err := j.sink(r.AnswerTail); err != nil {
			j.discardConn()
			return exchange.BatchResult{}, j.outcomeUnknown(err)
		}
	}
	result.OwnerTime = time.Since(j.arrived)
	result.Hint = j.stream.upstream.hint()
	return result, nil
}

// confirmCommit waits until a majority of the group holds the commit in the
// term of the primary that made it.
func (j *job) confirmCommit(ctx context.Context, after upstream.Status) error {
	u := j.stream.upstream
	if after.Role != upstream.RolePrimary || after.FencedTerm > after.Term {
		return j.outcomeUnknown(&Unconfirmed{Term: after.Term})
	}
	c := u.confirmer.start(&confirmation{term: after.Term, position: after.Position()})
	if err := u.confirmer.wait(ctx, c, j.confirmTimeout()); err != nil {
		return j.outcomeUnknown(err)
	}
	// Without a current view, the members that were counted may have been
	// replaced, and their majority would prove nothing. With one it does: the
	// control leader lets one lease pass between two changes of members.
	if !j.stream.owner.opts.Leases.ViewCurrent() {
		return j.outcomeUnknown(&Unconfirmed{Term: after.Term})
	}
	return nil
}

// confirmTimeout bounds the wait for a majority. Unless Options set it, it is at
// least the wait that the class allows, because an unknown outcome is worse for
// the caller than such a wait.
func (j *job) confirmTimeout() time.Duration {
	if fixed := j.stream.owner.opts.ConfirmTimeout; fixed > 0 {
		return fixed
	}
	return max(minConfirmTimeout, j.class.Wait)
}

func (j *job) outcomeUnknown(err error) error {
	return j.outcomeUnknownFor(fault.ReasonOutcomeUnknown, err)
}

func (j *job) outcomeUnknownFor(reason fault.Reason, err error) error {
	j.stream.countRefusal(reason)
	return &fault.OutcomeUnknown{Reason: reason, Detail: err.Error(), Err: err}
}

// discardConn closes the connection; the server then rolls back a transaction
// that is open on it.
func (j *job) discardConn() {
	if j.conn != nil {
		j.stream.upstream.pool.Discard(j.conn)
		j.conn = nil
	}
}
