package minion

import (
	"fmt"
	"net/http"
	"net/netip"
)

// NotSentError reports a request that did not run because no byte of it was written to the
// minion. For a refused connection, errors.Is(err, syscall.ECONNREFUSED) is true.
type NotSentError struct {
	Address netip.AddrPort
	Err     error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("minion %s: request not sent: %v", e.Address, e.Err)
}
func (e *NotSentError) Unwrap() error { return e.Err }

// MayHaveRunError reports a request without a usable response of which at least one byte
// was written, or was being written.
type MayHaveRunError struct {
	Address netip.AddrPort
	Err     error
}

func (e *MayHaveRunError) Error() string {
	return fmt.Sprintf("minion %s: outcome unknown: %v", e.Address, e.Err)
}
func (e *MayHaveRunError) Unwrap() error { return e.Err }

// LeavingError reports a response with status 503 and Connection: close, by which a minion
// announces that it leaves. The caller must relay Response or close its body.
type LeavingError struct {
	Address  netip.AddrPort
	Response *http.Response
}

func (e *LeavingError) Error() string { return fmt.Sprintf("minion %s: leaving", e.Address) }

// TruncatedError reports that a response body ended before it was complete or is malformed.
// The bytes read before must not be passed on as a complete response.
type TruncatedError struct {
	Address netip.AddrPort
	Err     error
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("minion %s: response broke off: %v", e.Address, e.Err)
}
func (e *TruncatedError) Unwrap() error { return e.Err }

// RequestBodyError reports that the request body could not be read, which is a fault of the
// caller and not of the minion. The errors above wrap it; errors.As finds it.
type RequestBodyError struct{ Err error }

func (e *RequestBodyError) Error() string { return fmt.Sprintf("read request body: %v", e.Err) }
func (e *RequestBodyError) Unwrap() error { return e.Err }

// UnresponsiveError is the cause with which a connection is closed when the peer's kernel no longer
// acknowledges.
type UnresponsiveError struct {
	// MinionFailed is true when a new connection to the same minion failed too.
	MinionFailed bool
}

func (e *UnresponsiveError) Error() string {
	if e.MinionFailed {
		return "connection silent, and a new connection failed"
	}
	return "connection silent, replaced by a new one"
}

// ProtocolError reports a connection state or a response that HTTP/1.1 does not allow here,
// or a response that cannot be recognized as complete.
type ProtocolError struct{ Reason string }

func (e *ProtocolError) Error() string { return e.Reason }

// LimitError reports that a minion already has as many connections as it may have.
type LimitError struct{ Open int }

func (e *LimitError) Error() string { return fmt.Sprintf("%d connections are open", e.Open) }
