// Package hostlist describes the platform's list of live and leaving hosts. The list lags behind
// the real state, so it is only one of the signs that a worker leaves.
package hostlist

import "net/netip"

// Host is an entry of the list: a worker and the minion that runs on it.
type Host struct {
	Worker      string         `json:"worker"`
	Zone        string         `json:"zone"`
	Rack        string         `json:"rack"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Leaving     bool           `json:"leaving"`
}
