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

// stream is one exchange. Run is called by one goroutine at a time.
type stream struct {
	owner *Owner
	unit  *unit
	open  exchange.Open
	// ctx ends when the stream is closed.
	ctx  context.Context
	stop context.CancelFunc

	// mu guards all fields below.
	mu      sync.Mutex
	closed  bool
	running bool
	// pinned is the connection of an open transaction.
	pinned upstream.Conn
	// cancel stops the part of Run that is in progress.
	cancel func(context.Context) error
}

var _ exchange.Stream = (*stream)(nil)

func newStream(o *Owner, u *unit, open exchange.Open) *stream {
	s := &stream{owner: o, unit: u, open: open}
	s.ctx, s.stop = context.WithCancel(o.ctx)
	return s
}

func (s *stream) refuse(reason fault.Reason, detail string) *fault.NotRun {
	return s.owner.refuse(s.open.Class, reason, detail)
}

// Run executes a batch; see exchange.Stream.
func (s *stream) Run(ctx context.Context, batch upstream.Batch, sink upstream.Sink) (exchange.Done, error) {
	pinned, err := s.enter()
	if err != nil {
		return exchange.Done{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	j := &job{stream: s, batch: batch, sink: sink, conn: pinned, continuation: pinned != nil, arrived: time.Now()}
	done, err := j.run(ctx)
	s.leave(j.conn)
	return done, err
}

// enter begins a batch. A stream counts as in flight from its first batch to
// the end of its transaction.
func (s *stream) enter() (upstream.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.running {
		return nil, s.refuse(fault.ReasonProtocol, "the exchange has ended or is busy")
	}
	if s.pinned == nil {
		if !s.owner.begin() {
			return nil, s.refuse(fault.ReasonShutdown, "the owner is shutting down")
		}
		s.unit.enter()
	}
	s.running = true
	pinned := s.pinned
	s.pinned = nil
	return pinned, nil
}

// leave ends a batch. conn is the connection of a transaction that is still
// open, or nil.
func (s *stream) leave(conn upstream.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = false
	s.cancel = nil
	if conn != nil && !s.closed {
		s.pinned = conn
		go s.keepAlive(conn)
		return
	}
	s.release(conn)
}

const (
	// keepAliveInterval is a third of the time for which the server lets a
	// transaction rest.
	keepAliveInterval = time.Second
	keepAliveTimeout  = 500 * time.Millisecond
)

// keepAlive sends a query now and then while a transaction rests, so that the
// server ends only the transactions of owners that do not run.
func (s *stream) keepAlive(conn upstream.Conn) {
	for pause.For(s.ctx, keepAliveInterval) {
		if !s.keepAliveOnce(conn) {
			return
		}
	}
}

// keepAliveOnce reports false once the transaction no longer rests. The next
// batch waits until the query has been answered.
func (s *stream) keepAliveOnce(conn upstream.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pinned != conn {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, keepAliveTimeout)
	defer cancel()
	// A failed transaction refuses the query, which keeps it alive as well.
	// A broken connection is noticed by the next batch.
	_, _ = conn.Status(ctx)
	return true
}

// release ends what the stream holds. A connection with an open transaction
// is closed, because the server then rolls back for certain.
func (s *stream) release(conn upstream.Conn) {
	if conn != nil {
		s.unit.pool.Discard(conn)
	}
	s.unit.leave()
	s.owner.end()
}

// onCancel sets what Cancel does from now on.
func (s *stream) onCancel(f func(context.Context) error) {
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
		s.release(s.pinned)
		s.pinned = nil
	}
	return nil
}

// job is one batch on its way through the owner.
type job struct {
	stream       *stream
	batch        upstream.Batch
	sink         upstream.Sink
	continuation bool
	arrived      time.Time
	class        class.Class
	fresh        *freshness
	// conn is set while the job holds a connection; after run it is the
	// connection of a transaction that is still open.
	conn upstream.Conn
	slot *admission.Slot
	// restarted is true once the queue has stopped the work in favour of
	// short work.
	restarted bool
}

func (j *job) run(ctx context.Context) (exchange.Done, error) {
	if err := j.admit(ctx); err != nil {
		j.dropConn()
		return exchange.Done{}, err
	}
	j.fresh = j.stream.unit.freshness(j.class, j.arrived)
	defer j.fresh.done()
	result, err := j.execute(ctx)
	if err != nil {
		return exchange.Done{}, err
	}
	return j.complete(ctx, result)
}

// remaining is how long the batch may still wait for its start.
func (j *job) remaining() time.Duration {
	return j.batch.WaitRemaining - time.Since(j.arrived)
}

// complete passes the withheld end of the answer on once the commit is
// confirmed. No slot and no connection is held while it waits.
func (j *job) complete(ctx context.Context, r upstream.Result) (exchange.Done, error) {
	done := exchange.Done{State: r.State, DatabaseError: r.DatabaseError}
	if r.Committed {
		if err := j.confirm(ctx, r.After); err != nil {
			j.dropConn()
			return exchange.Done{}, err
		}
		done.Commit = r.After.Position()
	}
	if len(r.Tail) > 0 {
		if err := j.sink(r.Tail); err != nil {
			j.dropConn()
			return exchange.Done{}, j.unknown(err)
		}
	}
	done.Spent = time.Since(j.arrived)
	done.Hint = j.stream.unit.hint()
	return done, nil
}

// confirm waits until a majority of the group holds the commit under the term
// of the primary that made it.
func (j *job) confirm(ctx context.Context, after upstream.Status) error {
	u := j.stream.unit
	if after.Role != upstream.RolePrimary || after.Fenced > after.Term {
		return j.unknown(&Unconfirmed{Term: after.Term})
	}
	c := u.confirm.start(&confirmation{term: after.Term, position: after.Position()})
	if err := u.confirm.wait(ctx, c, j.confirmTimeout()); err != nil {
		return j.unknown(err)
	}
	// A majority of members that were replaced meanwhile proves nothing. The
	// control leader lets one lease pass between two changes of members.
	if !j.stream.owner.opts.Leases.Current() {
		return j.unknown(&Unconfirmed{Term: after.Term})
	}
	return nil
}

// confirmTimeout bounds the wait for a majority. An unknown outcome is worse for
// a caller than a wait that its class allows.
func (j *job) confirmTimeout() time.Duration {
	if fixed := j.stream.owner.opts.ConfirmTimeout; fixed > 0 {
		return fixed
	}
	return max(minConfirmTimeout, j.class.Wait)
}

func (j *job) unknown(err error) error {
	return j.unknownFor(fault.ReasonOutcomeUnknown, err)
}

func (j *job) unknownFor(reason fault.Reason, err error) error {
	j.stream.count(reason)
	return &fault.OutcomeUnknown{Reason: reason, Detail: err.Error(), Err: err}
}

// dropConn closes the connection, which rolls back what is open on it.
func (j *job) dropConn() {
	if j.conn != nil {
		j.stream.unit.pool.Discard(j.conn)
		j.conn = nil
	}
}
