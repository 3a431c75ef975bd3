package proxy

import (
	"context"
	"time"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
)

// runWrite runs a single write at the primary. It is sent again only if the
// upstream answered that it did not run.
func (s *Session) runWrite(ctx context.Context, stmt resolvedStatement, route *pb.SiteRoute) Reply {
	return s.retryUntilFinal(ctx, stmt.statement, func() attempt { return s.writeOnce(ctx, stmt, route) })
}

func (s *Session) writeOnce(ctx context.Context, stmt resolvedStatement, route *pb.SiteRoute) attempt {
	pl, _, ok := s.proxy.primaryPool(route.Group)
	if !ok {
		return retry(reasonNoPrimary, jitter(noPrimaryBackoff))
	}
	c, err := pl.acquire(ctx, s.urgency(route), s.teamName(), timeout(route))
	if err != nil {
		return acquireFailed(err)
	}
	sentAt := now()
	answers, err := exchange(c, time.Now().Add(timeout(route)), s.setUp(c, stmt), stmt.command(c))
	if err != nil {
		pl.discard(c, sentAt, err)
		s.proxy.log.Warn("outcome of a write is unknown", "request", stmt.statement.ID, "database", s.database,
			"upstream", pl.id(), "after", now().Sub(sentAt), "error", err)
		return final(outcomeUnknown(fault.ReasonOutcomeUnknown))
	}
	a := answers[0]
	pl.recordStatement(s.workKind(stmt.statement), a.Code, now().Sub(sentAt))
	if a.Code.NotRun() {
		return s.handleNotRun(c, a)
	}
	s.proxy.returnConn(c, a)
	if a.Code == CodeNone {
		s.recordCommit(route.Group, a, sentAt)
		s.recordServed(stmt.statement, c, now().Sub(sentAt), a)
	}
	return answered(a)
}

// recordCommit records the position of a commit for the session's later reads,
// and as a sample of the group.
func (s *Session) recordCommit(group string, a Answer, sentAt time.Time) {
	s.written = laterPosition(s.written, a.Position)
	s.proxy.group(group).positions.add(a.Position, sentAt)
}
