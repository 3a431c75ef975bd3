package pgcaller

import (
	"bytes"
	"encoding/binary"
	"slices"

	"lovageslip/fault"
	"lovageslip/upstream"
)

const (
	// maxStatements and maxStatementText bound a caller's named statements.
	maxStatements    = 2_000
	maxStatementText = 4 << 20
	// maxOperations bounds the messages of one batch.
	maxOperations = 20_000
)

// batch collects a caller's extended protocol messages up to Sync.
type batch struct {
	payload  []byte
	prepared []upstream.Prepared
	texts    []string
	ops      []op
	// declared lists the statements that the batch has defined and that the
	// caller has not been told of yet.
	declared []declaration
	// unnamedSent is true once the payload defines the unnamed statement.
	unnamedSent bool
	// forward is true if an upstream has to see the batch.
	forward bool
	// local is true if the batch executes a statement that the proxy answers.
	local bool
	// silent is true for a batch that ended with Flush: no ReadyForQuery.
	silent bool
	// err refuses the whole batch: nothing of it runs.
	err error
	// reported is true if the caller was told of err already.
	reported bool
}

// op is a message whose answer is expected, in order.
type op struct {
	kind opKind
	// answer is what the proxy itself answers, for opLocal.
	answer func(c *conn) error
}

type opKind uint8

const (
	// opLocal is answered by the proxy.
	opLocal opKind = iota
	// opHidden is a Parse that the caller did not send.
	opHidden
	opParse
	opBind
	opDescribe
	opExecute
	opClose
)

// declaration is a statement that a batch has defined under a name.
type declaration struct {
	name      string
	statement *statement
	before    *statement // the unnamed statement's earlier definition
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
	if len(b.payload)+len(body) > c.server.options.MaxMessage || len(b.ops) > maxOperations {
		return &messageTooLarge{size: len(b.payload) + len(body), limit: c.server.options.MaxMessage}
	}
	err := c.add(b, kind, body)
	if isA[*protocolError](err) {
		return err
	}
	b.err = err
	return nil
}

func (c *conn) add(b *batch, kind byte, body []byte) error {
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
	name, rest, ok := cutString(body)
	text, types, ok2 := cutString(rest)
	if !ok || !ok2 {
		return &protocolError{detail: "malformed Parse"}
	}
	oids, err := parseTypes(types)
	if err != nil {
		return err
	}
	st, err := c.newStatement(text, oids)
	if err != nil {
		return err
	}
	if err := c.declare(b, name, st); err != nil {
		return err
	}
	if name == "" && st.local == nil {
		b.append('P', body)
		b.unnamedSent = true
		b.expect(opParse)
		return nil
	}
	if st.local == nil {
		// The owner prepares the statement, so an error shows at once.
		b.use(st)
		b.forward = true
	}
	b.answer(func(c *conn) error {
		b.confirm(name)
		return c.writer.add(parseComplete)
	})
	return nil
}

// declare gives a statement its name for this caller.
func (c *conn) declare(b *batch, name string, st *statement) error {
	before := c.statements[name]
	if name != "" {
		if before != nil && before.global == st.global {
			// After a lost answer a caller cannot know that the statement
			// exists, and drivers prepare it again under the same name. The
			// same definition changes nothing.
			return nil
		}
		if before != nil {
			return &repeatedName{name: name}
		}
		if len(c.statements) >= maxStatements || c.textBytes+len(st.sql) > maxStatementText {
			return &fault.Unsupported{Feature: "so many prepared statements at a time"}
		}
		c.textBytes += len(st.sql)
	}
	if c.statements == nil {
		c.statements = make(map[string]*statement)
	}
	c.statements[name] = st
	b.declared = append(b.declared, declaration{name: name, statement: st, before: before})
	return nil
}

func (b *batch) confirm(name string) {
	for i := range b.declared {
		if b.declared[i].name == name {
			b.declared[i].confirmed = true
		}
	}
}

// undeclare forgets the statements that the caller was not told of, because
// the batch failed.
func (c *conn) undeclare(b *batch) {
	for i := len(b.declared) - 1; i >= 0; i-- {
		d := b.declared[i]
		if d.confirmed || d.name == "" || c.statements[d.name] != d.statement {
			continue
		}
		c.dropStatement(d.name)
	}
}

func (c *conn) dropStatement(name string) {
	st := c.statements[name]
	if st == nil {
		return
	}
	if name != "" {
		c.textBytes -= len(st.sql)
	}
	delete(c.statements, name)
}

func (c *conn) addBind(b *batch, body []byte) error {
	portal, rest, ok := cutString(body)
	name, arguments, ok2 := cutString(rest)
	if !ok || !ok2 {
		return &protocolError{detail: "malformed Bind"}
	}
	st := c.statements[name]
	if st == nil {
		return &noStatement{name: name}
	}
	c.setPortal(portal, st)
	if c.localOf(st) != nil {
		b.answer(func(c *conn) error { return c.writer.add(bindComplete) })
		return nil
	}
	c.reference(b, name, st)
	b.appendRenamed('B', []byte(portal+"\x00"+wireName(name, st)+"\x00"), arguments)
	b.expect(opBind)
	return nil
}

