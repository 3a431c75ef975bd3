package exchange

import (
	"context"
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

// peer is one owner process.
type peer struct {
	service lovageslipv1connect.ExchangeServiceClient

	mu   sync.Mutex
	idle []*link // guarded by mu, the last used one last
}

// open returns a link on which Open has been sent.
func (p *peer) open(ctx context.Context, open *lovageslipv1.RunRequest) (*link, error) {
	if link := p.get(); link != nil {
		if err := link.sendOpen(ctx, open); err == nil {
			return link, nil
		}
		// An idle stream may have ended with its connection. Opening again
		// is harmless: no batch was sent on it.
		link.close()
	}
	link := p.dial()
	if err := link.sendOpen(ctx, open); err != nil {
		detail := link.reason(err)
		link.close()
		return nil, &fault.NotRun{Reason: fault.ReasonUpstreamUnavailable, Detail: "owner not reached: " + detail}
	}
	return link, nil
}

func (p *peer) dial() *link {
	// The stream outlives the request that opens it, so its context is its own.
	ctx, cancel := context.WithCancel(context.Background())
	return &link{stream: p.service.Run(ctx), cancelCtx: cancel}
}

func (p *peer) get() *link {
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

func (p *peer) put(link *link) {
	link.idleSince = now()
	for _, old := range p.keep(link) {
		old.close()
	}
}

// keep adds an idle link and returns those to close.
func (p *peer) keep(used *link) []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleLinks {
		return []*link{used}
	}
	p.idle = append(p.idle, used)
	if used.idleSince.Sub(p.idle[0].idleSince) < maxLinkIdle {
		return nil
	}
	oldest := p.idle[0]
	p.idle = append(p.idle[:0], p.idle[1:]...)
	return []*link{oldest}
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

// link is one stream to an owner. One exchange uses it at a time.
type link struct {
	stream    *runStream
	cancelCtx context.CancelFunc
	idleSince time.Time
	broken    bool // used by the goroutine that runs the exchange

	mu        sync.Mutex
	running   bool // guarded by mu: a batch is outstanding
	cancelled bool // guarded by mu: Cancel was sent; its effect may come late
}

func (l *link) sendOpen(ctx context.Context, open *lovageslipv1.RunRequest) error {
	release := context.AfterFunc(ctx, l.close)
	err := l.stream.Send(open)
	if !release() && err == nil {
		return ctx.Err()
	}
	return err
}

// reason returns the error behind a failed Send, which reports only the end
// of the stream.
func (l *link) reason(err error) string {
	if _, received := l.stream.Receive(); received != nil {
		return received.Error()
	}
	return err.Error()
}

func (l *link) run(batch upstream.Batch, sink upstream.Sink) (Done, error) {
	if err := l.send(batch); err != nil {
		// The request body ended before the whole batch was taken from it,
		// so the owner cannot have decoded and run the batch.
		l.broken = true
		return Done{}, &fault.NotRun{Reason: fault.ReasonUpstreamUnavailable, Detail: "stream to owner ended before the batch was sent"}
	}
	done, err := l.receive(sink)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = false
	return done, err
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

// receive passes chunks on until the answer is complete or refused.
func (l *link) receive(sink upstream.Sink) (Done, error) {
	for {
		response, err := l.stream.Receive()
		if err != nil && unprocessed(err) {
			l.broken = true
			return Done{}, &fault.NotRun{Reason: fault.ReasonShutdown, Detail: "owner did not take the stream"}
		}
		if err != nil {
			return Done{}, l.breakOff("stream to owner broke", err)
		}
		switch m := response.GetMessage().(type) {
		case *lovageslipv1.RunResponse_Chunk:
			if err := sink(m.Chunk.GetPayload()); err != nil {
				return Done{}, l.breakOff("caller did not take the answer", err)
			}
		case *lovageslipv1.RunResponse_Done:
			return doneFromWire(m.Done), nil
		case *lovageslipv1.RunResponse_Refused:
			// An owner that drains ends the stream with this message, so a
			// later batch on it would get no answer at all.
			l.broken = m.Refused.GetReason() == lovageslipv1.Reason_REASON_SHUTDOWN
			return Done{}, refusalFromWire(m.Refused)
		default:
			return Done{}, l.breakOff("owner sent an unknown message", nil)
		}
	}
}

// goAwayText is net/http's error for a stream whose number lies beyond the last
// one that a closing server says it will process. net/http exports no error to
// compare with.
const goAwayText = "http2: Transport received Server's graceful shutdown GOAWAY"

// unprocessed reports whether the server has said that it never started the
// stream's handler, so that nothing sent on the stream can have run.
func unprocessed(err error) bool { return strings.Contains(err.Error(), goAwayText) }

// breakOff marks the link as unusable. The batch was sent, so it may have run.
func (l *link) breakOff(detail string, err error) error {
	l.broken = true
	return &fault.OutcomeUnknown{Reason: fault.ReasonOutcomeUnknown, Detail: detail, Err: err}
}

// reusable reports whether nothing of this exchange can still arrive on the
// link or at the owner, so that another exchange may use it.
func (l *link) reusable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.broken && !l.cancelled
}

// close ends the stream; the owner then rolls back what is open on it. It may
// be called at any time. The transport notices the cancelled context only once
// it no longer waits for the request body, so the body is closed too.
func (l *link) close() {
	l.cancelCtx()
	_ = l.stream.CloseRequest() // the stream has ended either way
}
