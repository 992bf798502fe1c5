package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/catalog"
	"egretdrum.example/job"
	"egretdrum.example/progress"
)

// overdueJob returns a scheduled job whose occurrences are all overdue.
func overdueJob(id, account string, occurrences, tasks int) *job.Job {
	return &job.Job{
		ID: id, Queue: "rounds", Account: account, Repeat: occurrences, Start: time.UnixMilli(0), Interval: time.Minute,
		Steps: []job.Step{{Count: tasks, Need: small}},
	}
}

func (sim *simulation) submitJob(j *job.Job) {
	sim.jobs[j.ID], sim.added[j.ID] = j, sim.owner
	sim.core.AddJob(j, nil, false, sim.now)
}

// begunTasks returns the number of tasks for which the scheduler of the simulation has state.
func (sim *simulation) begunTasks() int {
	n := 0
	for _, j := range sim.core.jobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				n += len(st.tasks)
			}
		}
	}
	return n
}

// Guards against a scheduled job whose overdue occurrences take memory all at once: one accepted job
// ended each owner in turn, which exceeded its memory limit.
func TestOverdueOccurrencesBeginInSteps(t *testing.T) {
	sim := newSimulation(2)
	sim.submitJob(overdueJob("j", "arbiters", 20_000, 24))
	assertBegun(t, sim, maxFurtherPerJob+24)
	for range 2 {
		sim.run(3 * time.Second)
		assertNoViolations(t, sim)
		assertBegun(t, sim, maxFurtherPerJob+24)
		sim.replaceOwner()
	}
	qt.Assert(t, len(sim.done) > 24, qt.IsTrue)
}

// assertBegun checks that the scheduler has state for n tasks at most.
func assertBegun(t *testing.T, sim *simulation, n int) {
	t.Helper()
	begun := sim.begunTasks()
	qt.Check(t, begun <= n, qt.IsTrue, qt.Commentf("%d tasks have begun", begun))
}

// Guards against one account whose overdue occurrences take all the room for further ones, so that the
// occurrences of others go one after the other.
func TestOverdueOccurrencesLeaveRoomToOtherAccounts(t *testing.T) {
	sim := newSimulation(2)
	sim.limits.FurtherTasks = 200
	sim.catalog.Accounts["clubs"] = &catalog.Account{Name: "clubs"}
	sim.replaceOwner()
	for n := range 20 {
		sim.submitJob(overdueJob(fmt.Sprintf("a%02d", n), "arbiters", 1000, 10))
	}
	for n := range 3 {
		sim.submitJob(overdueJob(fmt.Sprintf("b%02d", n), "clubs", 10, 10))
	}
	qt.Check(t, sim.core.further <= sim.limits.FurtherTasks, qt.IsTrue)
	qt.Check(t, sim.core.furtherOfAccount["clubs"] >= 50, qt.IsTrue, qt.Commentf("size %d", sim.core.furtherOfAccount["clubs"]))
	for _, j := range sim.core.jobs {
		qt.Check(t, len(j.occurrences) > 0, qt.IsTrue, qt.Commentf("%s", j.spec.ID))
	}
}

// Guards against a worker that lists a task of a late occurrence and has the owner begin all occurrences
// before it.
func TestListedOccurrenceBeginsAlone(t *testing.T) {
	sim := newSimulation(1)
	sim.submitJob(overdueJob("j", "arbiters", 20_000, 24))
	late := job.Task{Job: "j", Occurrence: 19_000, Index: 3}
	sim.workers["w0"].runs[late] = &fakeRun{number: 1, startedAt: sim.now, doneAt: sim.now.Add(time.Second), need: small, step: sim.taskStep(late), pace: 100}
	sim.workers["w0"].lease = sim.now.Add(2 * time.Second)
	sim.replaceOwner()
	sim.run(500 * time.Millisecond)
	worker, _ := sim.core.Task(late)
	qt.Check(t, worker, qt.Equals, "w0")
	assertBegun(t, sim, maxFurtherPerJob+2*24)
	sim.run(2 * time.Second)
	assertNoViolations(t, sim)
	qt.Assert(t, sim.done[late], qt.IsTrue)
}

// Guards against the state of a cancelled job that stays in memory as long as its result is kept, and
// against room that it holds back from other jobs.
func TestCancelledOccurrencesAreForgotten(t *testing.T) {
	sim := newSimulation(1)
	sim.submitJob(overdueJob("j", "arbiters", 1000, 24))
	sim.run(time.Second)
	sim.cancel("j")
	qt.Check(t, sim.core.further, qt.Equals, 0)
	qt.Check(t, sim.core.furtherOfAccount, qt.HasLen, 0)
	sim.run(2 * time.Second)
	assertNoViolations(t, sim)
	assertBegun(t, sim, 0)
}

// Guards against occurrences that run twice or never, where they begin in steps while owners change,
// workers do not answer and the store fails.
func TestOccurrencesInStepsRunOnce(t *testing.T) {
	for seed := range uint64(25) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playOccurrences(t, rand.New(rand.NewPCG(seed, 46))) })
	}
}

func playOccurrences(t *testing.T, random *rand.Rand) {
	sim := newSimulation(3)
	sim.limits.FurtherTasks = 10 + random.IntN(60)
	sim.taskDuration = 200 * time.Millisecond
	sim.replaceOwner()
	sim.callFault = func(string) callOutcome {
		return []callOutcome{answered, answered, answered, answered, answered, requestLost, responseLost}[random.IntN(7)]
	}
	for n := range 3 {
		j := overdueJob(fmt.Sprintf("j%d", n), "arbiters", 3+random.IntN(12), 1+random.IntN(3))
		j.Steps = append(j.Steps, job.Step{Count: 1, Need: small, After: []int{0}})
		if random.IntN(2) == 0 {
			j.Start, j.Interval = sim.now.Add(time.Second), time.Duration(random.IntN(4))*300*time.Millisecond
		}
		sim.submitJob(j)
	}
	for range 12 {
		switch w := sim.workers[fmt.Sprintf("w%d", random.IntN(3))]; random.IntN(5) {
		case 0:
			sim.replaceOwner()
		case 1:
			w.unreachable = !w.unreachable
		case 2:
			sim.storeDown = !sim.storeDown
		}
		sim.run(500 * time.Millisecond)
		for _, j := range sim.core.jobs {
			if !j.inherited {
				qt.Assert(t, j.further <= sim.limits.FurtherTasks, qt.IsTrue)
			}
		}
	}
	sim.callFault, sim.storeDown = nil, false
	for _, w := range sim.workers {
		w.unreachable = false
	}
	sim.run(40 * time.Second)
	assertNoViolations(t, sim)
	for id, j := range sim.jobs {
		qt.Check(t, sim.state(id), qt.Equals, progress.Succeeded)
		for task := range sim.tasks(id) {
			for task.Occurrence = range j.Repeat {
				qt.Check(t, sim.done[task], qt.IsTrue, qt.Commentf("%s", task))
			}
		}
	}
	qt.Check(t, sim.core.further, qt.Equals, 0)
	assertBegun(t, sim, 0)
}
