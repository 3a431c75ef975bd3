package standin

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// namedStatement is a prepared statement of the extended protocol, created by a
// Parse message. st is nil if its text is empty.
type namedStatement struct {
	st        *statement
	oids      []uint32
	fields    []field
	described bool
}

// portal is a statement with its arguments, created by a Bind message. After an
// Execute with a row limit, pendingRows holds the rows that are not sent yet.
type portal struct {
	statement   *namedStatement
	args        []any
	formats     []int16
	executed    bool
	pendingRows [][]byte
	tag         string
}

// simpleQuery runs the statements of a Query message.
func (s *session) simpleQuery(query string) error {
	s.skippingToSync = false
	statements := s.parseCached(query)
	if len(statements) == 0 {
		s.send(&pgproto3.EmptyQueryResponse{})
	}
	var failure *pgError
	for i, st := range statements {
		if failure = s.runSimple(st, i == len(statements)-1); failure != nil {
			break
		}
	}
	if failure != nil {
		s.fail(failure)
	}
	s.endQuery()
	return s.flushIfLarge()
}

// endQuery ends a Query message. It rolls back an implicit transaction that
// runSimple has not committed because of an error.
func (s *session) endQuery() {
	if !s.tx.explicit {
		s.rollback()
		s.tx = transaction{}
	}
	clear(s.portals)
	s.sendReadyForQuery()
}

func (s *session) parseCached(query string) []*statement {
	if statements, ok := s.queries[query]; ok {
		return statements
	}
	statements := parseStatements(query)
	if len(s.queries) >= maxCachedQueries {
		clear(s.queries)
	}
	s.queries[query] = statements
	return statements
}

