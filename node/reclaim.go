package node

import (
	"maps"
	"slices"
	"time"

	"egretdrum.example/epoch"
)

// tickReclaim repeats the request for confirmations while a reclaim is in progress.
func (n *Node) tickReclaim(now time.Time) {
	if n.confirmations == nil || n.reclaimRequest.Number != n.ep.Number {
		return
	}
	for _, m := range n.ep.Members {
		if _, ok := n.confirmations[m.ID()]; ok || slices.Contains(n.reclaimRequest.Lost, m.ID()) {
			continue
		}
		if m.ID() == n.id {
			n.confirmReclaim(now, n.reclaimRequest, func(c epoch.ReclaimConfirmation) { n.confirmations[n.id] = c })
			continue
		}
		n.sendTo(m.ID(), kindReclaimRequest, n.reclaimRequest)
	}
}

// Reclaim starts to collect confirmations for the removal of lost members. It replaces an
// earlier request about other members.
func (n *Node) Reclaim(now time.Time, lost []epoch.ID, planned bool) {
	n.mu.Lock()
	defer n.flush(now)
	request := epoch.ReclaimRequest{Number: n.ep.Number, Lost: append(slices.Clone(lost), n.departed(planned)...), Planned: planned}
	if n.confirmations == nil || n.reclaimRequest.Number != request.Number || !slices.Equal(n.reclaimRequest.Lost, request.Lost) {
		n.reclaimRequest, n.confirmations = request, make(map[epoch.ID]epoch.ReclaimConfirmation)
	}
	n.tickReclaim(now)
}

// departed returns the replaced incarnations whose credits a reclaim also recovers.
func (n *Node) departed(planned bool) []epoch.ID {
	if planned {
		return nil
	}
	return n.ep.Departed
}

// Confirmed returns the reclaim request and, once every remaining member has confirmed it,
// the confirmations.
func (n *Node) Confirmed() (epoch.ReclaimRequest, []epoch.ReclaimConfirmation, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.ep.Members {
		if _, ok := n.confirmations[m.ID()]; !ok && !slices.Contains(n.reclaimRequest.Lost, m.ID()) {
			return n.reclaimRequest, nil, false
		}
	}
	return n.reclaimRequest, slices.Collect(maps.Values(n.confirmations)), n.confirmations != nil && n.reclaimRequest.Number == n.ep.Number
}

func (n *Node) onReclaimRequest(now time.Time, from epoch.ID, request epoch.ReclaimRequest) {
	n.confirmReclaim(now, request, func(c epoch.ReclaimConfirmation) { n.sendTo(from, kindReclaimConfirm, reclaimConfirm{Confirm: c}) })
}

// confirmReclaim calls deliver with a confirmation if no lease from this host, in this or an
// earlier incarnation, to a lost member can still be valid. Only then does it freeze the
// credit edges with the lost members.
func (n *Node) confirmReclaim(now time.Time, request epoch.ReclaimRequest, deliver func(epoch.ReclaimConfirmation)) {
	c, ok := n.lease.Confirm(now, request)
	if !ok {
		return
	}
	edges, ok := n.ledger.Freeze(request)
	if !ok {
		return
	}
	c.Edges = edges
	deliver(c)
}

func (n *Node) onReclaimConfirm(from epoch.ID, m reclaimConfirm) {
	if m.Confirm.Member == from && n.confirmations != nil && m.Confirm.Number == n.reclaimRequest.Number {
		n.confirmations[from] = m.Confirm
	}
}
