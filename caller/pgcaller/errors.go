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
	codeNotRun           = "57L01"
	codeAlreadyCommitted = "57L02"
	codeOutcomeUnknown   = "40003"
	codeBadToken         = "28L01"
	codeBadPassword      = "28P01"
	codeNotAuthorized    = "28000"
	codeInvalid          = "22023"
	codeUnsupported      = "0A000"
	codeUnknownDatabase  = "3D000"
	codeCancelled        = "57014"
	codeReadOnly         = "25006"
	codeProtocol         = "08P01"
	codeTooLarge         = "54000"
	codeAdminShutdown    = "57P01"
	codeNoStatement      = "26000"
	codeRepeatedName     = "42P05"
	codeFailedState      = "25P02"
	codeUndefinedObject  = "42704"
	codeInternal         = "XX000"
)

const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// errorResponse maps an error to what a caller sees. It is the only place
// where faults become SQLSTATEs.
func errorResponse(err error) *pgproto3.ErrorResponse {
	response := describe(err)
	response.Severity = severityError
	response.SeverityUnlocalized = severityError
	return response
}

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
	return &pgproto3.ErrorResponse{Code: codeOf(err), Message: err.Error()}
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

func codeOf(err error) string {
	var own coded
	if errors.As(err, &own) {
		return own.sqlState()
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

// coded is an error of this package with its SQLSTATE.
type coded interface {
	error
	sqlState() string
}

// protocolError reports bytes that are no valid message. The connection ends.
type protocolError struct{ detail string }

func (e *protocolError) Error() string  { return "protocol violation: " + e.detail }
func (*protocolError) sqlState() string { return codeProtocol }

// messageTooLarge reports a message or batch over the limit. The connection ends.
type messageTooLarge struct{ size, limit int }

func (e *messageTooLarge) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d bytes", e.size, e.limit)
}
func (*messageTooLarge) sqlState() string { return codeTooLarge }

// shuttingDown ends an idle caller.
type shuttingDown struct{}

func (*shuttingDown) Error() string    { return "terminating connection: the proxy is shutting down" }
func (*shuttingDown) sqlState() string { return codeAdminShutdown }

// noStatement reports an unknown prepared statement or portal.
type noStatement struct{ name string }

func (e *noStatement) Error() string {
	return "prepared statement or portal \"" + e.name + "\" does not exist"
}
func (*noStatement) sqlState() string { return codeNoStatement }

// repeatedName reports a prepared statement that exists already.
type repeatedName struct{ name string }

func (e *repeatedName) Error() string  { return "prepared statement \"" + e.name + "\" already exists" }
func (*repeatedName) sqlState() string { return codeRepeatedName }

// failedTransaction refuses statements of a transaction that was lost.
type failedTransaction struct{}

func (*failedTransaction) Error() string {
	return "current transaction is aborted, commands ignored until end of transaction block"
}
func (*failedTransaction) sqlState() string { return codeFailedState }

// unknownSetting reports a parameter that the proxy does not keep.
type unknownSetting struct{ name string }

func (e *unknownSetting) Error() string  { return "unrecognized parameter \"" + e.name + "\"" }
func (*unknownSetting) sqlState() string { return codeUndefinedObject }
