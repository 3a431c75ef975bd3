package pgcaller

import (
	"regexp"
	"slices"
	"strings"

	"lovageslip/entry"
	"lovageslip/fault"
)

// refusedKeywords maps the first keyword of statements that need an upstream
// connection of their own to the feature name in the error.
var refusedKeywords = map[string]string{
	"LISTEN":   "LISTEN",
	"UNLISTEN": "UNLISTEN",
	"NOTIFY":   "NOTIFY",
	"COPY":     "COPY",
	"PREPARE":  "PREPARE in a statement text",
	"EXECUTE":  "EXECUTE in a statement text",
	"LOAD":     "LOAD",
}

// sessionLocks are the functions that take or release session-level locks.
var sessionLocks = []string{
	"pg_advisory_lock", "pg_try_advisory_lock", "pg_advisory_unlock",
}

// checkSupported returns *fault.Unsupported for a text that needs session state
// on one upstream connection. It looks at keywords only. Session state that it
// misses is discarded by the owner before the connection is used again.
func checkSupported(text string) error {
	if lock := sessionLock(text); lock != "" {
		return &fault.Unsupported{Feature: "the session lock " + lock}
	}
	if setsSessionConfig(text) {
		return &fault.Unsupported{Feature: "set_config for the session (its third argument must be true)"}
	}
	if !severalStatements(text) {
		return checkStatement(text)
	}
	for _, part := range strings.Split(withoutLiterals(text), ";") {
		if err := checkStatement(part); err != nil {
			return err
		}
	}
	return nil
}

func severalStatements(text string) bool {
	_, after, found := strings.Cut(text, ";")
	return found && strings.TrimSpace(after) != ""
}

func checkStatement(text string) error {
	keyword, rest := entry.FirstKeyword(text)
	if feature, refused := refusedKeywords[keyword]; refused {
		if keyword == "PREPARE" && startsWithKeyword(rest, "TRANSACTION") {
			return &fault.Unsupported{Feature: "PREPARE TRANSACTION"}
		}
		return &fault.Unsupported{Feature: feature}
	}
	switch keyword {
	case "CREATE":
		return checkCreate(rest)
	case "SELECT":
		return checkSelectInto(rest)
	case "DECLARE":
		return checkCursor(rest)
	}
	return nil
}

func startsWithKeyword(rest, word string) bool {
	first, _ := entry.FirstKeyword(rest)
	return first == word
}

func checkCreate(rest string) error {
	word, rest := entry.FirstKeyword(rest)
	if word == "OR" {
		_, rest = entry.FirstKeyword(rest)
		word, rest = entry.FirstKeyword(rest)
	}
	if word == "LOCAL" || word == "GLOBAL" {
		word, _ = entry.FirstKeyword(rest)
	}
	if word == "TEMP" || word == "TEMPORARY" {
		return &fault.Unsupported{Feature: "CREATE TEMPORARY"}
	}
	return nil
}

func checkSelectInto(rest string) error {
	if !containsFold(rest, "into") || !containsFold(rest, "temp") {
		return nil
	}
	words := upperWords(rest)
	for i, word := range words {
		if word != "INTO" || i+1 == len(words) {
			continue
		}
		if slices.Contains([]string{"TEMP", "TEMPORARY"}, words[i+1]) {
			return &fault.Unsupported{Feature: "SELECT INTO TEMPORARY"}
		}
	}
	return nil
}

func checkCursor(rest string) error {
	if !containsFold(rest, "hold") {
		return nil
	}
	words := upperWords(rest)
	for i, word := range words {
		if word == "WITH" && i+1 < len(words) && words[i+1] == "HOLD" {
			return &fault.Unsupported{Feature: "DECLARE CURSOR WITH HOLD"}
		}
	}
	return nil
}

func upperWords(text string) []string {
	return strings.Fields(strings.ToUpper(withoutLiterals(text)))
}

func sessionLock(text string) string {
	if !containsFold(text, "advisory_") {
		return ""
	}
	plain := strings.ToLower(withoutLiterals(text))
	for _, lock := range sessionLocks {
		if strings.Contains(plain, lock) {
			return lock
		}
	}
	return ""
}

const setConfig = "set_config"

// localSetConfig matches a set_config whose change ends with the transaction.
var localSetConfig = regexp.MustCompile(`(?i)set_config\s*\([^()]*,\s*true\s*\)`)

// setsSessionConfig reports whether a text calls set_config in a way whose
// change may outlast the transaction.
func setsSessionConfig(text string) bool {
	if !containsFold(text, setConfig) {
		return false
	}
	plain := withoutLiterals(text)
	calls := strings.Count(strings.ToLower(plain), setConfig)
	return calls > len(localSetConfig.FindAllString(plain, -1))
}

// containsFold reports whether text contains word, ignoring case. word must be
// lower-case ASCII.
func containsFold(text, word string) bool {
	first := word[0]
	for i := 0; i+len(word) <= len(text); i++ {
		if text[i]|0x20 != first {
			continue
		}
		if strings.EqualFold(text[i:i+len(word)], word) {
			return true
		}
	}
	return false
}

// withoutLiterals replaces each string, quoted name and comment by a space.
func withoutLiterals(text string) string {
	var plain strings.Builder
	for len(text) > 0 {
		if n := literalLength(text); n > 0 {
			plain.WriteByte(' ')
			text = text[n:]
			continue
		}
		plain.WriteByte(text[0])
		text = text[1:]
	}
	return plain.String()
}

// literalLength returns the length of the string, quoted name or comment at the
// start of text; zero if there is none.
func literalLength(text string) int {
	switch {
	case len(text) > 1 && text[0]|0x20 == 'e' && text[1] == '\'':
		return escapeStringLength(text)
	case text[0] == '\'' || text[0] == '"':
		return lengthThrough(text, 1, text[:1])
	case strings.HasPrefix(text, "--"):
		return lengthThrough(text, 2, "\n")
	case strings.HasPrefix(text, "/*"):
		return lengthThrough(text, 2, "*/")
	case text[0] == '$':
		return dollarQuotedLength(text)
	}
	return 0
}

func lengthThrough(text string, from int, end string) int {
	i := strings.Index(text[from:], end)
	if i < 0 {
		return len(text)
	}
	return from + i + len(end)
}

// escapeStringLength returns the length of the E'...' at the start of text, in
// which a backslash escapes the next byte.
func escapeStringLength(text string) int {
	for i := 2; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '\'':
			return i + 1
		}
	}
	return len(text)
}

// dollarQuotedLength returns the length of the "$tag$ ... $tag$" at the start of
// text; zero for anything else, such as the parameter $1.
func dollarQuotedLength(text string) int {
	end := strings.IndexByte(text[1:], '$')
	if end < 0 {
		return 0
	}
	tag := text[:end+2]
	for i := 1; i < len(tag)-1; i++ {
		letter := tag[i]|0x20 >= 'a' && tag[i]|0x20 <= 'z' || tag[i] == '_'
		digit := tag[i] >= '0' && tag[i] <= '9'
		if !letter && (!digit || i == 1) {
			return 0
		}
	}
	return lengthThrough(text, len(tag), tag)
}
