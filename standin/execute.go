package standin

import (
	"database/sql/driver"
	"encoding/binary"
	"errors"
	"io"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/mattn/go-sqlite3"
)

// field describes one column of a result.
type field struct {
	name string
	oid  uint32
}

// rowSink encodes the rows of one statement and sends them to the client.
type rowSink struct {
	session *session
	// sendDescription makes start send a RowDescription before the first row.
	sendDescription bool
	formats         []int16
	fields          []field
	rowCount        int
	// buffering collects the encoded rows in bufferedRows instead of sending
	// them.
	buffering    bool
	bufferedRows [][]byte
}

func (r *rowSink) format(column int) int16 {
	switch len(r.formats) {
	case 0:
		return formatText
	case 1:
		return r.formats[0]
	}
	if column < len(r.formats) {
		return r.formats[column]
	}
	return formatText
}

func (r *rowSink) start(fields []field) {
	if r.fields == nil {
		r.fields = fields
	}
	if r.sendDescription {
		r.session.send(rowDescription(r.fields, r.formats))
	}
}

// startStatus is start for the platform's functions. It uses a RowDescription
// that is encoded in advance, because proxies query the status before every
// read.
func (r *rowSink) startStatus() {
	r.fields = statusFields
	if r.sendDescription {
		r.session.sendBuffer = append(r.session.sendBuffer, statusDescription...)
	}
}

func (r *rowSink) row(values []driver.Value) error {
	r.rowCount++
	if r.buffering {
		r.bufferedRows = append(r.bufferedRows, r.encode(nil, values))
		return nil
	}
	r.session.sendBuffer = r.encode(r.session.sendBuffer, values)
	return r.session.flushIfLarge()
}

func (r *rowSink) encode(out []byte, values []driver.Value) []byte {
	start := len(out)
	out = append(out, 'D', 0, 0, 0, 0)
	out = binary.BigEndian.AppendUint16(out, uint16(len(values)))
	for i, v := range values {
		oid := uint32(oidText)
		if i < len(r.fields) {
			oid = r.fields[i].oid
		}
		out = appendValue(out, v, oid, r.format(i))
	}
	binary.BigEndian.PutUint32(out[start+1:], uint32(len(out)-start-1))
	return out
}

func rowDescription(fields []field, formats []int16) *pgproto3.RowDescription {
	sink := rowSink{formats: formats}
	description := &pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, len(fields))}
	for i, f := range fields {
		description.Fields[i] = pgproto3.FieldDescription{
			Name:         []byte(f.name),
			DataTypeOID:  f.oid,
			DataTypeSize: typeSize(f.oid),
			TypeModifier: -1,
			Format:       sink.format(i),
		}
	}
	return description
}

// prepared is a statement that SQLite has compiled on the session's
// connection. Its column metadata is read once, at the first run.
type prepared struct {
	stmt            *sqlite3.SQLiteStmt
	readOnly        bool
	inputCount      int
	fields          []field
	hasDeclaredType []bool
	described       bool
	dest            []driver.Value
}

func (s *session) prepare(sql string) (*prepared, *pgError) {
	if failure := s.openDatabase(); failure != nil {
		return nil, failure
	}
	if p := s.prepared[sql]; p != nil {
		return p, nil
	}
	compiled, err := s.db.Prepare(sql)
	if err != nil {
		return nil, databaseError(err)
	}
	if len(s.prepared) >= maxCachedPrepared {
		s.dropPrepared()
	}
	stmt := compiled.(*sqlite3.SQLiteStmt)
	p := &prepared{stmt: stmt, readOnly: stmt.Readonly(), inputCount: stmt.NumInput()}
	s.prepared[sql] = p
	return p, nil
}

// execute runs one statement of any kind and returns its command tag. It sends
// the result's rows to sink.
func (s *session) execute(st *statement, args []any, sink *rowSink) (string, *pgError) {
	if tag, failure, done := s.executeTransactionStatement(st); done {
		return tag, failure
	}
	call, isCall, failure := parseCall(st, args)
	if failure != nil {
		return "", failure
	}
	if isCall && (call.name == statusFunction || !s.tx.failed) {
		return s.callFunction(call, sink)
	}
	if s.tx.failed {
		return "", failedTransaction()
	}
	if pid, isActivity := activityQuery(st); isActivity {
		return s.queryActivity(pid, sink)
	}
	if tag, failure, done := s.executeSessionStatement(st, sink); done {
		return tag, failure
	}
	return s.executeInSQLite(st, args, sink)
}

