package pgcaller

import (
	"bytes"
	"encoding/binary"
	"slices"

	"lovageslip/fault"
	"lovageslip/upstream"
)

const (
	// maxStatements and maxStatementTextBytes bound a caller's named prepared
	// statements.
	maxStatements         = 2_000
	maxStatementTextBytes = 4 << 20
	// maxOperations bounds the messages of one batch.
	maxOperations = 20_000
)

// batch holds a caller's extended protocol messages up to Sync or Flush.
// payload is what the upstream gets, prepared are the named statements that
// have to exist on its connection, texts are the statements that it executes
// and ops are the answers that the caller expects.
type batch struct {
	payload  []byte
	prepared []upstream.Prepared
	texts    []string
	ops      []op
	// registered lists the statements that the batch defines. Those without a
	// ParseComplete to the caller are dropped if the batch fails.
	registered []registration
	// unnamedSent is true once the payload defines the unnamed statement.
	unnamedSent bool
	// forward is true if an upstream has to see the batch.
	forward bool
	// executesLocal is true if the batch executes a statement that the proxy
	// answers itself.
	executesLocal bool
	// endedByFlush is true for a batch that ended with Flush instead of Sync;
	// its answer has no ReadyForQuery.
	endedByFlush bool
	// err is the error that refuses the batch; nothing of it runs.
	err error
	// errReported is true if err was sent to the caller already.
	errReported bool
}

// op is one message of a batch for which an answer is expected. Answers come in
// the order of the messages.
type op struct {
	kind opKind
	// answer sends the proxy's own answer, for opLocal.
	answer func(c *conn) error
}

type opKind uint8

const (
	// opLocal is answered by the proxy itself.
	opLocal opKind = iota
	// opInjectedParse is a Parse that the proxy added; its answer is not
	// passed on to the caller.
	opInjectedParse
	opParse
	opBind
	opDescribe
	opExecute
	opClose
)

// registration records that a batch defines a statement under a name. confirmed
// is true once the caller gets its ParseComplete.
type registration struct {
	name      string
	statement *statement
	previous  *statement // the unnamed statement's earlier definition
	confirmed bool
}

// collect adds a message to the batch. After a refusal the rest of the batch
// is skipped up to Sync, as a server does.
func (c *conn) collect(kind byte, body []byte) error {
	if c.batch == nil {
		c.batch = &batch{}
	}
	b := c.batch
	if b.err != nil {
		return nil
	}
	if len(b.payload)+len(body) > c.server.options.MaxMessageBytes || len(b.ops) > maxOperations {
		return &messageTooLarge{size: len(b.payload) + len(body), limit: c.server.options.MaxMessageBytes}
	}
	err := c.addMessage(b, kind, body)
	if isA[*protocolError](err) {
		return err
	}
	b.err = err
	return nil
}

func (c *conn) addMessage(b *batch, kind byte, body []byte) error {
	switch kind {
	case 'P':
		return c.addParse(b, body)
	case 'B':
		return c.addBind(b, body)
	case 'D':
		return c.addDescribe(b, body)
	case 'E':
		return c.addExecute(b, body)
	}
	return c.addClose(b, body)
}

func (c *conn) addParse(b *batch, body []byte) error {
	name, rest, nameOK := cutString(body)
	text, types, textOK := cutString(rest)
	if !nameOK || !textOK {
		return &protocolError{detail: "malformed Parse"}
	}
	oids, err := parseParameterTypes(types)
	if err != nil {
		return err
	}
	st, err := c.newStatement(text, oids)
	if err != nil {
		return err
	}
	if err := c.registerStatement(b, name, st); err != nil {
		return err
	}
	if name == "" && st.local == nil {
		b.append('P', body)
		b.unnamedSent = true
		b.expectAnswer(opParse)
		return nil
	}
	if st.local == nil {
		// The owner prepares the statement in this batch, so that an error in
		// its text is reported now and not at its first use.
		b.addPrepared(st)
		b.forward = true
	}
	b.addLocalAnswer(func(c *conn) error {
		b.confirm(name)
		return c.writer.add(parseComplete)
	})
	return nil
}

