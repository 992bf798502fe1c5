// Package ownership decides which minions' slots this entry host may grant now. The slot
// owner of a minion is a pure function of the epoch; this package adds the waiting that
// keeps the slot owners of two epochs from granting the same slot. It performs no I/O.
package ownership

import (
	"maps"
	"slices"
	"time"
)

// QuietPeriod is the wait after a member was reclaimed. The member's grants end with the
// deadlines of their requests, which are at most 60 s away; another 10% covers clocks that
// run at different rates.
const QuietPeriod = 66 * time.Second

// Table tracks of which minions one entry host may grant slots. It is not safe for
// concurrent use.
type Table struct {
	self  string
	epoch uint64
	// slotOwners holds the slot owner functions of the epochs since the last complete one,
	// oldest first. The oldest of these epochs is complete only if hasComplete is set.
	slotOwners  []func(minion string) string
	hasComplete bool
	unsynced    map[string]bool // members that are not yet synced for this epoch
	quietUntil  time.Time
	// skipSync is a mutation for tests: it skips the wait for the other members, to show that
	// the wait is needed.
	skipSync bool
}

// New returns the table of a host that has not adopted any epoch.
func New(self string) *Table { return &Table{self: self, unsynced: make(map[string]bool)} }

// Adopt switches to a newer epoch. The owner function returns the slot owner of a minion in
// that epoch; reclaimed says that a member was removed without a planned stop since the
// previous epoch.
func (t *Table) Adopt(now time.Time, epoch uint64, members []string, owner func(minion string) string, reclaimed bool) {
	if epoch <= t.epoch {
		return
	}
	t.dropEarlierEpochs(now)
	t.epoch = epoch
	t.slotOwners = append(t.slotOwners, owner)
	t.unsynced = make(map[string]bool)
	for _, m := range members {
		if m != t.self {
			t.unsynced[m] = true
		}
	}
	if until := now.Add(QuietPeriod); reclaimed && until.After(t.quietUntil) {
		t.quietUntil = until
	}
}

// Epoch returns the adopted epoch.
func (t *Table) Epoch() uint64 { return t.epoch }

// Pending returns the members that are not yet synced for this epoch, sorted.
func (t *Table) Pending() []string { return slices.Sorted(maps.Keys(t.unsynced)) }

// MarkSynced records that a member has adopted the same or a newer epoch, no longer grants
// slots of this host's minions, and has reported its outstanding grants on them.
func (t *Table) MarkSynced(member string, epoch uint64) {
	if epoch == t.epoch {
		delete(t.unsynced, member)
	}
}

// MayGrant reports whether this host may grant slots of the minion. There is no wait when the
// epoch changes for a minion that this host owned without interruption.
func (t *Table) MayGrant(now time.Time, minion string) bool {
	t.dropEarlierEpochs(now)
	if !t.hasComplete {
		return false
	}
	for _, owner := range t.slotOwners {
		if owner(minion) != t.self {
			return false
		}
	}
	return true
}

// dropEarlierEpochs drops the epochs before the current one once that is complete. Until
// then, this host may grant slots of a minion only if it was its slot owner in each epoch
// since the last complete one.
func (t *Table) dropEarlierEpochs(now time.Time) {
	if len(t.slotOwners) > 0 && t.complete(now) {
		t.slotOwners = t.slotOwners[len(t.slotOwners)-1:]
		t.hasComplete = true
	}
}

func (t *Table) complete(now time.Time) bool {
	return t.skipSync || (len(t.unsynced) == 0 && !now.Before(t.quietUntil))
}

// Complete reports whether all members are synced and no quiet period is running, so that
// this host may grant the slots of all minions whose slot owner it is.
func (t *Table) Complete(now time.Time) bool {
	t.dropEarlierEpochs(now)
	return t.hasComplete && t.complete(now)
}
