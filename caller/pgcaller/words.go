package pgcaller

import (
	"strings"

	"lovageslip/fault"
)

// words reads the parts of a SET, SHOW or RESET statement.
type words struct{ rest string }

func newWords(text string) *words { return &words{rest: text} }

func (w *words) skip() { w.rest = strings.TrimLeft(w.rest, " \t\r\n\f") }

// name reads a name. An unquoted one is folded to lower case.
func (w *words) name() string {
	w.skip()
	if strings.HasPrefix(w.rest, `"`) {
		text, _ := w.quoted('"')
		return text
	}
	end := strings.IndexFunc(w.rest, func(r rune) bool { return !isNameRune(r) })
	if end < 0 {
		end = len(w.rest)
	}
	name := w.rest[:end]
	w.rest = w.rest[end:]
	return strings.ToLower(name)
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '_' || r == '.' || r == '$' || r > 127
}

// assign reads "=" or TO.
func (w *words) assign() bool {
	w.skip()
	if after, found := strings.CutPrefix(w.rest, "="); found {
		w.rest = after
		return true
	}
	return w.name() == "to"
}

// value reads the value up to the end of the statement.
// Errors: *fault.Unsupported if another statement follows, *fault.Invalid.
func (w *words) value() (string, error) {
	w.skip()
	if !strings.HasPrefix(w.rest, "'") {
		return w.plain()
	}
	text, ok := w.quoted('\'')
	if !ok {
		return "", &fault.Invalid{Field: "SET", Value: text, Allowed: "a closed string"}
	}
	if strings.Trim(w.rest, "; \t\r\n\f") != "" {
		return "", followed
	}
	return text, nil
}

var followed = &fault.Unsupported{Feature: "SET of a session parameter together with other statements"}

func (w *words) plain() (string, error) {
	value, after, _ := strings.Cut(w.rest, ";")
	if strings.TrimSpace(after) != "" {
		return "", followed
	}
	return strings.TrimSpace(value), nil
}

// quoted reads a quoted text in which a doubled quote stands for one.
func (w *words) quoted(quote byte) (string, bool) {
	var text strings.Builder
	rest := w.rest[1:]
	for {
		end := strings.IndexByte(rest, quote)
		if end < 0 {
			w.rest = ""
			return text.String(), false
		}
		text.WriteString(rest[:end])
		rest = rest[end+1:]
		if rest == "" || rest[0] != quote {
			w.rest = rest
			return text.String(), true
		}
		text.WriteByte(quote)
		rest = rest[1:]
	}
}
