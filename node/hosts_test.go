package node

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/epoch"
	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
)

// Guards against pools that are not rebuilt although the host list changed, a minion's leaving
// signal expired, or rebuildInterval has passed.
func TestSetHostsFollowsChanges(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	self := epoch.Member{Name: "entry-1", Incarnation: 1, Zone: "z", Peer: netip.MustParseAddrPort("127.0.0.1:7000")}
	e, err := (&epoch.Epoch{}).Join(self)
	qt.Assert(t, err, qt.IsNil)
	n := New(now, self)
	n.AdoptEpoch(now, e)
	n.SetConfig(now, &fleet.Config{Version: 1, Workers: map[string]fleet.Worker{"w": {Pool: "a/p"}}})
	leaving := func() bool { return n.pools["a/p"][0].host.Leaving }
	list := func(leaving bool) []hostlist.Host { return []hostlist.Host{{Worker: "w", Slots: 8, Leaving: leaving}} }
	n.SetHosts(now, list(false))
	for _, want := range []bool{true, false} {
		n.SetHosts(now, list(want))
		qt.Check(t, leaving(), qt.Equals, want)
	}
	n.Leaving(now, "w")
	n.SetHosts(now, list(false))
	qt.Check(t, leaving(), qt.IsTrue)
	now = now.Add(leavingSignalTTL)
	n.lastRebuild = now
	n.SetHosts(now, list(false))
	qt.Check(t, leaving(), qt.IsFalse)
	at := n.lastRebuild
	n.SetHosts(now.Add(time.Second), list(false))
	qt.Check(t, n.lastRebuild, qt.Equals, at)
	n.SetHosts(now.Add(rebuildInterval), list(false))
	qt.Check(t, n.lastRebuild, qt.Equals, now.Add(rebuildInterval))
}

// Guards against new work for the workers of an evacuated zone, whether the host list or the
// configuration knows their zone, and for a zone that is restored but not used again.
func TestEvacuatedZoneGetsNoNewWork(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	self := epoch.Member{Name: "entry-1", Incarnation: 1, Zone: "z", Peer: netip.MustParseAddrPort("127.0.0.1:7000")}
	e, err := (&epoch.Epoch{}).Join(self)
	qt.Assert(t, err, qt.IsNil)
	n := New(now, self)
	n.AdoptEpoch(now, e)
	workers := map[string]fleet.Worker{"listed": {Pool: "a/p", Zone: "south"}, "unlisted": {Pool: "a/p", Zone: "north"}, "other": {Pool: "a/p", Zone: "south"}}
	n.SetHosts(now, []hostlist.Host{{Worker: "listed", Zone: "north", Slots: 8}, {Worker: "unlisted", Slots: 8}, {Worker: "other", Slots: 8}})
	for version, zones := range []map[string]fleet.Zone{nil, {"north": {Since: now}}, nil} {
		n.SetConfig(now, &fleet.Config{Version: uint64(version + 1), Workers: workers, Zones: zones})
		barred := 0
		for _, m := range n.pools["a/p"] {
			if m.host.Leaving {
				barred++
				qt.Check(t, m.host.Worker, qt.Not(qt.Equals), "other")
			}
		}
		qt.Check(t, barred, qt.Equals, 2*len(zones), qt.Commentf("version %d", version+1))
	}
}
