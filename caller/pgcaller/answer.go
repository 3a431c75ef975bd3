package pgcaller

import (
	"encoding/binary"

	"lovageslip/fault"
)

// maxBufferedBytes is the size of the largest message that is buffered until it
// is complete. A larger one is passed on in parts; if its rest is lost, the
// caller's connection must end.
const maxBufferedBytes = 64 << 10

// answerRelay passes an upstream's answer to one batch on to the caller. It
// forwards whole messages, inserts the proxy's own answers at their places and
// drops the final ReadyForQuery: the connection sends its own once the exchange
// is known to be complete.
type answerRelay struct {
	conn *conn
	// ops are the answers still expected; nil for the simple protocol.
	ops []op
	// failed is true once an ErrorResponse has arrived.
	failed bool
	// ready is true once ReadyForQuery has arrived.
	ready bool
	// buffered is an incomplete message from the end of the last chunk.
	buffered []byte
	// streamRemaining is the number of bytes still to come of a large message
	// that is passed on in parts.
	streamRemaining int
	// writerMark is the writer's position at the start of the answer.
	writerMark int
}

// receive is the sink that the exchange passes the answer's chunks to. A chunk
// may begin and end inside a message.
func (a *answerRelay) receive(chunk []byte) error {
	for len(chunk) > 0 {
		var err error
		if a.streamRemaining > 0 {
			chunk, err = a.streamPart(chunk)
		} else {
			chunk, err = a.nextMessage(chunk)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (a *answerRelay) streamPart(chunk []byte) ([]byte, error) {
	n := min(a.streamRemaining, len(chunk))
	a.streamRemaining -= n
	return chunk[n:], a.conn.writer.add(chunk[:n])
}

// nextMessage handles or buffers the message at the start of chunk and returns
// the rest of chunk.
func (a *answerRelay) nextMessage(chunk []byte) ([]byte, error) {
	if len(a.buffered) > 0 {
		return a.completeBuffered(chunk)
	}
	size := messageSize(chunk)
	if size > 0 && size <= len(chunk) {
		return chunk[size:], a.handleMessage(chunk[:size])
	}
	if size > maxBufferedBytes {
		return a.startStreaming(chunk, size)
	}
	a.buffered = append(a.buffered, chunk...)
	return nil, nil
}

// completeBuffered adds bytes to the buffered message, handles it if it is
// complete, and returns the rest of chunk.
func (a *answerRelay) completeBuffered(chunk []byte) ([]byte, error) {
	need := headerSize
	if size := messageSize(a.buffered); size > 0 {
		need = size
	}
	n := min(need-len(a.buffered), len(chunk))
	a.buffered = append(a.buffered, chunk[:n]...)
	chunk = chunk[n:]
	size := messageSize(a.buffered)
	if size > maxBufferedBytes {
		buffered := a.buffered
		a.buffered = nil
		_, err := a.startStreaming(buffered, size)
		return chunk, err
	}
	if size == 0 || len(a.buffered) < size {
		return chunk, nil
	}
	err := a.handleMessage(a.buffered)
	a.buffered = a.buffered[:0]
	return chunk, err
}

// startStreaming begins to pass on a large message of size bytes in parts.
func (a *answerRelay) startStreaming(chunk []byte, size int) ([]byte, error) {
	if err := a.matchExpected(chunk[0]); err != nil {
		return nil, err
	}
	a.streamRemaining = size
	return a.streamPart(chunk)
}

// messageSize returns the size, with header, of the message at the start of b;
// zero if the header is incomplete.
func messageSize(b []byte) int {
	if len(b) < headerSize {
		return 0
	}
	return 1 + max(4, int(binary.BigEndian.Uint32(b[1:])))
}

func (a *answerRelay) handleMessage(message []byte) error {
	kind := message[0]
	if a.ready {
		return &fault.IO{Op: "read answer", Err: &protocolError{detail: "bytes after the end of the answer"}}
	}
	switch kind {
	case 'Z':
		a.ready = true
		return nil
	case 'S', 'K', 'A':
		// ParameterStatus, BackendKeyData and NotificationResponse concern the
		// shared upstream connection, not this caller.
		return nil
	case 'N':
		return a.conn.writer.add(message)
	case 'G', 'H', 'W':
		return &fault.Unsupported{Feature: "COPY"}
	}
	if kind == '1' && a.skipInjectedParse() {
		return nil
	}
	if err := a.matchExpected(kind); err != nil {
		return err
	}
	return a.conn.writer.add(message)
}

// skipInjectedParse reports whether a ParseComplete answers a Parse that the
// proxy added, and removes that Parse from the expected answers.
func (a *answerRelay) skipInjectedParse() bool {
	if a.ops == nil {
		return false
	}
	if err := a.sendLocalAnswers(); err != nil || len(a.ops) == 0 {
		return false
	}
	if a.ops[0].kind != opInjectedParse {
		return false
	}
	a.ops = a.ops[1:]
	return true
}

// matchExpected advances the expected answers past a message of type kind.
// After an ErrorResponse no further answers are expected up to ReadyForQuery.
func (a *answerRelay) matchExpected(kind byte) error {
	if a.ops == nil {
		a.failed = a.failed || kind == 'E'
		return nil
	}
	if kind == 'E' {
		a.failed = true
		a.ops = a.ops[:0]
		return nil
	}
	if err := a.sendLocalAnswers(); err != nil {
		return err
	}
	if len(a.ops) > 0 && completesAnswer(a.ops[0].kind, kind) {
		a.ops = a.ops[1:]
	}
	return nil
}

// sendLocalAnswers sends the proxy's own answers up to the next one that the
// upstream has to give.
func (a *answerRelay) sendLocalAnswers() error {
	for len(a.ops) > 0 && a.ops[0].kind == opLocal {
		next := a.ops[0]
		a.ops = a.ops[1:]
		if err := next.answer(a.conn); err != nil {
			return err
		}
	}
	return nil
}

// completesAnswer reports whether a message of this type ends the answer to an
// operation.
func completesAnswer(op opKind, message byte) bool {
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

// partlySent reports whether a message to the caller is incomplete.
func (a *answerRelay) partlySent() bool { return a.streamRemaining > 0 }

// restart discards the answer for a retry of the batch, with ops as the expected
// answers. It returns false if bytes of the answer were sent to the caller.
func (a *answerRelay) restart(ops []op) bool {
	if a.partlySent() || !a.conn.writer.rewind(a.writerMark) {
		return false
	}
	*a = answerRelay{conn: a.conn, ops: ops, writerMark: a.writerMark}
	return true
}
