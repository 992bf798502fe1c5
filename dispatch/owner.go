// Package dispatch runs the scheduler on the owner: it feeds the scheduler with events from
// the store and the workers, and carries out the actions that the scheduler returns.
package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/cancellation"
	"egretdrum.example/election"
	"egretdrum.example/job"
	"egretdrum.example/kv"
	"egretdrum.example/meter"
	"egretdrum.example/progress"
	"egretdrum.example/scheduler"
	"egretdrum.example/storekeys"
	"egretdrum.example/subscription"
	"egretdrum.example/supervision"
	"egretdrum.example/wait"
	"egretdrum.example/worker"
)

// Owner runs the scheduler, one term at a time. Each entry host has one; it schedules only
// during the terms in which its host is the owner.
type Owner struct {
	Store  kv.Store
	Calls  Calls
	Config *subscription.Subscription
	// Limits returns the scheduler's limits for the next term.
	Limits func() scheduler.Limits
	// KeepResults returns how long an ended job and its result, the stored progress, are kept.
	KeepResults func() time.Duration
	// EvacuateWithin returns the time after which no task may start in an evacuated zone any
	// more, zero if this deployment evacuates no zones.
	EvacuateWithin func() time.Duration
	// ConfigWithin returns the time after which a new configuration has to be in force, zero if it is
	// not known; nil stands for zero. Tasks are started without a confirmed lease only within it.
	ConfigWithin func() time.Duration
	Log          *zap.Logger
	Meter        *meter.Meter
	// Supervisor recovers panics; a panic ends the term.
	Supervisor *supervision.Supervisor

	term *election.Term
	// Calls wait for the term in termWait, pollWait and writeWait, by what they need.
	termWait, pollWait, writeWait *termWait
	// restricted is set while the scheduler plans only what needs no confirmed lease.
	restricted atomic.Bool
	// newJobSince is when the first job arrived since the owner is restricted.
	newJobSince time.Time
	core        *scheduler.Scheduler
	events      chan event
	// eventDelay is how late events are applied; only the loop uses it.
	eventDelay eventDelay
	// zonesUnknown is set while it is not known which zones are under evacuation.
	zonesUnknown bool
	// registrationsRead is when the newest read of the registrations that is applied was requested;
	// capacitiesUnknown is set while it is too long ago.
	registrationsRead atomic.Pointer[readTime]
	capacitiesUnknown bool
	// applyingJob is the job that is being added to the scheduler; setAside holds the jobs
	// on which that failed.
	applyingJob string
	setAside    map[string]bool
	// applyingWorker is the registration that is being applied; workersSetAside holds the revisions of
	// those on which that failed. oddEntries holds the revisions of those that could not be decoded.
	applyingWorker              kv.Item
	workersSetAside, oddEntries map[string]int64
	startSlots                  map[string]chan struct{}
	stops, paces                *lanes
	// quickPollSlots is a semaphore for the polls in flight that do not wait for an end.
	quickPollSlots chan struct{}
	saver          *saver
	// keys are those of the scheduler's state other than the progress of jobs; keyWriter writes
	// most of them.
	keys      *guardedKeys
	keyWriter *keyWriter
	// jobRevisions holds the revisions of the keys of the scheduler's jobs by their IDs.
	// removedJobs has the jobs that it has forgotten and that a read of the store may still show.
	jobRevisions map[string]int64
	removedJobs  map[string]removedJob
	jobRemover   *jobRemover
	// cancelledUnknown holds the stored cancellations of jobs that are not stored, by the IDs of the jobs.
	cancelledUnknown map[string][]byte
	ctx              context.Context
	stop             context.CancelFunc
	waves            map[int64]waveRecord
	queries          chan func()
	// linkTerm is the term that links of other hosts access, nil while there is none.
	linkTerm atomic.Pointer[linkTerm]
	// shortPools has the names of the pools that are short of room.
	shortPools atomic.Pointer[[]string]
	// changedWaves holds the numbers of waves whose progress has to be stored; wavesChanged
	// wakes their writer.
	changedWaves map[int64]bool
	wavesChanged chan struct{}
	// background counts the goroutines of inBackground that have not ended.
	background sync.WaitGroup
}

