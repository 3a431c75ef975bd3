package proxy

import (
	"context"
	"time"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
)

// transaction is a caller's transaction. It is bound to a connection by its
// first statement, so that a caller who hesitates holds none.
type transaction struct {
	readOnly bool
	route    *pb.SiteRoute
	conn     *conn // nil until bound and after the end at the upstream
	primary  bool
	ran      bool
	// took is the time that its statements have taken at the upstream.
	took  time.Duration
	wrote bool
	// expired is set if the proxy ended the transaction.
	expired bool
}

func (s *Session) begin(st *Statement) Reply {
	if s.tx != nil {
		return refuse(RefusedMalformed, "transaction_open")
	}
	if _, ok := s.proxy.View().Route(s.database); !ok {
		return refuse(RefusedNoDatabase, "no_database")
	}
	s.tx = &transaction{readOnly: st.ReadOnly}
	s.state = StateOpen
	return Reply{}
}

func (s *Session) rollback() Reply {
	s.endTransaction()
	return Reply{}
}

// endTransaction forgets the transaction and rolls it back at the upstream.
func (s *Session) endTransaction() {
	s.state = StateIdle
	if s.tx != nil {
		s.rollBack(s.tx)
	}
	s.tx = nil
}

// failTransaction rolls an open transaction back at the upstream; the caller
// must still end it.
func (s *Session) failTransaction() {
	if s.tx == nil {
		return
	}
	s.rollBack(s.tx)
	s.state = StateFailed
}

// rollBack ends a transaction at its upstream.
func (s *Session) rollBack(tx *transaction) {
	if tx.conn != nil {
		s.proxy.rollBack(tx.conn)
	}
	tx.conn = nil
}

// IdleLimit returns how long the caller may rest now; 0 for no limit.
func (s *Session) IdleLimit() time.Duration {
	if s.tx == nil || s.tx.conn == nil {
		return 0
	}
	return s.proxy.View().TransactionIdle
}

// Expire ends a transaction that rested for too long.
func (s *Session) Expire() {
	if s.tx == nil {
		return
	}
	s.failTransaction()
	s.tx.expired = true
	s.proxy.log.Info("transaction ended after a rest", "database", s.database)
}

// bind opens the transaction at an upstream.
func (s *Session) bind(ctx context.Context, w work) *Reply {
	tx := s.tx
	route, ok := s.proxy.View().Route(s.database)
	if !ok {
		s.state = StateFailed
		reply := refuse(RefusedNoDatabase, "no_database")
		return &reply
	}
	tx.route = route
	plan := &readPlan{}
	reply := s.repeat(ctx, w.statement, func() attempt { return s.bindOnce(ctx, w, plan) })
	if tx.conn != nil {
		return nil
	}
	s.state = StateFailed
	return &reply
}

func (s *Session) bindOnce(ctx context.Context, w work, plan *readPlan) attempt {
	if !s.tx.readOnly || !mayBeOld(s.tx.route) {
		return s.bindAtPrimary(ctx, w)
	}
	t, failed := s.chooseTarget(ctx, s.tx.route, plan)
	if failed != nil {
		return *failed
	}
	if t.primary {
		return s.bindAtPrimary(ctx, w)
	}
	c, failed := s.openTransaction(ctx, t.pool, w, s.tx.route, Command{Kind: CommandBeginRead, After: t.after})
	if failed != nil {
		plan.exclude(t.upstream.Id)
		return *failed
	}
	s.tx.conn, s.tx.primary = c, false
	c.pool.rest(c)
	return final(Reply{})
}

func (s *Session) bindAtPrimary(ctx context.Context, w work) attempt {
	c, failed := s.openAtPrimary(ctx, w, s.tx.route)
	if failed != nil {
		return *failed
	}
	s.tx.conn, s.tx.primary = c, true
	c.pool.rest(c)
	return final(Reply{})
}

// runInTransaction runs a statement in the open transaction. While nothing has
// run in it, a statement that did not run may be tried at another upstream.
func (s *Session) runInTransaction(ctx context.Context, w work) Reply {
	reply := s.repeat(ctx, w.statement, func() attempt {
		if s.tx.conn == nil {
			if reply := s.bind(ctx, w); reply != nil {
				return final(*reply)
			}
		}
		return s.inTransactionOnce(w)
	})
	if reply.Refusal != nil && s.state == StateOpen {
		s.failTransaction()
		reply.Refusal.Code = RefusedAborted
	}
	return reply
}

