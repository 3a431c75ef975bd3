package pgupstream

import (
	"lovageslip/fault"
	"lovageslip/upstream"
)

const (
	chunkBytes = 16 << 10
	// maxWithheldBytes bounds the answer of a committing write from its first
	// acknowledgement on. All of that part is withheld until the commit is
	// confirmed.
	maxWithheldBytes = 8 << 20
	// maxStatementsBytes bounds what bufferStatements keeps.
	maxStatementsBytes = 1 << 20
)

// bufferPolicy says which part of an answer is withheld from the sink, and how long.
type bufferPolicy int

const (
	// bufferHead keeps the start of the answer until its first row, or until
	// it fills a chunk. A batch that is refused as a write before that can
	// still be sent to another server.
	bufferHead bufferPolicy = iota
	// bufferStatements keeps the answers to several statements together, up
	// to maxStatementsBytes, because a later statement may be refused as a
	// write and the batch sent to another server.
	bufferStatements
	// bufferFromAck keeps everything from the first acknowledgement on, until
	// the server has answered the whole batch.
	bufferFromAck
	// bufferAll keeps everything, so that the ledger can store it. Above
	// maxStoredBytes it works like bufferFromAck.
	bufferAll
)

// answerReader reads the answer to one batch and passes it to the sink, apart from
// the answers to messages that the adapter has injected.
type answerReader struct {
	conn      *Conn
	sink      upstream.Sink
	buffering bufferPolicy
	expected  []expectedAnswer

	// pending holds the bytes that have not reached the sink.
	pending []byte
	// ackIndex is the index in pending of the first acknowledgement, or -1.
	ackIndex int
	// delivered is true once the sink was called.
	delivered   bool
	receivedRow bool
	// discard is true if no more of the answer may reach the sink.
	discard bool
	sinkErr error
	// overflowed is true if the answer is too long for the ledger.
	overflowed bool

	failure *fault.Database
	// committed and began are true if the server has acknowledged a COMMIT or
	// a BEGIN.
	committed bool
	began     bool
	// rolledBack is true if the last acknowledgement was of a ROLLBACK.
	rolledBack bool
}

func (a *answerReader) code() string {
	if a.failure == nil {
		return ""
	}
	return a.failure.Code
}

// read reads up to the last ReadyForQuery of the batch.
func (a *answerReader) read() error {
	a.ackIndex = -1
	a.synthesize()
	for len(a.expected) > 0 {
		if err := a.processNext(); err != nil {
			return a.conn.fail(err)
		}
	}
	return nil
}

func (a *answerReader) processNext() error {
	if err := a.flushBeforeWait(); err != nil {
		return err
	}
	return a.readMessage()
}

// flushBeforeWait passes on the rows received so far if no further bytes have
// arrived, because the server may take long over the next row.
func (a *answerReader) flushBeforeWait() error {
	if !a.receivedRow || a.failure != nil || len(a.pending) == 0 || a.conn.reader.buffered() > 0 {
		return nil
	}
	return a.flush()
}

// readMessage reads one message and handles it by its type.
func (a *answerReader) readMessage() error {
	kind, length, err := a.conn.reader.header()
	if err != nil {
		return err
	}
	switch kind {
	case 'D':
		a.receivedRow = true
		return a.forwardMessage(length)
	case 'G', 'H', 'W':
		return &protocolError{detail: "COPY is not supported"}
	case 'E', 'C', 'Z':
		return a.handleOutcome(kind, length)
	case 'S':
		if raw, err := a.conn.reader.peek(length); err == nil {
			a.conn.trackReadOnlySetting(raw[headerBytes:])
		}
		return a.forwardMessage(length)
	case 'N', 'A':
		return a.forwardMessage(length)
	}
	return a.matchRequest(kind, length)
}

// handleOutcome decodes ErrorResponse, CommandComplete and ReadyForQuery, which
// tell the outcome of a batch.
func (a *answerReader) handleOutcome(kind byte, length int) error {
	raw, err := a.conn.reader.peek(length)
	if err != nil {
		return err
	}
	body := raw[headerBytes:]
	switch kind {
	case 'E':
		a.failure = parseError(body)
		if a.failure.Severity == "FATAL" || a.failure.Severity == "PANIC" {
			return a.failure
		}
		a.skipToSync()
		return a.forwardMessage(length)
	case 'C':
		a.recordCommandTag(cstring(body))
		if a.ackIndex < 0 {
			a.ackIndex = len(a.pending)
		}
	case 'Z':
		if err := a.conn.setState(body); err != nil {
			return err
		}
	}
	return a.matchRequest(kind, length)
}

func (a *answerReader) recordCommandTag(tag string) {
	a.rolledBack = tag == "ROLLBACK"
	switch tag {
	case "COMMIT", "PREPARE TRANSACTION":
		a.committed = true
	case "BEGIN", "START TRANSACTION":
		a.began = true
	}
}

