// Package jobservice serves the calls for jobs: it accepts jobs, returns their state and cancels
// them. A job is in the store before its caller learns that it is accepted.
package jobservice

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/answerlimit"
	"egretdrum.example/cancellation"
	"egretdrum.example/catalog"
	"egretdrum.example/job"
	"egretdrum.example/kv"
	"egretdrum.example/latency"
	"egretdrum.example/meter"
	"egretdrum.example/origin"
	"egretdrum.example/ownerlink"
	"egretdrum.example/storehealth"
	"egretdrum.example/storekeys"
	"egretdrum.example/subscription"
	"egretdrum.example/wait"
)

const (
	// RetryAfter is the shortest retry delay in refusals while the store is unavailable; most outages
	// last some seconds. Callers are told to wait for one to maxRetryAfterSeconds of it, so that they
	// do not come back together.
	RetryAfter           = time.Second
	maxRetryAfterSeconds = 2
	// maxDenialAge is the maximum age of a configuration that may deny a call: in an older
	// one, an unknown queue or key may be a new one. A change of the configuration, such as
	// a new queue, has to be in force within two seconds.
	maxDenialAge = 1900 * time.Millisecond
	// keyMargin is subtracted from RevokeWithin: keys are refused if the last confirmation of
	// the configuration is older than the difference. Watches of a store that compacts its history
	// have been observed to deliver nothing for a second.
	keyMargin = 1200 * time.Millisecond
	// maxReadyAge is the maximum time since the store confirmed the configuration with which this
	// host reports that it is ready for callers.
	maxReadyAge = 2500 * time.Millisecond
	// commitTimeout allows for a store that answers 80 times slower than usual. If the store
	// usually answers far faster, a late answer is probably lost, and the change is sent again
	// after as little as minCommitTimeout; its conditions keep it from taking effect twice.
	commitTimeout    = 900 * time.Millisecond
	minCommitTimeout = 150 * time.Millisecond
	// DefaultTimeout is the timeout of a call whose caller sets none.
	DefaultTimeout = 3 * time.Second
	// answerMargin is the part of the timeout that is left for sending the answer.
	answerMargin = 150 * time.Millisecond
	retryDelay   = 60 * time.Millisecond
	// defaultMaxBodyBytes limits bodies if the configuration does not.
	defaultMaxBodyBytes = 256 << 10
	// maxCountAge is the age above which the counts of the queues are read again.
	maxCountAge = 500 * time.Millisecond
)

// Service serves the calls that one entry host receives.
type Service struct {
	Store        kv.Store
	Subscription *subscription.Subscription
	// RevokeWithin returns the time after which a withdrawn key must no longer be accepted.
	RevokeWithin func() time.Duration
	Log          *zap.Logger
	Meter        *meter.Meter
	// Notify, if set, notifies the owner of a stored item.
	Notify func(kv.Item)
	// QueryState, if set, queries the owner for the state of a job; it reports false if the
	// owner gave no answer that can be used.
	QueryState func(ctx context.Context, id string) (ownerlink.Answer, bool)
	// Health says whether the store serves this host; nil stands for a store that always does.
	Health *storehealth.Health
	// Relay, if set, commits a change by way of the owner, which is used while RelayEnabled returns
	// true and the store does not serve this host.
	Relay        func(ctx context.Context, c kv.Change) (int64, error)
	RelayEnabled func() bool
	// Answers limits the large answers of the store that calls hold at a time; nil stands for no limit.
	Answers *answerlimit.Limit
	// Short, if set, reports whether the owner has said that a pool is short of room. Forecast then asks it
	// when an encoded job would be done; it reports false if there is no answer. Both are used while
	// RefuseEnabled is nil or returns true.
	Short         func(pool string) bool
	Forecast      func(ctx context.Context, job []byte) (ownerlink.Forecast, bool)
	RefuseEnabled func() bool

	// avoided is set while writes are not sent to the store, so that a change is logged once.
	avoided atomic.Bool
	counts  countCache
	// commitLatency estimates how long the store needs for a commit.
	commitLatency latency.Estimate

	marksOnce sync.Once
	marks     *cancellation.Marks
	lists     listTurn
	// committed is the newest revision of a change of this host.
	committed atomic.Int64
}

// Call is one call for jobs.
type Call struct {
	// Host and Path select the queue and the job if Queue is empty.
	Host, Path string
	Queue, ID  string
	// Key is the key of an account, empty if the call has none.
	Key string
	// Timeout is how long the caller waits; zero stands for DefaultTimeout.
	Timeout time.Duration
	// Received is the time at which this host received the call.
	Received time.Time
}

