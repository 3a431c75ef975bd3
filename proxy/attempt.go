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
	// maxRetryDuration is how long a statement is retried until an upstream
	// can run it. It covers a change of primary, which takes about 1.5 s:
	// 0.7 s until the loss is certain and 0.6 s for the promotion.
	maxRetryDuration = 3 * time.Second
	// busyBackoff and noPrimaryBackoff are the mean pauses before the next
	// attempt.
	busyBackoff      = 30 * time.Millisecond
	noPrimaryBackoff = 50 * time.Millisecond
	// maxBusyDoublings is how often the pause after a refusal by a busy upstream
	// doubles for one statement, to half a second: each attempt is one more arrival
	// there.
	maxBusyDoublings = 4
	// maxReruns bounds how often a read that ran and failed is run again.
	maxReruns = 2
	// minReadTimeout is the least time that a read is given at one upstream.
	minReadTimeout = 300 * time.Millisecond
	// readTimeoutFactor times the expected time is how long a read is given
	// at one upstream before another is tried; few statements take as long.
	readTimeoutFactor = 8
)

// attempt is the outcome of one attempt to run a statement.
type attempt struct {
	// done is set if reply is the final answer to the caller.
	done  bool
	reply Reply
	// reason and wait say why and after what pause the statement is tried
	// again. They are set only if the attempt cannot have taken effect or
	// has only read.
	reason fault.Reason
	wait   time.Duration
	// upstream is the id of the upstream that was tried and minPosition the
	// position that it had to hold; both are for logs.
	upstream    string
	minPosition upstream.Position
}

// Reasons for another attempt, beside those that package fault defines.
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

// jitter returns a random pause between half and one and a half times the mean.
func jitter(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

// busyRetryDelay returns the pause before a statement that a busy upstream
// refused is tried again. Less urgent statements pause longer only if the
// upstream is saturated; otherwise long pauses would leave its slots empty.
func (s *Session) busyRetryDelay(pl *pool) time.Duration {
	route, ok := s.proxy.View().Route(s.database)
	if !ok || !pl.saturated() {
		return jitter(busyBackoff)
	}
	return jitter(busyBackoff * s.urgency(route).backoffFactor(now()))
}

// retryUntilFinal makes attempts until one is final, maxRetryDuration would be
// exceeded, the caller may not run the statement any more, no upstream is left that
// could serve the next attempt, or ctx ends. In the last four cases it refuses the
// statement as not run. That is true because no attempt that is retried has taken
// effect.
func (s *Session) retryUntilFinal(ctx context.Context, st *Statement, try func() attempt) Reply {
	deadline := now().Add(maxRetryDuration)
	refusals := 0 // by upstreams without room
	for n := 0; ; n++ {
		if refusal := s.authorize(); refusal != nil {
			return Reply{Refusal: refusal}
		}
		a := try()
		if a.done {
			return a.reply
		}
		if a.reason == reasonBusy {
			a.wait <<= min(refusals, maxBusyDoublings)
			refusals++
		}
		metrics.CountRetry(s.proxy.metrics, s.database, a.reason)
		s.proxy.log.Info("proxy retries a statement", "request", st.ID, "database", s.database, "attempt", n+1,
			"reason", a.reason, "upstream", a.upstream, "after", a.minPosition, "wait", a.wait, "view", s.proxy.View().Index)
		if s.isNewWork() && s.proxy.noUpstreamTakesWork(s.database) {
			return s.refuseNotRun(a.reason, newUpstreamMean)
		}
		if now().Add(a.wait).After(deadline) {
			return s.refuseNotRun(a.reason, max(retryAfterMean, s.backlogTime()))
		}
		if ctx.Err() != nil || (a.wait > 0 && !pause.For(ctx, a.wait)) {
			return s.refuseWithRetry(fault.ReasonShutdown)
		}
	}
}

// retryAfterMean is the mean time after which a refused caller should try again.
// It is about half the time of a change of primary, so that the callers who were
// refused during one don't all return at once.
const retryAfterMean = 400 * time.Millisecond

const (
	// maxBacklogTime bounds the mean time after which a refused caller should try
	// again, so that few give up meanwhile.
	maxBacklogTime = 1500 * time.Millisecond
	// drainFactor is how much longer a backlog lasts than its work, because new
	// work takes half of the upstreams at the usual load.
	drainFactor = 2
)

// backlogTime returns how long the backlog of the session's group will last, as the mean
// over its upstreams. A refused operation that comes back sooner would delay others: the
// proxy can't tell it from a new one, which may still be in time.
func (s *Session) backlogTime() time.Duration {
	route, ok := s.proxy.View().Route(s.database)
	if !ok {
		return 0
	}
	view, ok := s.proxy.View().Group(route.Group)
	if !ok || len(view.Upstreams) == 0 {
		return 0
	}
	var sum time.Duration
	for _, u := range view.Upstreams {
		if pl, ok := s.proxy.pool(u); ok {
			sum += pl.backlogTime()
		}
	}
	return min(drainFactor*sum/time.Duration(len(view.Upstreams)), maxBacklogTime)
}

// newUpstreamMean is the mean time after which a caller should try again whose group
// has no upstream: one that is started then must announce itself and be promoted.
const newUpstreamMean = 1500 * time.Millisecond

func (s *Session) refuseWithRetry(reason fault.Reason) Reply {
	return s.refuseNotRun(reason, retryAfterMean)
}

// refuseNotRun refuses a statement as not run. The caller should try again after a random
// time with the given mean.
func (s *Session) refuseNotRun(reason fault.Reason, retryAfter time.Duration) Reply {
	return Reply{Refusal: &Refusal{Code: RefusedBusy, Reason: string(reason), RetryAfter: jitter(retryAfter)}}
}

func outcomeUnknown(reason fault.Reason) Reply {
	return Reply{Refusal: &Refusal{Code: RefusedUnknown, Reason: string(reason)}}
}

func aborted(reason fault.Reason) Reply {
	return Reply{Refusal: &Refusal{Code: RefusedAborted, Reason: string(reason), RetryAfter: jitter(busyBackoff)}}
}

// acquireFailed maps an error of pool.acquire to a retry. Nothing has run.
func acquireFailed(err error) attempt {
	var refused *DialRefused
	if errors.As(err, &refused) {
		return retry(reasonBusy, jitter(busyBackoff))
	}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		if refusal.Reason == reasonUpstreamLeaving {
			return retryLeaving()
		}
		return retry(fault.Reason(refusal.Reason), jitter(busyBackoff))
	}
	return retry(fault.ReasonUpstreamUnavailable, jitter(busyBackoff))
}

