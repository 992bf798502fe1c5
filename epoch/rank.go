package epoch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders the members for a key by rendezvous hashing. Only the name is hashed, so
// a replaced host keeps its rank and removing a member moves only that member's keys.
func (e *Epoch) Rank(key string) []Member {
	type scored struct {
		score  uint64
		member Member
	}
	all := make([]scored, len(e.Members))
	buf := append([]byte(key), 0)
	for i, m := range e.Members {
		all[i] = scored{xxhash.Sum64(append(buf[:len(key)+1], m.Name...)), m}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Name, b.member.Name))
	})
	ranked := make([]Member, len(all))
	for i, s := range all {
		ranked[i] = s.member
	}
	return ranked
}

// First returns the first member of Rank, or the zero Member of an empty epoch. It does
// not sort or allocate, because the owner of each minion is looked up whenever the
// configuration, the host list or the epoch changes.
func (e *Epoch) First(key string) (first Member) {
	var stack [128]byte
	buf := append(append(stack[:0], key...), 0)
	var best uint64
	for i, m := range e.Members {
		score := xxhash.Sum64(append(buf[:len(key)+1], m.Name...))
		if i == 0 || score > best || score == best && m.Name < first.Name {
			first, best = m, score
		}
	}
	return first
}

// RankAcrossZones returns the members in the order of Rank, but with the first member of
// each zone before all others.
func (e *Epoch) RankAcrossZones(key string) []Member {
	var first, rest []Member
	seen := make(map[string]bool)
	for _, m := range e.Rank(key) {
		if seen[m.Zone] {
			rest = append(rest, m)
			continue
		}
		seen[m.Zone] = true
		first = append(first, m)
	}
	return append(first, rest...)
}