// runSimple runs one statement of a Query message. The CommandComplete of the
// last one is sent only after the implicit transaction has committed.
func (s *session) runSimple(st *statement, last bool) *pgError {
	if st.parameters > 0 {
		return &pgError{Code: "42P02", Message: "there is no parameter $1"}
	}
	sink := &rowSink{session: s, sendDescription: true}
	tag, failure := s.execute(st, nil, sink)
	if failure != nil {
		return failure
	}
	if last && !s.tx.explicit {
		if failure := s.commitImplicit(); failure != nil {
			return failure
		}
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// sync handles a Sync message, which ends a sequence of extended-protocol
// messages and commits the implicit transaction.
func (s *session) sync() error {
	s.skippingToSync = false
	if failure := s.commitImplicit(); failure != nil {
		s.send(failure.response())
	}
	if !s.tx.explicit {
		clear(s.portals)
	}
	s.sendReadyForQuery()
	return s.flushIfLarge()
}

func (s *session) handleExtended(message pgproto3.FrontendMessage) *pgError {
	switch message := message.(type) {
	case *pgproto3.Parse:
		return s.parseMessage(message)
	case *pgproto3.Bind:
		return s.bindMessage(message)
	case *pgproto3.Describe:
		return s.describeMessage(message)
	case *pgproto3.Execute:
		return s.executeMessage(message)
	case *pgproto3.Close:
		s.closeMessage(message)
	}
	return nil
}

func (s *session) parseMessage(message *pgproto3.Parse) *pgError {
	if message.Name != "" && s.statements[message.Name] != nil {
		return &pgError{Code: "42P05", Message: "prepared statement " + message.Name + " already exists"}
	}
	statements := s.parseCached(message.Query)
	if len(statements) > 1 {
		return &pgError{Code: "42601", Message: "cannot insert multiple commands into a prepared statement"}
	}
	named := &namedStatement{}
	if len(statements) == 1 {
		named.st = statements[0]
		if failure := s.checkParse(named.st); failure != nil {
			return failure
		}
		named.oids = s.parameterTypes(named.st, message.ParameterOIDs)
	}
	s.statements[message.Name] = named
	s.send(&pgproto3.ParseComplete{})
	return nil
}

// checkParse compiles the statement, so that errors in its text are reported at
// Parse, as PostgreSQL does.
func (s *session) checkParse(st *statement) *pgError {
	if !runsInSQLite(st) {
		return nil
	}
	if s.tx.failed {
		return failedTransaction()
	}
	_, failure := s.prepare(st.sql)
	return failure
}

// runsInSQLite reports whether SQLite runs the statement. The stand-in runs the
// others itself.
func runsInSQLite(st *statement) bool {
	switch st.keyword {
	case "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SAVEPOINT", "RELEASE",
		"SET", "SHOW", "RESET", "DISCARD", "DEALLOCATE":
		return false
	}
	return !isCall(st)
}

func (s *session) bindMessage(message *pgproto3.Bind) *pgError {
	named := s.statements[message.PreparedStatement]
	if named == nil {
		return &pgError{Code: codeUnknownStatement, Message: "prepared statement " + message.PreparedStatement + " does not exist"}
	}
	if len(message.Parameters) != len(named.oids) {
		return &pgError{Code: codeProtocol, Message: "bind message supplies the wrong number of parameters"}
	}
	p := &portal{statement: named, formats: append([]int16{}, message.ResultFormatCodes...)}
	formats := rowSink{formats: message.ParameterFormatCodes}
	for i, raw := range message.Parameters {
		value, failure := decodeParameter(raw, named.oids[i], formats.format(i))
		if failure != nil {
			return failure
		}
		p.args = append(p.args, value)
	}
	s.portals[message.DestinationPortal] = p
	s.send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describeMessage(message *pgproto3.Describe) *pgError {
	if message.ObjectType == 'P' {
		p := s.portals[message.Name]
		if p == nil {
			return unknownPortal(message.Name)
		}
		return s.describe(p.statement, p.formats)
	}
	named := s.statements[message.Name]
	if named == nil {
		return &pgError{Code: codeUnknownStatement, Message: "prepared statement " + message.Name + " does not exist"}
	}
	s.send(&pgproto3.ParameterDescription{ParameterOIDs: named.oids})
	return s.describe(named, nil)
}

func (s *session) describe(named *namedStatement, formats []int16) *pgError {
	fields, failure := s.fieldsOf(named)
	if failure != nil {
		return failure
	}
	if len(fields) == 0 {
		s.send(&pgproto3.NoData{})
		return nil
	}
	s.send(rowDescription(fields, formats))
	return nil
}

func unknownPortal(name string) *pgError {
	return &pgError{Code: codeUnknownPortal, Message: "portal " + name + " does not exist"}
}

func (s *session) executeMessage(message *pgproto3.Execute) *pgError {
	p := s.portals[message.Portal]
	if p == nil {
		return unknownPortal(message.Portal)
	}
	if p.statement.st == nil {
		s.send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if !p.executed {
		if failure := s.runPortal(p, message.MaxRows > 0); failure != nil {
			return failure
		}
	}
	s.sendPendingRows(p, int(message.MaxRows))
	return nil
}

func (s *session) runPortal(p *portal, limited bool) *pgError {
	fields, failure := s.fieldsOf(p.statement)
	if failure != nil && !s.tx.failed {
		return failure
	}
	p.executed = true
	sink := &rowSink{session: s, formats: p.formats, fields: fields, buffering: limited}
	tag, failure := s.execute(p.statement.st, p.args, sink)
	p.tag, p.pendingRows = tag, sink.bufferedRows
	return failure
}

// sendPendingRows sends at most limit rows of the portal, or all if limit is 0,
// and then PortalSuspended if there are more, or CommandComplete.
func (s *session) sendPendingRows(p *portal, limit int) {
	n := len(p.pendingRows)
	if limit > 0 {
		n = min(n, limit)
	}
	for _, row := range p.pendingRows[:n] {
		s.sendBuffer = append(s.sendBuffer, row...)
	}
	p.pendingRows = p.pendingRows[n:]
	if len(p.pendingRows) > 0 {
		s.send(&pgproto3.PortalSuspended{})
		return
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(p.tag)})
}

func (s *session) closeMessage(message *pgproto3.Close) {
	if message.ObjectType == 'P' {
		delete(s.portals, message.Name)
	} else {
		delete(s.statements, message.Name)
	}
	s.send(&pgproto3.CloseComplete{})
}
