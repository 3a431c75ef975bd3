package exchange

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"lovageslip/fault"
	lovageslipv1 "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/upstream"
)

const (
	// maxIdleLinks bounds the idle streams that are kept for one owner.
	maxIdleLinks = 64
	// maxLinkIdle is how long an idle stream is kept.
	maxLinkIdle = 30 * time.Second
)

type runStream = connect.BidiStreamForClient[lovageslipv1.RunRequest, lovageslipv1.RunResponse]

// peer is one owner process with the idle links to it.
type peer struct {
	service  lovageslipv1connect.ExchangeServiceClient
	lastUsed time.Time // guarded by Client.mu

	mu   sync.Mutex
	idle []*link // guarded by mu, the last used one last
}

// open returns an idle or a new link, on which it has sent Open.
func (p *peer) open(ctx context.Context, open *lovageslipv1.RunRequest) (*link, error) {
	if link := p.acquireIdle(); link != nil {
		if err := link.sendOpen(ctx, open); err == nil {
			return link, nil
		}
		// An idle stream may have ended with its connection. Opening again on
		// another one is safe, because no batch was sent.
		link.close()
	}
	link := p.dial()
	if err := link.sendOpen(ctx, open); err != nil {
		detail := link.streamError(err)
		link.close()
		return nil, &fault.NotRun{Reason: fault.ReasonUpstreamUnavailable, Detail: "owner not reached: " + detail}
	}
	return link, nil
}

func (p *peer) dial() *link {
	// The stream outlives the request that opens it, so it must not use the
	// request's context.
	ctx, cancel := context.WithCancel(context.Background())
	return &link{stream: p.service.Run(ctx), cancelCtx: cancel}
}

func (p *peer) acquireIdle() *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	link := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return link
}

func (p *peer) release(link *link) {
	link.idleSince = now()
	if !p.addIdle(link) {
		link.close()
	}
}

func (p *peer) addIdle(link *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleLinks {
		return false
	}
	p.idle = append(p.idle, link)
	return true
}

// expire closes the links that were last used before cutoff, and returns how
// many are left.
func (p *peer) expire(cutoff time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The links are in the order of their last use.
	expired := 0
	for expired < len(p.idle) && p.idle[expired].idleSince.Before(cutoff) {
		p.idle[expired].close()
		expired++
	}
	p.idle = slices.Delete(p.idle, 0, expired)
	return len(p.idle)
}

func (p *peer) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, link := range idle {
		link.close()
	}
}

// link is one HTTP/2 stream to an owner. It carries many exchanges, one after
// another.
type link struct {
	stream    *runStream
	cancelCtx context.CancelFunc
	idleSince time.Time
	broken    bool // used by the goroutine that runs the exchange

	mu        sync.Mutex
	running   bool // guarded by mu: a batch is outstanding
	cancelled bool // guarded by mu: Cancel was sent and may take effect late
}

func (l *link) sendOpen(ctx context.Context, open *lovageslipv1.RunRequest) error {
	stop := context.AfterFunc(ctx, l.close)
	err := l.stream.Send(open)
	if !stop() && err == nil {
		return ctx.Err()
	}
	return err
}

// streamError returns the text of the error that ended the stream. A failed
// Send itself reports only that the stream has ended.
func (l *link) streamError(err error) string {
	if _, received := l.stream.Receive(); received != nil {
		return received.Error()
	}
	return err.Error()
}

func (l *link) run(batch upstream.Batch, sink upstream.Sink) (BatchResult, error) {
	if err := l.send(batch); err != nil {
		// The transport stopped reading the request body before the end of
		// the batch, so the owner can't have decoded and run the batch.
		l.broken = true
		return BatchResult{}, &fault.NotRun{Reason: fault.ReasonUpstreamUnavailable, Detail: "stream to owner ended before the batch was sent"}
	}
	result, err := l.receive(sink)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = false
	return result, err
}

func (l *link) send(batch upstream.Batch) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = true
	return l.stream.Send(batchToWire(batch))
}

func (l *link) sendCancel() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.running {
		return nil
	}
	l.cancelled = true
	if err := l.stream.Send(cancelMessage); err != nil {
		return &fault.IO{Op: "send cancel", Err: err}
	}
	return nil
}

// receive passes the chunks of an answer to sink until the answer is complete or
// the batch is refused.
func (l *link) receive(sink upstream.Sink) (BatchResult, error) {
	for {
		response, err := l.stream.Receive()
		if err != nil && neverStarted(err) {
			l.broken = true
			return BatchResult{}, &fault.NotRun{Reason: fault.ReasonShutdown, Detail: "owner did not take the stream"}
		}
		if err != nil {
			return BatchResult{}, l.markBroken("stream to owner broke", err)
		}
		switch m := response.GetMessage().(type) {
		case *lovageslipv1.RunResponse_Chunk:
			if err := sink(m.Chunk.GetPayload()); err != nil {
				return BatchResult{}, l.markBroken("caller did not take the answer", err)
			}
		case *lovageslipv1.RunResponse_Done:
			return doneFromWire(m.Done), nil
		case *lovageslipv1.RunResponse_Refused:
			// An owner that drains ends the stream with this message. A later
			// batch on the stream would get no answer.
			l.broken = m.Refused.GetReason() == lovageslipv1.Reason_REASON_SHUTDOWN
			return BatchResult{}, refusalFromWire(m.Refused)
		default:
			return BatchResult{}, l.markBroken("owner sent an unknown message", nil)
		}
	}
}

// goAwayText is part of net/http's error for a stream whose id is higher than
// the last one that a closing server will process. net/http exports no error
// value to compare with.
const goAwayText = "http2: Transport received Server's graceful shutdown GOAWAY"

// neverStarted reports whether the server has said that it never started the
// stream's handler, so that nothing sent on the stream can have run.
func neverStarted(err error) bool { return strings.Contains(err.Error(), goAwayText) }

// markBroken marks the link as unusable and returns an unknown outcome: the
// batch was sent, so it may have run.
func (l *link) markBroken(detail string, err error) error {
	l.broken = true
	return &fault.OutcomeUnknown{Reason: fault.ReasonOutcomeUnknown, Detail: detail, Err: err}
}

// reusable reports whether another exchange may use the link. It must not if an
// answer or a Cancel of this exchange may still be on its way.
func (l *link) reusable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.broken && !l.cancelled
}

// close ends the stream; the owner then rolls back an open transaction on it. It
// may be called at any time. It closes the request body too, because the
// transport doesn't notice a cancelled context while it waits for the body.
func (l *link) close() {
	l.cancelCtx()
	_ = l.stream.CloseRequest() // the stream has ended either way
}
