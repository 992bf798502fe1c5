package epoch

import "slices"

// ReclaimRequest asks for confirmations of a reclaim that is to follow the epoch Number.
// Planned means that the only lost member sends the request itself and admits no more
// requests.
type ReclaimRequest struct {
	Number  uint64 `cbor:"epoch"`
	Lost    []ID   `cbor:"lost"`
	Planned bool   `cbor:"planned,omitempty"`
}

// Edge holds the credits of one team that a confirming member has given to and received
// from a lost member, and those that the lost member is known to have burned.
type Edge struct {
	Team     string `cbor:"team"`
	Lost     ID     `cbor:"lost"`
	Given    int64  `cbor:"given"`
	Received int64  `cbor:"received"`
	Burned   int64  `cbor:"burned"`
}

// ReclaimConfirmation is a member's promise to grant no peer lease to the lost members, and
// to keep its edges with them unchanged, until it has adopted an epoch after Number. A
// reclaim may only follow the epoch Number, so an outdated promise cannot be used.
type ReclaimConfirmation struct {
	Member ID            `cbor:"member"`
	Number uint64        `cbor:"epoch"`
	Lost   []ID          `cbor:"lost"`
	Seen   map[ID]uint64 `cbor:"seen"`
	Edges  []Edge        `cbor:"edges"`
}

func (c ReclaimConfirmation) covers(number uint64, removed []ID) bool {
	if c.Number != number {
		return false
	}
	return !slices.ContainsFunc(removed, func(id ID) bool { return !slices.Contains(c.Lost, id) })
}

func (e *Epoch) checkConfirmations(removed []ID, confirmations []ReclaimConfirmation) error {
	for _, id := range e.memberIDs() {
		if slices.Contains(removed, id) {
			continue
		}
		n := 0
		for _, c := range confirmations {
			if c.Member == id && c.covers(e.Number, removed) {
				n++
			}
		}
		if n != 1 {
			return &MemberError{Member: id, Problem: "needs exactly one confirmation for this epoch"}
		}
	}
	return nil
}

// checkNoMajority checks that a lost member cannot hold a majority of leases: unconfirmed +
// 1 < majority has to hold for each member list that the lost member may still use.
func (e *Epoch) checkNoMajority(lost ID, allLost []ID, confirmations []ReclaimConfirmation) error {
	if !e.Has(lost) {
		return &MemberError{Member: lost, Problem: "not a member"}
	}
	confirmed := make(map[ID]bool)
	since := e.joinedAt(lost)
	for _, c := range confirmations {
		if c.covers(e.Number, allLost) {
			confirmed[c.Member] = true
			since = max(since, c.Seen[lost])
		}
	}
	lists, ok := e.listsSince(since)
	if !ok {
		return &MemberError{Member: lost, Problem: "last adopted an epoch before the recorded history"}
	}
	if e.mutation.countCurrentOnly {
		lists = lists[len(lists)-1:]
	}
	for _, id := range endedMembers(lists) {
		confirmed[id] = true
	}
	for _, entry := range lists {
		if len(entry.Members) == 1 {
			continue // the only member of a list admits with its store lease only
		}
		if unconfirmed := countUnconfirmed(lost, entry.Members, confirmed); unconfirmed+1 >= Majority(len(entry.Members)) {
			return &ReclaimError{Member: lost, Unconfirmed: unconfirmed, Size: len(entry.Members)}
		}
	}
	return nil
}

// joinedAt returns the first recorded epoch of a member, which it adopted when it joined, or
// zero if the history does not reach back to a list without it.
func (e *Epoch) joinedAt(id ID) uint64 {
	for i, entry := range e.History {
		if slices.Contains(entry.Members, id) {
			if i == 0 && entry.Number > 1 {
				return 0
			}
			return entry.Number
		}
	}
	return 0
}

// listsSince returns the member lists that were in force at the epoch since or later.
func (e *Epoch) listsSince(since uint64) ([]HistoryEntry, bool) {
	for i := len(e.History) - 1; i >= 0; i-- {
		if e.History[i].Number <= since {
			return e.History[i:], true
		}
	}
	return nil, false
}

func endedMembers(lists []HistoryEntry) (ids []ID) {
	for _, entry := range lists {
		ids = append(ids, entry.Ended...)
	}
	return ids
}

// countUnconfirmed counts the members of one list that may still have a peer lease to lost
// outstanding. A host counts leases only from members of the list that it has adopted, so
// lost members of other lists do not matter here.
func countUnconfirmed(lost ID, members []ID, confirmed map[ID]bool) (unconfirmed int) {
	for _, id := range members {
		if id != lost && !confirmed[id] {
			unconfirmed++
		}
	}
	return unconfirmed
}
