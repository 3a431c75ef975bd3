package proxy

import (
	"context"
	"time"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
)

// runWrite runs a single write at the primary. It is tried again only after an
// answer that promises that it did not run.
func (s *Session) runWrite(ctx context.Context, w work, route *pb.SiteRoute) Reply {
	return s.repeat(ctx, w.statement, func() attempt { return s.writeOnce(ctx, w, route) })
}

func (s *Session) writeOnce(ctx context.Context, w work, route *pb.SiteRoute) attempt {
	pl, _, ok := s.proxy.primaryPool(route.Group)
	if !ok {
		return retry(reasonNoPrimary, jitter(noPrimaryPause))
	}
	c, err := pl.acquire(ctx, s.ticket(route), timeout(route))
	if err != nil {
		return notAcquired(err)
	}
	askedAt := now()
	answers, err := exchange(c, time.Now().Add(timeout(route)), s.setUp(c, w), w.forward())
	if err != nil {
		pl.discard(c, askedAt)
		s.proxy.log.Warn("outcome of a write is unknown", "request", w.statement.ID, "database", s.database,
			"upstream", pl.id(), "after", now().Sub(askedAt), "error", err)
		return final(unknown(fault.ReasonOutcomeUnknown))
	}
	a := answers[0]
	pl.noteAnswer(a.Code, now().Sub(askedAt))
	if a.Code.NotRun() {
		return s.notRun(c, a)
	}
	s.proxy.finish(c, a)
	if a.Code == CodeNone {
		s.noteCommit(route.Group, a, askedAt)
		s.served(w.statement, c, now().Sub(askedAt), a)
	}
	return answered(a)
}

// noteCommit keeps the position of a commit for the session's later reads.
func (s *Session) noteCommit(group string, a Answer, askedAt time.Time) {
	s.written = beyond(s.written, a.Position)
	s.proxy.group(group).positions.add(a.Position, askedAt)
}
