package pgupstream

import (
	"bytes"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"lovageslip/fault"
	"lovageslip/upstream"
)

// origin says where an answer and the message that it answers come from. The zero
// value means a message of the caller, answered by the server.
type origin byte

const (
	// injected messages are added by the adapter. The server's answers to them
	// are not passed on to the caller.
	injected origin = iota + 1
	// synthesized answers are made by the adapter. The caller's message is not
	// sent to the server.
	synthesized
)

// expectedAnswer describes an answer that has not arrived yet. kind is the type of
// the message that it answers.
type expectedAnswer struct {
	kind   byte
	origin origin
	// name of the statement that a Parse prepares or a Close closes.
	name string
}

// request is a batch encoded for one connection.
type request struct {
	// encoded holds the messages to send.
	encoded []byte
	// expected lists the answers in the order in which they will arrive.
	expected []expectedAnswer
	// keyword is the first keyword of the first statement.
	keyword string
	// statements counts the statements, but any value above 1 only means that
	// there are several.
	statements int
}

var parseComplete = []byte{'1', 0, 0, 0, 4}

func badPayload(detail string) error {
	return &fault.NotRun{Reason: fault.ReasonProtocol, Detail: detail}
}

// newRequest encodes batch for a connection that has the prepared statements given.
// It adds a Parse for each definition that the connection lacks and leaves out each
// Parse of a statement that it has.
func newRequest(batch upstream.Batch, prepared map[string]struct{}) (*request, error) {
	r := &request{}
	parsed := parsedNames(batch)
	for _, p := range batch.Prepared {
		_, has := prepared[p.Name]
		if has || parsed[p.Name] {
			continue
		}
		parse := &pgproto3.Parse{Name: p.Name, Query: p.SQL, ParameterOIDs: p.ParameterOIDs}
		out, err := parse.Encode(r.encoded)
		if err != nil {
			return nil, badPayload(err.Error())
		}
		r.encoded = out
		r.expected = append(r.expected, expectedAnswer{kind: 'P', origin: injected, name: p.Name})
	}
	if err := r.addPayload(batch.Payload, prepared); err != nil {
		return nil, err
	}
	return r, nil
}

// parsedNames returns the names of the statements that the payload prepares itself.
func parsedNames(batch upstream.Batch) map[string]bool {
	if len(batch.Prepared) == 0 {
		return nil
	}
	names := map[string]bool{}
	rest := batch.Payload
	for len(rest) >= headerBytes {
		size := int(binary.BigEndian.Uint32(rest[1:])) + 1
		if size < headerBytes || size > len(rest) {
			break
		}
		if rest[0] == 'P' {
			names[cstring(rest[headerBytes:size])] = true
		}
		rest = rest[size:]
	}
	return names
}

func (r *request) addPayload(payload []byte, prepared map[string]struct{}) error {
	closed := map[string]bool(nil)
	for len(payload) > 0 {
		if len(payload) < headerBytes {
			return badPayload("incomplete message")
		}
		size := int(binary.BigEndian.Uint32(payload[1:])) + 1
		if size < headerBytes || size > len(payload) {
			return badPayload("incomplete message")
		}
		message := payload[:size]
		payload = payload[size:]
		e := expectedAnswer{kind: message[0]}
		body := message[headerBytes:]
		switch e.kind {
		case 'P':
			e.name = cstring(body)
			r.inspectStatement(body[min(len(e.name)+1, len(body)):])
			_, has := prepared[e.name]
			if e.name != "" && has && !closed[e.name] {
				e.origin = synthesized
				r.expected = append(r.expected, e)
				continue
			}
		case 'Q':
			r.inspectStatement(body)
		case 'C':
			if len(body) > 0 && body[0] == 'S' {
				e.name = cstring(body[1:])
				closed = addName(closed, e.name)
			}
		case 'B', 'D', 'E', 'S', 'H':
		default:
			return badPayload("message " + string(rune(e.kind)) + " is not supported")
		}
		r.encoded = append(r.encoded, message...)
		if e.kind != 'H' {
			r.expected = append(r.expected, e)
		}
	}
	return r.checkTerminated()
}

func addName(names map[string]bool, name string) map[string]bool {
	if names == nil {
		names = map[string]bool{}
	}
	names[name] = true
	return names
}

// checkTerminated refuses a payload that doesn't end with Query or Sync, because
// its answer would not end with ReadyForQuery.
func (r *request) checkTerminated() error {
	if len(r.expected) > 0 {
		last := r.expected[len(r.expected)-1].kind
		if last == 'S' || last == 'Q' {
			return nil
		}
	}
	return badPayload("the batch doesn't end with Query or Sync")
}

// inspectStatement updates keyword and statements from a statement's text, which
// ends at a zero byte.
func (r *request) inspectStatement(text []byte) {
	if end := bytes.IndexByte(text, 0); end >= 0 {
		text = text[:end]
	}
	if r.statements == 0 {
		r.keyword = firstKeyword(text)
	}
	r.statements++
	if i := bytes.IndexByte(text, ';'); i >= 0 && len(bytes.TrimSpace(text[i+1:])) > 0 {
		r.statements++
	}
}

// firstKeyword returns the first word in upper case. It skips white space,
// comments, semicolons and opening parentheses.
func firstKeyword(text []byte) string {
	for {
		text = bytes.TrimLeft(text, " \t\r\n\f;(")
		switch {
		case bytes.HasPrefix(text, []byte("--")):
			text = skipPast(text, "\n")
		case bytes.HasPrefix(text, []byte("/*")):
			text = skipPast(text, "*/")
		default:
			end := 0
			for end < len(text) && isLetter(text[end]) {
				end++
			}
			return string(bytes.ToUpper(text[:end]))
		}
	}
}

func skipPast(text []byte, mark string) []byte {
	if i := bytes.Index(text, []byte(mark)); i >= 0 {
		return text[i+len(mark):]
	}
	return nil
}

func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' }

// opensTransaction reports whether the batch starts with BEGIN.
func (r *request) opensTransaction() bool { return r.keyword == "BEGIN" || r.keyword == "START" }

// onlyBegin reports whether the batch is a BEGIN and nothing else.
func (r *request) onlyBegin() bool { return r.opensTransaction() && r.statements == 1 }
