package proxy

import (
	"context"
	"time"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// readProgress holds what the attempts of one read have shown so far: the
// upstreams to exclude from the next attempt, and how often the read ran and
// failed.
type readProgress struct {
	excluded map[string]bool // nil until an upstream is excluded
	reruns   int
	// lost counts the attempts whose connection was lost, or timed out.
	lost int
}

func (p *readProgress) exclude(id string) {
	if p.excluded == nil {
		p.excluded = make(map[string]bool)
	}
	p.excluded[id] = true
}

func (s *Session) runRead(ctx context.Context, stmt resolvedStatement, route *pb.SiteRoute) Reply {
	progress := &readProgress{}
	return s.retryUntilFinal(ctx, stmt.statement, func() attempt {
		if !replicaAllowed(route) {
			return s.readLatest(ctx, stmt, route, progress, timeout(route))
		}
		return s.readAllowingReplica(ctx, stmt, route, progress)
	})
}

// replicaAllowed reports whether a replica may serve the reads of a route.
func replicaAllowed(route *pb.SiteRoute) bool {
	return route.Freshness == pb.Freshness_FRESHNESS_BOUNDED || route.Freshness == pb.Freshness_FRESHNESS_OWN_WRITES
}

// target is the upstream for a read that a replica may serve.
type target struct {
	candidate
	// minPosition is the position that a replica must hold; unused at the
	// primary.
	minPosition upstream.Position
}

// chooseTarget chooses the upstream for a read or a read-only transaction that
// a replica may serve. If there is none now, it returns the attempt to retry
// with.
func (s *Session) chooseTarget(ctx context.Context, route *pb.SiteRoute, progress *readProgress) (target, *attempt) {
	view, ok := s.proxy.View().Group(route.Group)
	if !ok || len(view.Upstreams) == 0 {
		a := retry(fault.ReasonNoUpstream, jitter(noPrimaryBackoff))
		return target{}, &a
	}
	minPosition, found := s.minPosition(ctx, route)
	var c candidate
	if found {
		c, ok = s.proxy.chooseForRead(view, minPosition, progress.excluded)
	} else {
		// Only the primary can prove that its data are fresh enough.
		c, ok = s.primaryCandidate(route.Group)
	}
	if !ok {
		clear(progress.excluded)
		a := retry(reasonNoUpstreamFits, jitter(busyBackoff))
		return target{}, &a
	}
	return target{candidate: c, minPosition: minPosition}, nil
}

func (s *Session) primaryCandidate(group string) (candidate, bool) {
	pl, u, ok := s.proxy.primaryPool(group)
	return candidate{upstream: u, pool: pl, primary: true}, ok
}

// minPosition returns the position that an upstream must hold for reads of the
// route. It reports false if no recent enough position is known.
func (s *Session) minPosition(ctx context.Context, route *pb.SiteRoute) (upstream.Position, bool) {
	g := s.proxy.group(route.Group)
	g.recordDemand()
	position, ok := g.positions.minPosition(maxAge(route))
	if !ok {
		s.proxy.refreshSamples(ctx, []string{route.Group})
		position, ok = g.positions.minPosition(maxAge(route))
	}
	if route.Freshness == pb.Freshness_FRESHNESS_OWN_WRITES {
		position = laterPosition(position, s.written)
	}
	return position, ok
}

func (s *Session) readAllowingReplica(ctx context.Context, stmt resolvedStatement, route *pb.SiteRoute, progress *readProgress) attempt {
	t, failed := s.chooseTarget(ctx, route, progress)
	if failed != nil {
		return *failed
	}
	if t.primary {
		return s.readLatest(ctx, stmt, route, progress, s.queueTimeout())
	}
	c, err := t.pool.acquire(ctx, s.urgency(route), s.teamName(), s.queueTimeout())
	if err != nil {
		return s.readAcquireFailed(err, progress, t.upstream.Id)
	}
	setUp := s.setUp(c, stmt)
	command := stmt.command(c)
	command.MinPosition = t.minPosition
	sentAt := now()
	answers, err := exchange(c, time.Now().Add(readTimeout(t.pool, route, progress)), setUp, command)
	if err == nil {
		t.pool.recordPosition(t.minPosition, answers[0], &s.proxy.group(route.Group).positions)
	}
	a := s.finishRead(c, stmt, progress, sentAt, answers, err)
	a.minPosition = t.minPosition
	return a
}

const (
	// queueTimeout is how long a read or a transaction that several upstreams could
	// serve waits for a connection to one of them before it chooses again.
	queueTimeout = 60 * time.Millisecond
	// teamConnectTime is added where a connection serves one team only, so that
	// one must often be opened first: two round trips between regions and 12 ms.
	teamConnectTime = 100 * time.Millisecond
)

// queueTimeout returns how long work of this session that several upstreams could serve
// waits for a connection to one of them.
func (s *Session) queueTimeout() time.Duration {
	if s.team == nil {
		return queueTimeout
	}
	return queueTimeout + teamConnectTime
}

// readAcquireFailed excludes an upstream that gave no connection from the next
// choice. If the read only waited too long for one, the upstream stays eligible,
// and its expected wait decides.
func (s *Session) readAcquireFailed(err error, progress *readProgress, id string) attempt {
	a := acquireFailed(err)
	if a.reason != reasonNotGranted {
		progress.exclude(id)
	}
	return *a.chooseAgain()
}

// chooseAgain removes the pause before the next attempt if the statement has only
// waited too long for a connection: the expected wait decides where it waits next, and
// meanwhile it would be in no queue.
func (a attempt) chooseAgain() *attempt {
	if a.reason == reasonNotGranted {
		a.wait = 0
	}
	return &a
}

// finishRead handles the answers to a read, the first of which is that of the
// read itself. A failed read may run again because it changes nothing.
func (s *Session) finishRead(c *conn, stmt resolvedStatement, progress *readProgress, sentAt time.Time, answers []Answer, err error) attempt {
	if err != nil {
		c.pool.discard(c, sentAt, err)
		progress.lost++
		progress.exclude(c.pool.id())
		return retry(reasonConnectionLost, 0)
	}
	a, last := answers[0], answers[len(answers)-1]
	c.pool.recordStatement(s.workKind(stmt.statement), a.Code, now().Sub(sentAt))
	switch {
	case a.Code == CodeNoConnection:
		return *s.handleNotRun(c, Answer{Code: a.Code, State: last.State}).chooseAgain()
	case a.Code.NotRun():
		progress.exclude(c.pool.id())
		return s.handleNotRun(c, Answer{Code: a.Code, State: last.State, Position: a.Position})
	case a.Code != CodeNone && progress.reruns < maxReruns:
		progress.reruns++
		progress.exclude(c.pool.id())
		s.proxy.returnConn(c, last)
		return retry(reasonReadFailed, 0)
	}
	s.proxy.returnConn(c, last)
	s.recordServed(stmt.statement, c, now().Sub(sentAt), a)
	return answered(a)
}

// readLatest reads at the primary inside a transaction that the proxy opens for
// it, because an upstream that no longer leads refuses the read there. It waits for a
// connection for up to maxWait.
func (s *Session) readLatest(ctx context.Context, stmt resolvedStatement, route *pb.SiteRoute, progress *readProgress, maxWait time.Duration) attempt {
	c, failed := s.beginAtPrimary(ctx, stmt, route, maxWait)
	if failed != nil {
		return *failed
	}
	if !c.pool.takesNewWork() {
		rollBackAndReturn(c)
		return retryLeaving()
	}
	sentAt := now()
	answers, err := exchange(c, time.Now().Add(readTimeout(c.pool, route, progress)), nil, stmt.command(c), Command{Kind: CommandRollback})
	if err == nil && answers[0].Code == CodeNone {
		s.proxy.group(route.Group).positions.add(answers[0].Position, sentAt)
	}
	return s.finishRead(c, stmt, progress, sentAt, answers, err)
}

// beginAtPrimary opens a transaction at the leading primary and returns its
// connection. The statement is sent only after the transaction was opened: if
// they were sent together and the transaction refused, the statement would run
// outside of it.
func (s *Session) beginAtPrimary(ctx context.Context, stmt resolvedStatement, route *pb.SiteRoute, maxWait time.Duration) (*conn, *attempt) {
	pl, _, ok := s.proxy.primaryPool(route.Group)
	if !ok {
		a := retry(reasonNoPrimary, jitter(noPrimaryBackoff))
		return nil, &a
	}
	return s.beginTransaction(ctx, pl, stmt, route, Command{Kind: CommandBegin}, maxWait)
}

// beginTransaction opens a transaction on a connection for which it waits for up to
// maxWait.
func (s *Session) beginTransaction(ctx context.Context, pl *pool, stmt resolvedStatement, route *pb.SiteRoute, begin Command, maxWait time.Duration) (*conn, *attempt) {
	c, err := pl.acquire(ctx, s.urgency(route), s.teamName(), maxWait)
	if err != nil {
		a := acquireFailed(err)
		return nil, a.chooseAgain()
	}
	sentAt := now()
	answers, err := exchange(c, time.Now().Add(beginTimeout), s.setUp(c, stmt), begin)
	if err != nil {
		pl.discard(c, sentAt, err)
		// Nothing that could take effect has been sent.
		a := retry(reasonConnectionLost, 0)
		return nil, &a
	}
	pl.recordCommand(answers[0].Code, now().Sub(sentAt))
	pl.recordPosition(begin.MinPosition, answers[0], &s.proxy.group(route.Group).positions)
	if answers[0].Code != CodeNone {
		a := s.handleNotRun(c, answers[0])
		return nil, a.chooseAgain()
	}
	if begin.Kind == CommandBegin {
		s.proxy.group(route.Group).positions.add(answers[0].Position, sentAt)
	}
	return c, nil
}

// beginTimeout is how long an upstream is given to open a transaction, which
// needs no slot. It covers the retransmission of a lost packet.
const beginTimeout = 500 * time.Millisecond
