package proxy

import (
	"context"
	"maps"
	"slices"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

const (
	// maxValues and maxPrepared bound the memory of one session.
	maxValues   = 256
	maxPrepared = 1024
)

// Session is one caller's session. It is used by one goroutine at a time.
type Session struct {
	proxy    *Proxy
	database string

	values   map[string]string
	prepared map[string]preparedStatement
	// written is the position of the session's latest commit.
	written upstream.Position

	state TransactionState
	tx    *transaction // nil unless a transaction is open or failed
	// begunAt is when the caller's operation began.
	begunAt time.Time
}

type preparedStatement struct {
	readOnly bool
	shape    string
}

// Open starts a session on a database; it fails if no route has it.
func (p *Proxy) Open(database string) (*Session, *Refusal) {
	if _, ok := p.View().Route(database); !ok {
		return nil, &Refusal{Code: RefusedNoDatabase, Reason: "no_database"}
	}
	return &Session{
		proxy:    p,
		database: database,
		values:   map[string]string{},
		prepared: map[string]preparedStatement{},
		state:    StateIdle,
	}, nil
}

// State returns the state of the session's transaction.
func (s *Session) State() TransactionState { return s.state }

// Do runs one statement. The reply is final.
func (s *Session) Do(ctx context.Context, st *Statement) Reply {
	if s.tx == nil {
		s.begunAt = now()
	}
	reply := s.do(ctx, st)
	reply.State = s.state
	if r := reply.Refusal; r != nil {
		s.proxy.countRefusal(r)
		s.proxy.log.Info("statement refused", "request", st.ID, "database", s.database, "reason", r.Reason,
			"retry_after", r.RetryAfter, "state", string(rune(s.state)), "view", s.proxy.View().Index)
	}
	return reply
}

func (s *Session) do(ctx context.Context, st *Statement) Reply {
	if s.tx != nil && s.tx.expired {
		s.endTransaction()
		return aborted("transaction_rested")
	}
	if s.state == StateFailed && st.Kind != KindRollback && st.Kind != KindCommit {
		return refuse(RefusedMalformed, "transaction_failed")
	}
	switch st.Kind {
	case KindBegin:
		return s.begin(st)
	case KindRollback:
		return s.rollback()
	case KindCommit:
		return s.commit(ctx, st)
	case KindSet:
		return s.set(st)
	case KindPrepare:
		return s.prepare(st)
	case KindDeallocate:
		return s.deallocate(st)
	case KindRead, KindWrite, KindExecute:
		return s.run(ctx, st)
	default:
		return refuse(RefusedMalformed, "unknown_statement")
	}
}

func refuse(code RefusalCode, reason string) Reply {
	return Reply{Refusal: &Refusal{Code: code, Reason: reason}}
}

func (s *Session) set(st *Statement) Reply {
	if _, ok := s.values[st.Name]; !ok && len(s.values) >= maxValues {
		return refuse(RefusedTooLarge, "too_many_values")
	}
	s.values[st.Name] = st.Value
	return Reply{}
}

func (s *Session) prepare(st *Statement) Reply {
	if _, ok := s.prepared[st.Name]; !ok && len(s.prepared) >= maxPrepared {
		return refuse(RefusedTooLarge, "too_many_prepared")
	}
	s.prepared[st.Name] = preparedStatement{readOnly: st.ReadOnly, shape: st.Value}
	return Reply{}
}

func (s *Session) deallocate(st *Statement) Reply {
	if _, ok := s.prepared[st.Name]; !ok {
		return refuse(RefusedNoStatement, "not_prepared")
	}
	delete(s.prepared, st.Name)
	return Reply{}
}

// work is a statement together with what it needs of an upstream connection.
type work struct {
	statement *Statement
	reads     bool
	prepared  *preparedStatement
}

func (s *Session) work(st *Statement) (work, *Refusal) {
	w := work{statement: st, reads: st.Kind == KindRead}
	if st.Kind != KindExecute {
		return w, nil
	}
	prepared, ok := s.prepared[st.Name]
	if !ok {
		return w, &Refusal{Code: RefusedNoStatement, Reason: "not_prepared"}
	}
	w.prepared, w.reads = &prepared, prepared.readOnly
	return w, nil
}

// run runs a read or a write, alone or in the open transaction.
func (s *Session) run(ctx context.Context, st *Statement) Reply {
	w, refusal := s.work(st)
	if refusal != nil {
		s.failTransaction()
		return Reply{Refusal: refusal}
	}
	route, ok := s.proxy.View().Route(s.database)
	switch {
	case s.tx != nil:
		return s.runInTransaction(ctx, w)
	case !ok:
		return refuse(RefusedNoDatabase, "no_database")
	case w.reads:
		return s.runRead(ctx, w, route)
	default:
		return s.runWrite(ctx, w, route)
	}
}

// setUp returns the commands that give a connection the session's values and
// the prepared statement that w needs.
func (s *Session) setUp(c *conn, w work) []Command {
	var commands []Command
	if !maps.Equal(c.values, s.values) {
		commands = s.setValues(c)
	}
	if w.prepared == nil {
		return commands
	}
	name := w.prepared.upstreamName()
	if !c.prepared[name] {
		commands = append(commands, Command{Kind: CommandPrepare, Name: name, Value: w.prepared.shape, ReadOnly: w.prepared.readOnly})
		c.prepared[name] = true
	}
	return commands
}

// setValues makes the connection's values those of the session. A value that
// the session lacks can only be cleared together with all others.
func (s *Session) setValues(c *conn) []Command {
	var commands []Command
	for name := range c.values {
		if _, ok := s.values[name]; !ok {
			commands = append(commands, Command{Kind: CommandReset})
			clear(c.values)
			clear(c.prepared)
			break
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		if value, ok := c.values[name]; !ok || value != s.values[name] {
			commands = append(commands, Command{Kind: CommandSet, Name: name, Value: s.values[name]})
			c.values[name] = s.values[name]
		}
	}
	return commands
}

// forward is the command that runs the caller's statement.
func (w work) forward() Command {
	command := Command{Kind: CommandForward, Statement: w.statement}
	if w.prepared != nil {
		command.Name = w.prepared.upstreamName()
	}
	return command
}

// exchange sends the set-up and the commands together, and returns the answers
// to the commands. A set-up that is refused makes the connection unusable.
func exchange(c *conn, deadline time.Time, setUp []Command, commands ...Command) ([]Answer, error) {
	c.commands = append(append(c.commands[:0], setUp...), commands...)
	answers, err := c.Exchange(deadline, c.commands...)
	// The buffer must not keep the caller's statement alive.
	clear(c.commands)
	if err != nil {
		return nil, err
	}
	for i, a := range answers[:len(setUp)] {
		if a.Code != CodeNone {
			return nil, &SetUpRefused{Upstream: c.pool.id(), Command: setUp[i].Kind, Code: a.Code}
		}
	}
	return answers[len(setUp):], nil
}

// SetUpRefused reports an upstream that refused a session value or a prepared
// statement. Statements sent behind it may have run.
type SetUpRefused struct {
	Upstream string
	Command  CommandKind
	Code     Code
}

func (e *SetUpRefused) Error() string {
	return "upstream " + e.Upstream + " refused a session's set-up: " + e.Code.String()
}

// Close ends the session and rolls an open transaction back.
func (s *Session) Close() { s.endTransaction() }

// ticket says how urgent the caller's operation is.
func (s *Session) ticket(route *pb.SiteRoute) ticket {
	return ticket{
		arrivedAt: s.begunAt,
		target:    time.Duration(route.TargetMs) * time.Millisecond,
		priority:  route.Priority,
		expected:  s.proxy.times.expected(s.workKind()),
	}
}

// workKind names work that takes about the same time: the single statements or
// the transactions of one database.
func (s *Session) workKind() string {
	if s.tx != nil {
		return s.database + " transaction"
	}
	return s.database
}

// age is how old the data of a read may be.
func age(route *pb.SiteRoute) time.Duration { return time.Duration(route.AgeMs) * time.Millisecond }

func timeout(route *pb.SiteRoute) time.Duration {
	return time.Duration(route.TimeoutMs) * time.Millisecond
}
