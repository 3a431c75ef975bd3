package entry

import (
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"lovageslip/upstream"
)

// readKeywords are the first keywords of statements that start in read mode.
// This is only a hint: the server refuses a write in read mode.
var readKeywords = map[string]bool{
	"SELECT": true, "SHOW": true, "VALUES": true, "TABLE": true, "WITH": true, "EXPLAIN": true,
}

// readOnlyBegins are the texts of transactions that run in read mode.
var readOnlyBegins = map[string]bool{
	"BEGIN READ ONLY":                                             true,
	"BEGIN TRANSACTION READ ONLY":                                 true,
	"BEGIN WORK READ ONLY":                                        true,
	"START TRANSACTION READ ONLY":                                 true,
	"BEGIN ISOLATION LEVEL READ COMMITTED READ ONLY":              true,
	"BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY":             true,
	"BEGIN ISOLATION LEVEL SERIALIZABLE READ ONLY":                true,
	"START TRANSACTION ISOLATION LEVEL READ COMMITTED READ ONLY":  true,
	"START TRANSACTION ISOLATION LEVEL REPEATABLE READ READ ONLY": true,
	"START TRANSACTION ISOLATION LEVEL SERIALIZABLE READ ONLY":    true,
}

// longestBegin bounds the texts that are compared with readOnlyBegins.
const longestBegin = 80

// modeOf returns the mode in which statements are tried first. A batch that
// executes nothing runs in read mode.
func (e *Entry) modeOf(texts []string) upstream.Mode {
	for _, text := range texts {
		if !startsRead(text) || e.writes.known(text) {
			return upstream.ModeWrite
		}
	}
	return upstream.ModeRead
}

func startsRead(text string) bool {
	keyword, rest := FirstKeyword(text)
	if readKeywords[keyword] {
		return !hasFollowing(rest)
	}
	if keyword == "BEGIN" || keyword == "START" {
		return isReadOnlyBegin(text)
	}
	return false
}

// hasFollowing reports whether a semicolon is followed by anything, which may
// be another statement. In a string or comment it is taken for one too; that
// only costs a trip to the primary.
func hasFollowing(rest string) bool {
	_, after, found := strings.Cut(rest, ";")
	return found && strings.TrimSpace(after) != ""
}

func isReadOnlyBegin(text string) bool {
	if len(text) > longestBegin {
		return false
	}
	plain := strings.TrimRight(text, "; \t\r\n")
	return readOnlyBegins[strings.ToUpper(strings.Join(strings.Fields(plain), " "))]
}

// declaredReadOnly reports whether the caller itself asked for a read-only
// transaction, so that a write in it is the caller's error.
func declaredReadOnly(texts []string) bool {
	return len(texts) > 0 && isReadOnlyBegin(texts[0])
}

// FirstKeyword returns the first keyword of a text in upper case, and what
// follows it. Leading space, comments and parentheses are skipped.
func FirstKeyword(text string) (keyword, rest string) {
	text = skipIgnored(text)
	end := 0
	for end < len(text) && isLetter(text[end]) {
		end++
	}
	return strings.ToUpper(text[:end]), text[end:]
}

func isLetter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_'
}

func skipIgnored(text string) string {
	for {
		text = strings.TrimLeft(text, " \t\r\n\f(;")
		switch {
		case strings.HasPrefix(text, "--"):
			_, text, _ = strings.Cut(text, "\n")
		case strings.HasPrefix(text, "/*"):
			_, text, _ = strings.Cut(text, "*/")
		default:
			return text
		}
	}
}

// shapeOf hashes statement texts, to learn service times by.
func shapeOf(texts []string) uint64 {
	if len(texts) == 1 {
		return xxhash.Sum64String(texts[0])
	}
	digest := xxhash.New()
	for _, text := range texts {
		// Writing to a digest never fails.
		_, _ = digest.WriteString(text)
		_, _ = digest.WriteString("\x00")
	}
	return digest.Sum64()
}

// learnedSize bounds the texts that are remembered as writes.
const learnedSize = 8192

// learnedTexts remembers texts that were refused as read only. A later text
// with the same slot replaces an earlier one. It is safe for concurrent use.
type learnedTexts struct {
	slots [learnedSize]atomic.Uint64
}

func (l *learnedTexts) learn(texts []string) {
	for _, text := range texts {
		hash := xxhash.Sum64String(text)
		l.slots[hash%learnedSize].Store(hash)
	}
}

func (l *learnedTexts) known(text string) bool {
	hash := xxhash.Sum64String(text)
	return l.slots[hash%learnedSize].Load() == hash
}
