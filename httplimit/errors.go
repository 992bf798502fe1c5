package httplimit

import (
	"fmt"
	"net/http"
	"time"
)

// BodyTooLargeError is returned by reads of a request body that is larger than the limit.
// The fault is the caller's and not the minion's.
type BodyTooLargeError struct{ Limit int64 }

func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("request body is larger than %d bytes", e.Limit)
}

// Status returns the HTTP status code for the caller.
func (*BodyTooLargeError) Status() int { return http.StatusRequestEntityTooLarge }

// SlowBodyError is returned by reads of a request body that the caller sends too slowly.
// The fault is the caller's and not the minion's.
type SlowBodyError struct{ Waited time.Duration }

func (e *SlowBodyError) Error() string {
	return fmt.Sprintf("waited %s in all for the request body", e.Waited)
}

// Status returns the HTTP status code for the caller.
func (*SlowBodyError) Status() int { return http.StatusRequestTimeout }
