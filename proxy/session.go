package proxy

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
	"lovageslip/upstream"
)

const (
	// maxValues and maxPrepared bound the memory of one session.
	maxValues   = 256
	maxPrepared = 1024
)

// Session is one caller's session on a database. It must be used by one
// goroutine at a time.
type Session struct {
	proxy    *Proxy
	database string
	// key is the digest of the caller's key, and team the caller's team by the
	// last authorize; nil if the caller needs none.
	key  site.Digest
	team *site.Team

	values   map[string]string
	prepared map[string]preparedStatement
	// written is the position of the session's latest commit.
	written upstream.Position

	state TransactionState
	tx    *transaction // nil unless a transaction is open or failed
	// operationStart is when the caller's operation, a transaction or a
	// single statement, began.
	operationStart time.Time
	openWait       openWait
}

// Open starts a session on a database for the caller with a key, of which it keeps
// only the digest. It refuses if the view has no route for the database or no team
// with the key, unless the route is open, or if the view cannot tell.
func (p *Proxy) Open(database, key string) (*Session, *Refusal) {
	s := &Session{
		proxy: p,
		// A copy, so that the message that holds the key can be freed.
		database: strings.Clone(database),
		key:      site.KeyDigest(key),
		values:   map[string]string{},
		prepared: map[string]preparedStatement{},
		state:    StateIdle,
	}
	if refusal := s.authorize(); refusal != nil {
		p.countRefusal(refusal)
		return nil, refusal
	}
	return s, nil
}

// WaitedSince says that the caller has waited for the session since a time on the boot
// clock. What it sends at once has begun then.
func (s *Session) WaitedSince(at time.Time) {
	s.openWait = openWait{since: at, answeredAt: now()}
	s.proxy.metrics.Timer("session_wait_seconds").Record(since(at))
}

// State returns the state of the session's transaction.
func (s *Session) State() TransactionState { return s.state }