// registerStatement stores a statement under the caller's name for it.
// Errors: *duplicateStatement, *fault.Unsupported.
func (c *conn) registerStatement(b *batch, name string, st *statement) error {
	previous := c.statements[name]
	if name != "" {
		if previous != nil && previous.upstreamName == st.upstreamName {
			// A caller that lost the answer to its Parse cannot know that the
			// statement exists, and drivers prepare it again under the same
			// name. An equal definition is therefore accepted.
			return nil
		}
		if previous != nil {
			return &duplicateStatement{name: name}
		}
		if len(c.statements) >= maxStatements || c.statementTextBytes+len(st.sql) > maxStatementTextBytes {
			return &fault.Unsupported{Feature: "so many prepared statements at a time"}
		}
		c.statementTextBytes += len(st.sql)
	}
	if c.statements == nil {
		c.statements = make(map[string]*statement)
	}
	c.statements[name] = st
	b.registered = append(b.registered, registration{name: name, statement: st, previous: previous})
	return nil
}

func (b *batch) confirm(name string) {
	for i := range b.registered {
		if b.registered[i].name == name {
			b.registered[i].confirmed = true
		}
	}
}

// dropUnconfirmed removes the statements of a failed batch for which the caller
// got no ParseComplete.
func (c *conn) dropUnconfirmed(b *batch) {
	for i := len(b.registered) - 1; i >= 0; i-- {
		r := b.registered[i]
		if r.confirmed || r.name == "" || c.statements[r.name] != r.statement {
			continue
		}
		c.dropStatement(r.name)
	}
}

func (c *conn) dropStatement(name string) {
	st := c.statements[name]
	if st == nil {
		return
	}
	if name != "" {
		c.statementTextBytes -= len(st.sql)
	}
	delete(c.statements, name)
}

func (c *conn) addBind(b *batch, body []byte) error {
	portal, rest, portalOK := cutString(body)
	name, arguments, nameOK := cutString(rest)
	if !portalOK || !nameOK {
		return &protocolError{detail: "malformed Bind"}
	}
	st := c.statements[name]
	if st == nil {
		return &statementNotFound{name: name}
	}
	c.setPortal(portal, st)
	if c.localStatementFor(st) != nil {
		b.addLocalAnswer(func(c *conn) error { return c.writer.add(bindComplete) })
		return nil
	}
	c.ensureDefined(b, name, st)
	b.appendMessage('B', []byte(portal+"\x00"+nameForUpstream(name, st)+"\x00"), arguments)
	b.expectAnswer(opBind)
	return nil
}

func (c *conn) setPortal(portal string, st *statement) {
	if c.portals == nil {
		c.portals = make(map[string]*statement)
	}
	c.portals[portal] = st
}

// ensureDefined makes sure that the statement exists on the upstream connection
// that runs the batch.
func (c *conn) ensureDefined(b *batch, name string, st *statement) {
	if name != "" {
		b.addPrepared(st)
		return
	}
	if b.unnamedSent {
		return
	}
	// The unnamed statement was defined in an earlier batch, which may have
	// run on another connection.
	b.append('P', st.parseBody())
	b.unnamedSent = true
	b.expectAnswer(opInjectedParse)
}

// nameForUpstream returns the name under which upstreams know a statement. The
// unnamed statement stays unnamed.
func nameForUpstream(name string, st *statement) string {
	if name == "" {
		return ""
	}
	return st.upstreamName
}

func (c *conn) addDescribe(b *batch, body []byte) error {
	kind, name, ok := cutTarget(body)
	if !ok {
		return &protocolError{detail: "malformed Describe"}
	}
	if kind == 'P' {
		return c.describePortal(b, name, body)
	}
	st := c.statements[name]
	if st == nil {
		return &statementNotFound{name: name}
	}
	if local := c.localStatementFor(st); local != nil {
		b.addLocalAnswer(func(c *conn) error { return local.describe(c, true) })
		return nil
	}
	c.ensureDefined(b, name, st)
	b.appendMessage('D', []byte("S"+nameForUpstream(name, st)+"\x00"), nil)
	b.expectAnswer(opDescribe)
	return nil
}

func (c *conn) describePortal(b *batch, name string, body []byte) error {
	st := c.portals[name]
	if st == nil {
		return &statementNotFound{name: name}
	}
	if local := c.localStatementFor(st); local != nil {
		b.addLocalAnswer(func(c *conn) error { return local.describe(c, false) })
		return nil
	}
	b.append('D', body)
	b.expectAnswer(opDescribe)
	return nil
}

