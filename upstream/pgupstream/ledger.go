package pgupstream

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"lovageslip/fault"
	"lovageslip/upstream"
)

const (
	// storeBytes is the longest answer that the ledger keeps.
	storeBytes        = 64 << 10
	maxRequestIDBytes = 128
	ledgerTries       = 3

	codeUnique       = "23505"
	codeMissingTable = "42P01"
	codeTableExists  = "42P07"

	createLedgerSQL = "CREATE TABLE IF NOT EXISTS lovageslip_requests " +
		"(id TEXT PRIMARY KEY, created_at BIGINT NOT NULL, answer TEXT)"
)

// ledgerRetry says that the ledger was prepared and the request can start anew;
// nothing of it has run, because its transaction was rolled back.
type ledgerRetry struct{}

func (e *ledgerRetry) Error() string { return "the request ledger has been created" }

// readOnlyClaim says that the transaction is read only by the caller's own
// choice, so that it needs no ledger row.
type readOnlyClaim struct{}

func (e *readOnlyClaim) Error() string { return "the transaction is read only" }

// runOnce runs a write that carries a request id: the ledger's unique key lets
// at most one transaction with that id commit.
func (c *Conn) runOnce(id string, r *request, sink upstream.Sink) (upstream.Result, error) {
	if len(id) > maxRequestIDBytes || strings.IndexByte(id, 0) >= 0 {
		return upstream.Result{}, &fault.Invalid{Field: "request id", Value: id, Allowed: "1 to 128 bytes without zero bytes"}
	}
	if err := c.writeMode(); err != nil {
		return upstream.Result{}, err
	}
	var result upstream.Result
	var err error
	for range ledgerTries {
		if r.onlyBegin() {
			result, err = c.beginOnce(id, r, sink)
		} else {
			result, err = c.wrapOnce(id, r, sink)
		}
		switch err.(type) {
		case *ledgerRetry:
			continue
		case *readOnlyClaim:
			return c.runWrite(r, sink)
		}
		return result, err
	}
	return upstream.Result{}, unavailable("the request ledger can't be used")
}

func (c *Conn) writeMode() error {
	change := c.modeChange(false)
	if change == "" {
		return nil
	}
	if err := c.send(appendQuery(nil, change)); err != nil {
		return err
	}
	return c.readModeChange(change, false)
}

// beginOnce runs a BEGIN, then inserts the ledger row as the transaction's first
// statement. The caller hears of the BEGIN after that.
func (c *Conn) beginOnce(id string, r *request, sink upstream.Sink) (upstream.Result, error) {
	if err := c.send(r.out); err != nil {
		return upstream.Result{}, err
	}
	a := c.newAnswer(r, sink, holdAll)
	if err := a.read(); err != nil {
		return upstream.Result{}, err
	}
	if c.state == upstream.StateOpen {
		if result, err := c.claim(id, insertSQL(id)); err != nil || result.Replayed {
			return result, err
		}
	}
	result := upstream.Result{State: c.state, DatabaseError: a.failure != nil}
	return result, c.finishAnswer(a)
}

func insertSQL(id string) string {
	now := strconv.FormatInt(time.Now().Unix(), 10)
	return "INSERT INTO lovageslip_requests (id, created_at) VALUES (" + quote(id) + ", " + now + ")"
}

// claim inserts the ledger row. Without an error and without Replayed, the id
// is claimed and the transaction is open.
func (c *Conn) claim(id, sql string) (upstream.Result, error) {
	result, err := c.claimQuery(sql)
	if err != nil {
		return upstream.Result{}, err
	}
	if result.failure == nil {
		return upstream.Result{}, nil
	}
	if err := c.rollback(); err != nil {
		return upstream.Result{}, err
	}
	switch result.code() {
	case codeUnique:
		return c.replay(id)
	case codeMissingTable:
		return upstream.Result{}, c.createLedger()
	case codeReadOnly:
		return upstream.Result{}, c.readOnlyRefusal(result.failure)
	}
	return upstream.Result{}, c.claimRefused(result.failure)
}

// claimQuery inserts the row. It may wait for another transaction with the same
// id, so it can be cancelled. If the link breaks, nothing has run: the
// transaction can't commit, because COMMIT was not sent.
func (c *Conn) claimQuery(sql string) (*rows, error) {
	c.enterBatch()
	result, err := c.query(sql)
	c.leaveBatch()
	if err != nil {
		return nil, unavailable("request ledger: " + err.Error())
	}
	return result, nil
}

// claimRefused reports a claim that failed. Its transaction is rolled back, so
// the request hasn't run.
func (c *Conn) claimRefused(failure *fault.Database) error {
	switch failure.Code {
	case codeReadOnly:
		return &fault.NotRun{Reason: fault.ReasonNotPrimary, Detail: failure.Message}
	case codeCancelled:
		return &fault.NotRun{Reason: fault.ReasonCancelled, Detail: failure.Message}
	}
	return unavailable("request ledger: " + failure.Error())
}

// readOnlyRefusal tells a server that may not write from a transaction that
// doesn't want to.
func (c *Conn) readOnlyRefusal(failure *fault.Database) error {
	after, err := c.askStatus()
	if err != nil {
		return err
	}
	if leads(after) {
		return &readOnlyClaim{}
	}
	return c.claimRefused(failure)
}

func (c *Conn) createLedger() error {
	result, err := c.query(createLedgerSQL)
	if err != nil {
		return err
	}
	switch result.code() {
	case "", codeTableExists, codeUnique:
		// Another connection may have created it at the same moment.
		return &ledgerRetry{}
	}
	return c.claimRefused(result.failure)
}

