package standin

import (
	"database/sql/driver"
	"strings"

	"github.com/mattn/go-sqlite3"
)

// fieldsOf returns the columns of a statement's result without running it.
func (s *session) fieldsOf(named *namedStatement) ([]field, *pgError) {
	if named.described || named.st == nil {
		return named.fields, nil
	}
	fields, failure := s.staticFields(named.st, named.oids)
	if failure != nil {
		return nil, failure
	}
	named.fields, named.described = fields, true
	return fields, nil
}

func (s *session) staticFields(st *statement, oids []uint32) ([]field, *pgError) {
	if isCall(st) {
		return statusFields, nil
	}
	if st.keyword == "SHOW" {
		name, _, failure := s.showValue(st)
		return []field{{name: name, oid: oidText}}, failure
	}
	if !runsInSQLite(st) {
		return nil, nil
	}
	p, failure := s.prepare(st.sql)
	if failure != nil {
		return nil, failure
	}
	if p.readOnly {
		return s.describeRead(st, p, oids)
	}
	if !st.returnsRows() {
		return nil, nil
	}
	return s.describeReturning(st, oids), nil
}

// describeRead asks SQLite for the names and types of a query's columns. The
// query is wrapped in a SELECT with LIMIT 0, so that it computes no rows.
func (s *session) describeRead(st *statement, p *prepared, oids []uint32) ([]field, *pgError) {
	probe, err := s.db.Prepare("SELECT * FROM (" + st.sql + "\n) LIMIT 0")
	if err != nil {
		// PRAGMA and EXPLAIN aren't allowed in a subquery; they are run as they
		// are.
		probe = p.stmt
	} else {
		defer probe.Close()
	}
	// SQLite may evaluate pg_sleep for a row that LIMIT 0 then removes, so
	// pg_sleep returns at once while a query is described.
	s.describing = true
	defer func() { s.describing = false }()
	stmt := probe.(*sqlite3.SQLiteStmt)
	result, err := stmt.QueryContext(s.ctx, namedValues(nil, stmt.NumInput()))
	if err != nil {
		return nil, s.statementError(err)
	}
	defer result.Close()
	described := &prepared{}
	described.readColumns(result.(*sqlite3.SQLiteRows))
	fields := described.fields
	s.inferFieldTypes(st, described, oids, fields)
	return fields, nil
}

func (s *session) describeReturning(st *statement, oids []uint32) []field {
	inference := s.newTypeInference(st, oids)
	var fields []field
	for _, expression := range splitList(afterWord(st.tokens, "RETURNING")) {
		if len(expression) == 1 && expression[0].is("*") {
			fields = append(fields, inference.tables.all()...)
			continue
		}
		fields = append(fields, field{name: columnName(st, expression), oid: inference.expressionType(withoutAlias(expression))})
	}
	return fields
}

func columnName(st *statement, expression []token) string {
	last := expression[len(expression)-1]
	if last.kind != tokenWord && last.kind != tokenQuoted {
		return "?column?"
	}
	base := st.tokens[0].start
	return unquote(st.source[last.start-base : last.end-base])
}

// inferFieldTypes sets the types of columns without a declared type, which are
// expressions, by the text of the select list.
func (s *session) inferFieldTypes(st *statement, p *prepared, oids []uint32, fields []field) {
	var inference *typeInference
	list := splitList(selectList(st.tokens))
	for i := range fields {
		if p.hasDeclaredType[i] || len(list) != len(fields) {
			continue
		}
		if inference == nil {
			inference = s.newTypeInference(st, oids)
		}
		fields[i].oid = inference.expressionType(withoutAlias(list[i]))
	}
}

// selectList returns the select list of the first SELECT outside parentheses:
// the tokens up to its FROM or another clause that ends the list.
func selectList(tokens []token) []token {
	list := afterWord(tokens, "SELECT")
	depth := 0
	for i, t := range list {
		depth += nesting(t)
		ends := t.is("FROM") || t.is("WHERE") || t.is("LIMIT") || t.is("ORDER") || t.is("GROUP") || t.is("UNION")
		if depth == 0 && ends || depth < 0 {
			return list[:i]
		}
	}
	return list
}

func afterWord(tokens []token, word string) []token {
	depth := 0
	for i, t := range tokens {
		depth += nesting(t)
		if depth == 0 && t.is(word) {
			return tokens[i+1:]
		}
	}
	return nil
}

func nesting(t token) int {
	if t.is("(") {
		return 1
	}
	if t.is(")") {
		return -1
	}
	return 0
}

func splitList(tokens []token) [][]token {
	var list [][]token
	depth, start := 0, 0
	for i, t := range tokens {
		depth += nesting(t)
		if depth == 0 && t.is(",") {
			list = append(list, tokens[start:i])
			start = i + 1
		}
	}
	if start < len(tokens) {
		list = append(list, tokens[start:])
	}
	return list
}

func withoutAlias(expression []token) []token {
	n := len(expression)
	if n >= 3 && expression[n-2].is("AS") {
		return expression[:n-2]
	}
	return expression
}

// tableColumns holds the columns of the tables that a statement names, in the
// order of their declaration and by upper-case name.
type tableColumns struct {
	ordered    []field
	typeByName map[string]uint32
}

func (t *tableColumns) all() []field { return t.ordered }

// readTables reads the columns of every table that the statement names.
func (s *session) readTables(st *statement) *tableColumns {
	tables := &tableColumns{typeByName: map[string]uint32{}}
	seen := map[string]bool{}
	for i, t := range st.tokens {
		isName := t.kind == tokenWord || t.kind == tokenQuoted
		if i == 0 || !isName || !precedesTable(st.tokens[i-1]) || seen[t.text] {
			continue
		}
		seen[t.text] = true
		s.readTable(unquote(t.text), tables)
	}
	return tables
}

func precedesTable(t token) bool {
	return t.is("FROM") || t.is("INTO") || t.is("UPDATE") || t.is("JOIN") || t.is(",")
}

func (s *session) readTable(name string, tables *tableColumns) {
	args := []driver.NamedValue{{Ordinal: 1, Value: name}}
	compiled, failure := s.prepare("SELECT name, type FROM pragma_table_info(?1)")
	if failure != nil {
		return
	}
	rows, err := compiled.stmt.QueryContext(s.ctx, args)
	if err != nil {
		return
	}
	defer rows.Close()
	dest := make([]driver.Value, 2)
	for rows.Next(dest) == nil {
		column, _ := dest[0].(string)
		declared, _ := dest[1].(string)
		oid := oidOfDeclared(declared)
		tables.ordered = append(tables.ordered, field{name: column, oid: oid})
		tables.typeByName[strings.ToUpper(column)] = oid
	}
}