// executeSessionStatement runs statements about the session, such as SET and SHOW,
// and SAVEPOINT and RELEASE. It returns false for other statements.
func (s *session) executeSessionStatement(st *statement, sink *rowSink) (string, *pgError, bool) {
	var tag string
	var failure *pgError
	switch st.keyword {
	case "SET":
		tag, failure = s.setStatement(st)
	case "RESET":
		tag, failure = s.resetStatement(st)
	case "SHOW":
		tag, failure = s.showStatement(st, sink)
	case "DISCARD":
		tag, failure = s.discardAll()
	case "DEALLOCATE":
		tag, failure = s.deallocate(st)
	case "SAVEPOINT":
		tag, failure = s.savepoint(st)
	case "RELEASE":
		tag, failure = s.releaseSavepoint(st)
	default:
		return "", nil, false
	}
	return tag, failure, true
}

func (s *session) showStatement(st *statement, sink *rowSink) (string, *pgError) {
	name, value, failure := s.showValue(st)
	if failure != nil {
		return "", failure
	}
	sink.start([]field{{name: name, oid: oidText}})
	if err := sink.row([]driver.Value{value}); err != nil {
		return "", databaseError(err)
	}
	return "SHOW", nil
}

func (s *session) showValue(st *statement) (string, string, *pgError) {
	name := ""
	for _, part := range st.tokens[1:] {
		name += unquote(part.text)
	}
	if name == "TRANSACTION_READ_ONLY" {
		on := map[bool]string{true: "on", false: "off"}
		return "transaction_read_only", on[s.readOnly()], nil
	}
	if name == "TRANSACTIONISOLATIONLEVEL" {
		name = "transaction_isolation"
	}
	value, ok := s.settings.lookup(name)
	if !ok {
		return "", "", unknownSetting(name)
	}
	return settingName(name), value, nil
}

func (s *session) deallocate(st *statement) (string, *pgError) {
	last := st.tokens[len(st.tokens)-1]
	if last.is("ALL") {
		clear(s.statements)
		return "DEALLOCATE ALL", nil
	}
	delete(s.statements, unquote(st.source[last.start-st.tokens[0].start:]))
	return "DEALLOCATE", nil
}

func (s *session) executeInSQLite(st *statement, args []any, sink *rowSink) (string, *pgError) {
	s.server.statements.Add(1)
	p, failure := s.prepare(st.sql)
	if failure != nil {
		return "", failure
	}
	if !p.readOnly {
		if failure := s.checkWrite(st.keyword); failure != nil {
			return "", failure
		}
	}
	if failure := s.acquireSlot(!p.readOnly); failure != nil {
		return "", failure
	}
	defer s.server.slots.release()
	if failure := s.beginIfNeeded(st, p); failure != nil {
		return "", failure
	}
	if failure := s.simulateServiceTime(); failure != nil {
		return "", failure
	}
	return s.runPrepared(st, p, args, sink)
}

func (s *session) beginIfNeeded(st *statement, p *prepared) *pgError {
	if !p.readOnly {
		return s.beginWrite(st.keyword)
	}
	if s.tx.explicit {
		return s.beginInSQLite()
	}
	return nil
}

func (s *session) runPrepared(st *statement, p *prepared, args []any, sink *rowSink) (string, *pgError) {
	named := namedValues(args, p.inputCount)
	if p.readOnly || st.returnsRows() {
		if failure := s.query(st, p, named, sink); failure != nil {
			return "", failure
		}
		s.logStatement(st, p, args)
		return commandTag(st, sink.rowCount), nil
	}
	result, err := p.stmt.ExecContext(s.ctx, named)
	if err != nil {
		return "", s.statementError(err)
	}
	s.logStatement(st, p, args)
	affected, _ := result.RowsAffected()
	return commandTag(st, int(affected)), nil
}

