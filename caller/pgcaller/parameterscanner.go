package pgcaller

import (
	"strings"

	"lovageslip/fault"
)

// parameterScanner reads the words after the keyword of a statement that the
// proxy answers, such as SET, SHOW or RESET.
type parameterScanner struct{ rest string }

func newParameterScanner(text string) *parameterScanner { return &parameterScanner{rest: text} }

func (s *parameterScanner) skipSpace() { s.rest = strings.TrimLeft(s.rest, " \t\r\n\f") }

// name reads a name or keyword. An unquoted one is folded to lower case.
func (s *parameterScanner) name() string {
	s.skipSpace()
	if strings.HasPrefix(s.rest, `"`) {
		text, _ := s.quoted('"')
		return text
	}
	end := strings.IndexFunc(s.rest, func(r rune) bool { return !isNameRune(r) })
	if end < 0 {
		end = len(s.rest)
	}
	name := s.rest[:end]
	s.rest = s.rest[end:]
	return strings.ToLower(name)
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '_' || r == '.' || r == '$' || r > 127
}

// assignment reads "=" or TO and reports whether one of them was there.
func (s *parameterScanner) assignment() bool {
	s.skipSpace()
	if after, found := strings.CutPrefix(s.rest, "="); found {
		s.rest = after
		return true
	}
	return s.name() == "to"
}

// value reads the value up to the end of the statement.
// Errors: *fault.Unsupported if another statement follows, *fault.Invalid.
func (s *parameterScanner) value() (string, error) {
	s.skipSpace()
	if !strings.HasPrefix(s.rest, "'") {
		return s.unquotedValue()
	}
	text, ok := s.quoted('\'')
	if !ok {
		return "", &fault.Invalid{Field: "SET", Value: text, Allowed: "a closed string"}
	}
	if strings.Trim(s.rest, "; \t\r\n\f") != "" {
		return "", errFollowingStatement
	}
	return text, nil
}

var errFollowingStatement = &fault.Unsupported{Feature: "SET of a session parameter together with other statements"}

func (s *parameterScanner) unquotedValue() (string, error) {
	value, after, _ := strings.Cut(s.rest, ";")
	if strings.TrimSpace(after) != "" {
		return "", errFollowingStatement
	}
	return strings.TrimSpace(value), nil
}

// quoted reads a quoted text, in which a doubled quote stands for one quote. It
// returns false if the closing quote is missing.
func (s *parameterScanner) quoted(quote byte) (string, bool) {
	var text strings.Builder
	rest := s.rest[1:]
	for {
		end := strings.IndexByte(rest, quote)
		if end < 0 {
			s.rest = ""
			return text.String(), false
		}
		text.WriteString(rest[:end])
		rest = rest[end+1:]
		if rest == "" || rest[0] != quote {
			s.rest = rest
			return text.String(), true
		}
		text.WriteByte(quote)
		rest = rest[1:]
	}
}
