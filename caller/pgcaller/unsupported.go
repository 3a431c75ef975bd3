package pgcaller

import (
	"regexp"
	"slices"
	"strings"

	"lovageslip/entry"
	"lovageslip/fault"
)

// refusedKeywords are statements that need a connection of their own.
var refusedKeywords = map[string]string{
	"LISTEN":   "LISTEN",
	"UNLISTEN": "UNLISTEN",
	"NOTIFY":   "NOTIFY",
	"COPY":     "COPY",
	"PREPARE":  "PREPARE in a statement text",
	"EXECUTE":  "EXECUTE in a statement text",
	"LOAD":     "LOAD",
}

// sessionLocks are the functions that take locks for a whole session.
var sessionLocks = []string{
	"pg_advisory_lock", "pg_try_advisory_lock", "pg_advisory_unlock",
}

// refuse returns *fault.Unsupported for a text that needs session state on one
// server connection. It looks at keywords only; what it misses, the owner
// discards before the connection is used again.
func refuse(text string) error {
	if lock := sessionLock(text); lock != "" {
		return &fault.Unsupported{Feature: "the session lock " + lock}
	}
	if setsSession(text) {
		return &fault.Unsupported{Feature: "set_config for the session (its third argument must be true)"}
	}
	if !severalStatements(text) {
		return refuseOne(text)
	}
	for _, part := range strings.Split(withoutLiterals(text), ";") {
		if err := refuseOne(part); err != nil {
			return err
		}
	}
	return nil
}

func severalStatements(text string) bool {
	_, after, found := strings.Cut(text, ";")
	return found && strings.TrimSpace(after) != ""
}

func refuseOne(text string) error {
	keyword, rest := entry.FirstKeyword(text)
	if feature, refused := refusedKeywords[keyword]; refused {
		if keyword == "PREPARE" && startsWith(rest, "TRANSACTION") {
			return &fault.Unsupported{Feature: "PREPARE TRANSACTION"}
		}
		return &fault.Unsupported{Feature: feature}
	}
	switch keyword {
	case "CREATE":
		return refuseTemporary(rest)
	case "SELECT":
		return refuseInto(rest)
	case "DECLARE":
		return refuseHold(rest)
	}
	return nil
}

func startsWith(rest, word string) bool {
	first, _ := entry.FirstKeyword(rest)
	return first == word
}

func refuseTemporary(rest string) error {
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

func refuseInto(rest string) error {
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

func refuseHold(rest string) error {
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

// setsSession reports whether a text calls set_config in a way that may outlive
// its transaction.
func setsSession(text string) bool {
	if !containsFold(text, setConfig) {
		return false
	}
	plain := withoutLiterals(text)
	calls := strings.Count(strings.ToLower(plain), setConfig)
	return calls > len(localSetConfig.FindAllString(plain, -1))
}

// containsFold reports whether text contains a lower-case ASCII word in any case.
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

// withoutLiterals replaces strings, quoted names and comments with a space.
func withoutLiterals(text string) string {
	var plain strings.Builder
	for len(text) > 0 {
		if n := literal(text); n > 0 {
			plain.WriteByte(' ')
			text = text[n:]
			continue
		}
		plain.WriteByte(text[0])
		text = text[1:]
	}
	return plain.String()
}

// literal returns the length of the literal or comment that begins the text.
func literal(text string) int {
	switch {
	case len(text) > 1 && text[0]|0x20 == 'e' && text[1] == '\'':
		return escapeString(text)
	case text[0] == '\'' || text[0] == '"':
		return upTo(text, 1, text[:1])
	case strings.HasPrefix(text, "--"):
		return upTo(text, 2, "\n")
	case strings.HasPrefix(text, "/*"):
		return upTo(text, 2, "*/")
	case text[0] == '$':
		return dollarQuoted(text)
	}
	return 0
}

func upTo(text string, from int, end string) int {
	i := strings.Index(text[from:], end)
	if i < 0 {
		return len(text)
	}
	return from + i + len(end)
}

// escapeString measures E'...', in which a backslash keeps the next byte.
func escapeString(text string) int {
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

// dollarQuoted measures "$tag$ ... $tag$"; a parameter such as $1 is none.
func dollarQuoted(text string) int {
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
	return upTo(text, len(tag), tag)
}
