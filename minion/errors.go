package minion

import (
	"fmt"
	"net/http"
	"net/netip"
)

// NotSentError reports a request of which not one byte was written to the minion, so it
// did not run. A refused connection is found with errors.Is(err, syscall.ECONNREFUSED).
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

// LeavingError reports a response with status 503 and Connection: close. The body of
// Response is open: the caller relays the response or closes the body.
type LeavingError struct {
	Address  netip.AddrPort
	Response *http.Response
}

func (e *LeavingError) Error() string { return fmt.Sprintf("minion %s: leaving", e.Address) }

// TruncatedError reports, on reading a response body, that the response broke off or is
// malformed. What was read before it must not be passed on as a complete response.
type TruncatedError struct {
	Address netip.AddrPort
	Err     error
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("minion %s: response broke off: %v", e.Address, e.Err)
}
func (e *TruncatedError) Unwrap() error { return e.Err }

// RequestBodyError reports that the request body could not be read: the fault is the
// caller's and not the minion's. It is found with errors.As in the errors above.
type RequestBodyError struct{ Err error }

func (e *RequestBodyError) Error() string { return fmt.Sprintf("read request body: %v", e.Err) }
func (e *RequestBodyError) Unwrap() error { return e.Err }

// SilentError is the cause of a connection that was closed because its path was silent.
type SilentError struct {
	// MinionFailed is true when a new connection to the same minion failed too.
	MinionFailed bool
}

func (e *SilentError) Error() string {
	if e.MinionFailed {
		return "connection silent, and a new connection failed"
	}
	return "connection silent, replaced by a new one"
}

// ProtocolError reports a response or a connection state that HTTP/1.1 does not allow
// here or that cannot be proved complete.
type ProtocolError struct{ Reason string }

func (e *ProtocolError) Error() string { return e.Reason }

// LimitError reports that a minion already has as many connections as it may have.
type LimitError struct{ Open int }

func (e *LimitError) Error() string { return fmt.Sprintf("%d connections are open", e.Open) }
