package pgcaller

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"lovageslip/entry"
	"lovageslip/fault"
)

// SQLSTATE codes that callers see.
const (
	codeNotRun             = "57L01"
	codeAlreadyCommitted   = "57L02"
	codeOutcomeUnknown     = "40003"
	codeBadToken           = "28L01"
	codeInvalidPassword    = "28P01"
	codeNotAuthorized      = "28000"
	codeInvalid            = "22023"
	codeUnsupported        = "0A000"
	codeUnknownDatabase    = "3D000"
	codeCancelled          = "57014"
	codeReadOnly           = "25006"
	codeProtocol           = "08P01"
	codeTooLarge           = "54000"
	codeAdminShutdown      = "57P01"
	codeUndefinedStatement = "26000"
	codeDuplicateStatement = "42P05"
	codeFailedTransaction  = "25P02"
	codeUndefinedObject    = "42704"
	codeInternal           = "XX000"
)

const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// errorResponse returns the ErrorResponse for an error after which the
// connection goes on. Errors are mapped to SQLSTATEs only here and in
// fatalResponse, by describe.
func errorResponse(err error) *pgproto3.ErrorResponse {
	response := describe(err)
	response.Severity = severityError
	response.SeverityUnlocalized = severityError
	return response
}

// fatalResponse returns the ErrorResponse for an error that ends the connection.
func fatalResponse(err error) *pgproto3.ErrorResponse {
	response := describe(err)
	response.Severity = severityFatal
	response.SeverityUnlocalized = severityFatal
	return response
}

func describe(err error) *pgproto3.ErrorResponse {
	var notRun *fault.NotRun
	var unknown *fault.OutcomeUnknown
	var committed *fault.AlreadyCommitted
	switch {
	case errors.As(err, &notRun):
		return describeNotRun(notRun)
	case errors.As(err, &unknown):
		return &pgproto3.ErrorResponse{
			Code:    codeOutcomeUnknown,
			Message: "outcome unknown: " + unknown.Detail,
			Detail:  string(unknown.Reason),
			Hint:    "the request may or may not have run; set lovageslip.request_id to be able to retry safely",
		}
	case errors.As(err, &committed):
		return &pgproto3.ErrorResponse{
			Code:    codeAlreadyCommitted,
			Message: committed.Error(),
			Detail:  string(fault.ReasonAlreadyCommitted),
		}
	}
	return &pgproto3.ErrorResponse{Code: sqlStateOf(err), Message: err.Error()}
}

func describeNotRun(e *fault.NotRun) *pgproto3.ErrorResponse {
	response := &pgproto3.ErrorResponse{
		Code:    codeNotRun,
		Message: "not run: " + e.Detail,
		Detail:  string(e.Reason),
	}
	switch e.Reason {
	case fault.ReasonCancelled:
		response.Code = codeCancelled
	case fault.ReasonReadOnly:
		response.Code = codeReadOnly
	default:
		response.Hint = "retry after " + strconv.FormatInt(e.RetryAfter.Milliseconds(), 10) + " ms"
	}
	return response
}

func sqlStateOf(err error) string {
	var target sqlStateError
	if errors.As(err, &target) {
		return target.sqlState()
	}
	switch {
	case isA[*fault.UnknownClass](err), isA[*fault.Invalid](err), isA[*entry.NoDefaultClass](err):
		return codeInvalid
	case isA[*fault.BadToken](err):
		return codeBadToken
	case isA[*fault.Unsupported](err):
		return codeUnsupported
	case isA[*entry.UnknownDatabase](err):
		return codeUnknownDatabase
	}
	return codeInternal
}

func isA[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// sqlStateError is an error with a SQLSTATE of its own. Only errors of this
// package implement it.
type sqlStateError interface {
	error
	sqlState() string
}

// protocolError reports bytes or messages that violate the protocol. It ends
// the connection.
type protocolError struct{ detail string }

func (e *protocolError) Error() string  { return "protocol violation: " + e.detail }
func (*protocolError) sqlState() string { return codeProtocol }

// messageTooLarge reports a message or batch over its size limit. It ends the
// connection.
type messageTooLarge struct{ size, limit int }

func (e *messageTooLarge) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d bytes", e.size, e.limit)
}
func (*messageTooLarge) sqlState() string { return codeTooLarge }

// serverShuttingDown ends an idle connection during Server.Shutdown.
type serverShuttingDown struct{}

func (*serverShuttingDown) Error() string {
	return "terminating connection: the proxy is shutting down"
}
func (*serverShuttingDown) sqlState() string { return codeAdminShutdown }

// statementNotFound reports a prepared statement or portal that does not exist.
type statementNotFound struct{ name string }

func (e *statementNotFound) Error() string {
	return "prepared statement or portal \"" + e.name + "\" does not exist"
}
func (*statementNotFound) sqlState() string { return codeUndefinedStatement }

// duplicateStatement reports a Parse with the name of an existing statement of
// another definition.
type duplicateStatement struct{ name string }

func (e *duplicateStatement) Error() string {
	return "prepared statement \"" + e.name + "\" already exists"
}
func (*duplicateStatement) sqlState() string { return codeDuplicateStatement }

// failedTransaction refuses statements until the caller ends a lost transaction.
type failedTransaction struct{}

func (*failedTransaction) Error() string {
	return "current transaction is aborted, commands ignored until end of transaction block"
}
func (*failedTransaction) sqlState() string { return codeFailedTransaction }

// unknownParameter reports a parameter that the proxy does not define.
type unknownParameter struct{ name string }

func (e *unknownParameter) Error() string  { return "unrecognized parameter \"" + e.name + "\"" }
func (*unknownParameter) sqlState() string { return codeUndefinedObject }
