package proxy

import (
	"context"
	"errors"
	"time"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
)

// transaction is a caller's transaction. It gets a connection with its first
// statement, so that a caller who sends none yet holds none.
type transaction struct {
	readOnly  bool
	route     *pb.SiteRoute
	conn      *conn // nil before bind and after the end at the upstream
	atPrimary bool
	// admitted is set once the limit of the caller's team has let it pass.
	admitted bool
	hasRun   bool
	// upstreamTime is the time that its statements have taken at the
	// upstream.
	upstreamTime time.Duration
	hasWritten   bool
	// expired is set if the proxy ended the transaction because the caller
	// sent nothing for too long.
	expired bool
}

func (s *Session) begin(st *Statement) Reply {
	if s.tx != nil {
		return refuse(RefusedMalformed, "transaction_open")
	}
	if _, ok := s.proxy.View().Route(s.database); !ok {
		return refuse(RefusedNoDatabase, reasonNoDatabase)
	}
	s.tx = &transaction{readOnly: st.ReadOnly}
	s.state = StateOpen
	return Reply{}
}

func (s *Session) rollback() Reply {
	s.endTransaction()
	return Reply{}
}

// endTransaction ends the session's transaction, if any, and rolls it back at the
// upstream unless it has ended there.
func (s *Session) endTransaction() {
	s.state = StateIdle
	if s.tx != nil {
		s.rollBackAtUpstream(s.tx)
	}
	s.tx = nil
}

// failTransaction rolls an open transaction back at the upstream. The session
// stays in the failed transaction until the caller ends it.
func (s *Session) failTransaction() {
	if s.tx == nil {
		return
	}
	s.rollBackAtUpstream(s.tx)
	s.state = StateFailed
}

// rollBackAtUpstream rolls a transaction back at its upstream, if it has been
// opened there.
func (s *Session) rollBackAtUpstream(tx *transaction) {
	if tx.conn != nil {
		rollBackAndReturn(tx.conn)
	}
	tx.conn = nil
}

// IdleLimit returns how long the caller may send nothing now; 0 for no limit.
// There is a limit only while a transaction holds an upstream connection.
func (s *Session) IdleLimit() time.Duration {
	if s.tx == nil || s.tx.conn == nil {
		return 0
	}
	return s.proxy.View().TransactionIdle
}

// Expire ends a transaction that was idle for longer than IdleLimit. The server
// of the caller's connection calls it; the caller's next statement is then
// refused.
func (s *Session) Expire() {
	if s.tx == nil {
		return
	}
	s.failTransaction()
	s.tx.expired = true
	s.proxy.log.Info("transaction exceeded the idle limit and was ended", "database", s.database)
}

// bind opens the session's transaction at an upstream.
func (s *Session) bind(ctx context.Context, stmt resolvedStatement) *Reply {
	tx := s.tx
	route, ok := s.proxy.View().Route(s.database)
	if !ok {
		s.state = StateFailed
		reply := refuse(RefusedNoDatabase, reasonNoDatabase)
		return &reply
	}
	tx.route = route
	if !tx.admitted {
		if refusal := s.admit(ctx); refusal != nil {
			s.state = StateFailed
			return &Reply{Refusal: refusal}
		}
		tx.admitted = true
	}
	progress := &readProgress{}
	reply := s.retryUntilFinal(ctx, stmt.statement, func() attempt { return s.bindOnce(ctx, stmt, progress) })
	if tx.conn != nil {
		return nil
	}
	s.state = StateFailed
	return &reply
}

func (s *Session) bindOnce(ctx context.Context, stmt resolvedStatement, progress *readProgress) attempt {
	if !s.tx.readOnly || !replicaAllowed(s.tx.route) {
		return s.bindAtPrimary(ctx, stmt, timeout(s.tx.route))
	}
	t, failed := s.chooseTarget(ctx, s.tx.route, progress)
	if failed != nil {
		return *failed
	}
	if t.primary {
		return s.bindAtPrimary(ctx, stmt, s.queueTimeout())
	}
	c, failed := s.beginTransaction(ctx, t.pool, stmt, s.tx.route, Command{Kind: CommandBeginRead, MinPosition: t.minPosition}, s.queueTimeout())
	if failed != nil {
		if failed.reason != reasonNotGranted {
			progress.exclude(t.upstream.Id)
		}
		return *failed
	}
	s.tx.conn, s.tx.atPrimary = c, false
	c.pool.suspend(c)
	return final(Reply{})
}

func (s *Session) bindAtPrimary(ctx context.Context, stmt resolvedStatement, maxWait time.Duration) attempt {
	c, failed := s.beginAtPrimary(ctx, stmt, s.tx.route, maxWait)
	if failed != nil {
		return *failed
	}
	s.tx.conn, s.tx.atPrimary = c, true
	c.pool.suspend(c)
	return final(Reply{})
}

// runInTransaction runs a statement in the open transaction. While nothing has
// run in it, a statement that did not run may be tried at another upstream.
func (s *Session) runInTransaction(ctx context.Context, stmt resolvedStatement) Reply {
	reply := s.retryUntilFinal(ctx, stmt.statement, func() attempt {
		if s.tx.conn == nil {
			if reply := s.bind(ctx, stmt); reply != nil {
				return final(*reply)
			}
		}
		return s.runInTransactionOnce(stmt)
	})
	if reply.Refusal != nil && s.state == StateOpen {
		s.failTransaction()
		reply.Refusal = inTransaction(reply.Refusal)
	}
	return reply
}

