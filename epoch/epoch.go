// Package epoch holds the numbered member list of the entry hosts together with the
// credits minted for them. The document is stored under one key, and every step is a pure
// function from one version to the next, so that one compare-and-swap carries it out.
package epoch

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"
)

const (
	// HistoryLength is the number of member lists that stay in the document.
	HistoryLength = 32
	// MaxMembers is the largest number of entry hosts of one region, departed members
	// included.
	MaxMembers = 64
	// MaxBytes is the largest value that the store accepts.
	MaxBytes = 1_000_000
	// LongestWork is the delay before credits of a lost member are usable: the longest
	// request deadline of 60 s plus 10% for clocks that run at different rates.
	LongestWork = 66 * time.Second
)

// ID names one incarnation of an entry host, in the form name/incarnation.
type ID string

// Member is one entry host of the epoch.
type Member struct {
	Name        string         `json:"name" cbor:"name"`
	Incarnation uint64         `json:"incarnation" cbor:"incarnation"`
	Zone        string         `json:"zone" cbor:"zone"`
	Peer        netip.AddrPort `json:"peer-address" cbor:"peer-address"`
	Operator    netip.AddrPort `json:"operator-address" cbor:"operator-address"`
}

// ID returns the identity of this incarnation.
func (m Member) ID() ID { return ID(m.Name + "/" + strconv.FormatUint(m.Incarnation, 10)) }

// HistoryEntry is the member list that was in force from the epoch Number onwards. Ended lists
// the members that this step removed after their process is known to have ended.
type HistoryEntry struct {
	Number      uint64        `json:"number" cbor:"number"`
	Members     []ID          `json:"members" cbor:"members"`
	Ended       []ID          `json:"ended,omitempty" cbor:"ended,omitempty"`
	UsableAfter time.Duration `json:"usable-after,omitempty" cbor:"usable-after,omitempty"`
}

// Epoch is one version of the document. It is immutable once a step has returned it.
//
// Minted holds, per team, what each member would hold without transfers and burns. The
// edges with removed members are folded in, so an entry may be negative. History ends
// with the current member list; steps that only mint add no entry, so that frequent
// limit changes do not push out the lists that a reclaim needs.
type Epoch struct {
	Number   uint64                  `json:"number" cbor:"number"`
	Members  []Member                `json:"members" cbor:"members"`
	Departed []ID                    `json:"departed,omitempty" cbor:"departed,omitempty"`
	Minted   map[string]map[ID]int64 `json:"minted" cbor:"minted"`
	History  []HistoryEntry          `json:"history" cbor:"history"`
	// Delayed holds the delay of members that received credits of lost ones. If such a
	// member is lost as well, its own credits need at least the same delay.
	Delayed  map[ID]time.Duration `json:"delayed,omitempty" cbor:"delayed,omitempty"`
	mutation mutation
}

// mutation switches off single rules. Only tests set it, for mutation testing.
type mutation struct {
	countCurrentOnly, forgetEdges, forgetDelay bool
}

// Has reports whether id is a member.
func (e *Epoch) Has(id ID) bool {
	return slices.ContainsFunc(e.Members, func(m Member) bool { return m.ID() == id })
}

// Majority returns the smallest integer above half of n.
func Majority(n int) int { return n/2 + 1 }

// Total returns the number of credits minted for a team, burned ones included.
func (e *Epoch) Total(team string) int64 {
	var sum int64
	for _, n := range e.Minted[team] {
		sum += n
	}
	return sum
}

// UsableAfter returns the delay for credits that were added to the account of a member
// after the epoch since. It is the longest delay of the steps after since, or LongestWork
// if the history does not reach back far enough.
func (e *Epoch) UsableAfter(since uint64) time.Duration {
	if since > 0 && len(e.History) > 0 && e.History[0].Number > since && e.History[0].Number > 1 {
		return LongestWork
	}
	var longest time.Duration
	for _, entry := range e.History {
		if entry.Number > since {
			longest = max(longest, entry.UsableAfter)
		}
	}
	return longest
}

func (e *Epoch) memberIDs() []ID {
	ids := make([]ID, len(e.Members))
	for i, m := range e.Members {
		ids[i] = m.ID()
	}
	return ids
}

// next returns a deep copy with the following number.
func (e *Epoch) next() *Epoch {
	n := &Epoch{
		Number:   e.Number + 1,
		Members:  slices.Clone(e.Members),
		Departed: slices.Clone(e.Departed),
		Minted:   make(map[string]map[ID]int64, len(e.Minted)),
		History:  slices.Clone(e.History),
		mutation: e.mutation,
	}
	for team, byMember := range e.Minted {
		n.Minted[team] = maps.Clone(byMember)
	}
	n.Delayed = maps.Clone(e.Delayed)
	return n
}

// recordMembers appends the current member list to the history.
func (e *Epoch) recordMembers(ended []ID, usableAfter time.Duration) *Epoch {
	e.History = append(e.History, HistoryEntry{Number: e.Number, Members: e.memberIDs(), Ended: ended, UsableAfter: usableAfter})
	if extra := len(e.History) - HistoryLength; extra > 0 {
		e.History = slices.Delete(e.History, 0, extra)
	}
	return e
}

// addMinted changes an account and removes entries that became zero, to keep the document
// small.
func (e *Epoch) addMinted(team string, id ID, n int64) {
	byMember := e.Minted[team]
	if byMember == nil {
		byMember = make(map[ID]int64)
		e.Minted[team] = byMember
	}
	byMember[id] += n
	if byMember[id] == 0 {
		delete(byMember, id)
	}
	if len(byMember) == 0 {
		delete(e.Minted, team)
	}
}
