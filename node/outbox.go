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

func (o *outbox) to(host string) *slotsMessage {
	m := o.slots[host]
	if m == nil {
		m = &slotsMessage{}
		o.slots[host] = m
	}
	return m
}

func (o *outbox) bind(host string, b bind) { o.to(host).Binds = append(o.to(host).Binds, b) }

func (o *outbox) release(host string, r release) {
	o.to(host).Releases = append(o.to(host).Releases, r)
}

func (o *outbox) report(host string, r release) { o.to(host).Reports = append(o.to(host).Reports, r) }

func (o *outbox) demand(host string, f flow) {
	o.to(host)
	if !slices.Contains(o.demands[host], f) {
		o.demands[host] = append(o.demands[host], f)
	}
}

func (o *outbox) grant(host string, g slot.Grant) { o.grants[host] = append(o.grants[host], g) }

// flush sends what one event produced and unlocks the node. Sending happens under the
// lock, because demands are absolute and must arrive in the order of their making.
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

// sortedKeys gives loops over maps a fixed order. Most events leave the maps empty, and
// then it costs nothing.
func sortedKeys[V any](m map[string]V) []string {
	if len(m) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m))
}

// sendGrants takes grants back that were not queued for sending: the host never sees
// them.
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
	// A message that cannot be queued is lost like one on a broken link; each kind is
	// repeated or cumulative.
	_ = n.Send(id.Name(), kind, body)
}
