package standin

import (
	"strings"

	"lovageslip/upstream"
)

// transaction is the state of a session's transaction. The zero value means that
// the session has none.
type transaction struct {
	// explicit is true after BEGIN.
	explicit bool
	failed   bool
	readOnly bool
	// openInSQLite is true if SQLite has a transaction open.
	openInSQLite bool
	// holdsWriteLock is true while the session holds the server's write lock.
	holdsWriteLock bool
	// term is the server's term at the transaction's writes.
	term upstream.Term
	// statements are the writes to log at commit.
	statements []loggedStatement
	savepoints []savepoint
}

type savepoint struct {
	name string
	// statementCount is how many statements the transaction had when the
	// savepoint was made.
	statementCount int
}

func (t *transaction) status() byte {
	switch {
	case t.failed:
		return 'E'
	case t.explicit:
		return 'T'
	}
	return 'I'
}

func (s *session) readOnly() bool {
	if s.tx.explicit {
		return s.tx.readOnly
	}
	return s.settings.readOnly()
}

// beginInSQLite opens SQLite's transaction if it isn't open. It is called at the
// first statement that needs it, so that an empty transaction costs nothing.
func (s *session) beginInSQLite() *pgError {
	if s.tx.openInSQLite {
		return nil
	}
	if _, err := s.db.Exec("BEGIN", nil); err != nil {
		return databaseError(err)
	}
	s.tx.openInSQLite = true
	s.hasSQLiteTransaction.Store(true)
	return nil
}

// checkWrite returns a read-only error if the session is read-only or the server
// may not write.
func (s *session) checkWrite(keyword string) *pgError {
	if s.readOnly() {
		return readOnlyError(keyword)
	}
	if _, ok := s.server.state.mayWrite(); !ok {
		return readOnlyError(keyword)
	}
	return nil
}

// beginWrite opens SQLite's transaction for a write. The session already holds the
// server's write lock, so that it never waits for SQLite's lock.
func (s *session) beginWrite(keyword string) *pgError {
	if failure := s.beginInSQLite(); failure != nil {
		return failure
	}
	// The server may have lost its role since checkWrite. The role is checked
	// again now that closeTransactions sees the transaction, so that none
	// keeps SQLite's lock on a server that has become a replica.
	term, ok := s.server.state.mayWrite()
	if !ok || len(s.tx.statements) > 0 && s.tx.term != term {
		return readOnlyError(keyword)
	}
	s.tx.term = term
	return nil
}

// commit commits SQLite's transaction and appends what it wrote to the log. It
// rolls back on an error.
func (s *session) commit() *pgError {
	if !s.tx.openInSQLite {
		return nil
	}
	commit := func() error {
		_, err := s.db.Exec("COMMIT", nil)
		return err
	}
	var err error
	if len(s.tx.statements) == 0 {
		err = commit()
	} else {
		err = s.server.state.commitEntry(s.tx.term, s.tx.statements, commit)
	}
	if err != nil {
		s.rollback()
		return databaseError(err)
	}
	s.recordSchemaChange()
	s.clearSQLiteTransaction()
	return nil
}

func (s *session) recordSchemaChange() {
	for _, logged := range s.tx.statements {
		if logged.Schema {
			s.server.store.incrementSchemaVersion()
			return
		}
	}
}

// rollback undoes SQLite's transaction and releases the write lock.
func (s *session) rollback() {
	if s.tx.openInSQLite {
		if _, err := s.db.Exec("ROLLBACK", nil); err != nil {
			s.server.log.Debug("rollback failed", "error", err)
		}
	}
	s.clearSQLiteTransaction()
}

func (s *session) clearSQLiteTransaction() {
	s.tx.openInSQLite = false
	s.hasSQLiteTransaction.Store(false)
	if s.tx.holdsWriteLock {
		s.tx.holdsWriteLock = false
		s.server.writeLock.release()
	}
	s.tx.statements = nil
	s.tx.savepoints = nil
}

// abort marks an explicit transaction as failed after an error. It rolls back at
// once, which releases the locks, unless the client can still return to a
// savepoint.
func (s *session) abort() {
	if s.tx.explicit {
		s.tx.failed = true
		if len(s.tx.savepoints) > 0 {
			return
		}
	}
	s.rollback()
}

// commitImplicit commits what a Query, or a sequence of messages up to a Sync,
// wrote outside of an explicit transaction.
func (s *session) commitImplicit() *pgError {
	if s.tx.explicit {
		return nil
	}
	failure := s.commit()
	s.tx = transaction{}
	return failure
}

