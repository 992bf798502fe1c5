// Package hostlist holds the platform's list of live and leaving hosts. The list lags
// behind the fleet, so it is only one of the signs that a worker leaves.
package hostlist

import "net/netip"

// Host is one worker on the list with the minion that runs on it.
type Host struct {
	Worker      string         `json:"worker"`
	Zone        string         `json:"zone"`
	Rack        string         `json:"rack"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Leaving     bool           `json:"leaving"`
}