func (s *Session) runInTransactionOnce(stmt resolvedStatement) attempt {
	tx := s.tx
	c := tx.conn
	if s.isNewWork() && !c.pool.takesNewWork() {
		s.rollBackAtUpstream(tx)
		return retryLeaving()
	}
	sentAt := now()
	c.pool.resume(c)
	answers, err := exchange(c, time.Now().Add(timeout(tx.route)), s.setUp(c, stmt), stmt.command(c))
	if err != nil {
		return s.connectionLost(stmt, sentAt, err)
	}
	c.pool.suspend(c)
	a := answers[0]
	c.pool.recordStatement(s.workKind(stmt.statement), a.Code, now().Sub(sentAt))
	switch {
	case a.Code == CodeNone:
		s.recordTransactionRun(stmt, a, sentAt)
		return answered(a)
	case a.Code == CodeBusy && a.State == StateOpen:
		return retry(reasonBusy, jitter(busyBackoff))
	case a.Code.NotRun() && !tx.hasRun:
		s.rollBackAtUpstream(tx)
		return retry(fault.Reason(a.Code.String()), s.busyRetryDelay(c.pool))
	case a.Code.NotRun():
		s.failTransaction()
		return final(aborted(fault.Reason(a.Code.String())))
	default:
		s.failTransaction()
		return answered(a)
	}
}

// connectionLost fails the transaction after its connection was lost. Its
// commit was not sent, so nothing of it is kept.
func (s *Session) connectionLost(stmt resolvedStatement, sentAt time.Time, err error) attempt {
	c := s.tx.conn
	s.tx.conn = nil
	c.pool.discard(c, sentAt, err)
	s.state = StateFailed
	s.proxy.log.Warn("transaction failed because its upstream connection was lost", "request", stmt.statement.ID, "database", s.database,
		"upstream", c.pool.id(), "error", err)
	return final(aborted(reasonConnectionLost))
}

func (s *Session) recordTransactionRun(stmt resolvedStatement, a Answer, sentAt time.Time) {
	s.tx.hasRun = true
	s.tx.hasWritten = s.tx.hasWritten || !stmt.readOnly
	if s.tx.atPrimary {
		s.proxy.group(s.tx.route.Group).positions.add(a.Position, sentAt)
	}
	s.recordServed(stmt.statement, s.tx.conn, now().Sub(sentAt), a)
}

func (s *Session) commit(ctx context.Context, st *Statement) Reply {
	switch {
	case s.tx == nil:
		return refuse(RefusedMalformed, "no_transaction")
	case s.state == StateFailed:
		s.endTransaction()
		return aborted("transaction_failed")
	}
	stmt := resolvedStatement{statement: st}
	if s.tx.conn == nil {
		if reply := s.bind(ctx, stmt); reply != nil {
			s.endTransaction()
			return *reply
		}
	}
	reply := s.retryUntilFinal(ctx, st, func() attempt { return s.commitOnce(stmt) })
	if s.tx != nil {
		s.endTransaction()
		reply.Refusal = inTransaction(reply.Refusal)
	}
	return reply
}

func (s *Session) commitOnce(stmt resolvedStatement) attempt {
	tx := s.tx
	c := tx.conn
	if s.isNewWork() && !c.pool.takesNewWork() {
		s.endTransaction()
		return final(aborted(reasonUpstreamLeaving))
	}
	sentAt := now()
	c.pool.resume(c)
	answers, err := exchange(c, time.Now().Add(timeout(tx.route)), s.setUp(c, stmt), stmt.command(c))
	if err != nil {
		tx.conn = nil
		c.pool.discard(c, sentAt, err)
		s.endTransaction()
		var refused *SetUpRefused
		if errors.As(err, &refused) && refused.State == StateFailed {
			// The commit behind the refused value could only roll back.
			s.proxy.log.Warn("transaction failed because its upstream refused a session value before the commit", "request", stmt.statement.ID,
				"database", s.database, "upstream", c.pool.id(), "error", err)
			return final(aborted(fault.Reason(refused.Code.String())))
		}
		s.proxy.log.Warn("outcome of a commit is unknown", "request", stmt.statement.ID, "database", s.database,
			"upstream", c.pool.id(), "after", now().Sub(sentAt), "error", err)
		return final(outcomeUnknown(fault.ReasonOutcomeUnknown))
	}
	a := answers[0]
	c.pool.recordStatement(s.workKind(stmt.statement), a.Code, now().Sub(sentAt))
	c.pool.suspend(c)
	if a.Code == CodeBusy && a.State == StateOpen {
		return retry(reasonBusy, jitter(busyBackoff))
	}
	if a.Code == CodeNone {
		s.recordServed(stmt.statement, c, now().Sub(sentAt), a)
	}
	if a.State == StateIdle {
		tx.conn = nil
		c.pool.release(c)
	}
	s.endTransaction()
	switch {
	case a.Code == CodeNone && tx.hasWritten:
		s.recordCommit(tx.route.Group, a, sentAt)
	case a.Code.NotRun():
		return final(aborted(fault.Reason(a.Code.String())))
	}
	return answered(a)
}