func (s *session) query(st *statement, p *prepared, args []driver.NamedValue, sink *rowSink) *pgError {
	result, err := p.stmt.QueryContext(s.ctx, args)
	if err != nil {
		return s.statementError(err)
	}
	rows := result.(*sqlite3.SQLiteRows)
	defer rows.Close()
	p.readColumns(rows)
	if len(p.fields) == 0 {
		return s.runWithoutColumns(rows)
	}
	return s.sendRows(st, p, rows, sink)
}

// statementError maps an error of a running statement to a pgError. SQLite
// reports a cancelled statement with different errors, depending on what it was
// doing, so the session's context is checked first.
func (s *session) statementError(err error) *pgError {
	if s.ctx.Err() != nil {
		return cancelledError()
	}
	return databaseError(err)
}

func (s *session) runWithoutColumns(rows *sqlite3.SQLiteRows) *pgError {
	if err := rows.Next(nil); err != nil && !errors.Is(err, io.EOF) {
		return s.statementError(err)
	}
	return nil
}

func (s *session) sendRows(st *statement, p *prepared, rows *sqlite3.SQLiteRows, sink *rowSink) *pgError {
	err := rows.Next(p.dest)
	if err != nil && !errors.Is(err, io.EOF) {
		return s.statementError(err)
	}
	if sink.fields == nil {
		sink.start(s.fieldsFromFirstRow(st, p, err == nil))
	} else {
		sink.start(nil)
	}
	for err == nil {
		if err := sink.row(p.dest); err != nil {
			return s.statementError(err)
		}
		err = rows.Next(p.dest)
	}
	if !errors.Is(err, io.EOF) {
		return s.statementError(err)
	}
	return nil
}

// readColumns reads the names and declared types of the columns, once for each
// prepared statement.
func (p *prepared) readColumns(rows *sqlite3.SQLiteRows) {
	if p.described {
		return
	}
	p.described = true
	names, types := rows.Columns(), rows.DeclTypes()
	p.fields = make([]field, len(names))
	p.hasDeclaredType = make([]bool, len(names))
	p.dest = make([]driver.Value, len(names))
	for i, name := range names {
		p.hasDeclaredType[i] = types[i] != ""
		p.fields[i] = field{name: name, oid: oidOfDeclared(types[i])}
	}
}

// fieldsFromFirstRow returns the result's columns. Columns without a declared
// type, which are expressions, get the type of their value in the first row, or
// one inferred from the statement's text if there is no row.
func (s *session) fieldsFromFirstRow(st *statement, p *prepared, hasRow bool) []field {
	fields := append([]field{}, p.fields...)
	for i := range fields {
		if p.hasDeclaredType[i] || !hasRow {
			continue
		}
		if oid := oidOfValue(p.dest[i]); oid != 0 {
			fields[i].oid = oid
		}
	}
	if !hasRow {
		s.inferFieldTypes(st, p, nil, fields)
	}
	return fields
}

func namedValues(args []any, inputs int) []driver.NamedValue {
	if inputs == 0 {
		return nil
	}
	named := make([]driver.NamedValue, inputs)
	for i := range named {
		named[i].Ordinal = i + 1
		if i < len(args) {
			named[i].Value = args[i]
		}
	}
	return named
}

func (s *session) logStatement(st *statement, p *prepared, args []any) {
	if p.readOnly {
		return
	}
	logged := loggedStatement{SQL: st.sql, Schema: st.changesSchema()}
	for _, arg := range args {
		logged.Args = append(logged.Args, toLoggedValue(arg))
	}
	s.tx.statements = append(s.tx.statements, logged)
}

func commandTag(st *statement, rows int) string {
	count := strconv.Itoa(rows)
	switch st.keyword {
	case "SELECT", "VALUES", "WITH", "TABLE", "EXPLAIN", "PRAGMA":
		return "SELECT " + count
	case "INSERT", "REPLACE":
		return "INSERT 0 " + count
	case "UPDATE", "DELETE":
		return st.keyword + " " + count
	case "CREATE", "DROP", "ALTER":
		return st.keyword + " " + st.word(1)
	}
	return st.keyword
}
