// Package claim registers the ids of non-idempotent requests at two witnesses each, so that
// each request is sent at most once.
package claim

import "time"

const (
	// Retention is the time for which a second request with the same id is refused.
	Retention = 10 * time.Minute
	// LongestDeadline is the maximum time between a registration and the sending. Witnesses
	// keep an id for this time in addition to Retention, so that a second request is refused
	// for the whole Retention after the sending.
	LongestDeadline = time.Minute
	// MaxIDs is the maximum number of ids that a witness registers.
	MaxIDs = 200_000

	// maxBatchEntries keeps a batch with long sender names well below the message limit of 1 MB.
	maxBatchEntries = 4096
	// sweepInterval is the minimum time between sweeps at full capacity. A sweep reads all
	// records, which takes 13 ms at MaxIDs, so it does not run at each registration. New ids
	// may be refused for this long although others have expired.
	sweepInterval = 10 * time.Second
)

// Config connects a Registry to its host.
type Config struct {
	// Self is the name of the host.
	Self string
	// Rank orders the members for a key; the first two are its witnesses.
	Rank func(key Key, members []string) []string
	// Lost reports whether this host regards a member as lost.
	Lost func(member string) bool
}

// record is a registered id. It has no strings, so that the map of records is compact and has
// no pointers for the garbage collector to follow.
type record struct {
	registeredAt time.Duration // since the registry's start
	attempt      uint64
	sender       uint32 // index in senders; noSender if two attempts claimed the id
	state        State
}

const noSender = 0

type sender struct {
	name        string
	incarnation uint64
}

// Registry holds the ids of one witness. It is not safe for concurrent use.
type Registry struct {
	cfg           Config
	start         time.Time
	records       map[Key]record
	senders       []sender
	senderIndexes map[sender]uint32
	capacity      int
	lastSweep     time.Time

	epoch            uint64
	members          []string
	pendingTransfers map[string]*transferProgress
	lastSnapshot     uint64

	mutation mutation
}

// mutation disables one safety rule, for mutation tests.
type mutation uint8

const (
	noMutation mutation = iota
	answerBeforeTransfer
	acceptOldEpoch
	acceptOtherAttempt
	expireEarly
	evictAtCapacity
	keepOwnOnConflict
	releaseOtherAttempt
	sendOnOneReply
)

// New returns a Registry, which is not ready before AdoptEpoch is called.
func New(now time.Time, cfg Config) *Registry {
	return &Registry{
		cfg: cfg, start: now, lastSweep: now, capacity: MaxIDs,
		records:       make(map[Key]record),
		senders:       make([]sender, noSender+1),
		senderIndexes: make(map[sender]uint32),
	}
}

// Register registers an id. A repeated claim of the same attempt is accepted again, so that a
// sender can retry when the reply was lost.
func (r *Registry) Register(now time.Time, c Claim) Reply {
	reply := Reply{Key: c.Key, Owner: c.Owner, Epoch: r.epoch}
	rec, known := r.lookup(now, c.Key)
	switch {
	case known && !r.registeredBy(rec, c.Owner) && r.mutation != acceptOtherAttempt:
		reply.Outcome, reply.State, reply.Holder = Known, rec.state, r.senders[rec.sender].name
		return reply
	case c.Epoch != r.epoch && r.mutation != acceptOldEpoch:
		// After a membership change this host's ids are in flight to the new witnesses. An id
		// registered later under the old epoch would not be in the transfer.
		reply.Outcome = OtherEpoch
		return reply
	case !r.Ready() && r.mutation != answerBeforeTransfer:
		reply.Outcome = NotReady
		return reply
	case !known && !r.hasCapacity(now):
		reply.Outcome = Full
		return reply
	case !known:
		r.records[c.Key] = record{r.sinceStart(now), c.Owner.Attempt, r.internSender(c.Owner), Running}
	}
	reply.Outcome, reply.Epoch = Accepted, c.Epoch
	reply.MissingLost = c.Missing != "" && r.cfg.Lost(c.Missing)
	return reply
}

// Finish records how the request of an attempt ended: Finished or Unknown.
func (r *Registry) Finish(now time.Time, key Key, owner Owner, state State) {
	rec, known := r.lookup(now, key)
	if !known || !r.registeredBy(rec, owner) {
		return
	}
	rec.state = state
	r.records[key] = rec
}

// Release removes the id of an attempt that was refused as not run, so that the caller can
// retry. The sender never sends the request of an attempt that it has released.
func (r *Registry) Release(now time.Time, key Key, owner Owner) {
	rec, known := r.lookup(now, key)
	if known && (r.registeredBy(rec, owner) && rec.state == Running || r.mutation == releaseOtherAttempt) {
		delete(r.records, key)
	}
}

// Lookup returns the state of an id and the sender that registered it. The sender is empty if
// two attempts claimed the id at different witnesses.
func (r *Registry) Lookup(now time.Time, key Key) (state State, holder string, known bool) {
	rec, known := r.lookup(now, key)
	return rec.state, r.senders[rec.sender].name, known
}

// Len returns the number of ids held, including expired ones that have not been swept yet.
func (r *Registry) Len() int { return len(r.records) }

func (r *Registry) lookup(now time.Time, key Key) (record, bool) {
	rec, known := r.records[key]
	if !known || r.expired(now, rec) {
		return record{}, false
	}
	return rec, true
}

func (r *Registry) expired(now time.Time, rec record) bool {
	retention := Retention + LongestDeadline
	if r.mutation == expireEarly {
		retention = Retention / 2
	}
	return r.sinceStart(now)-rec.registeredAt >= retention
}

// sinceStart returns the time since the start of the Registry by the monotonic clock.
func (r *Registry) sinceStart(now time.Time) time.Duration { return now.Sub(r.start) }

func (r *Registry) registeredBy(rec record, owner Owner) bool {
	s := r.senders[rec.sender]
	return rec.sender != noSender && rec.attempt == owner.Attempt &&
		s.name == owner.Sender && s.incarnation == owner.Incarnation
}

func (r *Registry) internSender(owner Owner) uint32 {
	s := sender{owner.Sender, owner.Incarnation}
	i, ok := r.senderIndexes[s]
	if !ok {
		i = uint32(len(r.senders))
		r.senders = append(r.senders, s)
		r.senderIndexes[s] = i
	}
	return i
}

// hasCapacity reports whether one more id fits, and sweeps expired ids if necessary. Ids that
// have not expired are never evicted.
func (r *Registry) hasCapacity(now time.Time) bool {
	if len(r.records) < r.capacity {
		return true
	}
	if now.Sub(r.lastSweep) >= sweepInterval {
		r.sweep(now)
	}
	if len(r.records) >= r.capacity && r.mutation == evictAtCapacity {
		for key := range r.records {
			delete(r.records, key)
			break
		}
	}
	return len(r.records) < r.capacity
}

// sweep removes expired records, and senders that no record refers to any more. Without this
// senders would grow with each restart of an entry host, which is a new incarnation.
func (r *Registry) sweep(now time.Time) {
	r.lastSweep = now
	oldSenders := r.senders
	r.senders = make([]sender, noSender+1)
	clear(r.senderIndexes)
	for key, rec := range r.records {
		if r.expired(now, rec) {
			delete(r.records, key)
			continue
		}
		if rec.sender != noSender {
			s := oldSenders[rec.sender]
			rec.sender = r.internSender(Owner{Sender: s.name, Incarnation: s.incarnation})
			r.records[key] = rec
		}
	}
}