func (c *conn) setPortal(portal string, st *statement) {
	if c.portals == nil {
		c.portals = make(map[string]*statement)
	}
	c.portals[portal] = st
}

// reference makes the statement known to the connection that runs the batch.
func (c *conn) reference(b *batch, name string, st *statement) {
	if name != "" {
		b.use(st)
		return
	}
	if b.unnamedSent {
		return
	}
	// The unnamed statement was defined in an earlier batch, which may have
	// run on another connection.
	b.append('P', st.parseBody())
	b.unnamedSent = true
	b.expect(opHidden)
}

// wireName is the name of a statement towards upstreams.
func wireName(name string, st *statement) string {
	if name == "" {
		return ""
	}
	return st.global
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
		return &noStatement{name: name}
	}
	if local := c.localOf(st); local != nil {
		b.answer(func(c *conn) error { return local.describe(c, true) })
		return nil
	}
	c.reference(b, name, st)
	b.appendRenamed('D', []byte("S"+wireName(name, st)+"\x00"), nil)
	b.expect(opDescribe)
	return nil
}

func (c *conn) describePortal(b *batch, name string, body []byte) error {
	st := c.portals[name]
	if st == nil {
		return &noStatement{name: name}
	}
	if local := c.localOf(st); local != nil {
		b.answer(func(c *conn) error { return local.describe(c, false) })
		return nil
	}
	b.append('D', body)
	b.expect(opDescribe)
	return nil
}

func (c *conn) addExecute(b *batch, body []byte) error {
	name, _, ok := cutString(body)
	if !ok {
		return &protocolError{detail: "malformed Execute"}
	}
	st := c.portals[name]
	if st == nil {
		return &noStatement{name: name}
	}
	if local := c.localOf(st); local != nil {
		if len(b.texts) > 0 {
			return mixed
		}
		b.local = true
		b.answer(func(c *conn) error { return local.execute(c, false) })
		return nil
	}
	if b.local {
		return mixed
	}
	if c.lost {
		return &failedTransaction{}
	}
	b.texts = append(b.texts, st.sql)
	b.append('E', body)
	b.expect(opExecute)
	return nil
}

var mixed = &fault.Unsupported{Feature: "a statement that the proxy answers (SET, SHOW or RESET) in one batch with others"}

func (c *conn) addClose(b *batch, body []byte) error {
	kind, name, ok := cutTarget(body)
	if !ok {
		return &protocolError{detail: "malformed Close"}
	}
	if kind == 'P' && c.inTransaction {
		b.append('C', body)
		b.expect(opClose)
		return nil
	}
	if kind == 'S' {
		c.dropStatement(name)
	}
	b.answer(func(c *conn) error { return c.writer.add(closeComplete) })
	return nil
}

// use adds the definition of a named statement once.
func (b *batch) use(st *statement) {
	for _, p := range b.prepared {
		if p.Name == st.global {
			return
		}
	}
	b.prepared = append(b.prepared, upstream.Prepared{Name: st.global, SQL: st.sql, ParameterOIDs: st.oids})
}

// binds reports whether the batch creates a portal.
func (b *batch) binds() bool {
	return slices.ContainsFunc(b.ops, func(o op) bool { return o.kind == opBind })
}

func (b *batch) expect(kind opKind) {
	b.forward = true
	b.ops = append(b.ops, op{kind: kind})
}

func (b *batch) answer(f func(c *conn) error) {
	b.ops = append(b.ops, op{kind: opLocal, answer: f})
}

func (b *batch) append(kind byte, body []byte) { b.appendRenamed(kind, body, nil) }

func (b *batch) appendRenamed(kind byte, head, tail []byte) {
	b.payload = append(b.payload, kind)
	b.payload = binary.BigEndian.AppendUint32(b.payload, uint32(4+len(head)+len(tail)))
	b.payload = append(b.payload, head...)
	b.payload = append(b.payload, tail...)
}

// Encoded answers without a body.
var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	bindComplete  = []byte{'2', 0, 0, 0, 4}
	closeComplete = []byte{'3', 0, 0, 0, 4}
	syncMessage   = []byte{'S', 0, 0, 0, 4}
)

// cutString cuts a zero-terminated string off. The string is a copy.
func cutString(body []byte) (text string, rest []byte, ok bool) {
	end := bytes.IndexByte(body, 0)
	if end < 0 {
		return "", nil, false
	}
	return string(body[:end]), body[end+1:], true
}

// cutTarget reads the kind ('S' or 'P') and name of Describe and Close.
func cutTarget(body []byte) (kind byte, name string, ok bool) {
	if len(body) < 2 || body[0] != 'S' && body[0] != 'P' {
		return 0, "", false
	}
	name, _, ok = cutString(body[1:])
	return body[0], name, ok
}

func parseTypes(body []byte) ([]uint32, error) {
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