// executeTransactionStatement runs a statement that begins or ends a transaction
// or rolls back to a savepoint. It returns false for other statements.
func (s *session) executeTransactionStatement(st *statement) (string, *pgError, bool) {
	switch st.keyword {
	case "BEGIN", "START":
		tag, failure := s.begin(st)
		return tag, failure, true
	case "COMMIT", "END":
		tag, failure := s.commitExplicit()
		return tag, failure, true
	case "ROLLBACK", "ABORT":
		if name, ok := rollbackTarget(st); ok {
			tag, failure := s.rollbackTo(name)
			return tag, failure, true
		}
		s.rollback()
		s.tx = transaction{}
		return "ROLLBACK", nil, true
	}
	return "", nil, false
}

func (s *session) begin(st *statement) (string, *pgError) {
	if s.tx.failed {
		return "", failedTransaction()
	}
	if s.tx.explicit {
		s.send(warning(codeActiveTransaction, "there is already a transaction in progress"))
		return "BEGIN", nil
	}
	s.tx.explicit = true
	s.tx.readOnly = s.settings.readOnly()
	s.setAccessMode(st)
	if st.keyword == "START" {
		return "START TRANSACTION", nil
	}
	return "BEGIN", nil
}

// setAccessMode applies READ ONLY or READ WRITE, which may stand anywhere in the
// statement.
func (s *session) setAccessMode(st *statement) {
	for i := range st.tokens {
		if st.word(i) != "READ" {
			continue
		}
		switch st.word(i + 1) {
		case "ONLY":
			s.tx.readOnly = true
		case "WRITE":
			s.tx.readOnly = false
		}
	}
}

func (s *session) commitExplicit() (string, *pgError) {
	if s.tx.failed {
		s.rollback()
		s.tx = transaction{}
		return "ROLLBACK", nil
	}
	if !s.tx.explicit {
		s.send(warning("25P01", "there is no transaction in progress"))
	}
	failure := s.commit()
	s.tx = transaction{}
	return "COMMIT", failure
}

// rollbackTarget returns the savepoint of ROLLBACK [WORK] TO [SAVEPOINT] name.
func rollbackTarget(st *statement) (string, bool) {
	for i := range st.tokens {
		if st.word(i) != "TO" {
			continue
		}
		if st.word(i+1) == "SAVEPOINT" {
			i++
		}
		return st.word(i + 1), true
	}
	return "", false
}

func (s *session) savepoint(st *statement) (string, *pgError) {
	if !s.tx.explicit {
		return "", &pgError{Code: "25P01", Message: "SAVEPOINT can only be used in transaction blocks"}
	}
	if failure := s.openDatabase(); failure != nil {
		return "", failure
	}
	if failure := s.beginInSQLite(); failure != nil {
		return "", failure
	}
	name := st.word(1)
	if _, err := s.db.Exec("SAVEPOINT "+quoteName(name), nil); err != nil {
		return "", databaseError(err)
	}
	s.tx.savepoints = append(s.tx.savepoints, savepoint{name: name, statementCount: len(s.tx.statements)})
	return "SAVEPOINT", nil
}

func (s *session) releaseSavepoint(st *statement) (string, *pgError) {
	name := st.word(len(st.tokens) - 1)
	index := s.findSavepoint(name)
	if index < 0 {
		return "", unknownSavepoint(name)
	}
	if _, err := s.db.Exec("RELEASE "+quoteName(name), nil); err != nil {
		return "", databaseError(err)
	}
	s.tx.savepoints = s.tx.savepoints[:index]
	return "RELEASE", nil
}

func (s *session) rollbackTo(name string) (string, *pgError) {
	index := s.findSavepoint(name)
	if index < 0 {
		return "", unknownSavepoint(name)
	}
	if _, err := s.db.Exec("ROLLBACK TO "+quoteName(name), nil); err != nil {
		return "", databaseError(err)
	}
	s.tx.statements = s.tx.statements[:s.tx.savepoints[index].statementCount]
	s.tx.savepoints = s.tx.savepoints[:index+1]
	s.tx.failed = false
	return "ROLLBACK", nil
}

func (s *session) findSavepoint(name string) int {
	for i := len(s.tx.savepoints) - 1; i >= 0; i-- {
		if s.tx.savepoints[i].name == name {
			return i
		}
	}
	return -1
}

func unknownSavepoint(name string) *pgError {
	return &pgError{Code: "3B001", Message: "savepoint " + name + " does not exist"}
}

func failedTransaction() *pgError {
	message := "current transaction is aborted, commands ignored until end of transaction block"
	return &pgError{Code: codeFailedTransaction, Message: message}
}

func quoteName(name string) string {
	return `"` + strings.ReplaceAll(name, `"`, `""`) + `"`
}