// matchRequest matches a message with the request that it answers and passes it
// on, or drops it if the adapter has injected the request.
func (a *answerReader) matchRequest(kind byte, length int) error {
	if len(a.expected) == 0 {
		return &protocolError{detail: "answer without a request"}
	}
	head := a.expected[0]
	final, ok := match(head.kind, kind)
	if !ok {
		return &protocolError{detail: "message " + string(rune(kind)) + " does not answer " + string(rune(head.kind))}
	}
	if head.origin == injected {
		if err := a.dropMessage(length); err != nil {
			return err
		}
	} else if err := a.forwardMessage(length); err != nil {
		return err
	}
	if final {
		a.trackPrepared(head)
		a.expected = a.expected[1:]
		a.synthesize()
	}
	return nil
}

// match reports whether a backend message answers a frontend message, and
// whether it is the last one that does.
func match(request, message byte) (final, ok bool) {
	switch request {
	case 'P':
		return true, message == '1'
	case 'B':
		return true, message == '2'
	case 'C':
		return true, message == '3'
	case 'D':
		return message != 't', message == 't' || message == 'T' || message == 'n'
	case 'E':
		return true, message == 'C' || message == 'I' || message == 's'
	case 'S':
		return true, message == 'Z'
	case 'Q':
		return message == 'Z', message == 'Z' || message == 'C' || message == 'T' || message == 'I'
	}
	return false, false
}

// trackPrepared keeps track of the statements that the connection has prepared.
func (a *answerReader) trackPrepared(e expectedAnswer) {
	if e.name == "" {
		return
	}
	switch e.kind {
	case 'P':
		a.conn.prepared[e.name] = struct{}{}
	case 'C':
		delete(a.conn.prepared, e.name)
	}
}

// skipToSync drops the expected answers up to the next Sync or Query: after an
// error the server skips all messages before it.
func (a *answerReader) skipToSync() {
	for len(a.expected) > 0 && a.expected[0].kind != 'S' && a.expected[0].kind != 'Q' {
		a.expected = a.expected[1:]
	}
}

// synthesize answers each Parse that was not sent, because the connection has
// prepared its statement already.
func (a *answerReader) synthesize() {
	for len(a.expected) > 0 && a.expected[0].origin == synthesized {
		a.pending = append(a.pending, parseComplete...)
		a.expected = a.expected[1:]
	}
}

// dropMessage consumes a message without passing it on.
func (a *answerReader) dropMessage(length int) error {
	_, err := a.conn.reader.peek(length)
	if err == nil {
		a.conn.reader.discard(headerBytes + length)
	}
	return err
}

// forwardMessage adds a message of any length to pending, in parts, and flushes
// pending whenever a chunk is full.
func (a *answerReader) forwardMessage(length int) error {
	for rest := headerBytes + length; rest > 0; {
		part, err := a.conn.reader.available(rest)
		if err != nil {
			return err
		}
		if !a.discard {
			a.pending = append(a.pending, part...)
		}
		a.conn.reader.discard(len(part))
		rest -= len(part)
		if len(a.pending) >= chunkBytes {
			if err := a.flush(); err != nil {
				return err
			}
		}
	}
	return nil
}

// withheldTooLong reports an answer of which more than maxWithheldBytes would have
// to be withheld.
type withheldTooLong struct{}

func (e *withheldTooLong) Error() string {
	return "the answer of a committing batch is too long to be held back"
}

// flush passes on as much of pending as the buffering allows.
func (a *answerReader) flush() error {
	if a.buffering == bufferStatements && !a.delivered && len(a.pending) <= maxStatementsBytes {
		return nil
	}
	end := len(a.pending)
	if a.buffering >= bufferFromAck && a.ackIndex >= 0 {
		end = a.ackIndex
	}
	if a.buffering == bufferAll && !a.overflowed {
		if len(a.pending) <= maxStoredBytes {
			return nil
		}
		a.overflowed = true
	}
	if len(a.pending)-end > maxWithheldBytes {
		return &withheldTooLong{}
	}
	a.deliverUpTo(end)
	return nil
}

// deliverUpTo passes the first end bytes of pending to the sink. After an error of
// the sink the rest of the answer is dropped.
func (a *answerReader) deliverUpTo(end int) {
	if end == 0 || a.discard {
		return
	}
	a.delivered = true
	err := a.sink(a.pending[:end])
	if err != nil {
		a.sinkErr = err
		a.discard = true
		a.pending = a.pending[:0]
		a.ackIndex = -1
		return
	}
	a.pending = append(a.pending[:0], a.pending[end:]...)
	if a.ackIndex >= 0 {
		a.ackIndex -= end
	}
}

// deliverRest passes on the rest of an answer that needs no confirmation.
func (a *answerReader) deliverRest() error {
	a.deliverUpTo(len(a.pending))
	return a.sinkErr
}

// deliverBeforeAck passes on what precedes the first acknowledgement and returns
// the rest.
func (a *answerReader) deliverBeforeAck() ([]byte, error) {
	if a.ackIndex > 0 {
		a.deliverUpTo(a.ackIndex)
	}
	if a.sinkErr != nil {
		return nil, a.sinkErr
	}
	return append([]byte{}, a.pending...), nil
}