// Calls are the calls to workers and to the platform, and the platform's encodings.
type Calls struct {
	Start func(ctx context.Context, a scheduler.Start) scheduler.StartAnswer
	Stop  func(ctx context.Context, a scheduler.Stop) scheduler.StopAnswer
	// Pace limits the speed of a background task and reports whether the worker answered.
	Pace         func(ctx context.Context, a scheduler.Pace) bool
	Poll         func(ctx context.Context, a scheduler.Poll) (*worker.Listing, bool, error)
	ListMachines func(ctx context.Context) ([]worker.Machine, error)
	// Order orders a move or the maintenance of a machine; the error is for the log.
	Order func(ctx context.Context, o scheduler.MachineOrder) (scheduler.OrderResult, error)
	// Advise requests placement advice and returns the tickets of the workers that may run
	// a step.
	Advise func(ctx context.Context, q scheduler.AdviceRequest) (map[string]string, error)
	// DecodeWorker decodes a registration, which is stored under WorkerPrefix.
	DecodeWorker func(kv.Item) (worker.Entry, error)
	WorkerPrefix string
	// WaveStatus encodes the state of a wave for operators, who read it under
	// WaveStatusPrefix and the number of the wave.
	WaveStatus       func(finished bool) ([]byte, error)
	WaveStatusPrefix string
}

const (
	// eventBuffer keeps callbacks from blocking while the scheduler runs.
	eventBuffer = 256
	// tickInterval is the maximum time between two passes of the scheduler.
	tickInterval = 50 * time.Millisecond
	// loadTimeout covers several pages from a slow store.
	loadTimeout = 3 * time.Second
	// configPollInterval is how often a new owner checks whether its host has a
	// configuration.
	configPollInterval = 10 * time.Millisecond
	// cleanupInterval is how often expired jobs are removed.
	cleanupInterval = 10 * time.Second
)

// Run schedules until ctx ends or ownership is lost. A panic ends the term, so that the next
// owner starts from durable state; a job whose addition to the scheduler panicked is ignored
// by this process from then on.
func (o *Owner) Run(ctx context.Context, term *election.Term) {
	if !o.Supervisor.Run("schedule", func() { o.schedule(ctx, term) }) {
		return
	}
	o.stop()
	if o.applyingJob != "" {
		o.setAside[o.applyingJob] = true
		o.Log.Error("job-set-aside", zap.String("request", o.applyingJob))
	}
	if e := o.applyingWorker; e.Key != "" {
		o.workersSetAside[e.Key] = e.Revision
		o.Log.Error("registration-set-aside", zap.String("key", e.Key), zap.Int64("revision", e.Revision))
	}
}

func (o *Owner) schedule(ctx context.Context, term *election.Term) {
	// Calls of a previous term must not report their answers to the scheduler of this one. They end
	// with their context.
	o.background.Wait()
	o.ctx, o.stop = context.WithCancel(ctx)
	defer o.stop()
	o.applyingJob = ""
	if o.setAside == nil {
		o.setAside, o.workersSetAside = make(map[string]bool), make(map[string]int64)
	}
	o.applyingWorker, o.oddEntries = kv.Item{}, make(map[string]int64)
	o.term, o.termWait, o.pollWait, o.writeWait = term, &termWait{}, &termWait{}, &termWait{}
	o.restricted.Store(false)
	o.newJobSince = time.Time{}
	defer o.endRestriction()
	o.events, o.queries = make(chan event, eventBuffer), make(chan func(), eventBuffer)
	o.eventDelay = eventDelay{}
	o.zonesUnknown, o.capacitiesUnknown = false, false
	o.startSlots = make(map[string]chan struct{})
	o.stops, o.paces = o.newLanes("stop", stopsPerWorker), o.newLanes("pace", pacesPerWorker)
	o.quickPollSlots = make(chan struct{}, maxQuickPolls)
	o.waves = make(map[int64]waveRecord)
	o.changedWaves, o.wavesChanged = make(map[int64]bool), make(chan struct{}, 1)
	o.core = scheduler.New(o.Limits(), term.Number, time.Now())
	store := o.holdWrites()
	o.saver = newSaver(store, term.Number, o.Log, o.Supervisor)
	o.keys = newGuardedKeys(store, term.Number)
	o.keyWriter = newKeyWriter(o.keys, o.Log)
	o.jobRevisions, o.removedJobs = make(map[string]int64), make(map[string]removedJob)
	o.cancelledUnknown = make(map[string][]byte)
	o.jobRemover = newJobRemover(store, term.Number, o.Log)
	// Items that arrive during the load wait for the loop. There is no channel for queries
	// yet, so hosts read the store instead.
	o.linkTerm.Store(&linkTerm{term: term, events: o.events, done: o.ctx.Done()})
	o.shortPools.Store(nil)
	defer o.Meter.Gauge("short_pools", 0)
	defer o.linkTerm.Store(nil)
	started := time.Now()
	// The configuration says how often a task may fail, so nothing is scheduled without it.
	for c, _, _ := o.Config.Current(); c == nil; c, _, _ = o.Config.Current() {
		if !wait.For(o.ctx, configPollInterval) {
			return
		}
	}
	from, err := o.load()
	if err != nil {
		o.Log.Warn("state-not-loaded", zap.Int64("term", term.Number), zap.Error(err))
		return
	}
	o.Log.Info("state-loaded", zap.Int64("term", term.Number), zap.Duration("took", time.Since(started)), zap.Int("jobs", o.core.Summary().Jobs), zap.Int("workers", o.core.Summary().Workers))
	o.linkTerm.Store(&linkTerm{term: term, events: o.events, queries: o.queries, done: o.ctx.Done()})
	done := []<-chan struct{}{
		o.inBackground("saver", func() { o.saver.run(o.ctx, o.stop, o.recordSaved) }),
		o.inBackground("workers", func() {
			o.follow(o.Calls.WorkerPrefix, from.workers, o.workerEvent, o.reloadWorkers, o.noteRegistrationsRead())
		}),
		o.inBackground("submissions", func() {
			o.follow(storekeys.Submissions, from.submissions, o.submissionEvent, o.reloadSubmissions, o.noteSubmissionsRead())
		}),
		o.inBackground("keys", func() { o.keyWriter.run(o.ctx, o.stop, o.keyWritten) }),
		o.inBackground("clean", func() { o.jobRemover.run(o.ctx, o.stop, o.jobsRemoved) }),
		o.inBackground("machines", o.pollMachines),
		o.inBackground("counts", o.writeCounts),
		o.inBackground("waves", o.writeWaves),
	}
	defer func() {
		o.stop()
		for _, ended := range done {
			<-ended
		}
	}()
	o.loop()
}

