package pgcaller

import (
	"encoding/binary"

	"lovageslip/fault"
)

// maxHeld is the largest message that is held until it is complete. A larger
// one is passed on in parts; if its rest is lost, the connection must end.
const maxHeld = 64 << 10

// answer passes an upstream's answer on to the caller. It forwards whole
// messages, adds the proxy's own answers in their places, and holds the final
// ReadyForQuery until the exchange is known to be complete.
type answer struct {
	conn *conn
	// ops are the expected answers; nil for the simple protocol.
	ops []op
	// failed is true once the answer holds an error.
	failed bool
	// ready is true once ReadyForQuery has arrived.
	ready bool
	held  []byte
	// passing is the rest of a large message that is passed on in parts.
	passing int
	mark    int
}

// take is the sink of the exchange.
func (a *answer) take(chunk []byte) error {
	for len(chunk) > 0 {
		var err error
		if a.passing > 0 {
			chunk, err = a.pass(chunk)
		} else {
			chunk, err = a.message(chunk)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (a *answer) pass(chunk []byte) ([]byte, error) {
	n := min(a.passing, len(chunk))
	a.passing -= n
	return chunk[n:], a.conn.writer.add(chunk[:n])
}

// message handles the next message and returns the rest of the chunk.
func (a *answer) message(chunk []byte) ([]byte, error) {
	if len(a.held) > 0 {
		return a.complete(chunk)
	}
	size := messageSize(chunk)
	if size > 0 && size <= len(chunk) {
		return chunk[size:], a.handle(chunk[:size])
	}
	if size > maxHeld {
		return a.large(chunk, size)
	}
	a.held = append(a.held, chunk...)
	return nil, nil
}

// complete adds to a message whose first bytes are held.
func (a *answer) complete(chunk []byte) ([]byte, error) {
	need := headerSize
	if size := messageSize(a.held); size > 0 {
		need = size
	}
	n := min(need-len(a.held), len(chunk))
	a.held = append(a.held, chunk[:n]...)
	chunk = chunk[n:]
	size := messageSize(a.held)
	if size > maxHeld {
		held := a.held
		a.held = nil
		_, err := a.large(held, size)
		return chunk, err
	}
	if size == 0 || len(a.held) < size {
		return chunk, nil
	}
	err := a.handle(a.held)
	a.held = a.held[:0]
	return chunk, err
}

// large begins to pass on a message in parts.
func (a *answer) large(chunk []byte, size int) ([]byte, error) {
	if err := a.account(chunk[0]); err != nil {
		return nil, err
	}
	a.passing = size
	return a.pass(chunk)
}

// messageSize returns the whole size of the message that begins here; zero if
// the header is incomplete.
func messageSize(b []byte) int {
	if len(b) < headerSize {
		return 0
	}
	return 1 + max(4, int(binary.BigEndian.Uint32(b[1:])))
}

func (a *answer) handle(message []byte) error {
	kind := message[0]
	if a.ready {
		return &fault.IO{Op: "read answer", Err: &protocolError{detail: "bytes after the end of the answer"}}
	}
	switch kind {
	case 'Z':
		a.ready = true
		return nil
	case 'S', 'K', 'A':
		// Parameters and notifications of a shared connection are not this
		// caller's.
		return nil
	case 'N':
		return a.conn.writer.add(message)
	case 'G', 'H', 'W':
		return &fault.Unsupported{Feature: "COPY"}
	}
	if kind == '1' && a.hidden() {
		return nil
	}
	if err := a.account(kind); err != nil {
		return err
	}
	return a.conn.writer.add(message)
}

// hidden reports whether the answer belongs to a Parse that the caller did not
// send, and counts it.
func (a *answer) hidden() bool {
	if a.ops == nil {
		return false
	}
	if err := a.own(); err != nil || len(a.ops) == 0 {
		return false
	}
	if a.ops[0].kind != opHidden {
		return false
	}
	a.ops = a.ops[1:]
	return true
}

// account keeps the expected answers in step with the answer.
func (a *answer) account(kind byte) error {
	if a.ops == nil {
		a.failed = a.failed || kind == 'E'
		return nil
	}
	if kind == 'E' {
		a.failed = true
		a.ops = a.ops[:0]
		return nil
	}
	if err := a.own(); err != nil {
		return err
	}
	if len(a.ops) > 0 && ends(a.ops[0].kind, kind) {
		a.ops = a.ops[1:]
	}
	return nil
}

// own sends the proxy's own answers that come next.
func (a *answer) own() error {
	for len(a.ops) > 0 && a.ops[0].kind == opLocal {
		next := a.ops[0]
		a.ops = a.ops[1:]
		if err := next.answer(a.conn); err != nil {
			return err
		}
	}
	return nil
}

// ends reports whether a message completes the answer to an operation.
func ends(op opKind, message byte) bool {
	switch op {
	case opParse:
		return message == '1'
	case opBind:
		return message == '2'
	case opClose:
		return message == '3'
	case opDescribe:
		return message == 'T' || message == 'n'
	case opExecute:
		return message == 'C' || message == 'I' || message == 's'
	}
	return false
}

// torn reports whether a part of a message has gone to the caller.
func (a *answer) torn() bool { return a.passing > 0 }

// restart drops what has arrived and reports whether the caller has seen
// nothing of it.
func (a *answer) restart(ops []op) bool {
	if a.torn() || !a.conn.writer.rewind(a.mark) {
		return false
	}
	*a = answer{conn: a.conn, ops: ops, mark: a.mark}
	return true
}
