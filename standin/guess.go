package standin

import "strings"

// typeInference types expressions and parameters by their text, where neither a
// declared type nor a cast does.
type typeInference struct {
	st     *statement
	oids   []uint32
	tables *tableColumns
}

func (s *session) newTypeInference(st *statement, oids []uint32) *typeInference {
	return &typeInference{st: st, oids: oids, tables: s.readTables(st)}
}

// parameterTypes decides the type of each parameter: what Parse says, a cast,
// what the parameter is compared with or stored in, or else text.
func (s *session) parameterTypes(st *statement, fromParse []uint32) []uint32 {
	oids := make([]uint32, max(st.parameters, len(fromParse)))
	copy(oids, fromParse)
	var inference *typeInference
	for i := range oids {
		if oids[i] != 0 {
			continue
		}
		if oid, ok := st.casts[i+1]; ok {
			oids[i] = oid
			continue
		}
		if inference == nil {
			inference = s.newTypeInference(st, oids)
		}
		oids[i] = inference.parameterType(i + 1)
	}
	return oids
}

func (g *typeInference) parameterType(number int) uint32 {
	if isCall(g.st) {
		return callParameterType(g.st, number)
	}
	for i, t := range g.st.tokens {
		if t.kind != tokenParameter || parameterNumber(t) != number {
			continue
		}
		if oid := g.typeFromNeighbours(i); oid != 0 {
			return oid
		}
	}
	return oidText
}

// callParameterType types an argument of the platform's functions: all are numbers
// but the address to follow.
func callParameterType(st *statement, number int) uint32 {
	if st.word(3) == "LOVAGESLIP_FOLLOW" && number > 1 {
		return oidText
	}
	return oidInt8
}

// typeFromNeighbours types the parameter at token i by its neighbours.
func (g *typeInference) typeFromNeighbours(i int) uint32 {
	tokens := g.st.tokens
	previous, next := tokenAt(tokens, i-1), tokenAt(tokens, i+1)
	switch {
	case previous.is("LIMIT") || previous.is("OFFSET"):
		return oidInt8
	case previous.is("PG_SLEEP") || previous.is("(") && tokenAt(tokens, i-2).is("PG_SLEEP"):
		return oidFloat8
	case isOperator(previous) && i >= 2:
		return g.operandType(tokens[i-2])
	case isOperator(next):
		return g.operandType(tokenAt(tokens, i+2))
	case previous.is("BETWEEN"):
		return g.operandType(tokenAt(tokens, i-2))
	case previous.is("AND") && tokenAt(tokens, i-3).is("BETWEEN"):
		return g.operandType(tokenAt(tokens, i-4))
	}
	if oid := g.typeFromInList(i); oid != 0 {
		return oid
	}
	return g.typeFromInsert(i)
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

// operandType types one token, or returns 0.
func (g *typeInference) operandType(t token) uint32 {
	switch t.kind {
	case tokenNumber:
		return numberType(t)
	case tokenString:
		return oidText
	case tokenParameter:
		return g.knownParameterType(t)
	}
	return g.tables.typeByName[strings.ToUpper(unquote(t.text))]
}

func (g *typeInference) knownParameterType(t token) uint32 {
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

// typeFromInList types a parameter of column IN (...).
func (g *typeInference) typeFromInList(i int) uint32 {
	for j := i - 1; j > 0; j-- {
		t := g.st.tokens[j]
		if t.is("(") {
			if g.st.tokens[j-1].is("IN") {
				return g.operandType(tokenAt(g.st.tokens, j-2))
			}
			return 0
		}
		if t.kind != tokenParameter && !t.is(",") {
			return 0
		}
	}
	return 0
}

// typeFromInsert types a parameter of VALUES by the column that it goes into.
func (g *typeInference) typeFromInsert(i int) uint32 {
	tokens := g.st.tokens
	values := indexOfWord(tokens, "VALUES")
	if values < 0 || i < values {
		return 0
	}
	column, depth := 0, 0
	for j := values + 1; j < i; j++ {
		depth += nesting(tokens[j])
		if depth == 0 || depth == 1 && tokens[j].is("(") {
			column = 0
		}
		if depth == 1 && tokens[j].is(",") {
			column++
		}
	}
	if depth != 1 {
		return 0
	}
	return g.insertColumnType(tokens[:values], column)
}

// insertColumnType types the column at a place of INSERT INTO table (columns), or of
// the whole table if there is no list.
func (g *typeInference) insertColumnType(head []token, column int) uint32 {
	open := -1
	for i, t := range head {
		if t.is("(") {
			open = i
			break
		}
	}
	if open < 0 {
		if column < len(g.tables.ordered) {
			return g.tables.ordered[column].oid
		}
		return 0
	}
	columns := splitList(head[open+1 : closingParenthesis(head, open)])
	if column >= len(columns) || len(columns[column]) == 0 {
		return 0
	}
	return g.operandType(columns[column][0])
}

func indexOfWord(tokens []token, word string) int {
	for i, t := range tokens {
		if t.is(word) {
			return i
		}
	}
	return -1
}

// expressionType types an expression of a select list; text if it can't tell.
func (g *typeInference) expressionType(tokens []token) uint32 {
	if oid := g.inferType(tokens); oid != 0 {
		return oid
	}
	return oidText
}

func (g *typeInference) inferType(tokens []token) uint32 {
	if len(tokens) == 0 {
		return 0
	}
	if cast := indexOfWord(tokens, "::"); cast >= 0 && cast >= len(tokens)-2 {
		return oidOfTypeName(tokens[len(tokens)-1].text)
	}
	if left, operator, right, ok := splitOperator(tokens); ok {
		return g.operationType(left, operator, right)
	}
	first, last := tokens[0], tokens[len(tokens)-1]
	switch {
	case len(tokens) == 1:
		return g.singleTokenType(first)
	case first.is("(") && last.is(")"):
		return g.parenthesizedType(tokens[1 : len(tokens)-1])
	case first.is("CASE"):
		return g.inferType(tokenAfter(tokens, "THEN"))
	case tokens[1].is("("):
		return g.functionType(first.text, tokens[2:closingParenthesis(tokens, 1)])
	case tokens[1].is("."):
		return g.singleTokenType(last)
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

func (g *typeInference) singleTokenType(t token) uint32 {
	if t.is("TRUE") || t.is("FALSE") {
		return oidBool
	}
	return g.operandType(t)
}

func (g *typeInference) parenthesizedType(tokens []token) uint32 {
	if len(tokens) > 0 && tokens[0].is("SELECT") {
		return g.inferType(withoutAlias(selectList(tokens)))
	}
	return g.inferType(tokens)
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

func (g *typeInference) operationType(left []token, operator token, right []token) uint32 {
	switch operator.text {
	case "||":
		return oidText
	case "+", "-", "*", "/", "%":
		if g.inferType(left) == oidFloat8 || g.inferType(right) == oidFloat8 {
			return oidFloat8
		}
		return oidInt8
	}
	return oidBool
}

func (g *typeInference) functionType(name string, args []token) uint32 {
	first := func() uint32 {
		list := splitList(args)
		if len(list) == 0 {
			return 0
		}
		return g.inferType(list[0])
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
