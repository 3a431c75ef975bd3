package proxy

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
	"lovageslip/metrics"
	"lovageslip/upstream"
)

const (
	// holdLimit is how long a statement waits for an upstream that can run
	// it. A change of primary takes about 1.5 s: 0.7 s until the loss is
	// certain and 0.6 s for the promotion.
	holdLimit = 3 * time.Second
	// busyPause and noPrimaryPause are the mean pauses before another try.
	busyPause      = 30 * time.Millisecond
	noPrimaryPause = 50 * time.Millisecond
	// maxReruns bounds how often a read that ran and failed runs again.
	maxReruns = 2
	// patienceMin is the least time that a read is given at one upstream.
	patienceMin = 300 * time.Millisecond
	// patienceFactor times the expected time is how long a read is given
	// before another upstream is asked; few statements take as long.
	patienceFactor = 8
)

// attempt is the outcome of one try of a statement.
type attempt struct {
	// done is set if reply is final.
	done  bool
	reply Reply
	// reason and wait say why and when the statement is tried again. A
	// reason is given only where the try cannot have taken effect, or has
	// only read.
	reason fault.Reason
	wait   time.Duration
	// upstream and after are where it was tried and what the upstream had
	// to hold, for logs.
	upstream string
	after    upstream.Position
}

// Reasons to try again that this package adds to those of package fault.
const (
	reasonBusy           fault.Reason = "upstream_busy"
	reasonNoPrimary      fault.Reason = "no_primary"
	reasonNoUpstreamFits fault.Reason = "no_upstream_fits"
	reasonReadFailed     fault.Reason = "read_failed"
	reasonLostStatement  fault.Reason = "statement_lost"
	reasonConnectionLost fault.Reason = "connection_lost"
)

func final(reply Reply) attempt { return attempt{done: true, reply: reply} }

func answered(a Answer) attempt { return final(Reply{Body: a.Body}) }

func retry(reason fault.Reason, wait time.Duration) attempt {
	return attempt{reason: reason, wait: wait}
}

// jitter spreads a pause over half to one and a half of its mean.
func jitter(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

// busyWait is the pause before a statement that met a busy upstream is tried
// again. Only a crowded upstream needs the order that longer pauses bring;
// elsewhere they would leave its slots empty.
func (s *Session) busyWait(pl *pool) time.Duration {
	route, ok := s.proxy.View().Route(s.database)
	if !ok || !pl.crowded() {
		return jitter(busyPause)
	}
	return jitter(busyPause * s.ticket(route).persistence(now()))
}

// repeat tries until an attempt is final or holdLimit has passed. The refusal
// is true: no attempt that asks for another has taken effect.
func (s *Session) repeat(ctx context.Context, st *Statement, try func() attempt) Reply {
	giveUp := now().Add(holdLimit)
	for n := 0; ; n++ {
		a := try()
		if a.done {
			return a.reply
		}
		metrics.Retried(s.proxy.metrics, s.database, a.reason)
		s.proxy.log.Info("statement tried again", "request", st.ID, "database", s.database, "attempt", n+1,
			"reason", a.reason, "upstream", a.upstream, "after", a.after, "wait", a.wait, "view", s.proxy.View().Index)
		if now().Add(a.wait).After(giveUp) {
			return s.giveUp(a.reason)
		}
		if ctx.Err() != nil || (a.wait > 0 && !pause.For(ctx, a.wait)) {
			return s.giveUp(fault.ReasonShutdown)
		}
	}
}

// retryAfterMean is the mean time after which a refused caller should return:
// about half a change of primary, so that a returning crowd is spread.
const retryAfterMean = 400 * time.Millisecond

func (s *Session) giveUp(reason fault.Reason) Reply {
	return Reply{Refusal: &Refusal{Code: RefusedBusy, Reason: string(reason), RetryAfter: jitter(retryAfterMean)}}
}

func unknown(reason fault.Reason) Reply {
	return Reply{Refusal: &Refusal{Code: RefusedUnknown, Reason: string(reason)}}
}

func aborted(reason fault.Reason) Reply {
	return Reply{Refusal: &Refusal{Code: RefusedAborted, Reason: string(reason), RetryAfter: jitter(busyPause)}}
}

// notAcquired maps an error of pool.acquire; nothing has run.
func notAcquired(err error) attempt {
	var refused *DialRefused
	if errors.As(err, &refused) {
		return retry(reasonBusy, jitter(busyPause))
	}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return retry(fault.Reason(refusal.Reason), jitter(busyPause))
	}
	return retry(fault.ReasonUpstreamUnavailable, jitter(busyPause))
}

// notRun handles an answer that promises that nothing ran, and returns the
// connection.
func (s *Session) notRun(c *conn, a Answer) attempt {
	s.proxy.finish(c, a)
	failed := s.refusedBy(c, a)
	failed.upstream = c.pool.id()
	return failed
}

func (s *Session) refusedBy(c *conn, a Answer) attempt {
	switch a.Code {
	case CodeBusy:
		c.pool.busy(busyPause)
		return retry(reasonBusy, s.busyWait(c.pool))
	case CodeLagging:
		c.pool.lagging(a.Position)
		return retry(fault.ReasonStale, 0)
	case CodeReadOnly:
		return retry(fault.ReasonNotPrimary, jitter(noPrimaryPause))
	default:
		return retry(reasonLostStatement, jitter(busyPause))
	}
}

// patience is how long a read is given at one upstream.
func patience(pl *pool, route *pb.SiteRoute) time.Duration {
	expected := patienceFactor * pl.estimate(upstream.Position{}).wait
	return min(max(expected, patienceMin), timeout(route))
}

func (p *Proxy) countRefusal(r *Refusal) {
	p.metrics.Tagged(map[string]string{"reason": r.Reason}).Counter("refused_total").Inc(1)
}

// served notes a statement that an upstream has run.
func (s *Session) served(st *Statement, c *conn, took time.Duration, a Answer) {
	s.proxy.metrics.Timer("statement_seconds").Record(took)
	switch {
	case s.tx == nil:
		s.proxy.times.add(s.workKind(), took)
	case st.Kind == KindCommit:
		s.proxy.times.add(s.workKind(), s.tx.took+took)
	default:
		s.tx.took += took
	}
	// Typed attributes need no allocation each; this is the line that is
	// written most.
	s.proxy.log.LogAttrs(context.Background(), slog.LevelInfo, "statement served",
		slog.String("request", st.ID), slog.String("database", s.database), slog.String("upstream", c.pool.id()),
		slog.Duration("took", took), slog.Any("position", a.Position), slog.Duration("since_begin", now().Sub(s.begunAt)))
}