// replay returns the stored answer of the transaction that committed with the
// same id. The status is asked afterwards, so its position covers that commit.
func (c *Conn) replay(id string) (upstream.Result, error) {
	before, err := c.askStatus()
	if err != nil {
		return upstream.Result{}, err
	}
	found, err := c.query("SELECT answer FROM lovageslip_requests WHERE id = " + quote(id))
	if err != nil {
		return upstream.Result{}, err
	}
	if found.failure != nil {
		return upstream.Result{}, c.claimRefused(found.failure)
	}
	if len(found.values) != 1 {
		// The row was deleted between the two statements.
		return upstream.Result{}, &ledgerRetry{}
	}
	after, err := c.askStatus()
	if err != nil {
		return upstream.Result{}, err
	}
	if !sameReign(before, after) {
		return upstream.Result{}, c.unconfirmable()
	}
	result := upstream.Result{State: c.state, After: *after, Committed: true, Replayed: true}
	stored := found.values[0][0]
	if stored == nil {
		return result, &fault.AlreadyCommitted{RequestID: id}
	}
	tail, err := base64.StdEncoding.DecodeString(string(stored))
	if err != nil {
		return upstream.Result{}, c.fail(&surprise{detail: "stored answer is damaged"})
	}
	result.Tail = tail
	return result, nil
}

// wrapOnce runs a batch inside a transaction of the adapter's own, which also
// holds the ledger row and the answer. The batch is sent only after the row is
// in, because a ROLLBACK in the batch could otherwise escape from a transaction
// that the row's refusal has failed.
func (c *Conn) wrapOnce(id string, r *request, sink upstream.Sink) (upstream.Result, error) {
	claimed, err := c.claim(id, "BEGIN; "+insertSQL(id))
	if err != nil || claimed.Replayed {
		return claimed, err
	}
	if err := c.send(append(appendQuery(nil, statusSQL), r.out...)); err != nil {
		return upstream.Result{}, err
	}
	a := c.newAnswer(r, sink, holdAll)
	before, err := c.readStatusAndBatch(a)
	if err != nil {
		return upstream.Result{}, err
	}
	switch {
	case c.state == upstream.StateFailed && !a.began:
		return c.failOnce(a)
	case c.state == upstream.StateOpen && !a.began:
		return c.commitOnce(id, a)
	case c.state != upstream.StateIdle:
		// The batch began a transaction of the caller's that goes on; the
		// ledger row is part of it.
		return upstream.Result{State: c.state, DatabaseError: a.failure != nil}, c.finishAnswer(a)
	}
	after, err := c.askStatus()
	if err != nil {
		return upstream.Result{}, err
	}
	return c.endWrite(a, before, after)
}

// failOnce ends a batch that the database refused: the row goes, and the caller
// hears of an idle connection.
func (c *Conn) failOnce(a *answer) (upstream.Result, error) {
	if err := c.rollback(); err != nil {
		return upstream.Result{}, err
	}
	after, err := c.askStatus()
	if err != nil {
		return upstream.Result{}, err
	}
	a.setFinalState('I')
	return c.endWrite(a, nil, after)
}

// commitOnce stores the answer and commits.
func (c *Conn) commitOnce(id string, a *answer) (upstream.Result, error) {
	a.setFinalState('I')
	sql := "COMMIT"
	if !a.overflowed && len(a.held) <= storeBytes {
		stored := base64.StdEncoding.EncodeToString(a.held)
		sql = "UPDATE lovageslip_requests SET answer = '" + stored + "' WHERE id = " + quote(id) + "; COMMIT"
	}
	out := appendQuery(appendQuery(appendQuery(nil, statusSQL), sql), statusSQL)
	if err := c.send(out); err != nil {
		// Without a byte of COMMIT, the transaction can't commit any more, so
		// the NotRun that send may report is right.
		return upstream.Result{}, err
	}
	before, err := c.statusBefore()
	if err != nil {
		return upstream.Result{}, err
	}
	result, err := c.readRows()
	if err != nil {
		return upstream.Result{}, err
	}
	after, err := c.statusAfter()
	if err != nil {
		return upstream.Result{}, err
	}
	if result.failure != nil {
		return c.refusedOnce(a, result.failure, after)
	}
	a.committed = true
	return c.endWrite(a, before, after)
}

// refusedOnce answers the error of the COMMIT in place of the batch's own
// answer.
func (c *Conn) refusedOnce(a *answer, failure *fault.Database, after *upstream.Status) (upstream.Result, error) {
	if err := c.rollback(); err != nil {
		return upstream.Result{}, err
	}
	if after == nil {
		var err error
		if after, err = c.askStatus(); err != nil {
			return upstream.Result{}, err
		}
	}
	a.failure = failure
	a.committed = false
	a.ackAt = -1
	a.held = errorAnswer(failure)
	return c.endWrite(a, nil, after)
}

func errorAnswer(failure *fault.Database) []byte {
	message := &pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                failure.Code,
		Message:             failure.Message,
	}
	// Encode fails only for messages above 1 GiB.
	out, _ := message.Encode(nil)
	out, _ = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(out)
	return out
}

// setFinalState rewrites the state in the ReadyForQuery that ends the answer.
func (a *answer) setFinalState(state byte) {
	if len(a.held) > 0 {
		a.held[len(a.held)-1] = state
	}
}
