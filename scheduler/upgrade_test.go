package scheduler

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/property"
)

// storedUnresponsive and storedPoolUse are what commit 7e6a023 writes for the records of the tests.
const (
	storedUnresponsive = "a3016477303137021b0000018bcfe5687b0382a201a4634a6f6270356330653761323164393462333666386a4f6363757272656e63650164537465700265496e64657803021a04000001a201a4634a6f62616a6a4f6363757272656e63650064537465700065496e64657800021a04000002"
	storedPoolUse      = "a266726f756e647382646465736b666c6561677565657465616d7381666c6561677565"
)

func encode[T any](v T) ([]byte, error) { return cbor.Marshal(v) }

func decode[T any](b []byte) (v T, err error) {
	err = cbor.Unmarshal(b, &v)
	return v, err
}

// Guards against an owner that can't read, or reads otherwise, what an owner of another build has
// stored about workers that do not answer and about the pools in use.
func TestOwnerRecordsOfOtherBuildsAreRead(t *testing.T) {
	property.CheckEncoding(t, storedUnresponsive, UnresponsiveWorker{
		Worker: "w017", Incarnation: 1_700_000_000_123,
		Runs: []UnconfirmedRun{{job.Task{Job: "5c0e7a21d94b36f8", Occurrence: 1, Step: 2, Index: 3}, 67108865}, {job.Task{Job: "j"}, 67108866}},
	}, encode, decode)
	property.CheckEncoding(t, storedPoolUse, PoolUse{"rounds": {"desk", "league"}, "teams": {"league"}}, encode, decode)
}

// storedProgress is the record of a repeating job as commit 7e6a023 writes it: occurrence 0 is done,
// occurrence 1 has a done task and a task with a failed run.
var storedProgress = progress.Record{
	State: progress.Running, Queue: "rounds", Account: "arbiters", Finished: []int{0},
	Steps: []progress.StepProgress{{Occurrence: 1, Done: []byte{1}, Failures: []progress.Failure{{Index: 1, Runs: []int64{7}}}}},
}

// rewriteProgress has a new owner load storedProgress, and returns the first record that it saves
// after a task of another occurrence has ended. Occurrence 1 is due when the owner begins its term, or
// later by the clock of its host.
func rewriteProgress(t *testing.T, dueIn time.Duration) *progress.Record {
	sim := newSimulation(2)
	interval := 10 * time.Second
	sim.jobs["j"] = &job.Job{
		ID: "j", Queue: "rounds", Account: "arbiters", Repeat: 3, Interval: interval, Start: sim.now.Add(dueIn - interval),
		Steps: []job.Step{{Count: 3, Need: small}},
	}
	stored := storedProgress
	// Occurrence 0 is not done yet, so that the record changes while occurrence 1 is not due.
	if dueIn > 0 {
		stored.Finished = nil
	}
	sim.stored["j"] = &stored
	sim.replaceOwner()
	sim.run(2 * time.Second)
	assertNoViolations(t, sim)
	qt.Assert(t, sim.stored["j"], qt.Not(qt.Equals), &stored)
	return sim.stored["j"]
}

// Guards against an owner that loses progress when it writes a record that an earlier owner has
// written: the next owner would run done tasks again, or give failed ones more attempts.
func TestRewrittenRecordsKeepProgress(t *testing.T) {
	for name, dueIn := range map[string]time.Duration{"due": 0, "not due by the clock of the new owner": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			r := rewriteProgress(t, dueIn)
			i := slices.IndexFunc(r.Steps, func(p progress.StepProgress) bool { return p.Occurrence == 1 })
			if i < 0 {
				qt.Assert(t, r.Finished, qt.Contains, 1)
				return
			}
			qt.Check(t, r.Steps[i].IsDone(0), qt.IsTrue)
			qt.Check(t, r.Steps[i].Failures, qt.DeepEquals, storedProgress.Steps[0].Failures)
		})
	}
}

// Guards against a new owner whose clock is behind and that does not know runs, or ends, of an
// occurrence that the previous owner has begun: the runs would be stopped, and tasks that are done would
// run again.
func TestOccurrenceBegunBeforeItsTimeGoesOn(t *testing.T) {
	for name, ended := range map[string]bool{"runs": false, "ends that are not stored": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(2)
			sim.submit("j", job.Step{Count: 2, Need: small})
			j := sim.jobs["j"]
			j.Repeat, j.Interval, j.Start = 2, 10*time.Second, sim.now.Add(100*time.Millisecond)
			sim.replaceOwner()
			sim.run(300 * time.Millisecond)
			sim.storeDown = true
			for sim.done[job.Task{Job: "j"}] != ended {
				sim.step()
			}
			sim.storeDown = false
			later := *j
			later.Start = j.Start.Add(4 * time.Second)
			sim.jobs["j"] = &later
			sim.replaceOwner()
			sim.run(3 * time.Second)
			assertNoViolations(t, sim)
			qt.Check(t, sim.done[job.Task{Job: "j"}], qt.IsTrue)
			sim.run(4 * time.Second)
			assertNoViolations(t, sim)
			qt.Assert(t, sim.starts, qt.Equals, 2)
		})
	}
}

// Shows what an owner does to the keys of a later build in a record, which docs/upgrade.md builds on: it
// keeps the record as it is until the job changes, and then writes what it knows itself.
func TestRecordsLoseKeysOfLaterBuildsWhenTheJobChanges(t *testing.T) {
	stored, err := storedProgress.Encode()
	qt.Assert(t, err, qt.IsNil)
	later := property.AddUnknownKeys(t, stored)
	record, err := progress.Decode(later)
	qt.Assert(t, err, qt.IsNil)
	sim := newSimulation(2)
	sim.jobs["j"] = &job.Job{ID: "j", Queue: "rounds", Account: "arbiters", Repeat: 3, Interval: 10 * time.Second, Start: sim.now.Add(-10 * time.Second), Steps: []job.Step{{Count: 3, Need: small}}}
	sim.stored["j"] = record
	var saves [][]byte
	sim.onActions = func(a Actions) {
		for _, s := range a.Saves {
			saves = append(saves, s.Record)
		}
	}
	sim.replaceOwner()
	sim.workers["w0"].unreachable, sim.workers["w1"].unreachable = true, true
	sim.run(time.Second)
	qt.Assert(t, saves, qt.HasLen, 0)
	sim.workers["w0"].unreachable, sim.workers["w1"].unreachable = false, false
	sim.run(3 * time.Second)
	qt.Assert(t, len(saves) > 0, qt.IsTrue)
	for _, saved := range saves {
		lost := property.MissingParts(t, later, saved)
		qt.Check(t, slices.Contains(lost, "/1000"), qt.IsTrue)
		qt.Check(t, slices.Contains(lost, "/5"), qt.IsFalse)
	}
}
