package standin

import "strings"

type tokenKind int

const (
	tokenWord tokenKind = iota
	tokenQuoted
	tokenString
	tokenNumber
	tokenParameter
	tokenOperator
)

// token is one lexical element of a statement, with its byte range in the source.
// The text of a word is in upper case.
type token struct {
	kind       tokenKind
	text       string
	start, end int
}

func (t token) is(text string) bool {
	return (t.kind == tokenWord || t.kind == tokenOperator) && t.text == text
}

// tokenize splits SQL text into tokens and drops comments and white space.
func tokenize(sql string) []token {
	tokens := make([]token, 0, len(sql)/4+1)
	for i := 0; i < len(sql); {
		if skipped := skipBlank(sql, i); skipped > i {
			i = skipped
			continue
		}
		t := nextToken(sql, i)
		tokens = append(tokens, t)
		i = t.end
	}
	return tokens
}

func skipBlank(sql string, i int) int {
	rest := sql[i:]
	switch {
	case strings.ContainsRune(" \t\r\n\f", rune(sql[i])):
		return i + 1
	case strings.HasPrefix(rest, "--"):
		return lineEnd(sql, i)
	case strings.HasPrefix(rest, "/*"):
		return commentEnd(sql, i)
	}
	return i
}

func lineEnd(sql string, i int) int {
	if n := strings.IndexByte(sql[i:], '\n'); n >= 0 {
		return i + n + 1
	}
	return len(sql)
}

func commentEnd(sql string, i int) int {
	if n := strings.Index(sql[i+2:], "*/"); n >= 0 {
		return i + 2 + n + 2
	}
	return len(sql)
}

func nextToken(sql string, i int) token {
	c := sql[i]
	switch {
	case c == '\'':
		return makeToken(sql, tokenString, i, quoteEnd(sql, i, '\''))
	case c == '"':
		return makeToken(sql, tokenQuoted, i, quoteEnd(sql, i, '"'))
	case c == '$' && i+1 < len(sql) && isDigit(sql[i+1]):
		return makeToken(sql, tokenParameter, i, scan(sql, i+1, isDigit))
	case isDigit(c) || c == '.' && i+1 < len(sql) && isDigit(sql[i+1]):
		return makeToken(sql, tokenNumber, i, numberEnd(sql, i))
	case isWordStart(c):
		return makeToken(sql, tokenWord, i, scan(sql, i, isWordPart))
	}
	return makeToken(sql, tokenOperator, i, i+operatorLength(sql[i:]))
}

func makeToken(sql string, kind tokenKind, start, end int) token {
	text := sql[start:end]
	if kind == tokenWord {
		text = strings.ToUpper(text)
	}
	return token{kind: kind, text: text, start: start, end: end}
}

func operatorLength(rest string) int {
	for _, operator := range []string{"::", "<=", ">=", "<>", "!=", "||", "->>", "->"} {
		if strings.HasPrefix(rest, operator) {
			return len(operator)
		}
	}
	return 1
}

// quoteEnd returns the index after the quote that closes the one at i. A doubled
// quote is part of the text.
func quoteEnd(sql string, i int, quote byte) int {
	for j := i + 1; j < len(sql); j++ {
		if sql[j] != quote {
			continue
		}
		if j+1 < len(sql) && sql[j+1] == quote {
			j++
			continue
		}
		return j + 1
	}
	return len(sql)
}

func numberEnd(sql string, i int) int {
	j := scan(sql, i, func(c byte) bool { return isWordPart(c) || c == '.' })
	exponent := j < len(sql) && (sql[j] == '+' || sql[j] == '-') && (sql[j-1] == 'e' || sql[j-1] == 'E')
	if !exponent {
		return j
	}
	return scan(sql, j+1, isDigit)
}

func scan(sql string, i int, accept func(byte) bool) int {
	for i < len(sql) && accept(sql[i]) {
		i++
	}
	return i
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isWordPart(c byte) bool { return isWordStart(c) || isDigit(c) || c == '$' }

// splitStatements splits a token list at its semicolons and drops empty
// statements.
func splitStatements(tokens []token) [][]token {
	var statements [][]token
	start := 0
	for i, t := range tokens {
		if !t.is(";") {
			continue
		}
		if i > start {
			statements = append(statements, tokens[start:i])
		}
		start = i + 1
	}
	if start < len(tokens) {
		statements = append(statements, tokens[start:])
	}
	return statements
}