// Target is the queue, the account and the job that a call refers to.
type Target struct {
	Queue   *catalog.Queue
	Account string
	// ID is the ID of the job, empty if the call is about the queue.
	ID string

	// catalog is the configuration that has the queue and the account, with its revision and age.
	catalog  *catalog.Catalog
	revision int64
	age      time.Duration
}

// origin identifies the queue and the account under other names.
func (t *Target) origin() *origin.Origin { return t.catalog.Origin(t.Queue, t.Account) }

// owns reports whether a job is that of the target: it was accepted by its queue from its account, under
// their present names or earlier ones. Jobs without an account, and those of a queue that is open to all,
// are shown to each caller of the queue.
func (t *Target) owns(queue, account string, o *origin.Origin) bool {
	if !t.Queue.Covers(queue, o) {
		return false
	}
	if t.Queue.Open || account == "" {
		return true
	}
	a := t.catalog.AcceptedFrom(account, o)
	return a != nil && a.Name == t.Account
}

// Ready reports whether the configuration of this host is recent enough to serve callers, and the host
// keeps up with its changes.
func (s *Service) Ready() bool {
	c, _, age := s.Subscription.Current()
	return c != nil && age < maxReadyAge && !s.Subscription.Behind()
}

// MaxBodyBytes returns the maximum size of the body of a submission.
func (s *Service) MaxBodyBytes() int64 {
	if c, _, _ := s.Subscription.Current(); c != nil && c.MaxBodyBytes > 0 {
		return c.MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

// Resolve returns the target of a call, or nil and the answer to the call.
func (s *Service) Resolve(call *Call) (*Target, Answer) {
	c, revision, age := s.Subscription.Current()
	if c == nil {
		return nil, s.refuse("no configuration was read yet")
	}
	q, id := c.Queues[call.Queue], call.ID
	if call.Queue == "" {
		if q = c.Find(call.Host, call.Path); q != nil {
			id = call.Path[len(q.Prefix):]
		}
	}
	if q == nil {
		return nil, s.deny(Answer{Outcome: NoQueue, Reason: "no queue has this address"}, age)
	}
	t := &Target{Queue: q, ID: id, catalog: c, revision: revision, age: age}
	if q.Open {
		return t, Answer{}
	}
	if age > s.RevokeWithin()-keyMargin {
		return nil, s.refuse("the store has not confirmed the keys in time")
	}
	a := c.ByKey(call.Key)
	if a == nil {
		return nil, s.deny(Answer{Outcome: BadKey, Reason: "no account holds this key"}, age)
	}
	t.Account = a.Name
	return t, Answer{}
}

func (s *Service) refuse(reason string) Answer {
	return Answer{Outcome: Refused, RetryAfter: RetryAfter * time.Duration(1+rand.IntN(maxRetryAfterSeconds)), Reason: reason}
}

// deny returns the answer a, or a refusal if the configuration is too old to deny a call.
func (s *Service) deny(a Answer, age time.Duration) Answer {
	if age > maxDenialAge {
		return s.refuse("the configuration is not fresh enough to say: " + a.Reason)
	}
	return a
}

// Submit stores a job. The change is conditional on the revision of the configuration that
// allows the job, so the store rejects it if the key or the queue has been withdrawn, even if
// this host has not learned of that yet. It is also conditional on the absence of a cancellation.
func (s *Service) Submit(ctx context.Context, call *Call, j *job.Job) Answer {
	ctx, cancel := context.WithTimeout(ctx, s.timeout(call))
	defer cancel()
	received := call.Received
	a := s.submit(ctx, call, j)
	s.Meter.Count("submissions", "outcome", string(a.Outcome))
	s.Meter.Scope.Timer("submission_time").Record(time.Since(received))
	return a
}

func (s *Service) timeout(call *Call) time.Duration {
	t := call.Timeout
	if t <= 0 {
		t = DefaultTimeout
	}
	return max(t-answerMargin, t/2)
}

func (s *Service) submit(ctx context.Context, call *Call, j *job.Job) Answer {
	if err := j.Check(); err != nil {
		return Answer{Outcome: Invalid, Reason: err.Error()}
	}
	ctx, release := s.Answers.Hold(ctx)
	defer release()
	mayBeStored := false
	// Marks up to this revision are older than the call.
	seen := s.seen()
	// replaced is the revision of a mark for the same ID that does not prevent the submission: one that
	// another account has stored, or that of a refusal.
	replaced := int64(0)
	for failures := 0; ; failures++ {
		t, answer := s.Resolve(call)
		if t == nil {
			return unknownIfMayBeStored(answer, mayBeStored)
		}
		t.catalog.Accept(j, t.Queue, t.Account)
		value, err := j.Encode()
		if err != nil {
			return Answer{Outcome: Invalid, Reason: err.Error()}
		}
		if failures == 0 && replaced == 0 {
			if a, refused := s.refuseUseless(ctx, t, j, value); refused {
				return a
			}
		}
		put := kv.Put{Key: storekeys.Job(j.ID), Value: value}
		revision, err := s.write(ctx, s.submission(t, put, j.ID, replaced), failures, mayBeStored)
		var conflict *kv.ConflictError
		switch {
		case err == nil:
			s.notifyOwner(put, revision)
			return Answer{Outcome: Accepted}
		case errors.As(err, &conflict):
			if existing := conflict.Find(storekeys.Job(j.ID)); existing.Revision > 0 {
				return s.answerDuplicate(existing, t)
			}
			mark := conflict.Find(storekeys.Cancel(j.ID))
			if mark.Revision > 0 && cancellation.Covers(mark.Value, j.Queue, j.Account, j.Origin) {
				// No earlier attempt can take effect any more.
				return Answer{Outcome: Refused, Reason: "the job was cancelled before it was stored"}
			}
			if mark.Revision > seen && cancellation.Refuses(mark.Value, j.Queue, j.Account) {
				// The refusal may be later than this call, which must not take effect then.
				return s.refuse("another attempt was refused, as the job would not be done in time")
			}
			if config := conflict.Find(s.Subscription.ConfigKey); len(config.Value) > 0 {
				s.Subscription.Apply(config)
			}
			if _, newest, _ := s.Subscription.Current(); newest == t.revision && mark.Revision == replaced {
				// The owner does not send a large configuration along with the outcome.
				return unknownIfMayBeStored(s.refuse("the configuration of this host is older than that of the store"), mayBeStored)
			}
			replaced = mark.Revision
		case kv.Rejected(err) && !mayBeStored:
			return Answer{Outcome: Invalid, Reason: err.Error()}
		case kv.NotApplied(err):
			if !mayBeStored {
				return s.refuse(err.Error())
			}
		default:
			mayBeStored = true
		}
		release()
		if !wait.For(ctx, retryDelay) {
			return unknownIfMayBeStored(s.refuse("the store did not answer in time"), mayBeStored)
		}
	}
}

// submission returns the change that stores a job, and that deletes a mark of the revision replaced unless
// that is zero.
func (s *Service) submission(t *Target, put kv.Put, id string, replaced int64) kv.Change {
	mark := kv.Condition{Key: storekeys.Cancel(id), Revision: replaced}
	change := kv.Change{Conditions: []kv.Condition{{Key: s.Subscription.ConfigKey, Revision: t.revision}, {Key: put.Key}, mark}, Puts: []kv.Put{put}}
	if replaced > 0 {
		change.Deletes = []string{mark.Key}
	}
	return change
}

// unknownIfMayBeStored turns a refusal or denial into the outcome Unknown if an earlier attempt
// may take effect.
func unknownIfMayBeStored(a Answer, mayBeStored bool) Answer {
	if mayBeStored {
		return Answer{Outcome: Unknown, Reason: a.Reason}
	}
	return a
}

// answerDuplicate answers a submission whose ID is already stored.
func (s *Service) answerDuplicate(existing kv.Item, t *Target) Answer {
	stored, err := job.Decode(existing.Value)
	if err != nil {
		return Answer{Outcome: Unknown, Reason: err.Error()}
	}
	if !t.owns(stored.Queue, stored.Account, stored.Origin) {
		return Answer{Outcome: Invalid, Reason: "another queue or account has a job of this id"}
	}
	return Answer{Outcome: Accepted, Reason: "known"}
}

// notifyOwner notifies the owner of an item that was stored.
func (s *Service) notifyOwner(put kv.Put, revision int64) {
	if s.Notify != nil {
		s.Notify(kv.Item{Key: put.Key, Value: put.Value, Revision: revision})
	}
}

// commit sends a change once; failures is the number of failed attempts before.
func (s *Service) commit(ctx context.Context, c kv.Change, failures int) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.commitLatency.Timeout(minCommitTimeout, commitTimeout, failures))
	defer cancel()
	sent := time.Now()
	revision, err := s.Store.Commit(ctx, c)
	s.noteCommitted(revision, err)
	var conflict *kv.ConflictError
	switch {
	case err == nil, errors.As(err, &conflict):
		s.commitLatency.RecordAnswer(time.Since(sent))
	case ctx.Err() != nil:
		s.commitLatency.RecordMiss()
	}
	return revision, err
}
