package node

import (
	"maps"
	"slices"
	"time"

	"egretdrum.example/epoch"
	"egretdrum.example/slot"
)

// outbox collects the slot messages of one event, so that each peer gets at most one
// message of a kind for it.
type outbox struct {
	slots   map[string]*slotsMessage
	demands map[string][]flow
	grants  map[string][]slot.Grant
}

func newOutbox() outbox {
	return outbox{
		slots:   make(map[string]*slotsMessage),
		demands: make(map[string][]flow),
		grants:  make(map[string][]slot.Grant),
	}
}

func (o *outbox) slotsMessageTo(host string) *slotsMessage {
	m := o.slots[host]
	if m == nil {
		m = &slotsMessage{}
		o.slots[host] = m
	}
	return m
}

func (o *outbox) addBind(host string, b bind) {
	o.slotsMessageTo(host).Binds = append(o.slotsMessageTo(host).Binds, b)
}

func (o *outbox) addRelease(host string, r release) {
	o.slotsMessageTo(host).Releases = append(o.slotsMessageTo(host).Releases, r)
}

func (o *outbox) addReport(host string, r release) {
	o.slotsMessageTo(host).Reports = append(o.slotsMessageTo(host).Reports, r)
}

func (o *outbox) addDemand(host string, f flow) {
	o.slotsMessageTo(host)
	if !slices.Contains(o.demands[host], f) {
		o.demands[host] = append(o.demands[host], f)
	}
}

func (o *outbox) addGrant(host string, g slot.Grant) { o.grants[host] = append(o.grants[host], g) }

// flush sends the messages that one event produced and unlocks the node. It sends them under
// the lock, because each demand replaces the previous one and so must arrive in order.
func (n *Node) flush(now time.Time) {
	defer n.mu.Unlock()
	for _, host := range sortedKeys(n.out.slots) {
		m := n.out.slots[host]
		for _, f := range n.out.demands[host] {
			m.Demands = append(m.Demands, n.demandOf(f, host))
		}
		_ = n.Send(host, kindSlots, m)
	}
	clear(n.out.slots)
	clear(n.out.demands)
	for _, host := range sortedKeys(n.out.grants) {
		n.sendGrants(now, host, n.out.grants[host])
	}
	clear(n.out.grants)
}

// sortedKeys returns the keys in order, for deterministic loops over maps. Most events leave
// the maps empty; it allocates nothing then.
func sortedKeys[V any](m map[string]V) []string {
	if len(m) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m))
}

// sendGrants sends grants to a host and releases them if they could not be queued for
// sending, because the host never receives them then.
func (n *Node) sendGrants(now time.Time, host string, grants []slot.Grant) {
	if n.Send(host, kindGrants, grantsMessage{Grants: grants}) == nil {
		return
	}
	for _, g := range grants {
		n.alloc.DropHost(now, g.Host)
		n.alloc.Release(now, g.ID, slot.Unused)
	}
}

func (n *Node) sendTo(id epoch.ID, kind string, body any) {
	// A message that cannot be queued counts as lost, as one on a broken connection does;
	// each kind is repeated or cumulative.
	_ = n.Send(id.Name(), kind, body)
}