// inBackground runs f in a goroutine and returns a channel that is closed when f has ended. A
// panic of f ends the term, because it is unknown what f left undone.
func (o *Owner) inBackground(name string, f func()) <-chan struct{} {
	ended := make(chan struct{})
	stop := o.stop
	o.background.Add(1)
	go func() {
		defer o.background.Done()
		defer close(ended)
		if o.Supervisor.Run(name, f) {
			stop()
		}
	}()
	return ended
}

// event is a change to apply to the scheduler, with the time at which it was posted.
type event struct {
	at    time.Time
	apply func(now time.Time)
}

// post queues an event for the loop; it is dropped if the term is over.
func (o *Owner) post(apply func(now time.Time)) {
	select {
	case o.events <- event{time.Now(), apply}:
	case <-o.ctx.Done():
	}
}

// loop applies events and carries out the scheduler's actions.
func (o *Owner) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	cleanup := time.NewTicker(cleanupInterval)
	defer cleanup.Stop()
	changed := o.Config.Changed()
	o.applyConfig(time.Now())
	for {
		o.updateEventDelay(time.Now())
		o.checkTerm()
		o.checkZones()
		o.checkCapacities()
		o.core.Tick(time.Now())
		o.execute(o.core.TakeActions())
		o.noteShortPools(time.Now())
		for queried := true; queried; {
			queried = false
			select {
			case <-o.ctx.Done():
				return
			case query := <-o.queries:
				// Queries change nothing, so no pass of the scheduler is needed.
				query()
				queried = true
			case e := <-o.events:
				o.apply(e)
			case <-changed:
				changed = o.Config.Changed()
				o.applyConfig(time.Now())
			case <-cleanup.C:
				o.removeExpiredJobs(time.Now())
			case <-ticker.C:
			}
		}
		o.applyPending()
	}
}

// applyPending applies the queued events, so that one pass of the scheduler serves all of them.
func (o *Owner) applyPending() {
	for range eventBuffer {
		select {
		case e := <-o.events:
			o.apply(e)
		default:
			return
		}
	}
}

// apply records the age of an event and applies it.
func (o *Owner) apply(e event) {
	now := time.Now()
	o.eventDelay.observe(now.Sub(e.at), now)
	e.apply(now)
}

func (o *Owner) applyConfig(now time.Time) {
	c, _, _ := o.Config.Current()
	if c != nil {
		o.core.SetCatalog(c)
	}
	zones, _ := o.Config.Evacuated()
	o.core.SetEvacuated(zones)
	for _, w := range o.Config.Waves() {
		o.setWave(w, now)
	}
}

// watchRevisions are the revisions after which the store is watched.
type watchRevisions struct{ workers, submissions int64 }

