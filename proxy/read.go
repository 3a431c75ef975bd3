package proxy

import (
	"context"
	"time"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// readPlan is what one read has met so far.
type readPlan struct {
	excluded map[string]bool // nil until an upstream is excluded
	reruns   int
}

func (p *readPlan) exclude(id string) {
	if p.excluded == nil {
		p.excluded = make(map[string]bool)
	}
	p.excluded[id] = true
}

func (s *Session) runRead(ctx context.Context, w work, route *pb.SiteRoute) Reply {
	plan := &readPlan{}
	return s.repeat(ctx, w.statement, func() attempt {
		if !mayBeOld(route) {
			return s.readLatest(ctx, w, route, plan)
		}
		return s.readAged(ctx, w, route, plan)
	})
}

// mayBeOld reports whether a replica may serve the reads of a route.
func mayBeOld(route *pb.SiteRoute) bool {
	return route.Freshness == pb.Freshness_FRESHNESS_BOUNDED || route.Freshness == pb.Freshness_FRESHNESS_OWN_WRITES
}

// target is where a read that may be old can go.
type target struct {
	candidate
	// after is what a replica must hold; unused at the primary.
	after upstream.Position
}

// chooseTarget picks the upstream for a read or a read-only transaction. It
// returns a reason if there is none now.
func (s *Session) chooseTarget(ctx context.Context, route *pb.SiteRoute, plan *readPlan) (target, *attempt) {
	view, ok := s.proxy.View().Group(route.Group)
	if !ok || len(view.Upstreams) == 0 {
		a := retry(fault.ReasonNoUpstream, jitter(noPrimaryPause))
		return target{}, &a
	}
	floor, known := s.floor(ctx, route)
	c, ok := s.proxy.chooseForRead(view, floor, plan.excluded)
	if !known {
		// Only the primary can prove that its data are fresh enough.
		c, ok = s.primaryCandidate(route.Group)
	}
	if !ok {
		clear(plan.excluded)
		a := retry(reasonNoUpstreamFits, jitter(busyPause))
		return target{}, &a
	}
	return target{candidate: c, after: floor}, nil
}

func (s *Session) primaryCandidate(group string) (candidate, bool) {
	pl, u, ok := s.proxy.primaryPool(group)
	return candidate{upstream: u, pool: pl, primary: true}, ok
}

// floor returns the position that an upstream must hold for the route.
func (s *Session) floor(ctx context.Context, route *pb.SiteRoute) (upstream.Position, bool) {
	g := s.proxy.group(route.Group)
	g.want()
	floor, ok := g.positions.floor(age(route))
	if !ok {
		s.proxy.refresh(ctx, []string{route.Group})
		floor, ok = g.positions.floor(age(route))
	}
	if route.Freshness == pb.Freshness_FRESHNESS_OWN_WRITES {
		floor = beyond(floor, s.written)
	}
	return floor, ok
}

func (s *Session) readAged(ctx context.Context, w work, route *pb.SiteRoute, plan *readPlan) attempt {
	t, failed := s.chooseTarget(ctx, route, plan)
	if failed != nil {
		return *failed
	}
	if t.primary {
		return s.readLatest(ctx, w, route, plan)
	}
	c, err := t.pool.acquire(ctx, s.ticket(route), turnSlice)
	if err != nil {
		return s.notAcquired(err, plan, t.upstream.Id)
	}
	command := w.forward()
	command.After = t.after
	startedAt := now()
	answers, err := exchange(c, time.Now().Add(patience(t.pool, route)), s.setUp(c, w), command)
	if err == nil && answers[0].Code == CodeNone {
		t.pool.caughtUp()
	}
	a := s.readAnswered(c, w, plan, startedAt, answers, err)
	a.after = t.after
	return a
}

// turnSlice is how long a read waits for its turn at one upstream before it
// chooses again.
const turnSlice = 60 * time.Millisecond

// notAcquired excludes an upstream that cannot be reached from the next choice.
// One that is only busy is judged by its expected wait.
func (s *Session) notAcquired(err error, plan *readPlan, id string) attempt {
	a := notAcquired(err)
	if a.reason == reasonNoTurn {
		a.wait = 0
		return a
	}
	plan.exclude(id)
	return a
}

// readAnswered handles the answers to a read, the first of which is its own. A
// read may run again, since it changes nothing.
func (s *Session) readAnswered(c *conn, w work, plan *readPlan, startedAt time.Time, answers []Answer, err error) attempt {
	if err != nil {
		c.pool.discard(c, startedAt)
		plan.exclude(c.pool.id())
		return retry(reasonConnectionLost, 0)
	}
	a, last := answers[0], answers[len(answers)-1]
	c.pool.noteAnswer(a.Code, now().Sub(startedAt))
	switch {
	case a.Code.NotRun():
		plan.exclude(c.pool.id())
		return s.notRun(c, Answer{Code: a.Code, State: last.State, Position: a.Position})
	case a.Code != CodeNone && plan.reruns < maxReruns:
		plan.reruns++
		plan.exclude(c.pool.id())
		s.proxy.finish(c, last)
		return retry(reasonReadFailed, 0)
	}
	s.proxy.finish(c, last)
	s.served(w.statement, c, now().Sub(startedAt), a)
	return answered(a)
}

// readLatest reads at the primary inside a transaction of the proxy's own: an
// upstream that has lost the lead refuses the read there.
func (s *Session) readLatest(ctx context.Context, w work, route *pb.SiteRoute, plan *readPlan) attempt {
	c, failed := s.openAtPrimary(ctx, w, route)
	if failed != nil {
		return *failed
	}
	startedAt := now()
	answers, err := exchange(c, time.Now().Add(patience(c.pool, route)), nil, w.forward(), Command{Kind: CommandRollback})
	if err == nil && answers[0].Code == CodeNone {
		s.proxy.group(route.Group).positions.add(answers[0].Position, startedAt)
	}
	return s.readAnswered(c, w, plan, startedAt, answers, err)
}

// openAtPrimary returns a connection on which a transaction at the leading
// primary is open. The transaction is opened before anything else is sent,
// because behind a refused one a statement would run outside of it.
func (s *Session) openAtPrimary(ctx context.Context, w work, route *pb.SiteRoute) (*conn, *attempt) {
	pl, _, ok := s.proxy.primaryPool(route.Group)
	if !ok {
		a := retry(reasonNoPrimary, jitter(noPrimaryPause))
		return nil, &a
	}
	return s.openTransaction(ctx, pl, w, route, Command{Kind: CommandBegin})
}

func (s *Session) openTransaction(ctx context.Context, pl *pool, w work, route *pb.SiteRoute, begin Command) (*conn, *attempt) {
	c, err := pl.acquire(ctx, s.ticket(route), timeout(route))
	if err != nil {
		a := notAcquired(err)
		return nil, &a
	}
	askedAt := now()
	answers, err := exchange(c, time.Now().Add(openPatience), s.setUp(c, w), begin)
	if err != nil {
		pl.discard(c, askedAt)
		// Nothing that takes effect has been sent.
		a := retry(reasonConnectionLost, 0)
		return nil, &a
	}
	pl.answered(now().Sub(askedAt))
	if answers[0].Code != CodeNone {
		a := s.notRun(c, answers[0])
		return nil, &a
	}
	if begin.Kind == CommandBegin {
		s.proxy.group(route.Group).positions.add(answers[0].Position, askedAt)
	}
	return c, nil
}

// openPatience is how long an upstream is given to open a transaction, which
// needs no slot. It covers a lost packet that is sent again.
const openPatience = 500 * time.Millisecond
