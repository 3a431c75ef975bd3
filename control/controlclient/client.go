// Package controlclient holds what clients and servers of ControlService share:
// the HTTP client, the header of forwarded calls and the mapping of errors to
// connect codes. Control hosts and proxies use it.
package controlclient

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"lovageslip/fault"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
)

// ForwardedHeader marks a call that a control host has forwarded to the leader.
// A control host that is not the leader refuses such a call instead of
// forwarding it again. The value is the name of the forwarding host.
const ForwardedHeader = "Lovageslip-Forwarded"

const (
	dialTimeout  = 500 * time.Millisecond
	pingInterval = time.Second
	pingTimeout  = time.Second
	idleTimeout  = time.Minute
)

// NewHTTPClient returns a client for HTTP/2 without TLS. It closes connections
// on which a ping stays unanswered for pingTimeout, because a connection may
// stop responding for good while new connections work.
func NewHTTPClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:       protocols,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}}
}

// New returns a client of the control host at address (IP number and port).
func New(client connect.HTTPClient, address string) lovageslipv1connect.ControlServiceClient {
	return lovageslipv1connect.NewControlServiceClient(client, "http://"+address)
}

// Unavailable reports that no control host could answer on behalf of a quorum.
// If the call requested a change, the change may still take effect; it is safe
// to repeat the call.
type Unavailable struct {
	Detail string
	// RetryAfter is how long to wait before a retry; zero if unknown.
	RetryAfter time.Duration
	Err        error
}

func (e *Unavailable) Error() string { return "control unavailable: " + e.Detail }

func (e *Unavailable) Unwrap() error { return e.Err }

// retryAfterHeader carries how many milliseconds to wait before a retry.
const retryAfterHeader = "Lovageslip-Retry-After-Ms"

// ToConnect returns err as a *connect.Error, with the time to wait before a
// retry if it is known. It returns nil and errors that wrap a *connect.Error
// unchanged.
func ToConnect(err error) error {
	var connectErr *connect.Error
	if err == nil || errors.As(err, &connectErr) {
		return err
	}
	mapped := connect.NewError(connectCode(err), err)
	if after := retryAfter(err); after > 0 {
		mapped.Meta().Set(retryAfterHeader, strconv.FormatInt(after.Milliseconds(), 10))
	}
	return mapped
}

func retryAfter(err error) time.Duration {
	var notRun *fault.NotRun
	var unavailable *Unavailable
	switch {
	case errors.As(err, &notRun):
		return notRun.RetryAfter
	case errors.As(err, &unavailable):
		return unavailable.RetryAfter
	}
	return 0
}

func receivedRetryAfter(err error) time.Duration {
	var received *connect.Error
	if !errors.As(err, &received) {
		return 0
	}
	after, parseErr := strconv.ParseInt(received.Meta().Get(retryAfterHeader), 10, 64)
	if parseErr != nil {
		return 0
	}
	return time.Duration(after) * time.Millisecond
}

func connectCode(err error) connect.Code {
	var invalid *fault.Invalid
	var outcomeUnknown *fault.OutcomeUnknown
	switch {
	case errors.As(err, &invalid):
		return connect.CodeInvalidArgument
	case errors.As(err, &outcomeUnknown):
		return connect.CodeAborted
	}
	return connect.CodeUnavailable
}

// FromConnect maps the error of a call to *fault.Invalid, *fault.OutcomeUnknown
// or *Unavailable. It returns nil if err is nil.
func FromConnect(err error) error {
	if err == nil {
		return nil
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		return &fault.Invalid{Field: "request", Allowed: err.Error()}
	case connect.CodeAborted:
		return &fault.OutcomeUnknown{Reason: fault.ReasonOutcomeUnknown, Detail: err.Error(), Err: err}
	}
	return &Unavailable{Detail: err.Error(), RetryAfter: receivedRetryAfter(err), Err: err}
}
