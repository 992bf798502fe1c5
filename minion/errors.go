package minion

import (
	"fmt"
	"net/netip"
)

// SendError reports a request without a response.
type SendError struct {
	Address netip.AddrPort
	Err     error
}

func (e *SendError) Error() string { return fmt.Sprintf("minion %s: %v", e.Address, e.Err) }
func (e *SendError) Unwrap() error { return e.Err }
