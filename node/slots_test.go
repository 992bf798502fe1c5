package node

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/epoch"
	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
	"egretdrum.example/slot"
)

// Guards against an owner that counts a binding twice when it comes in one message with
// the demand after it; its sender then waited although slots were free.
func TestBindingsBeforeDemands(t *testing.T) {
	now := time.Now()
	address := netip.MustParseAddrPort("127.0.0.1:1")
	self := epoch.Member{Name: "a", Incarnation: 1, Zone: "z", Peer: address, Operator: address}
	other := epoch.Member{Name: "b", Incarnation: 2}
	n := New(now, self)
	granted := 0
	n.Connect(func(_, kind string, body any) error {
		if m, ok := body.(grantsMessage); ok && kind == kindGrants {
			granted += len(m.Grants)
		}
		return nil
	}, func(*epoch.Epoch) {})
	e, err := (&epoch.Epoch{}).Join(self)
	qt.Assert(t, err, qt.IsNil)
	n.AdoptEpoch(now, e)
	n.StoreCreated(now)
	n.StoreConfirmed()
	n.SetConfig(now, &fleet.Config{Version: 1, Workers: map[string]fleet.Worker{"w": {Pool: "p"}}})
	n.SetHosts(now, []hostlist.Host{{Worker: "w", Slots: 8}})
	demand := func(waiting int) slot.Demand { return slot.Demand{Service: "p", Team: "t", Ordinary: waiting} }
	n.mu.Lock()
	n.onSlots(now, other.ID(), slotsMessage{Demands: []slot.Demand{demand(1)}})
	id := n.out.grants[other.Name][0].ID
	n.onSlots(now, other.ID(), slotsMessage{Binds: []bind{{ID: id, Timeout: time.Second}}, Demands: []slot.Demand{demand(0)}})
	n.onSlots(now, other.ID(), slotsMessage{Releases: []release{{ID: id, Outcome: slot.OK}}, Demands: []slot.Demand{demand(1)}})
	n.flush(now)
	qt.Check(t, granted, qt.Equals, 2)
}
