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
	// maxStoredBytes is the longest answer that the ledger keeps.
	maxStoredBytes    = 64 << 10
	maxRequestIDBytes = 128
	maxLedgerAttempts = 3

	codeUniqueViolation = "23505"
	codeUndefinedTable  = "42P01"
	codeDuplicateTable  = "42P07"

	// createLedgerSQL creates the request ledger: a table of the request ids of
	// committed writes, with their answers.
	createLedgerSQL = "CREATE TABLE IF NOT EXISTS lovageslip_requests " +
		"(id TEXT PRIMARY KEY, created_at BIGINT NOT NULL, answer TEXT)"
)

// ledgerRetry reports that the request can start again: the ledger did not exist
// and was created, or the row of an earlier try was deleted meanwhile. Nothing of
// the request has run, because its transaction was rolled back.
type ledgerRetry struct{}

func (e *ledgerRetry) Error() string {
	return "the request ledger was created or its row deleted; the request can start again"
}

// readOnlyTransaction reports that the caller has begun a read-only transaction,
// which needs no ledger row.
type readOnlyTransaction struct{}

func (e *readOnlyTransaction) Error() string { return "the transaction is read only" }

// runIdempotent runs a write that carries a request id. The ledger's unique key
// lets at most one transaction with that id commit.
func (c *Conn) runIdempotent(id string, r *request, sink upstream.Sink) (upstream.Result, error) {
	if len(id) > maxRequestIDBytes || strings.IndexByte(id, 0) >= 0 {
		return upstream.Result{}, &fault.Invalid{Field: "request id", Value: id, Allowed: "1 to 128 bytes without zero bytes"}
	}
	if err := c.setWriteMode(); err != nil {
		return upstream.Result{}, err
	}
	var result upstream.Result
	var err error
	for range maxLedgerAttempts {
		if r.onlyBegin() {
			result, err = c.beginIdempotent(id, r, sink)
		} else {
			result, err = c.runInOwnTransaction(id, r, sink)
		}
		switch err.(type) {
		case *ledgerRetry:
			continue
		case *readOnlyTransaction:
			return c.runWrite(r, sink)
		}
		return result, err
	}
	return upstream.Result{}, unavailable("the request ledger can't be used")
}

func (c *Conn) setWriteMode() error {
	change := c.modeChangeSQL(false)
	if change == "" {
		return nil
	}
	if err := c.send(appendQuery(nil, change)); err != nil {
		return err
	}
	return c.readModeChange(change, false)
}

// beginIdempotent runs a BEGIN, then inserts the ledger row as the transaction's
// first statement. The answer to the BEGIN is passed on after that.
func (c *Conn) beginIdempotent(id string, r *request, sink upstream.Sink) (upstream.Result, error) {
	if err := c.send(r.encoded); err != nil {
		return upstream.Result{}, err
	}
	a := c.newAnswerReader(r, sink, bufferAll)
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
	result, err := c.insertClaim(sql)
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
	case codeUniqueViolation:
		return c.replay(id)
	case codeUndefinedTable:
		return upstream.Result{}, c.createLedger()
	case codeReadOnly:
		return upstream.Result{}, c.readOnlyClaimError(result.failure)
	}
	return upstream.Result{}, c.claimError(result.failure)
}

// insertClaim inserts the row. It can be cancelled, because it may wait for another
// transaction with the same id. If the connection breaks, nothing has run: the
// transaction can't commit, because COMMIT was not sent.
func (c *Conn) insertClaim(sql string) (*queryResult, error) {
	c.allowCancel()
	result, err := c.query(sql)
	c.disallowCancel()
	if err != nil {
		return nil, unavailable("request ledger: " + err.Error())
	}
	return result, nil
}

// claimError returns the error for a claim that failed. Its transaction is rolled
// back, so the request hasn't run.
func (c *Conn) claimError(failure *fault.Database) error {
	switch failure.Code {
	case codeReadOnly:
		return &fault.NotRun{Reason: fault.ReasonNotPrimary, Detail: failure.Message}
	case codeCancelled:
		return &fault.NotRun{Reason: fault.ReasonCancelled, Detail: failure.Message}
	}
	return unavailable("request ledger: " + failure.Error())
}

// readOnlyClaimError returns the error for a claim that was refused as read only.
// It is *readOnlyTransaction if the server accepts writes, because the caller has
// then begun a read-only transaction.
func (c *Conn) readOnlyClaimError(failure *fault.Database) error {
	after, err := c.queryStatus()
	if err != nil {
		return err
	}
	if acceptsWrites(after) {
		return &readOnlyTransaction{}
	}
	return c.claimError(failure)
}

func (c *Conn) createLedger() error {
	result, err := c.query(createLedgerSQL)
	if err != nil {
		return err
	}
	switch result.code() {
	case "", codeDuplicateTable, codeUniqueViolation:
		// Another connection may have created it at the same moment.
		return &ledgerRetry{}
	}
	return c.claimError(result.failure)
}

