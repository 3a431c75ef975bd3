package standin

import (
	"context"
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/mattn/go-sqlite3"
)

// SQLSTATE codes that the stand-in sends in error responses.
const (
	codeReadOnly           = "25006"
	codeFailedTransaction  = "25P02"
	codeActiveTransaction  = "25001"
	codeSerialization      = "40001"
	codeCancelled          = "57014"
	codeTooManyConnections = "53300"
	codeTermTooLow         = "55L01"
	codeShutdown           = "57P01"
	codeProtocol           = "08P01"
	codeNotAuthorized      = "28000"
	codeBadPassword        = "28P01"
	codeInvalidParameter   = "22023"
	codeUnknownSetting     = "42704"
	codeUnknownStatement   = "26000"
	codeUnknownPortal      = "34000"
	codeInternal           = "XX000"
)

// pgError is an error that is sent to the client in an ErrorResponse. Severity
// is ERROR if empty.
type pgError struct {
	Code     string
	Message  string
	Severity string
}

func (e *pgError) Error() string { return e.Code + ": " + e.Message }

func (e *pgError) response() *pgproto3.ErrorResponse {
	severity := e.Severity
	if severity == "" {
		severity = "ERROR"
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.Code,
		Message:             e.Message,
	}
}

func readOnlyError(keyword string) *pgError {
	return &pgError{Code: codeReadOnly, Message: "cannot execute " + keyword + " in a read-only transaction"}
}

func cancelledError() *pgError {
	return &pgError{Code: codeCancelled, Message: "canceling statement due to user request"}
}

// databaseError maps an error of SQLite to a pgError with a matching SQLSTATE.
func databaseError(err error) *pgError {
	if errors.Is(err, context.Canceled) {
		return cancelledError()
	}
	var pgErr *pgError
	if errors.As(err, &pgErr) {
		return pgErr
	}
	var failure sqlite3.Error
	if !errors.As(err, &failure) {
		return &pgError{Code: codeInternal, Message: err.Error()}
	}
	return &pgError{Code: codeOfSQLite(failure), Message: failure.Error()}
}

func codeOfSQLite(e sqlite3.Error) string {
	switch e.Code {
	case sqlite3.ErrBusy, sqlite3.ErrLocked:
		return codeSerialization
	case sqlite3.ErrInterrupt:
		return codeCancelled
	case sqlite3.ErrReadonly:
		return codeReadOnly
	case sqlite3.ErrFull:
		return "53100"
	case sqlite3.ErrConstraint:
		return codeOfConstraint(e.ExtendedCode)
	case sqlite3.ErrError:
		return codeOfMessage(e.Error())
	}
	return codeInternal
}

func codeOfConstraint(code sqlite3.ErrNoExtended) string {
	switch code {
	case sqlite3.ErrConstraintUnique, sqlite3.ErrConstraintPrimaryKey, sqlite3.ErrConstraintRowID:
		return "23505"
	case sqlite3.ErrConstraintNotNull:
		return "23502"
	case sqlite3.ErrConstraintForeignKey:
		return "23503"
	case sqlite3.ErrConstraintCheck:
		return "23514"
	}
	return "23000"
}

// codeOfMessage maps an error of SQLite by its message, because SQLite reports
// these errors under one generic code.
func codeOfMessage(message string) string {
	codes := []struct{ part, code string }{
		{"no such table", "42P01"},
		{"no such column", "42703"},
		{"no such function", "42883"},
		{"already exists", "42P07"},
		{"syntax error", "42601"},
		{"incomplete input", "42601"},
	}
	for _, k := range codes {
		if strings.Contains(message, k.part) {
			return k.code
		}
	}
	return codeInternal
}
