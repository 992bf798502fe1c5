package claim

import (
	"fmt"
	"slices"
	"time"
)

// SyncError reports a transfer batch that this host cannot use.
type SyncError struct {
	From, Reason string
}

func (e *SyncError) Error() string {
	return fmt.Sprintf("claim: transfer from %s: %s", e.From, e.Reason)
}

// transferProgress is the state of the transfer from one predecessor.
type transferProgress struct {
	snapshot uint64
	received map[int]bool
}

// AdoptEpoch adopts an epoch. Predecessors are the members of the previous epoch that still
// run in the same incarnation, including those that leave by a planned stop. The registry is not
// ready until each predecessor except this host has sent its ids. After that, an id can be
// missing only if both of its witnesses crashed at the same time.
func (r *Registry) AdoptEpoch(epoch uint64, members, predecessors []string) {
	if epoch <= r.epoch {
		return
	}
	r.epoch, r.members = epoch, slices.Clone(members)
	r.pendingTransfers = make(map[string]*transferProgress, len(predecessors))
	for _, name := range predecessors {
		if name != r.cfg.Self {
			r.pendingTransfers[name] = &transferProgress{}
		}
	}
}

// Ready reports whether this host can distinguish a new id from a known one.
func (r *Registry) Ready() bool { return r.epoch > 0 && len(r.pendingTransfers) == 0 }

// Waive ends the wait for a predecessor that crashed during its planned stop. The ids of all
// other predecessors still have to arrive.
func (r *Registry) Waive(member string) { delete(r.pendingTransfers, member) }

// Transfer returns, in batches, the ids for which the member is a witness in this host's
// epoch. The caller calls it after AdoptEpoch for each other member and sends the batches until
// they are acknowledged. Each call makes a new snapshot.
func (r *Registry) Transfer(now time.Time, to string) []TransferBatch {
	r.sweep(now)
	var entries []Entry
	for key, rec := range r.records {
		if r.isWitness(to, key) {
			s := r.senders[rec.sender]
			owner := Owner{s.name, s.incarnation, rec.attempt}
			entries = append(entries, Entry{key, owner, rec.state, r.sinceStart(now) - rec.registeredAt})
		}
	}
	r.lastSnapshot++
	batches := slices.Collect(slices.Chunk(entries, maxBatchEntries))
	if len(batches) == 0 {
		batches = [][]Entry{nil}
	}
	transfer := make([]TransferBatch, len(batches))
	for i, b := range batches {
		transfer[i] = TransferBatch{r.cfg.Self, r.epoch, r.lastSnapshot, i, len(batches), b}
	}
	return transfer
}

func (r *Registry) isWitness(member string, key Key) bool {
	ranked := r.cfg.Rank(key, r.members)
	return slices.Contains(ranked[:min(2, len(ranked))], member)
}

// Accept merges a batch. Entries beyond the capacity are kept, too, because dropping one would
// allow a second run. New registrations are refused until there is capacity again.
func (r *Registry) Accept(now time.Time, s TransferBatch) error {
	if s.Batches < 1 || s.Number < 0 || s.Number >= s.Batches {
		return &SyncError{s.From, fmt.Sprintf("batch %d of %d", s.Number, s.Batches)}
	}
	if s.Epoch != r.epoch {
		return &SyncError{s.From, fmt.Sprintf("epoch %d, this host has %d", s.Epoch, r.epoch)}
	}
	for _, e := range s.Entries {
		r.merge(now, e)
	}
	p := r.pendingTransfers[s.From]
	if p == nil || s.Snapshot < p.snapshot {
		return nil
	}
	if s.Snapshot > p.snapshot {
		*p = transferProgress{s.Snapshot, make(map[int]bool, s.Batches)}
	}
	p.received[s.Number] = true
	if len(p.received) == s.Batches {
		delete(r.pendingTransfers, s.From)
	}
	return nil
}

// merge keeps the lower age and the higher state. If two attempts claim the same id, one of
// them may have been sent, and this host cannot tell which. The id then has no sender, and
// both attempts are refused from then on.
func (r *Registry) merge(now time.Time, e Entry) {
	age := min(max(e.Age, 0), Retention+LongestDeadline)
	incoming := record{r.sinceStart(now) - age, e.Owner.Attempt, noSender, e.State}
	if e.Owner.Sender != "" {
		incoming.sender = r.internSender(e.Owner)
	}
	existing, known := r.lookup(now, e.Key)
	if !known {
		r.records[e.Key] = incoming
		return
	}
	same := existing.sender == incoming.sender && existing.attempt == incoming.attempt
	existing.registeredAt, existing.state = max(existing.registeredAt, incoming.registeredAt), max(existing.state, incoming.state)
	if !same && r.mutation != keepOwnOnConflict {
		existing.sender, existing.attempt, existing.state = noSender, 0, Unknown
	}
	r.records[e.Key] = existing
}
