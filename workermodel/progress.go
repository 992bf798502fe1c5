package workermodel

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"egretdrum.example/job"
	"egretdrum.example/worker"
)

// work returns the work done, with that of the checkpoint.
func (r *run) work(now time.Time) time.Duration {
	if r.atWork.IsZero() || now.Before(r.atWork) {
		return r.restored
	}
	done := r.restored + time.Duration(float64(now.Sub(r.atWork))/max(1, r.behavior.Slowdown))
	if r.behavior.LongRunning {
		return done
	}
	return min(done, r.behavior.RunTime)
}

func (r *run) percent(now time.Time) int {
	const all = 100
	if r.behavior.LongRunning {
		if r.atWork.IsZero() || now.Before(r.atWork) {
			return 0
		}
		return all
	}
	if r.behavior.RunTime == 0 {
		return all
	}
	return int(all * r.work(now) / r.behavior.RunTime)
}

// finish returns when the run ends by itself, and how; the zero time means that it does not.
func (r *run) finish() (at time.Time, reason worker.EndReason, crash bool) {
	if r.atWork.IsZero() {
		return time.Time{}, "", false
	}
	slow := func(d time.Duration) time.Time {
		return r.atWork.Add(time.Duration(float64(d) * max(1, r.behavior.Slowdown)))
	}
	if !r.behavior.LongRunning {
		at, reason = slow(r.behavior.RunTime-r.restored), worker.Done
	}
	if f := r.behavior.FailAfter; f > 0 && (at.IsZero() || slow(f).Before(at)) {
		at, reason = slow(f), worker.Failed
	}
	if c := r.behavior.CrashAfter; c > 0 && (at.IsZero() || slow(c).Before(at)) {
		return slow(c), "", true
	}
	return at, reason, false
}

// checkpoint returns the newest checkpoint of a run, or that of its stop.
func (w *Worker) checkpoint(now time.Time, r *run, stop bool) string {
	if !r.behavior.Checkpointing || w.cfg.CheckpointInterval == 0 {
		return ""
	}
	saved := r.work(now)
	if !stop {
		saved = r.restored + (saved - r.restored).Truncate(w.cfg.CheckpointInterval)
	}
	if saved == 0 {
		return ""
	}
	return fmt.Sprintf("%016x-%d", checkpointOwner(r.task, r.behavior.Gang), saved.Milliseconds())
}

// checkpointOwner identifies the task that may use a checkpoint; all members of a gang use the
// same one.
func checkpointOwner(t job.Task, gang bool) uint64 {
	if gang {
		return xxhash.Sum64String(t.StepName())
	}
	return xxhash.Sum64String(t.String())
}

// readCheckpoint returns the work that a checkpoint carries, and whether it is one of the task.
func readCheckpoint(t job.Task, gang bool, checkpoint string) (time.Duration, bool) {
	if checkpoint == "" {
		return 0, true
	}
	var owner uint64
	var ms int64
	if _, err := fmt.Sscanf(checkpoint, "%x-%d", &owner, &ms); err != nil || owner != checkpointOwner(t, gang) {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}