// Do runs one statement, with as many attempts as it needs, and returns the
// final reply.
func (s *Session) Do(ctx context.Context, st *Statement) Reply {
	if s.tx == nil {
		s.operationStart = s.openWait.operationStart(now(), st.Kind)
	}
	reply := s.do(ctx, st)
	reply.State = s.state
	if r := reply.Refusal; r != nil {
		s.proxy.countRefusal(r)
		s.proxy.log.Info("statement refused", "request", st.ID, "database", s.database, "team", s.teamName(), "reason", r.Reason,
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
	if s.state != StateFailed {
		if refusal := s.authorizeStatement(st.Kind); refusal != nil {
			return s.refuseUnauthorized(st.Kind, refusal)
		}
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
	s.prepared[st.Name] = newPreparedStatement(st.Value, st.ReadOnly)
	return Reply{}
}

func (s *Session) deallocate(st *Statement) Reply {
	if _, ok := s.prepared[st.Name]; !ok {
		return refuse(RefusedNoStatement, "not_prepared")
	}
	delete(s.prepared, st.Name)
	return Reply{}
}

// resolvedStatement is a statement with the definition of the prepared
// statement that it executes, if any.
type resolvedStatement struct {
	statement *Statement
	readOnly  bool
	prepared  *preparedStatement
}

func (s *Session) resolve(st *Statement) (resolvedStatement, *Refusal) {
	stmt := resolvedStatement{statement: st, readOnly: st.Kind == KindRead}
	if st.Kind != KindExecute {
		return stmt, nil
	}
	prepared, ok := s.prepared[st.Name]
	if !ok {
		return stmt, &Refusal{Code: RefusedNoStatement, Reason: "not_prepared"}
	}
	stmt.prepared, stmt.readOnly = &prepared, prepared.readOnly
	return stmt, nil
}

// run runs a read, a write or a prepared statement, alone or in the open
// transaction.
func (s *Session) run(ctx context.Context, st *Statement) Reply {
	stmt, refusal := s.resolve(st)
	if refusal != nil {
		s.failTransaction()
		return Reply{Refusal: refusal}
	}
	route, ok := s.proxy.View().Route(s.database)
	switch {
	case s.tx != nil:
		return s.runInTransaction(ctx, stmt)
	case !ok:
		return refuse(RefusedNoDatabase, reasonNoDatabase)
	}
	if refusal := s.admit(ctx); refusal != nil {
		return Reply{Refusal: refusal}
	}
	if stmt.readOnly {
		return s.runRead(ctx, stmt, route)
	}
	return s.runWrite(ctx, stmt, route)
}

// setUp returns the commands that give a connection the session's values and the
// prepared statement that is executed.
func (s *Session) setUp(c *conn, stmt resolvedStatement) []Command {
	commands := setValues(c, s.values)
	if stmt.prepared == nil {
		return commands
	}
	if definition, needed := c.prepare(*stmt.prepared); needed {
		commands = append(commands, definition)
	}
	return commands
}

// setValues returns the commands that make the connection's session values equal
// to the given ones. A value that these lack can only be cleared together with all
// others.
func setValues(c *conn, values map[string]string) []Command {
	var commands []Command
	if c.stale {
		commands = append(commands, Command{Kind: CommandReset})
		clear(c.values)
		clear(c.prepared)
		c.stale = false
	}
	if maps.Equal(c.values, values) {
		return commands
	}
	for name := range c.values {
		if _, ok := values[name]; !ok {
			commands = append(commands, Command{Kind: CommandReset})
			clear(c.values)
			clear(c.prepared)
			break
		}
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if value, ok := c.values[name]; !ok || value != values[name] {
			commands = append(commands, Command{Kind: CommandSet, Name: name, Value: values[name]})
			c.values[name] = values[name]
		}
	}
	return commands
}

// command returns the command that runs the caller's statement on a connection that
// setUp has prepared for it.
func (stmt resolvedStatement) command(c *conn) Command {
	command := Command{Kind: CommandForward, Statement: stmt.statement}
	if stmt.prepared != nil {
		command.Name = c.prepared[stmt.prepared.id]
	}
	return command
}

// exchange sends the set-up commands and the commands together, and returns the
// answers to the commands. A refused set-up command makes the connection
// unusable, unless a relay has refused all of them for lack of a connection.
func exchange(c *conn, deadline time.Time, setUp []Command, commands ...Command) ([]Answer, error) {
	c.commands = append(append(c.commands[:0], setUp...), commands...)
	answers, err := c.Exchange(deadline, c.commands...)
	c.recordLoad()
	// The buffer must not keep the caller's statement from being freed.
	clear(c.commands)
	if err != nil {
		return nil, err
	}
	for i, a := range answers[:len(setUp)] {
		if a.Code != CodeNone && a.Code.fromUpstream() {
			return nil, &SetUpRefused{Upstream: c.pool.id(), Command: setUp[i].Kind, Code: a.Code, State: a.State}
		}
	}
	return answers[len(setUp):], nil
}

// SetUpRefused reports that an upstream refused to set a session value or to
// prepare a statement. Statements that were sent behind that command may have
// run.
type SetUpRefused struct {
	Upstream string
	Command  CommandKind
	Code     Code
	// State is that of the connection after the refusal.
	State TransactionState
}

func (e *SetUpRefused) Error() string {
	return "upstream " + e.Upstream + " refused to set session values or prepare a statement: " + e.Code.String()
}

// Close ends the session and rolls an open transaction back.
func (s *Session) Close() { s.endTransaction() }

// Abandon ends the session after a panic in Do. It closes the connection of an open
// transaction, on which an answer may be outstanding.
func (s *Session) Abandon() {
	if s.tx != nil && s.tx.conn != nil {
		s.tx.conn.pool.discardUnclean(s.tx.conn)
	}
	s.tx = nil
}

// urgency returns the urgency of the caller's operation.
func (s *Session) urgency(route *pb.SiteRoute) urgency {
	return urgency{
		arrivedAt: s.operationStart,
		target:    time.Duration(route.TargetMs) * time.Millisecond,
		priority:  route.Priority,
		expected:  s.proxy.operationTimes.expected(s.operationKind()),
	}
}

// operationKind returns the key of the mean time of operations like the session's
// current one: the single statements or the transactions of one database.
func (s *Session) operationKind() string {
	if s.tx != nil {
		return s.database + " transaction"
	}
	return s.database
}

// maxAge returns how old the data of a route's reads may be.
func maxAge(route *pb.SiteRoute) time.Duration { return time.Duration(route.AgeMs) * time.Millisecond }

func timeout(route *pb.SiteRoute) time.Duration {
	return time.Duration(route.TimeoutMs) * time.Millisecond
}
