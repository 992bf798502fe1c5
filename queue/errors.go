package queue

import (
	"fmt"
	"time"

	"egretdrum.example/refusal"
)

// RefusedError reports that a request was rejected without being queued or run.
type RefusedError struct {
	Reason     refusal.Reason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("request not queued: %s, retry after %s", e.Reason, e.RetryAfter)
}
