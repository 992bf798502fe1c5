package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/progress"
)

// crashWith has the crashing tasks end their worker after crashDelay; the worker is back after away.
// The list of machines never shows it as down.
func (sim *crashSimulation) crashWith(away time.Duration, reuse bool) {
	sim.onStart = func(w *fakeWorker, a Start) {
		if !sim.crashing[a.Task] {
			return
		}
		if sim.crashes[a.Task] >= maxCrashes && !sim.applyingStale {
			sim.startsAfter[a.Task]++
		}
		sim.after(crashDelay, func() {
			if r := w.runs[a.Task]; r == nil || r.number != a.Run || w.down {
				return
			}
			sim.crashes[a.Task]++
			m := sim.machines[w.registration.Machine]
			w.down = true
			clear(w.runs)
			sim.after(away, func() {
				if !sim.newIDs {
					sim.restart(w.registration.ID)
					return
				}
				sim.core.RemoveWorker(w.registration.ID, sim.now)
				if reuse {
					w.down, w.addressReused = false, true
				}
				sim.startWorker(m)
			})
		})
	}
}

// advanceWithoutList moves the time forward while the list of machines can't be read.
func (sim *crashSimulation) advanceWithoutList(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		applyDue(&sim.due, sim.now)
		sim.step()
	}
}

// Guards against a task that crashes one worker after the other while the list of machines is not
// available and the workers come back under another ID.
func TestCrashesWithoutMachineList(t *testing.T) {
	for _, reuse := range []bool{false, true} {
		for _, away := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second} {
			t.Run(fmt.Sprintf("%v, address reused %t", away, reuse), func(t *testing.T) {
				sim := newCrashSimulation(12)
				sim.newIDs = true
				sim.crashWith(away, reuse)
				sim.submitCrashing("x", job.Step{Count: 1, Need: small}, 0)
				sim.advanceWithoutList(60 * time.Second)
				t.Logf("%d crashes, state %s", sim.crashes[job.Task{Job: "x"}], sim.state("x"))
				assertNoStartsAfterLimit(t, sim, allowedStarts)
			})
		}
	}
}

// Guards against crashes that do not count because an order for the machine was refused before.
func TestCrashOfMachineWithRefusedOrderCounts(t *testing.T) {
	sim := newCrashSimulation(6)
	sim.onOrder = func(o MachineOrder) { sim.core.MachineOrderAnswered(o, OrderImpossible, sim.now) }
	var names []string
	for _, m := range sorted(sim.machines) {
		names = append(names, m.ID)
	}
	sim.wave(20*time.Second, 6, names...)
	sim.advance(time.Second)
	sim.submitCrashing("x", job.Step{Count: 1, Need: small}, 0)
	sim.advance(30 * time.Second)
	t.Logf("%d crashes, state %s", sim.crashes[job.Task{Job: "x"}], sim.state("x"))
	assertNoStartsAfterLimit(t, sim, allowedStarts)
}

// Guards against crashes that do not count because the machine is not listed any more.
func TestCrashOfUnlistedMachineCounts(t *testing.T) {
	sim := newCrashSimulation(12)
	sim.onStart = func(w *fakeWorker, a Start) {
		if !sim.crashing[a.Task] {
			return
		}
		if sim.crashes[a.Task] >= maxCrashes {
			sim.startsAfter[a.Task]++
		}
		sim.after(crashDelay, func() {
			if r := w.runs[a.Task]; r == nil || r.number != a.Run || w.down {
				return
			}
			sim.crashes[a.Task]++
			w.down = true
			clear(w.runs)
			delete(sim.machines, w.registration.Machine)
			sim.after(time.Second, func() { sim.core.RemoveWorker(w.registration.ID, sim.now) })
		})
	}
	sim.submitCrashing("x", job.Step{Count: 1, Need: small}, 0)
	sim.advance(60 * time.Second)
	t.Logf("%d crashes, state %s", sim.crashes[job.Task{Job: "x"}], sim.state("x"))
	assertNoStartsAfterLimit(t, sim, allowedStarts)
}

// Guards against crashes that do not count because an order for the machine was refused at first and
// then carried out.
func TestCrashAfterOrderRefusedAtFirstCounts(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		t.Run(fmt.Sprintf("refused %t", refuse), func(t *testing.T) {
			sim := newCrashSimulation(6)
			refused := make(map[string]bool)
			sim.onOrder = func(o MachineOrder) {
				if refuse && !refused[o.Machine] {
					refused[o.Machine] = true
					sim.core.MachineOrderAnswered(o, OrderRefused, sim.now)
					return
				}
				sim.order(o)
			}
			var names []string
			for _, m := range sorted(sim.machines) {
				names = append(names, m.ID)
			}
			sim.wave(20*time.Second, 6, names...)
			for n := 0; !sim.finished[1] && n < 1000; n++ {
				sim.advance(simulationStep)
			}
			sim.advance(3 * time.Second)
			qt.Assert(t, sim.finished[1], qt.IsTrue)
			sim.submitCrashing("x", job.Step{Count: 1, Need: small}, 0)
			sim.advance(30 * time.Second)
			t.Logf("%d crashes, state %s", sim.crashes[job.Task{Job: "x"}], sim.state("x"))
			assertNoStartsAfterLimit(t, sim, allowedStarts)
		})
	}
}

// Measures a Tick while the runs of 3,000 workers are lost and their fate is unknown.
func BenchmarkTickWithLostWorkers(b *testing.B) {
	for _, n := range []int{0, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			sim := newSimulation(3)
			sim.step()
			for i := range n {
				id := fmt.Sprintf("lost%05d", i)
				sim.core.lost[id] = &lostWorker{worker: id, incarnation: 1, at: sim.now, machine: id, runs: []lostRun{{task: job.Task{Job: "x"}}}}
			}
			for b.Loop() {
				sim.core.Tick(sim.now)
				sim.core.TakeActions()
			}
		})
	}
}