// load reads the state that the previous owner stored. That owner cannot write any more, so
// the ranges may be read concurrently, which saves time when the store is slow.
func (o *Owner) load() (watchRevisions, error) {
	ctx, cancel := context.WithTimeout(o.ctx, loadTimeout)
	defer cancel()
	var workers, submissions, results, waves, unresponsive, pools []kv.Item
	var from watchRevisions
	requested := o.readTime()
	reads := []<-chan error{
		o.rangeAsync(ctx, o.Calls.WorkerPrefix, &workers, &from.workers),
		o.rangeAsync(ctx, storekeys.Submissions, &submissions, &from.submissions),
		o.rangeAsync(ctx, storekeys.Results, &results, nil),
		o.rangeAsync(ctx, storekeys.Waves, &waves, nil),
		o.rangeAsync(ctx, storekeys.UnresponsiveWorkers, &unresponsive, nil),
		o.rangeAsync(ctx, storekeys.PoolUse, &pools, nil),
	}
	for _, done := range reads {
		if err := <-done; err != nil {
			return watchRevisions{}, err
		}
	}
	o.registrationsRead.Store(&requested)
	now := time.Now()
	o.loadWaves(waves)
	for _, item := range workers {
		o.setWorker(item, now)
	}
	records := make(map[string]*progress.Record, len(results))
	for _, item := range results {
		o.saver.setRevision(item.Key, item.Revision)
		r, err := progress.Decode(item.Value)
		if err != nil {
			o.Log.Warn("result-not-decoded", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		records[item.Key] = r
	}
	for _, item := range submissions {
		o.applySubmission(item, records, now)
	}
	o.loadUnresponsive(unresponsive, now)
	o.loadPoolUse(pools, now)
	return from, nil
}

// rangeAsync reads a range in the background and sends the error, or nil, on the returned
// channel.
func (o *Owner) rangeAsync(ctx context.Context, prefix string, items *[]kv.Item, revision *int64) <-chan error {
	done := make(chan error, 1)
	go func() {
		list, at, err := o.Store.Range(ctx, prefix)
		if err != nil {
			err = fmt.Errorf("range %s: %w", prefix, err)
		}
		*items = list
		if revision != nil {
			*revision = at
		}
		done <- err
	}()
	return done
}

// applySubmission applies a job or a cancellation stored under storekeys.Submissions.
func (o *Owner) applySubmission(item kv.Item, records map[string]*progress.Record, now time.Time) {
	id, cancel := storekeys.ParseSubmission(item.Key)
	if cancel {
		if item.Revision < o.jobRevisions[id] {
			// It is for a removed job with the same ID.
			return
		}
		switch j, _ := o.core.VisibleState(id); {
		case cancellation.IsRefusal(item.Value):
			// It concerns submissions only, and its job is not stored.
		case j == nil:
			o.cancelledUnknown[id] = item.Value
		case cancellation.Covers(item.Value, j.Queue, j.Account, j.Origin):
			o.core.Cancel(id, now)
		}
		return
	}
	if o.setAside[id] || item.Revision <= o.removedJobs[id].revision {
		return
	}
	// It stays set if the scheduler panics on the job.
	o.applyingJob = id
	j, err := job.Decode(item.Value)
	if err != nil {
		o.applyingJob = ""
		o.Log.Warn("job-not-decoded", zap.String("key", item.Key), zap.Error(err))
		return
	}
	if !o.term.Valid() {
		// A successor may take the job for newer than its term, and start it at once.
		o.checkTerm()
	}
	// Jobs that are newer than the term were unknown to previous owners.
	inherited := item.Revision < o.term.Number
	if o.core.AddJob(j, records[storekeys.Result(id)], inherited, now) {
		o.jobRevisions[id] = item.Revision
		o.noteNewJob(now)
		o.Log.Info("job-scheduled", zap.String("request", id), zap.String("queue", j.Queue), zap.String("account", j.Account), zap.Int("steps", len(j.Steps)), zap.Bool("inherited", inherited), zap.Int64("revision", item.Revision))
	}
	o.applyingJob = ""
	if v, cancelled := o.cancelledUnknown[id]; cancelled && cancellation.Covers(v, j.Queue, j.Account, j.Origin) {
		// A host of a build that does not know such cancellations has stored the job after it.
		o.Log.Info("job-cancelled-before", zap.String("request", id))
		o.core.Cancel(id, now)
	}
}

func (o *Owner) recordSaved(id string, version int, ok bool) {
	o.post(func(now time.Time) { o.core.Saved(id, version, ok, now) })
}
