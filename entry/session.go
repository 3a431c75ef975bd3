package entry

import (
	"context"
	"sync"
	"time"

	"lovageslip/exchange"
	"lovageslip/fault"
	"lovageslip/session"
	"lovageslip/upstream"
)

// MaxRequestID is the maximum length of a request id, in bytes.
const MaxRequestID = 128

// Session is the session of one caller. Only one goroutine may use it at a time,
// but Cancel and Running are safe to call at any time.
type Session struct {
	entry     *Entry
	database  string
	caller    string
	className string
	requestID string

	position     upstream.Position
	positionTime time.Time // when position last advanced
	pinned       exchange.Stream
	pinnedMode   upstream.Mode
	pinnedClass  string

	mu        sync.Mutex
	running   exchange.Stream    // guarded by mu: the exchange of the batch in flight
	interrupt context.CancelFunc // guarded by mu: cancels the context of the batch in flight
}

// Database returns the session's database.
func (s *Session) Database() string { return s.database }

// SetClass sets the class of the following requests; empty for the default class.
// Errors: *fault.UnknownClass, *fault.NotRun, *NoDefaultClass.
func (s *Session) SetClass(name string) error {
	view, err := s.entry.view()
	if err != nil {
		return s.entry.finalError(err, "", 0)
	}
	if _, err := classOf(view, name); err != nil {
		return err
	}
	s.className = name
	return nil
}

// Class returns the name of the class of the following requests; empty if none
// was set and there is no default class.
func (s *Session) Class() string {
	view := s.entry.directory.View()
	if view == nil {
		return s.className
	}
	c, err := classOf(view, s.className)
	if err != nil {
		return s.className
	}
	return c.Name
}

// SetToken makes the following reads include the position of a session token. An
// empty token resets the position. Errors: *fault.BadToken.
func (s *Session) SetToken(token string) error {
	if token == "" {
		s.position = upstream.Position{}
		return nil
	}
	position, err := s.entry.tokens.Verify(s.database, token)
	if err != nil {
		return err
	}
	s.advance(position)
	return nil
}

// Token returns the session token; empty if the session has no position.
func (s *Session) Token() string {
	if s.position == (upstream.Position{}) {
		return ""
	}
	return s.entry.tokens.Sign(s.database, s.position)
}

// SetRequestID makes the next statement or transaction idempotent; empty for
// none. Errors: *fault.Invalid.
func (s *Session) SetRequestID(id string) error {
	if len(id) > MaxRequestID {
		return &fault.Invalid{Field: "lovageslip.request_id", Value: id[:MaxRequestID], Allowed: "at most 128 bytes"}
	}
	s.requestID = id
	return nil
}

// RequestID returns the request id of the next statement or transaction.
func (s *Session) RequestID() string { return s.requestID }

// InTransaction reports whether a transaction is open.
func (s *Session) InTransaction() bool { return s.pinned != nil }

// advance moves the session's position forward; an earlier position has no effect.
func (s *Session) advance(position upstream.Position) {
	merged := session.Later(s.position, position)
	if merged == s.position {
		return
	}
	s.position = merged
	s.positionTime = time.Now()
}

// Run executes one batch and passes its answer to sink in order. The answer is
// complete only if Run returns no error. Errors: *fault.NotRun,
// *fault.OutcomeUnknown, *fault.AlreadyCommitted, *fault.UnknownClass,
// *NoDefaultClass. After an error no transaction is open.
func (s *Session) Run(ctx context.Context, request Request, sink upstream.Sink) (Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setRunning(nil, cancel)
	defer s.setRunning(nil, nil)
	if s.pinned != nil {
		return s.runPinned(ctx, request, sink)
	}
	return s.runNew(ctx, request, sink)
}

// runNew runs a batch while no transaction is open.
func (s *Session) runNew(ctx context.Context, request Request, sink upstream.Sink) (Reply, error) {
	requestID := s.takeRequestID(request)
	view, err := s.entry.view()
	if err != nil {
		return Reply{}, s.entry.finalError(err, s.className, 0)
	}
	c, err := classOf(view, s.className)
	if err != nil {
		return Reply{}, s.entry.finalError(err, s.className, 0)
	}
	a := newAttempt(s, request, requestID, c, sink)
	result, err := a.run(ctx)
	if err != nil {
		return Reply{}, err
	}
	return s.finish(result), nil
}

// takeRequestID returns the request id and clears it. A batch that only prepares
// gets none and leaves the id for the next one.
func (s *Session) takeRequestID(request Request) string {
	if len(request.Texts) == 0 {
		return ""
	}
	id := s.requestID
	s.requestID = ""
	return id
}

// runPinned runs a batch of an open transaction. It never retries: the
// transaction's earlier batches cannot be repeated.
func (s *Session) runPinned(ctx context.Context, request Request, sink upstream.Sink) (Reply, error) {
	batch := batchOf(request, s.pinnedMode)
	batch.WaitRemaining = s.pinnedWait()
	s.setStream(s.pinned)
	result, err := s.pinned.Run(ctx, batch, sink)
	if err != nil {
		s.unpin()
		return Reply{}, s.entry.finalError(err, s.pinnedClass, 0)
	}
	s.entry.router.RecordHint(result.Hint)
	if result.State == upstream.StateIdle {
		s.unpin()
	}
	s.entry.budget.succeeded()
	return s.finish(result), nil
}

// pinnedWait returns the wait of the class of the open transaction; zero if the
// class is not known.
func (s *Session) pinnedWait() time.Duration {
	view := s.entry.directory.View()
	if view == nil {
		return 0
	}
	return view.Classes[s.pinnedClass].Wait
}

func (s *Session) unpin() {
	// The owner rolls back an open transaction and logs its own errors.
	_ = s.pinned.Close()
	s.pinned = nil
}

func (s *Session) finish(result exchange.BatchResult) Reply {
	reply := Reply{State: result.State, DatabaseError: result.DatabaseError}
	if result.Commit != (upstream.Position{}) {
		s.advance(result.Commit)
		reply.Token = s.Token()
	}
	return reply
}

func (s *Session) setRunning(stream exchange.Stream, interrupt context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = stream
	s.interrupt = interrupt
}

func (s *Session) setStream(stream exchange.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = stream
}

// Cancel cancels the batch in flight, if there is one. It is safe to call at
// any time.
func (s *Session) Cancel(ctx context.Context) error {
	s.mu.Lock()
	stream, interrupt := s.running, s.interrupt
	s.mu.Unlock()
	if stream != nil {
		return stream.Cancel(ctx)
	}
	if interrupt != nil {
		interrupt()
	}
	return nil
}

// Close ends the session. An open transaction is rolled back.
func (s *Session) Close() {
	if s.pinned != nil {
		s.unpin()
	}
}

// Running reports whether a batch is in flight. It is safe to call at any time.
func (s *Session) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.interrupt != nil
}