// replay returns the stored answer of the transaction that committed with the
// same id. The status is queried afterwards, so its position covers that commit.
func (c *Conn) replay(id string) (upstream.Result, error) {
	before, err := c.queryStatus()
	if err != nil {
		return upstream.Result{}, err
	}
	found, err := c.query("SELECT answer FROM lovageslip_requests WHERE id = " + quote(id))
	if err != nil {
		return upstream.Result{}, err
	}
	if found.failure != nil {
		return upstream.Result{}, c.claimError(found.failure)
	}
	if len(found.values) != 1 {
		// The row was deleted between the two statements.
		return upstream.Result{}, &ledgerRetry{}
	}
	after, err := c.queryStatus()
	if err != nil {
		return upstream.Result{}, err
	}
	if !stayedPrimary(before, after) {
		return upstream.Result{}, c.unconfirmedCommit()
	}
	result := upstream.Result{State: c.state, StatusAfter: *after, Committed: true, Replayed: true}
	stored := found.values[0][0]
	if stored == nil {
		return result, &fault.AlreadyCommitted{RequestID: id}
	}
	tail, err := base64.StdEncoding.DecodeString(string(stored))
	if err != nil {
		return upstream.Result{}, c.fail(&protocolError{detail: "stored answer is damaged"})
	}
	result.AnswerTail = tail
	return result, nil
}

// runInOwnTransaction runs a batch inside a transaction of the adapter's own, which
// also inserts the ledger row and stores the answer. The batch is sent only after
// the row is inserted: if the insert failed, a ROLLBACK in the batch would end the
// failed transaction, and the statements behind it would run without a row.
func (c *Conn) runInOwnTransaction(id string, r *request, sink upstream.Sink) (upstream.Result, error) {
	claimed, err := c.claim(id, "BEGIN; "+insertSQL(id))
	if err != nil || claimed.Replayed {
		return claimed, err
	}
	if err := c.send(append(appendQuery(nil, statusSQL), r.encoded...)); err != nil {
		return upstream.Result{}, err
	}
	a := c.newAnswerReader(r, sink, bufferAll)
	before, err := c.readStatusAndBatch(a)
	if err != nil {
		return upstream.Result{}, err
	}
	switch {
	case c.state == upstream.StateFailed && !a.began:
		return c.rollbackOwnTransaction(a)
	case c.state == upstream.StateOpen && !a.began:
		return c.commitOwnTransaction(id, a)
	case c.state != upstream.StateIdle:
		// The batch has begun a transaction that the caller continues. The
		// ledger row is part of it.
		return upstream.Result{State: c.state, DatabaseError: a.failure != nil}, c.finishAnswer(a)
	}
	after, err := c.queryStatus()
	if err != nil {
		return upstream.Result{}, err
	}
	return c.endWrite(a, before, after)
}

// rollbackOwnTransaction rolls back a batch that the database refused, together
// with the ledger row. The answer then ends with the idle state.
func (c *Conn) rollbackOwnTransaction(a *answerReader) (upstream.Result, error) {
	if err := c.rollback(); err != nil {
		return upstream.Result{}, err
	}
	after, err := c.queryStatus()
	if err != nil {
		return upstream.Result{}, err
	}
	a.setFinalState('I')
	return c.endWrite(a, nil, after)
}

// commitOwnTransaction stores the answer, unless it is longer than maxStoredBytes,
// and commits.
func (c *Conn) commitOwnTransaction(id string, a *answerReader) (upstream.Result, error) {
	a.setFinalState('I')
	sql := "COMMIT"
	if !a.overflowed && len(a.pending) <= maxStoredBytes {
		stored := base64.StdEncoding.EncodeToString(a.pending)
		sql = "UPDATE lovageslip_requests SET answer = '" + stored + "' WHERE id = " + quote(id) + "; COMMIT"
	}
	out := appendQuery(appendQuery(appendQuery(nil, statusSQL), sql), statusSQL)
	if err := c.send(out); err != nil {
		// The transaction can't commit any more if no byte of COMMIT was sent,
		// so the *fault.NotRun that send returns in that case is right.
		return upstream.Result{}, err
	}
	before, err := c.readStatusBefore()
	if err != nil {
		return upstream.Result{}, err
	}
	result, err := c.readRows()
	if err != nil {
		return upstream.Result{}, err
	}
	after, err := c.readStatusAfter()
	if err != nil {
		return upstream.Result{}, err
	}
	if result.failure != nil {
		return c.answerRefusedCommit(a, result.failure, after)
	}
	a.committed = true
	return c.endWrite(a, before, after)
}

// answerRefusedCommit answers with the error of the COMMIT instead of the batch's
// own answer.
func (c *Conn) answerRefusedCommit(a *answerReader, failure *fault.Database, after *upstream.Status) (upstream.Result, error) {
	if err := c.rollback(); err != nil {
		return upstream.Result{}, err
	}
	if after == nil {
		var err error
		if after, err = c.queryStatus(); err != nil {
			return upstream.Result{}, err
		}
	}
	a.failure = failure
	a.committed = false
	a.ackIndex = -1
	a.pending = errorAnswer(failure)
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
func (a *answerReader) setFinalState(state byte) {
	if len(a.pending) > 0 {
		a.pending[len(a.pending)-1] = state
	}
}
