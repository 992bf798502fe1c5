package scheduler

import (
	"cmp"
	"slices"
	"time"

	"egretdrum.example/crashes"
	"egretdrum.example/progress"
)

// stepKey names a step of an occurrence.
type stepKey struct{ occurrence, step int }

// restore takes over the stored progress of a job.
func (j *jobState) restore(r *progress.Record) {
	for _, number := range r.Finished {
		if number >= 0 && number < j.spec.Repeat {
			j.setFinished(number)
		}
	}
	j.restored = make(map[stepKey]*progress.StepProgress, len(r.Steps))
	for i := range r.Steps {
		j.restored[stepKey{r.Steps[i].Occurrence, r.Steps[i].Step}] = &r.Steps[i]
	}
}

// restore takes over the stored progress of a step.
func (s *Scheduler) restore(st *stepState) {
	r := st.job.restored[stepKey{st.occurrence.number, st.number}]
	if r == nil {
		return
	}
	for _, f := range r.Failures {
		if f.Index < len(st.tasks) {
			st.tasks[f.Index].failed = slices.Clone(f.Runs)
		}
	}
	for _, c := range r.Crashes {
		if c.Index < len(st.tasks) {
			st.tasks[c.Index].evidence = crashes.Evidence{Runs: slices.Clone(c.Runs), Unconfirmed: c.Unconfirmed, Weak: c.Weak, Shared: c.Shared}
		}
	}
	for n := range st.tasks {
		if r.IsDone(n) {
			st.tasks[n].done = true
			st.unfinished--
		}
	}
}

func (j *jobState) record() *progress.Record {
	r := &progress.Record{State: j.state, Queue: j.spec.Queue, Account: j.spec.Account, Origin: j.spec.Origin, Finished: j.finished}
	if j.state.Final() {
		r.Ended = j.ended.UnixMilli()
		r.Finished = nil
		return r
	}
	for _, o := range sorted(j.occurrences) {
		for _, st := range o.steps {
			sp := progress.StepProgress{Occurrence: o.number, Step: st.number}
			for i := range st.tasks {
				if st.tasks[i].done {
					sp.SetDone(i)
				}
				if failed := st.tasks[i].failed; len(failed) > 0 {
					sp.Failures = append(sp.Failures, progress.Failure{Index: i, Runs: failed})
				}
			}
			sp.Crashes = st.crashRecords()
			if sp.Done != nil || sp.Failures != nil || sp.Crashes != nil {
				r.Steps = append(r.Steps, sp)
			}
		}
	}
	return r
}

// crashRecords returns the evidence against the tasks of a step that are not done.
func (st *stepState) crashRecords() []progress.Crashes {
	var records []progress.Crashes
	for i := range st.tasks {
		if e := &st.tasks[i].evidence; len(e.Runs) > 0 && !st.tasks[i].done {
			records = append(records, progress.Crashes{Index: i, Runs: slices.Clone(e.Runs), Unconfirmed: e.Unconfirmed, Weak: e.Weak, Shared: e.Shared})
		}
	}
	return records
}

// collectSaves adds a save for each job whose record has changed and is not being saved.
func (s *Scheduler) collectSaves(a *Actions) {
	for id, j := range s.dirty {
		if j.version == j.saved {
			delete(s.dirty, id)
			continue
		}
		if j.saving == j.version {
			continue
		}
		b, err := j.record().Encode()
		if err != nil {
			a.LogEvents = append(a.LogEvents, LogEvent{Event: "record-not-encoded", Job: id, Reason: err.Error()})
			continue
		}
		j.saving = j.version
		a.Saves = append(a.Saves, Save{Job: id, Version: j.version, Record: b, Final: j.state.Final()})
	}
	slices.SortFunc(a.Saves, func(a, b Save) int { return cmp.Compare(a.Job, b.Job) })
}

// Saved reports that a version of a job's record is durable; ok is false if saving has failed
// and has to be repeated. The owner repeats failed writes itself and passes only true.
func (s *Scheduler) Saved(id string, version int, ok bool, now time.Time) {
	s.now = now
	j := s.jobs[id]
	if j == nil {
		return
	}
	if !ok {
		j.saving = j.saved
		return
	}
	j.saved = max(j.saved, version)
}

// markDirty marks the record of a job as changed.
func (s *Scheduler) markDirty(j *jobState) {
	j.version++
	s.dirty[j.spec.ID] = j
}