// Guards against further starts while workers stay away for longer than their lease, for speculative
// steps, gangs, and with owners that end right after a crash.
func TestCrashesOfWorkersAwayForLong(t *testing.T) {
	for name, step := range map[string]job.Step{
		"single": {Count: 1, Need: small}, "speculative": {Count: 1, Need: small, Speculative: true}, "gang": {Count: 3, Need: small, Gang: true},
		"long-running": {Count: 1, Need: small, LongRunning: true},
	} {
		for _, away := range []time.Duration{5 * time.Second, 7 * time.Second, 8 * time.Second, 10 * time.Second, 12 * time.Second, 25 * time.Second} {
			for _, owners := range []int{0, 1, 3} {
				t.Run(fmt.Sprintf("%s, %v, %d owners", name, away, owners), func(t *testing.T) {
					sim := newCrashSimulation(20)
					sim.crashWith(away, false)
					sim.submitCrashing("x", step, 0)
					task := job.Task{Job: "x"}
					left := owners
					for range 120 * 50 {
						before := sim.crashes[task]
						sim.advanceWithoutList(simulationStep)
						if sim.crashes[task] > before && left > 0 {
							left--
							sim.after(500*time.Millisecond, sim.replaceOwner)
						}
					}
					t.Logf("%d crashes, state %s", sim.crashes[task], sim.state("x"))
					assertNoStartsAfterLimit(t, sim, allowedStarts)
				})
			}
		}
	}
}

// Guards against crashes that do not count because the owner ends just after them.
func TestOwnersThatEndAfterCrashes(t *testing.T) {
	for _, owners := range []int{1, 2, 3, 4} {
		for _, newIDs := range []bool{false, true} {
			for _, delay := range []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond} {
				for _, unlisted := range []bool{false, true} {
					t.Run(fmt.Sprintf("%d owners, new IDs %t, %v, unlisted %t", owners, newIDs, delay, unlisted), func(t *testing.T) {
						sim := newCrashSimulation(12)
						sim.newIDs, sim.unlisted = newIDs, unlisted
						sim.submitCrashing("x", job.Step{Count: 1, Need: small}, 0)
						task := job.Task{Job: "x"}
						left := owners
						for range 60 * 50 {
							before := sim.crashes[task]
							sim.advance(simulationStep)
							if sim.crashes[task] > before && left > 0 {
								left--
								sim.after(delay, sim.replaceOwner)
							}
						}
						t.Logf("%d crashes, state %s", sim.crashes[task], sim.state("x"))
						assertNoStartsAfterLimit(t, sim, allowedStarts)
					})
				}
			}
		}
	}
}

// Guards against jobs that are given up because two zones or two racks are lost one after the other,
// each time right after the start of their tasks.
func TestTwoLossesInARowFailNoJobs(t *testing.T) {
	for _, racks := range []int{2, 4, 6, 12} {
		for _, pause := range []time.Duration{60 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d racks, %v", racks, pause), func(t *testing.T) {
				sim := newCrashSimulation(12)
				half := make(map[string]int)
				for i, w := range sorted(sim.workers) {
					w.registration.Rack, w.registration.Zone = fmt.Sprintf("r1-%d", i*racks/12), fmt.Sprintf("z%d", i/6)
					half[w.registration.ID] = i / 6
					sim.core.SetWorker(w.registration, sim.now)
				}
				sim.taskDuration = time.Second
				for n := range 5 {
					sim.submitFor("rounds", "arbiters", fmt.Sprintf("in%02d", n), job.Step{Count: 2, Need: small})
				}
				for n := range 2 {
					sim.advance(pause)
					for _, w := range sorted(sim.workers) {
						if half[w.registration.ID] == n && !w.down {
							sim.crash(w)
						}
					}
				}
				sim.advance(20 * time.Second)
				failed := 0
				for id := range sim.jobs {
					if sim.state(id) == progress.Failed {
						failed++
					}
				}
				twice := 0
				for _, n := range sim.lost {
					if n > 1 {
						twice++
					}
				}
				t.Logf("%d failed, %d tasks lost twice", failed, twice)
				qt.Assert(t, failed, qt.Equals, 0)
			})
		}
	}
}

// Guards against a worker that is only cut off and counts as crashed, because the list of machines is
// older than its registration and shows the earlier worker of its machine.
func TestOlderMachineListIsNoSignOfCrash(t *testing.T) {
	sim := newCrashSimulation(1)
	sim.taskDuration = 20 * time.Second
	for _, m := range sorted(sim.machines) {
		sim.workers[m.Worker].down = true
		sim.core.RemoveWorker(m.Worker, sim.now)
		sim.startWorker(m)
	}
	sim.advanceWithoutList(4 * time.Second)
	sim.onActions = func(a Actions) {
		for _, l := range a.LogEvents {
			if l.Event == "task-suspected" {
				sim.violation("%s is suspected", l.Task)
			}
		}
	}
	sim.submitFor("rounds", "arbiters", "in", job.Step{Count: 1, Need: small})
	sim.advanceWithoutList(200 * time.Millisecond)
	id, _ := sim.core.Task(job.Task{Job: "in"})
	qt.Assert(t, sim.workers[id], qt.Not(qt.IsNil))
	sim.workers[id].unreachable = true
	sim.advanceWithoutList(4 * time.Second)
	sim.workers[id].unreachable = false
	sim.advanceWithoutList(2 * time.Second)
	assertNoViolations(t, sim.simulation)
}
