package pgupstream

import (
	"bytes"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"lovageslip/fault"
	"lovageslip/upstream"
)

// origin says whose message an answer belongs to; 0 for the caller's.
type origin byte

const (
	// injected messages are answered by the server, but not to the caller.
	injected origin = iota + 1
	// synthesized answers are given to the caller without the server.
	synthesized
)

// expected is an answer that is still to come, by the message it answers.
type expected struct {
	kind   byte
	origin origin
	// name of the statement that a Parse prepares or a Close closes.
	name string
}

// request is a batch made ready for one connection.
type request struct {
	// out holds the messages to send.
	out   []byte
	queue []expected
	// keyword is the first keyword of the first statement.
	keyword string
	// statements counts the statements as far as it matters: 2 stands for
	// any number above 1.
	statements int
}

var parseComplete = []byte{'1', 0, 0, 0, 4}

func badPayload(detail string) error {
	return &fault.NotRun{Reason: fault.ReasonProtocol, Detail: detail}
}

// newRequest adds the definitions that the connection lacks and drops a Parse
// of a statement that it has.
func newRequest(batch upstream.Batch, prepared map[string]struct{}) (*request, error) {
	r := &request{}
	own := parsedNames(batch)
	for _, p := range batch.Prepared {
		_, has := prepared[p.Name]
		if has || own[p.Name] {
			continue
		}
		parse := &pgproto3.Parse{Name: p.Name, Query: p.SQL, ParameterOIDs: p.ParameterOIDs}
		out, err := parse.Encode(r.out)
		if err != nil {
			return nil, badPayload(err.Error())
		}
		r.out = out
		r.queue = append(r.queue, expected{kind: 'P', origin: injected, name: p.Name})
	}
	if err := r.addPayload(batch.Payload, prepared); err != nil {
		return nil, err
	}
	return r, nil
}

// parsedNames lists the statements that the payload prepares itself.
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
		e := expected{kind: message[0]}
		body := message[headerBytes:]
		switch e.kind {
		case 'P':
			e.name = cstring(body)
			r.noteText(body[min(len(e.name)+1, len(body)):])
			_, has := prepared[e.name]
			if e.name != "" && has && !closed[e.name] {
				e.origin = synthesized
				r.queue = append(r.queue, e)
				continue
			}
		case 'Q':
			r.noteText(body)
		case 'C':
			if len(body) > 0 && body[0] == 'S' {
				e.name = cstring(body[1:])
				closed = withName(closed, e.name)
			}
		case 'B', 'D', 'E', 'S', 'H':
		default:
			return badPayload("message " + string(rune(e.kind)) + " is not supported")
		}
		r.out = append(r.out, message...)
		if e.kind != 'H' {
			r.queue = append(r.queue, e)
		}
	}
	return r.checkEnd()
}

func withName(names map[string]bool, name string) map[string]bool {
	if names == nil {
		names = map[string]bool{}
	}
	names[name] = true
	return names
}

// checkEnd refuses a payload without its end, because its answer would have no
// end either.
func (r *request) checkEnd() error {
	if len(r.queue) > 0 {
		last := r.queue[len(r.queue)-1].kind
		if last == 'S' || last == 'Q' {
			return nil
		}
	}
	return badPayload("the batch doesn't end with Query or Sync")
}

// noteText looks at a statement's text, which ends at a zero byte.
func (r *request) noteText(text []byte) {
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

// firstKeyword returns the first word in upper case. It skips white space and
// comments.
func firstKeyword(text []byte) string {
	for {
		text = bytes.TrimLeft(text, " \t\r\n\f;(")
		switch {
		case bytes.HasPrefix(text, []byte("--")):
			text = after(text, "\n")
		case bytes.HasPrefix(text, []byte("/*")):
			text = after(text, "*/")
		default:
			end := 0
			for end < len(text) && isLetter(text[end]) {
				end++
			}
			return string(bytes.ToUpper(text[:end]))
		}
	}
}

func after(text []byte, mark string) []byte {
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
