package entry

import (
	"context"
	"time"

	"lovageslip/class"
	"lovageslip/exchange"
	"lovageslip/fault"
	"lovageslip/internal/pause"
	"lovageslip/registry"
	"lovageslip/route"
	"lovageslip/upstream"
)

// attempt runs one request outside of an open transaction: it chooses an upstream,
// sends the batch to its owner and retries until the request is answered or no
// retry is allowed.
type attempt struct {
	session   *Session
	entry     *Entry
	request   Request
	requestID string
	class     class.Class
	mode      upstream.Mode
	sink      upstream.Sink
	started   time.Time
	deadline  time.Time

	tries    int
	excluded []string
	// answerBegun is true once the sink has taken a part of an answer.
	answerBegun bool
	// refusal is the last refusal by an owner; nil if there was none.
	refusal error
	// unknown is the last unknown outcome of a try; nil if there was none.
	unknown error
	// chosen is the router's choice for the last try, and routeRequest the
	// request to the router that led to it.
	chosen       route.Choice
	routeRequest route.Request
}

func newAttempt(s *Session, request Request, requestID string, c class.Class, sink upstream.Sink) *attempt {
	started := time.Now()
	return &attempt{
		session:   s,
		entry:     s.entry,
		request:   request,
		requestID: requestID,
		class:     c,
		mode:      s.entry.initialMode(request.Texts),
		sink:      sink,
		started:   started,
		deadline:  started.Add(c.Wait),
	}
}

func (a *attempt) run(ctx context.Context) (exchange.BatchResult, error) {
	for {
		// The channel is read before the view, so that no change between the
		// two is missed.
		changed := a.entry.directory.Changed()
		result, err := a.try(ctx)
		if err == nil {
			a.entry.budget.succeeded()
			return result, nil
		}
		if !a.prepareRetry(ctx, err, changed) {
			return exchange.BatchResult{}, a.entry.finalError(a.callerError(ctx, err), a.class.Name, a.class.Wait)
		}
		a.tries++
	}
}

// callerError returns the error for the caller, given the error of the last try.
// Once a try had an unknown outcome, a later refusal does not prove that the
// request did not run. Otherwise an owner's refusal is more specific than the
// router's error that no upstream is left.
func (a *attempt) callerError(ctx context.Context, err error) error {
	if a.unknown != nil && reasonOf(err) != fault.ReasonAlreadyCommitted {
		return a.unknown
	}
	if ctx.Err() != nil && isNotRun(err) {
		return cancelled()
	}
	if a.refusal != nil && reasonOf(err) == fault.ReasonNoUpstream {
		return a.refusal
	}
	return err
}

func (a *attempt) try(ctx context.Context) (exchange.BatchResult, error) {
	view, err := a.entry.view()
	if err != nil {
		return exchange.BatchResult{}, err
	}
	if err := a.choose(view); err != nil {
		return exchange.BatchResult{}, err
	}
	if err := a.sleep(ctx, a.chosen.Delay); err != nil {
		return exchange.BatchResult{}, err
	}
	stream, err := a.entry.gateway.OpenAt(ctx, a.chosen.Upstream.OwnerAddress, a.open(view))
	if err != nil {
		return exchange.BatchResult{}, err
	}
	return a.exchange(ctx, stream)
}

func (a *attempt) choose(view *registry.View) error {
	a.routeRequest = route.Request{
		View:           view,
		Database:       a.session.database,
		Class:          a.class,
		Mode:           a.mode,
		MinPosition:    a.session.position,
		MinPositionAge: time.Since(a.session.positionTime),
		Remaining:      a.remaining(),
		Exclude:        a.excluded,
	}
	choice, err := a.entry.router.Choose(a.routeRequest)
	a.chosen = choice
	return err
}

// sleep waits for the delay after which the chosen replica is expected to include
// the session's position.
func (a *attempt) sleep(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	a.routeRequest.MinPositionAge += delay
	if !pause.For(ctx, delay) {
		return cancelled()
	}
	return nil
}

func cancelled() error {
	return &fault.NotRun{Reason: fault.ReasonCancelled, Detail: "cancelled before the request ran"}
}

func (a *attempt) open(view *registry.View) exchange.Open {
	return exchange.Open{
		Upstream:      a.chosen.Upstream.Name,
		Class:         a.class.Name,
		ConfigVersion: view.ConfigVersion,
		MinPosition:   a.session.position,
		Caller:        a.session.caller,
		EntryHost:     a.entry.hostName,
	}
}

// exchange runs the batch. If it leaves a transaction open, the stream is pinned
// to the session.
func (a *attempt) exchange(ctx context.Context, stream exchange.Stream) (exchange.BatchResult, error) {
	name := a.chosen.Upstream.Name
	a.session.setStream(stream)
	defer a.session.setStream(nil)
	a.entry.router.RequestStarted(name)
	begun := time.Now()
	result, err := stream.Run(ctx, a.batch(), a.forward)
	if err != nil {
		a.entry.router.RequestFinished(name, 0)
		_ = stream.Close() // the exchange has ended with the error
		return result, err
	}
	a.entry.router.RequestFinished(name, time.Since(begun)-result.OwnerTime)
	a.entry.router.RecordHint(result.Hint)
	if result.State == upstream.StateIdle {
		_ = stream.Close() // nothing is open on it
		return result, nil
	}
	a.session.pinned = stream
	a.session.pinnedMode = a.mode
	a.session.pinnedClass = a.class.Name
	return result, nil
}

// forward passes a part of the answer to the caller's sink.
func (a *attempt) forward(chunk []byte) error {
	a.answerBegun = true
	return a.sink(chunk)
}

// callerHasAnswer reports whether the caller has received a part of an answer. It
// first drops the parts that are still buffered, if Request.Restart can.
func (a *attempt) callerHasAnswer() bool {
	if a.answerBegun && a.request.Restart != nil && a.request.Restart() {
		a.answerBegun = false
	}
	return a.answerBegun
}

func (a *attempt) batch() upstream.Batch {
	batch := batchOf(a.request, a.mode)
	batch.RequestID = a.requestID
	if a.mode == upstream.ModeRead {
		// A read needs no row in the ledger of request ids, because the server
		// refuses writes in read mode.
		batch.RequestID = ""
	}
	batch.Waited = time.Since(a.started)
	batch.WaitRemaining = a.remaining()
	return batch
}

func batchOf(request Request, mode upstream.Mode) upstream.Batch {
	return upstream.Batch{
		Mode:     mode,
		Payload:  request.Payload,
		Prepared: request.Prepared,
		Shape:    shapeOf(request.Texts),
	}
}

func (a *attempt) remaining() time.Duration { return max(0, time.Until(a.deadline)) }