// handleNotRun handles an answer that promises that the statement did not run: it
// puts the connection back into its pool and returns the retry that the answer
// calls for.
func (s *Session) handleNotRun(c *conn, a Answer) attempt {
	s.proxy.returnConn(c, a)
	failed := s.retryRefused(c, a)
	failed.upstream = c.pool.id()
	return failed
}

func (s *Session) retryRefused(c *conn, a Answer) attempt {
	switch a.Code {
	case CodeBusy:
		c.pool.recordBusy(busyBackoff)
		return retry(reasonBusy, s.busyRetryDelay(c.pool))
	case CodeLagging:
		return retry(fault.ReasonStale, 0)
	case CodeNoConnection:
		c.pool.recordNotGranted(queueTimeout)
		return retry(reasonNotGranted, jitter(busyBackoff))
	case CodeUnreachable:
		c.pool.recordUnreachable()
		return retry(fault.ReasonUpstreamUnavailable, jitter(busyBackoff))
	case CodeReadOnly:
		return retry(fault.ReasonNotPrimary, jitter(noPrimaryBackoff))
	default:
		return retry(reasonLostStatement, jitter(busyBackoff))
	}
}

// readTimeout returns how long a read is given at one upstream. It doubles with each
// connection that was lost: a read that takes long does so at every upstream.
func readTimeout(pl *pool, route *pb.SiteRoute, progress *readProgress) time.Duration {
	expected := readTimeoutFactor * pl.estimate(upstream.Position{}).wait
	return min(max(expected, minReadTimeout)<<min(progress.lost, maxReadTimeoutShift), timeout(route))
}

// maxReadTimeoutShift bounds the doubling well above any timeout of a route.
const maxReadTimeoutShift = 8

func (p *Proxy) countRefusal(r *Refusal) {
	p.metrics.Tagged(map[string]string{"reason": r.Reason}).Counter("refused_total").Inc(1)
}

// hasChoice reports whether another upstream of the route's group could run a statement.
func (s *Session) hasChoice(st *Statement, route *pb.SiteRoute) bool {
	readOnly := st.Kind == KindRead || st.Kind == KindExecute && s.prepared[st.Name].readOnly
	if s.tx != nil {
		readOnly = s.tx.readOnly
	}
	return readOnly && replicaAllowed(route)
}

// recordServed records the metrics, the mean time and the log line of a statement
// that an upstream has run.
func (s *Session) recordServed(st *Statement, c *conn, took time.Duration, a Answer) {
	s.proxy.metrics.Timer("statement_seconds").Record(took)
	choice := false
	if route, ok := s.proxy.View().Route(s.database); ok {
		choice = s.hasChoice(st, route)
		s.proxy.group(route.Group).mix.add(now(), took, !choice)
	}
	c.pool.upstreamMetrics.countServed(choice)
	switch {
	case s.tx == nil:
		s.proxy.operationTimes.add(s.operationKind(), took)
	case st.Kind == KindCommit:
		s.proxy.operationTimes.add(s.operationKind(), s.tx.upstreamTime+took)
	default:
		s.tx.upstreamTime += took
	}
	// This is the line that is logged most often; typed attributes avoid an
	// allocation for each value.
	attributes := []slog.Attr{
		slog.String("request", st.ID), slog.String("database", s.database), slog.String("team", s.teamName()),
		slog.String("upstream", c.pool.id()),
		slog.Duration("took", took), slog.Any("position", a.Position), slog.Duration("since_begin", now().Sub(s.operationStart)),
		slog.Bool("choice", choice),
	}
	if leavingFor, ok := c.pool.leavingFor(); ok {
		s.proxy.metrics.Counter("statements_on_leaving_upstreams_total").Inc(1)
		attributes = append(attributes, slog.Duration("leaving_for", leavingFor))
	}
	s.proxy.log.LogAttrs(context.Background(), slog.LevelInfo, "statement served", attributes...)
}
