// Package exchange passes requests from the entry role, which serves callers,
// to the owner role, which runs them on an upstream. The entry role opens
// exchanges through a Gateway, and the owner implements Handler. For owners in
// other processes, Client and Server carry exchanges over HTTP/2.
package exchange

import (
	"context"
	"time"

	"lovageslip/upstream"
)

// Open holds the parameters of a new exchange. An exchange runs one request, or
// one transaction of several batches, on one upstream.
type Open struct {
	Upstream string
	Class    string
	// ConfigVersion is the configuration version that the entry proxy holds.
	ConfigVersion uint64
	// MinPosition is the log position of the session, which reads must include.
	MinPosition upstream.Position
	// Caller identifies the caller for limits per caller.
	Caller string
	// EntryHost is the host that the caller is connected to.
	EntryHost string
}

// Hint is an owner's last known state of its upstream, which helps entry proxies
// to choose an upstream. It may be out of date.
type Hint struct {
	Upstream     string
	Position     upstream.Position
	Primary      bool
	DataAge      time.Duration
	ExpectedWait time.Duration
	Queued       int
	// StartInterval is the mean time between two starts while the queue is not
	// empty, and Slots how many statements run at a time.
	StartInterval time.Duration
	Slots         int
}

// BatchResult is the outcome of a batch that was answered completely.
type BatchResult struct {
	State upstream.TransactionState
	// Commit is the position of the commit; zero if nothing was written.
	Commit        upstream.Position
	DatabaseError bool
	// OwnerTime is the time from the arrival of the batch at the owner to the
	// end of its answer; the rest of what the entry measures is network time.
	OwnerTime time.Duration
	Hint      Hint
}

// Stream is one exchange. Run is called by one goroutine at a time; Cancel and
// Close may be called at any time.
type Stream interface {
	// Run executes a batch and passes its answer to sink in order. The
	// answer is complete only if Run returns no error.
	// Errors: *fault.NotRun, *fault.OutcomeUnknown, *fault.AlreadyCommitted.
	// After an error the exchange has ended and any transaction of it is
	// rolled back.
	Run(ctx context.Context, batch upstream.Batch, sink upstream.Sink) (BatchResult, error)
	// Cancel cancels the batch that is running.
	Cancel(ctx context.Context) error
	// Close ends the exchange. An open transaction is rolled back.
	Close() error
}

// Handler opens exchanges.
type Handler interface {
	// Open starts an exchange; no queueing or work happens before Run.
	// Errors: *fault.NotRun.
	Open(ctx context.Context, open Open) (Stream, error)
}

// Gateway opens an exchange with the owner at an address (IP number and port).
type Gateway interface {
	OpenAt(ctx context.Context, address string, open Open) (Stream, error)
}

// HintSink receives owners' hints as they arrive. It is safe for concurrent use.
type HintSink interface {
	Observe(hint Hint)
}