func (c *conn) addExecute(b *batch, body []byte) error {
	name, _, ok := cutString(body)
	if !ok {
		return &protocolError{detail: "malformed Execute"}
	}
	st := c.portals[name]
	if st == nil {
		return &statementNotFound{name: name}
	}
	if local := c.localStatementFor(st); local != nil {
		if len(b.texts) > 0 {
			return errMixedBatch
		}
		b.executesLocal = true
		b.addLocalAnswer(func(c *conn) error { return local.execute(c, false) })
		return nil
	}
	if b.executesLocal {
		return errMixedBatch
	}
	if c.transactionLost {
		return &failedTransaction{}
	}
	b.texts = append(b.texts, st.sql)
	b.append('E', body)
	b.expectAnswer(opExecute)
	return nil
}

var errMixedBatch = &fault.Unsupported{Feature: "a statement that the proxy answers (SET, SHOW or RESET) in one batch with others"}

func (c *conn) addClose(b *batch, body []byte) error {
	kind, name, ok := cutTarget(body)
	if !ok {
		return &protocolError{detail: "malformed Close"}
	}
	if kind == 'P' && c.inTransaction {
		b.append('C', body)
		b.expectAnswer(opClose)
		return nil
	}
	if kind == 'S' {
		c.dropStatement(name)
	}
	b.addLocalAnswer(func(c *conn) error { return c.writer.add(closeComplete) })
	return nil
}

// addPrepared adds the definition of a named statement unless the batch has it.
func (b *batch) addPrepared(st *statement) {
	for _, p := range b.prepared {
		if p.Name == st.upstreamName {
			return
		}
	}
	b.prepared = append(b.prepared, upstream.Prepared{Name: st.upstreamName, SQL: st.sql, ParameterOIDs: st.oids})
}

// hasBind reports whether the batch creates a portal.
func (b *batch) hasBind() bool {
	return slices.ContainsFunc(b.ops, func(o op) bool { return o.kind == opBind })
}

func (b *batch) expectAnswer(kind opKind) {
	b.forward = true
	b.ops = append(b.ops, op{kind: kind})
}

func (b *batch) addLocalAnswer(f func(c *conn) error) {
	b.ops = append(b.ops, op{kind: opLocal, answer: f})
}

func (b *batch) append(kind byte, body []byte) { b.appendMessage(kind, body, nil) }

func (b *batch) appendMessage(kind byte, head, tail []byte) {
	b.payload = append(b.payload, kind)
	b.payload = binary.BigEndian.AppendUint32(b.payload, uint32(4+len(head)+len(tail)))
	b.payload = append(b.payload, head...)
	b.payload = append(b.payload, tail...)
}

// Encoded messages that have no body: three answers that the proxy sends itself
// and the Sync at the end of a batch's payload.
var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	bindComplete  = []byte{'2', 0, 0, 0, 4}
	closeComplete = []byte{'3', 0, 0, 0, 4}
	syncMessage   = []byte{'S', 0, 0, 0, 4}
)

// cutString splits a zero-terminated string off the start of body. The string
// is a copy.
func cutString(body []byte) (text string, rest []byte, ok bool) {
	end := bytes.IndexByte(body, 0)
	if end < 0 {
		return "", nil, false
	}
	return string(body[:end]), body[end+1:], true
}

// cutTarget reads the object type ('S' statement, 'P' portal) and the name from
// the body of a Describe or Close.
func cutTarget(body []byte) (kind byte, name string, ok bool) {
	if len(body) < 2 || body[0] != 'S' && body[0] != 'P' {
		return 0, "", false
	}
	name, _, ok = cutString(body[1:])
	return body[0], name, ok
}

func parseParameterTypes(body []byte) ([]uint32, error) {
	if len(body) < 2 {
		return nil, &protocolError{detail: "malformed Parse"}
	}
	count := int(binary.BigEndian.Uint16(body))
	body = body[2:]
	if len(body) != 4*count {
		return nil, &protocolError{detail: "malformed Parse"}
	}
	var oids []uint32
	for range count {
		oids = append(oids, binary.BigEndian.Uint32(body))
		body = body[4:]
	}
	return oids, nil
}
