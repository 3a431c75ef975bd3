package standin

import (
	"strconv"
	"strings"
)

// statement is one SQL statement of a client, with its text rewritten for SQLite.
type statement struct {
	// sql is the text for SQLite: $1 is replaced by ?1, and x::type by a CAST.
	sql    string
	source string
	tokens []token
	// keyword is the first word in upper case.
	keyword string
	// casts holds the types of parameters that are cast, by parameter number.
	casts      map[int]uint32
	parameters int
}

// parseStatements splits a query string into statements.
func parseStatements(query string) []*statement {
	lists := splitStatements(tokenize(query))
	statements := make([]*statement, 0, len(lists))
	for _, tokens := range lists {
		statements = append(statements, newStatement(query, tokens))
	}
	return statements
}

func newStatement(query string, tokens []token) *statement {
	s := &statement{
		source:  query[tokens[0].start:tokens[len(tokens)-1].end],
		tokens:  tokens,
		keyword: tokens[0].text,
		casts:   map[int]uint32{},
	}
	s.recordCastFunctions()
	r := rewriter{query: query, statement: s}
	r.run()
	s.sql = string(r.out)
	return s
}

// recordCastFunctions records the types of parameters in CAST($n AS type).
func (s *statement) recordCastFunctions() {
	for i := 0; i+4 < len(s.tokens); i++ {
		t := s.tokens[i : i+5]
		if t[0].is("CAST") && t[1].is("(") && t[2].kind == tokenParameter && t[3].is("AS") {
			s.casts[parameterNumber(t[2])] = oidOfTypeName(t[4].text)
		}
	}
}

func parameterNumber(t token) int {
	n, _ := strconv.Atoi(t.text[1:])
	return n
}

// rewriter writes a statement's tokens in SQLite's dialect. To replace x::type by
// CAST(x AS type), it keeps the start of the last operand in out (operandStart)
// and, if the last token was a parameter, its number (operandParameter, else 0).
// parenthesisStarts holds, for each open parenthesis, the start of its operand.
type rewriter struct {
	query             string
	statement         *statement
	out               []byte
	operandStart      int
	operandParameter  int
	parenthesisStarts []int
}

func (r *rewriter) run() {
	tokens := dropRowLock(r.statement.tokens)
	for i := 0; i < len(tokens); i++ {
		if i > 0 && tokens[i].start > tokens[i-1].end {
			r.out = append(r.out, ' ')
		}
		if tokens[i].is("::") && i+1 < len(tokens) {
			i = r.cast(tokens, i+1)
			continue
		}
		r.copy(tokens, i)
	}
}

// dropRowLock removes a trailing FOR UPDATE or FOR SHARE. SQLite doesn't support
// them, and doesn't need them, because it has only one writer at a time.
func dropRowLock(tokens []token) []token {
	n := len(tokens)
	if n > 2 && tokens[n-2].is("FOR") && (tokens[n-1].is("UPDATE") || tokens[n-1].is("SHARE")) {
		return tokens[:n-2]
	}
	return tokens
}

func (r *rewriter) copy(tokens []token, i int) {
	t := tokens[i]
	afterName := i > 0 && tokens[i-1].end == t.start && tokens[i-1].kind == tokenWord
	switch {
	case t.is("("):
		start := len(r.out)
		if afterName {
			start = r.operandStart
		}
		r.parenthesisStarts = append(r.parenthesisStarts, start)
	case t.is(")") && len(r.parenthesisStarts) > 0:
		r.operandStart = r.parenthesisStarts[len(r.parenthesisStarts)-1]
		r.parenthesisStarts = r.parenthesisStarts[:len(r.parenthesisStarts)-1]
	case i > 0 && tokens[i-1].is(".") || t.is("."):
		// A qualified name is one operand that starts at its first part.
	default:
		r.operandStart = len(r.out)
	}
	r.operandParameter = 0
	if t.kind == tokenParameter {
		r.parameter(t)
		return
	}
	r.out = append(r.out, r.query[t.start:t.end]...)
}

func (r *rewriter) parameter(t token) {
	n := parameterNumber(t)
	r.operandParameter = n
	r.statement.parameters = max(r.statement.parameters, n)
	r.out = append(r.out, '?')
	r.out = append(r.out, t.text[1:]...)
}

// cast handles a cast whose type name is at index i, after "::". It returns the
// index of the last token that belongs to the type.
func (r *rewriter) cast(tokens []token, i int) int {
	oid := oidOfTypeName(tokens[i].text)
	if r.operandParameter > 0 {
		r.statement.casts[r.operandParameter] = oid
	} else {
		operand := string(r.out[r.operandStart:])
		r.out = append(r.out[:r.operandStart], "CAST("+operand+" AS "+sqliteType(oid)+")"...)
	}
	last := i
	if i+1 < len(tokens) && tokens[i].is("DOUBLE") && tokens[i+1].is("PRECISION") {
		last = i + 1
	}
	for last+1 < len(tokens) && tokens[last+1].is("(") {
		last = closingParenthesis(tokens, last+1)
	}
	return last
}

// closingParenthesis returns the index of the parenthesis that closes the one at i.
func closingParenthesis(tokens []token, i int) int {
	depth := 0
	for ; i < len(tokens); i++ {
		if tokens[i].is("(") {
			depth++
		}
		if tokens[i].is(")") {
			depth--
		}
		if depth == 0 {
			return i
		}
	}
	return len(tokens) - 1
}

// changesSchema reports whether the statement may change tables, so that cached
// compiled statements are outdated.
func (s *statement) changesSchema() bool {
	return s.keyword == "CREATE" || s.keyword == "ALTER" || s.keyword == "DROP"
}

// returnsRows reports whether a statement that writes returns rows, through a
// RETURNING clause.
func (s *statement) returnsRows() bool {
	for _, t := range s.tokens {
		if t.is("RETURNING") {
			return true
		}
	}
	return false
}

// word returns the text of token i in upper case, or "" if there is no token i.
func (s *statement) word(i int) string {
	if i >= len(s.tokens) {
		return ""
	}
	return strings.ToUpper(s.tokens[i].text)
}
