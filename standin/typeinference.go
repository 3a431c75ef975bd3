package standin

import "strings"

// typeInference infers the types of a statement's parameters, and of expressions
// without a declared type, from the statement's text and the columns of its
// tables. SQLite doesn't report these types, but PostgreSQL clients need them.
type typeInference struct {
	st     *statement
	oids   []uint32
	tables *tableColumns
}

func (s *session) newTypeInference(st *statement, oids []uint32) *typeInference {
	return &typeInference{st: st, oids: oids, tables: s.readTables(st)}
}

// parameterTypes returns the type of each parameter: the one given in the Parse
// message, or else that of a cast, or else that of the column or value that the
// parameter is compared with or stored in, or else text.
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

func (ti *typeInference) parameterType(number int) uint32 {
	if isCall(ti.st) {
		return callParameterType(ti.st, number)
	}
	for i, t := range ti.st.tokens {
		if t.kind != tokenParameter || parameterNumber(t) != number {
			continue
		}
		if oid := ti.typeFromNeighbours(i); oid != 0 {
			return oid
		}
	}
	return oidText
}

// callParameterType returns the type of an argument of a platform function. All
// arguments are numbers, except for the address given to lovageslip_follow.
func callParameterType(st *statement, number int) uint32 {
	if st.word(3) == "LOVAGESLIP_FOLLOW" && number > 1 {
		return oidText
	}
	return oidInt8
}

// typeFromNeighbours infers the type of the parameter at token i from the tokens
// around it. It returns 0 if they don't tell.
func (ti *typeInference) typeFromNeighbours(i int) uint32 {
	tokens := ti.st.tokens
	previous, next := tokenAt(tokens, i-1), tokenAt(tokens, i+1)
	switch {
	case previous.is("LIMIT") || previous.is("OFFSET"):
		return oidInt8
	case previous.is("PG_SLEEP") || previous.is("(") && tokenAt(tokens, i-2).is("PG_SLEEP"):
		return oidFloat8
	case isOperator(previous) && i >= 2:
		return ti.operandType(tokens[i-2])
	case isOperator(next):
		return ti.operandType(tokenAt(tokens, i+2))
	case previous.is("BETWEEN"):
		return ti.operandType(tokenAt(tokens, i-2))
	case previous.is("AND") && tokenAt(tokens, i-3).is("BETWEEN"):
		return ti.operandType(tokenAt(tokens, i-4))
	}
	if oid := ti.typeFromInList(i); oid != 0 {
		return oid
	}
	return ti.typeFromInsert(i)
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

// operandType returns the type of a literal, parameter or column, or 0 if it is
// not known.
func (ti *typeInference) operandType(t token) uint32 {
	switch t.kind {
	case tokenNumber:
		return numberType(t)
	case tokenString:
		return oidText
	case tokenParameter:
		return ti.knownParameterType(t)
	}
	return ti.tables.typeByName[strings.ToUpper(unquote(t.text))]
}

func (ti *typeInference) knownParameterType(t token) uint32 {
	n := parameterNumber(t)
	if oid, ok := ti.st.casts[n]; ok {
		return oid
	}
	if n <= len(ti.oids) {
		return ti.oids[n-1]
	}
	return 0
}

func numberType(t token) uint32 {
	if strings.ContainsAny(t.text, ".eE") {
		return oidFloat8
	}
	return oidInt8
}

// typeFromInList infers the type of a parameter in the list of column IN (...)
// from the column. It returns 0 if the parameter is in no such list.
func (ti *typeInference) typeFromInList(i int) uint32 {
	for j := i - 1; j > 0; j-- {
		t := ti.st.tokens[j]
		if t.is("(") {
			if ti.st.tokens[j-1].is("IN") {
				return ti.operandType(tokenAt(ti.st.tokens, j-2))
			}
			return 0
		}
		if t.kind != tokenParameter && !t.is(",") {
			return 0
		}
	}
	return 0
}

// typeFromInsert infers the type of a parameter of VALUES from the column that it
// is stored in. It returns 0 if the parameter isn't itself a value there.
func (ti *typeInference) typeFromInsert(i int) uint32 {
	tokens := ti.st.tokens
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
	return ti.insertColumnType(tokens[:values], column)
}

// insertColumnType returns the type of a column by its index in the column list
// of INSERT INTO table (columns), or in the table if there is no list.
func (ti *typeInference) insertColumnType(head []token, column int) uint32 {
	open := -1
	for i, t := range head {
		if t.is("(") {
			open = i
			break
		}
	}
	if open < 0 {
		if column < len(ti.tables.ordered) {
			return ti.tables.ordered[column].oid
		}
		return 0
	}
	columns := splitList(head[open+1 : closingParenthesis(head, open)])
	if column >= len(columns) || len(columns[column]) == 0 {
		return 0
	}
	return ti.operandType(columns[column][0])
}

func indexOfWord(tokens []token, word string) int {
	for i, t := range tokens {
		if t.is(word) {
			return i
		}
	}
	return -1
}

// expressionType returns the type of an expression in a select list, or text if
// it can't be inferred.
func (ti *typeInference) expressionType(tokens []token) uint32 {
	if oid := ti.inferType(tokens); oid != 0 {
		return oid
	}
	return oidText
}

func (ti *typeInference) inferType(tokens []token) uint32 {
	if len(tokens) == 0 {
		return 0
	}
	if cast := indexOfWord(tokens, "::"); cast >= 0 && cast >= len(tokens)-2 {
		return oidOfTypeName(tokens[len(tokens)-1].text)
	}
	if left, operator, right, ok := splitOperator(tokens); ok {
		return ti.operationType(left, operator, right)
	}
	first, last := tokens[0], tokens[len(tokens)-1]
	switch {
	case len(tokens) == 1:
		return ti.singleTokenType(first)
	case first.is("(") && last.is(")"):
		return ti.parenthesizedType(tokens[1 : len(tokens)-1])
	case first.is("CASE"):
		return ti.inferType(tokenAfter(tokens, "THEN"))
	case tokens[1].is("("):
		return ti.functionType(first.text, tokens[2:closingParenthesis(tokens, 1)])
	case tokens[1].is("."):
		return ti.singleTokenType(last)
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

func (ti *typeInference) singleTokenType(t token) uint32 {
	if t.is("TRUE") || t.is("FALSE") {
		return oidBool
	}
	return ti.operandType(t)
}

func (ti *typeInference) parenthesizedType(tokens []token) uint32 {
	if len(tokens) > 0 && tokens[0].is("SELECT") {
		return ti.inferType(withoutAlias(selectList(tokens)))
	}
	return ti.inferType(tokens)
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

func (ti *typeInference) operationType(left []token, operator token, right []token) uint32 {
	switch operator.text {
	case "||":
		return oidText
	case "+", "-", "*", "/", "%":
		if ti.inferType(left) == oidFloat8 || ti.inferType(right) == oidFloat8 {
			return oidFloat8
		}
		return oidInt8
	}
	return oidBool
}

func (ti *typeInference) functionType(name string, args []token) uint32 {
	first := func() uint32 {
		list := splitList(args)
		if len(list) == 0 {
			return 0
		}
		return ti.inferType(list[0])
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
