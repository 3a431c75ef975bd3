package standin

import "strings"

// guess types expressions and parameters by their text, where neither a
// declared type nor a cast does.
type guess struct {
	st     *statement
	oids   []uint32
	tables *tableColumns
}

func (s *session) newGuess(st *statement, oids []uint32) *guess {
	return &guess{st: st, oids: oids, tables: s.readTables(st)}
}

// parameterTypes decides the type of each parameter: what Parse says, a cast,
// what the parameter is compared with or stored in, or else text.
func (s *session) parameterTypes(st *statement, given []uint32) []uint32 {
	oids := make([]uint32, max(st.parameters, len(given)))
	copy(oids, given)
	var g *guess
	for i := range oids {
		if oids[i] != 0 {
			continue
		}
		if oid, ok := st.casts[i+1]; ok {
			oids[i] = oid
			continue
		}
		if g == nil {
			g = s.newGuess(st, oids)
		}
		oids[i] = g.parameter(i + 1)
	}
	return oids
}

func (g *guess) parameter(number int) uint32 {
	if isCall(g.st) {
		return callParameter(g.st, number)
	}
	for i, t := range g.st.tokens {
		if t.kind != tokenParameter || parameterNumber(t) != number {
			continue
		}
		if oid := g.around(i); oid != 0 {
			return oid
		}
	}
	return oidText
}

// callParameter types an argument of the platform's functions: all are numbers
// but the address to follow.
func callParameter(st *statement, number int) uint32 {
	if st.word(3) == "LOVAGESLIP_FOLLOW" && number > 1 {
		return oidText
	}
	return oidInt8
}

// around types the parameter at token i by its neighbours.
func (g *guess) around(i int) uint32 {
	tokens := g.st.tokens
	previous, next := tokenAt(tokens, i-1), tokenAt(tokens, i+1)
	switch {
	case previous.is("LIMIT") || previous.is("OFFSET"):
		return oidInt8
	case previous.is("PG_SLEEP") || previous.is("(") && tokenAt(tokens, i-2).is("PG_SLEEP"):
		return oidFloat8
	case isOperator(previous) && i >= 2:
		return g.operand(tokens[i-2])
	case isOperator(next):
		return g.operand(tokenAt(tokens, i+2))
	case previous.is("BETWEEN"):
		return g.operand(tokenAt(tokens, i-2))
	case previous.is("AND") && tokenAt(tokens, i-3).is("BETWEEN"):
		return g.operand(tokenAt(tokens, i-4))
	}
	if oid := g.inList(i); oid != 0 {
		return oid
	}
	return g.inserted(i)
}

func tokenAt(tokens []token, i int) token {
	if i < 0 || i >= len(tokens) {
		return token{kind: tokenOperator}
	}
	return tokens[i]
}

func isOperator(t token) bool {
	if t.is("LIKE") {
		return true
	}
	return t.kind == tokenOperator && len(t.text) > 0 && strings.Contains("= < > <= >= <> != + - * / %", t.text)
}

// operand types one token, or returns 0.
func (g *guess) operand(t token) uint32 {
	switch t.kind {
	case tokenNumber:
		return numberType(t)
	case tokenString:
		return oidText
	case tokenParameter:
		return g.known(t)
	}
	return g.tables.types[strings.ToUpper(unquote(t.text))]
}

func (g *guess) known(t token) uint32 {
	n := parameterNumber(t)
	if oid, ok := g.st.casts[n]; ok {
		return oid
	}
	if n <= len(g.oids) {
		return g.oids[n-1]
	}
	return 0
}

func numberType(t token) uint32 {
	if strings.ContainsAny(t.text, ".eE") {
		return oidFloat8
	}
	return oidInt8
}

// inList types a parameter of column IN (...).
func (g *guess) inList(i int) uint32 {
	for j := i - 1; j > 0; j-- {
		t := g.st.tokens[j]
		if t.is("(") {
			if g.st.tokens[j-1].is("IN") {
				return g.operand(tokenAt(g.st.tokens, j-2))
			}
			return 0
		}
		if t.kind != tokenParameter && !t.is(",") {
			return 0
		}
	}
	return 0
}

