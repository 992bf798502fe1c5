package epoch

import (
	"slices"
	"time"
)

// Join adds a member. A member of the same name becomes departed at once, because a new
// incarnation under the same name and address shows that the previous one has ended. The
// next Reclaim recovers the credits of the departed member.
func (e *Epoch) Join(m Member) (*Epoch, error) {
	if e.Has(m.ID()) || slices.Contains(e.Departed, m.ID()) {
		return nil, &MemberError{Member: m.ID(), Problem: "already joined"}
	}
	n := e.next()
	var ended []ID
	if i := slices.IndexFunc(n.Members, func(o Member) bool { return o.Name == m.Name }); i >= 0 {
		ended = append(ended, n.Members[i].ID())
		n.Departed = append(n.Departed, ended...)
		n.Members = slices.Delete(n.Members, i, i+1)
	}
	n.Members = append(n.Members, m)
	n.recordMembers(ended, 0)
	return n, n.validate()
}

// Touch returns the next version without other changes. A member whose store lease has
// expired writes it after it has created a new lease and before it uses that: a reclaim
// that did not see the new lease then loses the compare-and-swap.
func (e *Epoch) Touch(id ID) (*Epoch, error) {
	if !e.Has(id) {
		return nil, &MemberError{Member: id, Problem: "removed"}
	}
	return e.next(), nil
}

// Mint adds credits to the account of one member.
func (e *Epoch) Mint(id ID, amounts map[string]int64) (*Epoch, error) {
	if !e.Has(id) {
		return nil, &MemberError{Member: id, Problem: "removed"}
	}
	n := e.next()
	for team, amount := range amounts {
		if amount < 0 {
			return nil, &MemberError{Member: id, Problem: "negative mint for " + team}
		}
		n.addMinted(team, id, amount)
	}
	return n, nil
}

// Leave removes a member after a planned stop. It needs the frozen edges of every other
// member. The successor receives what the member still held, usable at once, because the
// leaving member has no running requests. The leaving member must also have waited until
// the peer leases that it granted have ended.
func (e *Epoch) Leave(id, successor ID, confirmations []ReclaimConfirmation) (*Epoch, error) {
	return e.remove(successor, []ID{id}, confirmations, 0, []ID{id})
}

// Reclaim removes lost members and moves their credits, and those of departed members,
// to the proposer. Lost members are handled together, because edges between two of them
// are unknown but cancel out in the sum. Every remaining member must have confirmed.
func (e *Epoch) Reclaim(proposer ID, lost []ID, confirmations []ReclaimConfirmation, usableAfter time.Duration) (*Epoch, error) {
	for _, id := range lost {
		if err := e.checkNoMajority(id, lost, confirmations); err != nil {
			return nil, err
		}
	}
	return e.remove(proposer, lost, confirmations, usableAfter, nil)
}

func (e *Epoch) remove(recipient ID, lost []ID, confirmations []ReclaimConfirmation, usableAfter time.Duration, ended []ID) (*Epoch, error) {
	if slices.Contains(lost, recipient) || !e.Has(recipient) {
		return nil, &MemberError{Member: recipient, Problem: "not a remaining member"}
	}
	removed := slices.Concat(lost, e.Departed)
	if ended != nil {
		removed = lost
	}
	if err := e.checkConfirmations(removed, confirmations); err != nil {
		return nil, err
	}
	n := e.next()
	n.Members = slices.DeleteFunc(n.Members, func(m Member) bool { return slices.Contains(lost, m.ID()) })
	n.Departed = slices.DeleteFunc(n.Departed, func(id ID) bool { return slices.Contains(removed, id) })
	n.foldAccounts(removed, confirmations, recipient)
	usableAfter = n.inheritDelay(removed, recipient, usableAfter)
	return n.recordMembers(ended, usableAfter), n.validate()
}

// inheritDelay passes the delays of removed members on to the recipient and returns the
// longest.
func (e *Epoch) inheritDelay(removed []ID, recipient ID, delay time.Duration) time.Duration {
	for _, id := range removed {
		if !e.mutation.forgetDelay {
			delay = max(delay, e.Delayed[id])
		}
		delete(e.Delayed, id)
	}
	if delay > 0 {
		if e.Delayed == nil {
			e.Delayed = make(map[ID]time.Duration)
		}
		e.Delayed[recipient] = max(e.Delayed[recipient], delay)
	}
	return delay
}

// foldAccounts moves the accounts of removed members: each edge to the account of the
// remaining member, the rest to the recipient. The sum stays the same, less what the removed
// members burned.
func (e *Epoch) foldAccounts(removed []ID, confirmations []ReclaimConfirmation, recipient ID) {
	burned := make(map[Edge]int64)
	for _, c := range confirmations {
		for _, edge := range c.Edges {
			if !slices.Contains(removed, edge.Lost) {
				continue
			}
			net := edge.Received - edge.Given
			if e.mutation.forgetEdges {
				net = 0
			}
			e.addMinted(edge.Team, c.Member, net)
			e.addMinted(edge.Team, recipient, -net)
			key := Edge{Team: edge.Team, Lost: edge.Lost}
			burned[key] = max(burned[key], edge.Burned)
		}
	}
	for key, n := range burned {
		e.addMinted(key.Team, recipient, -n)
	}
	for team, byMember := range e.Minted {
		for _, id := range removed {
			n := byMember[id]
			e.addMinted(team, id, -n)
			e.addMinted(team, recipient, n)
		}
	}
}