func (s *Session) inTransactionOnce(w work) attempt {
	tx := s.tx
	c := tx.conn
	askedAt := now()
	c.pool.resume(c)
	answers, err := exchange(c, time.Now().Add(timeout(tx.route)), s.setUp(c, w), w.forward())
	if err != nil {
		return s.connectionLost(w, askedAt, err)
	}
	c.pool.rest(c)
	a := answers[0]
	c.pool.noteAnswer(a.Code, now().Sub(askedAt))
	switch {
	case a.Code == CodeNone:
		s.noteRun(w, a, askedAt)
		return answered(a)
	case a.Code == CodeBusy && a.State == StateOpen:
		return retry(reasonBusy, jitter(busyPause))
	case a.Code.NotRun() && !tx.ran:
		s.rollBack(tx)
		return retry(fault.Reason(a.Code.String()), s.busyWait(c.pool))
	case a.Code.NotRun():
		s.failTransaction()
		return final(aborted(fault.Reason(a.Code.String())))
	default:
		s.failTransaction()
		return answered(a)
	}
}

// connectionLost fails the transaction: its commit was not sent, so nothing of
// it is kept.
func (s *Session) connectionLost(w work, askedAt time.Time, err error) attempt {
	c := s.tx.conn
	s.tx.conn = nil
	c.pool.discard(c, askedAt)
	s.state = StateFailed
	s.proxy.log.Warn("connection of a transaction lost", "request", w.statement.ID, "database", s.database,
		"upstream", c.pool.id(), "error", err)
	return final(aborted(reasonConnectionLost))
}

func (s *Session) noteRun(w work, a Answer, askedAt time.Time) {
	s.tx.ran = true
	s.tx.wrote = s.tx.wrote || !w.reads
	if s.tx.primary {
		s.proxy.group(s.tx.route.Group).positions.add(a.Position, askedAt)
	}
	s.served(w.statement, s.tx.conn, now().Sub(askedAt), a)
}

func (s *Session) commit(ctx context.Context, st *Statement) Reply {
	switch {
	case s.tx == nil:
		return refuse(RefusedMalformed, "no_transaction")
	case s.state == StateFailed:
		s.endTransaction()
		return aborted("transaction_failed")
	}
	w := work{statement: st}
	if s.tx.conn == nil {
		if reply := s.bind(ctx, w); reply != nil {
			s.endTransaction()
			return *reply
		}
	}
	reply := s.repeat(ctx, st, func() attempt { return s.commitOnce(w) })
	if s.tx != nil {
		s.endTransaction()
		reply.Refusal.Code = RefusedAborted
	}
	return reply
}

func (s *Session) commitOnce(w work) attempt {
	tx := s.tx
	c := tx.conn
	askedAt := now()
	c.pool.resume(c)
	answers, err := exchange(c, time.Now().Add(timeout(tx.route)), nil, w.forward())
	if err != nil {
		tx.conn = nil
		c.pool.discard(c, askedAt)
		s.endTransaction()
		s.proxy.log.Warn("outcome of a commit is unknown", "request", w.statement.ID, "database", s.database,
			"upstream", c.pool.id(), "after", now().Sub(askedAt), "error", err)
		return final(unknown(fault.ReasonOutcomeUnknown))
	}
	a := answers[0]
	c.pool.noteAnswer(a.Code, now().Sub(askedAt))
	c.pool.rest(c)
	if a.Code == CodeBusy && a.State == StateOpen {
		return retry(reasonBusy, jitter(busyPause))
	}
	if a.Code == CodeNone {
		s.served(w.statement, c, now().Sub(askedAt), a)
	}
	if a.State == StateIdle {
		tx.conn = nil
		c.pool.release(c)
	}
	s.endTransaction()
	switch {
	case a.Code == CodeNone && tx.wrote:
		s.noteCommit(tx.route.Group, a, askedAt)
	case a.Code.NotRun():
		return final(aborted(fault.Reason(a.Code.String())))
	}
	return answered(a)
}