// inserted types a parameter of VALUES by the column that it goes into.
func (g *guess) inserted(i int) uint32 {
	tokens := g.st.tokens
	values := indexOfWord(tokens, "VALUES")
	if values < 0 || i < values {
		return 0
	}
	place, depth := 0, 0
	for j := values + 1; j < i; j++ {
		depth += nesting(tokens[j])
		if depth == 0 || depth == 1 && tokens[j].is("(") {
			place = 0
		}
		if depth == 1 && tokens[j].is(",") {
			place++
		}
	}
	if depth != 1 {
		return 0
	}
	return g.columnAt(tokens[:values], place)
}

// columnAt types the column at a place of INSERT INTO table (columns), or of
// the whole table if there is no list.
func (g *guess) columnAt(head []token, place int) uint32 {
	open := -1
	for i, t := range head {
		if t.is("(") {
			open = i
			break
		}
	}
	if open < 0 {
		if place < len(g.tables.order) {
			return g.tables.order[place].oid
		}
		return 0
	}
	columns := splitList(head[open+1 : closing(head, open)])
	if place >= len(columns) || len(columns[place]) == 0 {
		return 0
	}
	return g.operand(columns[place][0])
}

func indexOfWord(tokens []token, word string) int {
	for i, t := range tokens {
		if t.is(word) {
			return i
		}
	}
	return -1
}

// expression types an expression of a select list; text if it can't tell.
func (g *guess) expression(tokens []token) uint32 {
	if oid := g.typeOf(tokens); oid != 0 {
		return oid
	}
	return oidText
}

func (g *guess) typeOf(tokens []token) uint32 {
	if len(tokens) == 0 {
		return 0
	}
	if cast := indexOfWord(tokens, "::"); cast >= 0 && cast >= len(tokens)-2 {
		return oidOfTypeName(tokens[len(tokens)-1].text)
	}
	if left, operator, right, ok := splitOperator(tokens); ok {
		return g.operation(left, operator, right)
	}
	first, last := tokens[0], tokens[len(tokens)-1]
	switch {
	case len(tokens) == 1:
		return g.single(first)
	case first.is("(") && last.is(")"):
		return g.parenthesized(tokens[1 : len(tokens)-1])
	case first.is("CASE"):
		return g.typeOf(tokenAfter(tokens, "THEN"))
	case tokens[1].is("("):
		return g.function(first.text, tokens[2:closing(tokens, 1)])
	case tokens[1].is("."):
		return g.single(last)
	}
	return 0
}

func tokenAfter(tokens []token, word string) []token {
	i := indexOfWord(tokens, word)
	if i < 0 || i+1 >= len(tokens) {
		return nil
	}
	return tokens[i+1 : i+2]
}

func (g *guess) single(t token) uint32 {
	if t.is("TRUE") || t.is("FALSE") {
		return oidBool
	}
	return g.operand(t)
}

func (g *guess) parenthesized(tokens []token) uint32 {
	if len(tokens) > 0 && tokens[0].is("SELECT") {
		return g.typeOf(withoutAlias(selectList(tokens)))
	}
	return g.typeOf(tokens)
}

// splitOperator finds the first operator outside parentheses.
func splitOperator(tokens []token) ([]token, token, []token, bool) {
	depth := 0
	for i, t := range tokens {
		depth += nesting(t)
		if depth == 0 && i > 0 && i+1 < len(tokens) && (isOperator(t) || t.is("||") || t.is("IS")) {
			return tokens[:i], t, tokens[i+1:], true
		}
	}
	return nil, token{}, nil, false
}

func (g *guess) operation(left []token, operator token, right []token) uint32 {
	switch operator.text {
	case "||":
		return oidText
	case "+", "-", "*", "/", "%":
		if g.typeOf(left) == oidFloat8 || g.typeOf(right) == oidFloat8 {
			return oidFloat8
		}
		return oidInt8
	}
	return oidBool
}

func (g *guess) function(name string, args []token) uint32 {
	first := func() uint32 {
		list := splitList(args)
		if len(list) == 0 {
			return 0
		}
		return g.typeOf(list[0])
	}
	switch name {
	case "COUNT", "LENGTH", "RANDOM", "ROW_NUMBER", "RANK", "CHANGES", "LAST_INSERT_ROWID", "INSTR", "UNICODE":
		return oidInt8
	case "AVG", "TOTAL", "ROUND", "SQRT":
		return oidFloat8
	case "SUM", "MIN", "MAX", "ABS", "COALESCE", "IFNULL", "NULLIF":
		return first()
	case "EXISTS":
		return oidBool
	case "CAST":
		return oidOfTypeName(args[len(args)-1].text)
	}
	return 0
}
