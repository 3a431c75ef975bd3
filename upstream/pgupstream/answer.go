package pgupstream

import (
	"lovageslip/fault"
	"lovageslip/upstream"
)

const (
	chunkBytes = 16 << 10
	// maxHeldBytes bounds the answer of a committing write from its first
	// acknowledgement on, which is held back as a whole.
	maxHeldBytes    = 8 << 20
	maxSeveralBytes = 1 << 20
)

// holding says what of an answer is kept back until the batch is over.
type holding int

const (
	// holdHead keeps the head of the answer until its first row, or until it
	// fills a chunk, so that a refusal can still be rerouted.
	holdHead holding = iota
	// holdSeveral keeps the answers of several statements together up to
	// maxSeveralBytes, because a later one may be refused and rerouted.
	holdSeveral
	// holdFromAck keeps everything from the first acknowledgement on.
	holdFromAck
	// holdAll keeps everything up to storeBytes.
	holdAll
)

// answer reads the answer of one batch and passes it on.
type answer struct {
	conn  *Conn
	sink  upstream.Sink
	hold  holding
	queue []expected

	// held is what hasn't reached the sink.
	held []byte
	// ackAt is the index in held of the first acknowledgement, or -1.
	ackAt   int
	passed  bool
	sawRow  bool
	discard bool
	sinkErr error
	// overflowed is true if the answer is too long for the ledger.
	overflowed bool

	failure *fault.Database
	// committed, began: a COMMIT or BEGIN was acknowledged.
	committed bool
	began     bool
	// rolledBack is true if the last acknowledgement was of a ROLLBACK.
	rolledBack bool
}

func (a *answer) code() string {
	if a.failure == nil {
		return ""
	}
	return a.failure.Code
}

// read reads up to the last ReadyForQuery of the batch.
func (a *answer) read() error {
	a.ackAt = -1
	a.synthesize()
	for len(a.queue) > 0 {
		if err := a.step(); err != nil {
			return a.conn.fail(err)
		}
	}
	return nil
}

func (a *answer) step() error {
	if err := a.flushBeforeWait(); err != nil {
		return err
	}
	return a.next()
}

// flushBeforeWait passes on rows instead of keeping them while the server
// works on the next ones.
func (a *answer) flushBeforeWait() error {
	if !a.sawRow || a.failure != nil || len(a.held) == 0 || a.conn.in.buffered() > 0 {
		return nil
	}
	return a.release()
}

// next handles one message.
func (a *answer) next() error {
	kind, length, err := a.conn.in.header()
	if err != nil {
		return err
	}
	switch kind {
	case 'D':
		a.sawRow = true
		return a.copy(length)
	case 'G', 'H', 'W':
		return &surprise{detail: "COPY is not supported"}
	case 'E', 'C', 'Z':
		return a.outcome(kind, length)
	case 'S':
		if raw, err := a.conn.in.peek(length); err == nil {
			a.conn.noteParameter(raw[headerBytes:])
		}
		return a.copy(length)
	case 'N', 'A':
		return a.copy(length)
	}
	return a.answered(kind, length)
}

// outcome handles the messages that carry outcomes.
func (a *answer) outcome(kind byte, length int) error {
	raw, err := a.conn.in.peek(length)
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
		return a.copy(length)
	case 'C':
		a.noteTag(cstring(body))
		if a.ackAt < 0 {
			a.ackAt = len(a.held)
		}
	case 'Z':
		if err := a.conn.setState(body); err != nil {
			return err
		}
	}
	return a.answered(kind, length)
}

func (a *answer) noteTag(tag string) {
	a.rolledBack = tag == "ROLLBACK"
	switch tag {
	case "COMMIT", "PREPARE TRANSACTION":
		a.committed = true
	case "BEGIN", "START TRANSACTION":
		a.began = true
	}
}

// answered matches a message with the request that it answers, then passes it
// on or swallows it.
func (a *answer) answered(kind byte, length int) error {
	if len(a.queue) == 0 {
		return &surprise{detail: "answer without a request"}
	}
	head := a.queue[0]
	final, ok := match(head.kind, kind)
	if !ok {
		return &surprise{detail: "message " + string(rune(kind)) + " does not answer " + string(rune(head.kind))}
	}
	if head.origin == injected {
		if err := a.skip(length); err != nil {
			return err
		}
	} else if err := a.copy(length); err != nil {
		return err
	}
	if final {
		a.note(head)
		a.queue = a.queue[1:]
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

// note keeps track of the statements that the connection has prepared.
func (a *answer) note(e expected) {
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

// skipToSync drops what the server doesn't answer after an error.
func (a *answer) skipToSync() {
	for len(a.queue) > 0 && a.queue[0].kind != 'S' && a.queue[0].kind != 'Q' {
		a.queue = a.queue[1:]
	}
}

// synthesize answers requests that were not sent.
func (a *answer) synthesize() {
	for len(a.queue) > 0 && a.queue[0].origin == synthesized {
		a.held = append(a.held, parseComplete...)
		a.queue = a.queue[1:]
	}
}

// skip drops a message.
func (a *answer) skip(length int) error {
	_, err := a.conn.in.peek(length)
	if err == nil {
		a.conn.in.discard(headerBytes + length)
	}
	return err
}

// copy moves a message of any length towards the sink, in parts.
func (a *answer) copy(length int) error {
	for rest := headerBytes + length; rest > 0; {
		part, err := a.conn.in.available(rest)
		if err != nil {
			return err
		}
		if !a.discard {
			a.held = append(a.held, part...)
		}
		a.conn.in.discard(len(part))
		rest -= len(part)
		if len(a.held) >= chunkBytes {
			if err := a.release(); err != nil {
				return err
			}
		}
	}
	return nil
}

// heldTooLong reports an answer that can neither be passed on nor kept.
type heldTooLong struct{}

func (e *heldTooLong) Error() string {
	return "the answer of a committing batch is too long to be held back"
}

// release passes on what the batch's holding allows.
func (a *answer) release() error {
	if a.hold == holdSeveral && !a.passed && len(a.held) <= maxSeveralBytes {
		return nil
	}
	end := len(a.held)
	if a.hold >= holdFromAck && a.ackAt >= 0 {
		end = a.ackAt
	}
	if a.hold == holdAll && !a.overflowed {
		if len(a.held) <= storeBytes {
			return nil
		}
		a.overflowed = true
	}
	if len(a.held)-end > maxHeldBytes {
		return &heldTooLong{}
	}
	a.passUpTo(end)
	return nil
}

// passUpTo gives held bytes to the sink. After an error of the sink the rest of
// the answer is dropped.
func (a *answer) passUpTo(end int) {
	if end == 0 || a.discard {
		return
	}
	a.passed = true
	err := a.sink(a.held[:end])
	if err != nil {
		a.sinkErr = err
		a.discard = true
		a.held = a.held[:0]
		a.ackAt = -1
		return
	}
	a.held = append(a.held[:0], a.held[end:]...)
	if a.ackAt >= 0 {
		a.ackAt -= end
	}
}

// finish passes on the rest of an answer that needs no confirmation.
func (a *answer) finish() error {
	a.passUpTo(len(a.held))
	return a.sinkErr
}

// tail passes on what precedes the first acknowledgement and returns the rest.
func (a *answer) tail() ([]byte, error) {
	if a.ackAt > 0 {
		a.passUpTo(a.ackAt)
	}
	if a.sinkErr != nil {
		return nil, a.sinkErr
	}
	return append([]byte{}, a.held...), nil
}
