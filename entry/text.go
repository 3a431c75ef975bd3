package entry

import (
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"lovageslip/upstream"
)

// readKeywords are the first keywords of statements that are tried in read mode
// first. They need not be reliable, because the server refuses writes in read mode.
var readKeywords = map[string]bool{
	"SELECT": true, "SHOW": true, "VALUES": true, "TABLE": true, "WITH": true, "EXPLAIN": true,
}

// readOnlyBegins are the statements that begin a transaction in read mode.
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

// maxBeginLength is the length in bytes up to which texts are compared with
// readOnlyBegins.
const maxBeginLength = 80

// initialMode returns the mode in which a batch of statements is tried first: write
// mode if one of them is not a read by its text or has been refused in read mode
// before. A batch that executes nothing runs in read mode.
func (e *Entry) initialMode(texts []string) upstream.Mode {
	for _, text := range texts {
		if !isReadStatement(text) || e.writes.contains(text) {
			return upstream.ModeWrite
		}
	}
	return upstream.ModeRead
}

func isReadStatement(text string) bool {
	keyword, rest := FirstKeyword(text)
	if readKeywords[keyword] {
		return !hasStatementAfter(rest)
	}
	if keyword == "BEGIN" || keyword == "START" {
		return isReadOnlyBegin(text)
	}
	return false
}

// hasStatementAfter reports whether a semicolon is followed by more text, which may
// be another statement. A semicolon in a string or comment counts too; the batch
// is then sent to the primary without need.
func hasStatementAfter(rest string) bool {
	_, after, found := strings.Cut(rest, ";")
	return found && strings.TrimSpace(after) != ""
}

func isReadOnlyBegin(text string) bool {
	if len(text) > maxBeginLength {
		return false
	}
	plain := strings.TrimRight(text, "; \t\r\n")
	return readOnlyBegins[strings.ToUpper(strings.Join(strings.Fields(plain), " "))]
}

// declaredReadOnly reports whether the caller began a read-only transaction. A
// write in it is then the caller's error and is not retried in write mode.
func declaredReadOnly(texts []string) bool {
	return len(texts) > 0 && isReadOnlyBegin(texts[0])
}

// FirstKeyword returns the first keyword of a text in upper case, and what
// follows it. Leading white space, comments, parentheses and semicolons are
// skipped.
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

// skipIgnored returns the text without leading white space, comments, parentheses
// and semicolons.
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

// shapeOf returns a hash of statement texts. Owners estimate service times by it.
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

// knownWritesSize is the number of texts that knownWrites can hold.
const knownWritesSize = 8192

// knownWrites is a set of hashes of texts that were refused in read mode. Each
// hash has one place in the array; a later text with the same place replaces an
// earlier one. It is safe for concurrent use.
type knownWrites struct {
	hashes [knownWritesSize]atomic.Uint64
}

func (k *knownWrites) add(texts []string) {
	for _, text := range texts {
		hash := xxhash.Sum64String(text)
		k.hashes[hash%knownWritesSize].Store(hash)
	}
}

func (k *knownWrites) contains(text string) bool {
	hash := xxhash.Sum64String(text)
	return k.hashes[hash%knownWritesSize].Load() == hash
}
