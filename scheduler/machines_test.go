package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/catalog"
	"egretdrum.example/job"
	"egretdrum.example/progress"
	"egretdrum.example/resource"
	"egretdrum.example/worker"
)

// machineSimulation adds machines to a simulation: each carries one worker after the other.
type machineSimulation struct {
	*simulation
	machines       map[string]*fakeMachine
	workersStarted int
	ordered        []MachineOrder
	// maxInMaintenance is the highest number of machines in maintenance at the same time.
	maxInMaintenance int
	// absent is the highest number of tasks of job "desk" that were not running at the same time.
	absent   int
	finished map[int64]bool
	// listUnavailable is set while the list of machines can't be read, unlisted holds the machines that
	// it lacks.
	listUnavailable bool
	unlisted        map[string]bool
}

type fakeMachine struct {
	worker.Machine
	backAt time.Time
	// fence is the highest fencing token of an order so far.
	fence      int64
	maintained bool
}

// newMachineSimulation returns a simulation with the given number of machines in each pool, all up.
func newMachineSimulation(pools map[string]int) *machineSimulation {
	sim := &machineSimulation{simulation: newSimulation(0), machines: make(map[string]*fakeMachine), finished: make(map[int64]bool)}
	sim.catalog = catalog.New(1,
		[]*catalog.Queue{
			{Name: "rounds", Pool: "desk", MaxAttempts: 3, Stretch: 1.6, Allowance: 600 * time.Millisecond},
			{Name: "teams", Pool: "league", MaxAttempts: 3, Stretch: 1.6, Allowance: 600 * time.Millisecond},
		},
		[]*catalog.Pool{{Name: "desk"}, {Name: "league"}, {Name: "spare", Standby: true}},
		[]*catalog.Account{{Name: "arbiters", Limit: resource.Amount{}}, {Name: "small", GuaranteedJobsPerSecond: 1}, {Name: "large", GuaranteedJobsPerSecond: 50}}, 0)
	for _, pool := range []string{"desk", "league", "spare"} {
		for n := range pools[pool] {
			sim.addMachine(fmt.Sprintf("%s-%d", pool, n), pool)
		}
	}
	sim.onOrder = sim.order
	sim.onWaveFinished = sim.waveFinished
	sim.replaceOwner()
	sim.advance(time.Second)
	return sim
}

// startWorker starts a new worker on a machine; it registers unless its pool is on standby.
func (sim *machineSimulation) startWorker(m *fakeMachine) {
	if m.Pool == "spare" {
		return
	}
	sim.workersStarted++
	m.Worker = fmt.Sprintf("w%03d", sim.workersStarted)
	w := sim.addWorker(m.Worker)
	w.registration.Pool, w.registration.Machine = m.Pool, m.ID
	if m.Labels != nil {
		w.registration.Labels = m.Labels
	}
	w.registration.Zone = m.Zone
	sim.core.SetWorker(w.registration, sim.now)
}

// updateLabels registers all workers again with the labels of their machines.
func (sim *machineSimulation) updateLabels() {
	for _, m := range sorted(sim.machines) {
		if w := sim.workers[m.Worker]; w != nil && m.Labels != nil {
			w.registration.Labels = m.Labels
			sim.core.SetWorker(w.registration, sim.now)
		}
	}
}

func (sim *machineSimulation) machineList() []worker.Machine {
	var list []worker.Machine
	for _, m := range sorted(sim.machines) {
		if !sim.unlisted[m.ID] {
			list = append(list, m.Machine)
		}
	}
	return list
}

// addMachine adds a machine that is up, with a worker that registers at once.
func (sim *machineSimulation) addMachine(id, pool string) {
	m := &fakeMachine{Machine: worker.Machine{ID: id, Pool: pool, State: worker.Up, Capacity: resource.Amount{CPU: 4000, Memory: 8000}}}
	sim.machines[id] = m
	sim.startWorker(m)
}

// waveFinished checks that the machines of a wave that is reported as finished have been maintained,
// but for those that were removed.
func (sim *machineSimulation) waveFinished(number int64) {
	sim.finished[number] = true
	for _, id := range sim.waves[number].machines {
		if m := sim.machines[id]; m != nil && !m.maintained {
			sim.violation("wave %d is finished before the maintenance of %s", number, id)
		}
	}
}

// advance moves the time forward by d: machines come back, and the owner gets the list of machines
// before each step.
func (sim *machineSimulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		for _, m := range sorted(sim.machines) {
			if m.State != worker.Up && !sim.now.Before(m.backAt) {
				m.State = worker.Up
				sim.startWorker(m)
			}
		}
		if !sim.listUnavailable {
			sim.core.SetMachines(sim.machineList(), sim.now, sim.now)
		}
		sim.step()
		sim.trackAbsent()
	}
}

// order carries out an order and reports its answer: the worker ends, and its machine comes back
// later.
func (sim *machineSimulation) order(o MachineOrder) {
	sim.carryOut(o)
	sim.core.MachineOrderAnswered(o, OrderAccepted, sim.now)
}

func (sim *machineSimulation) carryOut(o MachineOrder) {
	m := sim.machines[o.Machine]
	if o.Fence <= m.fence {
		return
	}
	m.fence = o.Fence
	sim.ordered = append(sim.ordered, o)
	if o.Wave != 0 && m.maintained {
		return
	}
	if w := sim.workers[m.Worker]; w != nil {
		if len(w.runs) > 0 {
			sim.violation("%s was ordered out of service with %d running tasks", o.Machine, len(w.runs))
		}
		w.down = true
		sim.core.RemoveWorker(m.Worker, sim.now)
	}
	m.Worker = ""
	m.State, m.backAt = worker.Moving, sim.now.Add(1500*time.Millisecond)
	if o.Wave != 0 {
		m.maintained = true
		m.State, m.backAt = worker.Maintenance, sim.now.Add(2*time.Second)
	} else {
		m.Pool = o.Pool
	}
	inMaintenance := 0
	for _, other := range sim.machines {
		if other.State == worker.Maintenance {
			inMaintenance++
		}
	}
	sim.maxInMaintenance = max(sim.maxInMaintenance, inMaintenance)
}

// trackAbsent records the highest number of tasks of job "desk" that are not running, once all of
// them have been started.
func (sim *machineSimulation) trackAbsent() {
	j := sim.jobs["desk"]
	if j == nil || sim.starts < j.Steps[0].Count {
		return
	}
	running := 0
	for _, w := range sim.workers {
		for name, r := range w.runs {
			if name.Job == "desk" && !w.down && r.stopAt.IsZero() {
				running++
			}
		}
	}
	sim.absent = max(sim.absent, j.Steps[0].Count-running)
}

func (sim *machineSimulation) wave(term time.Duration, limit int, machines ...string) {
	sim.waves[1] = fakeWave{machines, sim.now.Add(term), limit}
	sim.core.SetWave(machines, sim.waves[1].deadline, limit, WaveState{Wave: 1}, sim.now)
}

func (sim *machineSimulation) submitFor(queue, account, id string, steps ...job.Step) {
	j := &job.Job{ID: id, Queue: queue, Account: account, Steps: steps}
	sim.jobs[id], sim.added[id] = j, sim.owner
	sim.core.AddJob(j, nil, false, sim.now)
}

// Guards against a wave that takes more machines than its limit, stops a second task of a step
// that may miss only one, misses its deadline, or is reported as finished too early.
func TestWaveKeepsLimitAndAvailability(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 6})
	sim.submitFor("rounds", "arbiters", "desk", job.Step{Count: 4, Need: small, LongRunning: true, MayMiss: 1})
	sim.advance(2 * time.Second)
	sim.wave(25*time.Second, 2, "desk-0", "desk-1", "desk-2", "desk-3", "desk-4")
	sim.advance(25 * time.Second)
	assertNoViolations(t, sim.simulation)
	qt.Assert(t, sim.ordered, qt.HasLen, 5)
	qt.Assert(t, sim.maxInMaintenance <= 2, qt.IsTrue)
	qt.Assert(t, sim.absent <= 1, qt.IsTrue, qt.Commentf("%d absent", sim.absent))
	qt.Assert(t, sim.finished[1], qt.IsTrue)
}

// Guards against a new owner that stops a second task of a step while a task that the previous
// owner ordered to stop is still listed as running.
func TestNewOwnerWaitsForStopsOfPreviousOwner(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 4})
	sim.submitFor("rounds", "arbiters", "desk", job.Step{Count: 3, Need: small, LongRunning: true, MayMiss: 1})
	sim.advance(2 * time.Second)
	host, _ := sim.core.Task(job.Task{Job: "desk"})
	machine := sim.workers[host].registration.Machine
	sim.wave(20*time.Second, 1, machine)
	stopping := func() bool {
		for _, w := range sim.workers {
			for _, r := range w.runs {
				if !r.stopAt.IsZero() {
					return true
				}
			}
		}
		return false
	}
	for range 500 {
		if stopping() {
			break
		}
		sim.advance(simulationStep)
	}
	qt.Assert(t, stopping(), qt.IsTrue)
	sim.replaceOwner()
	sim.advance(10 * time.Second)
	assertNoViolations(t, sim.simulation)
	qt.Assert(t, sim.absent <= 1, qt.IsTrue, qt.Commentf("%d absent", sim.absent))
}

// Guards against a new owner that does not count the machines which the previous owner ordered to
// maintenance, and so takes more than the wave allows.
func TestNewOwnerCountsMachinesOfPreviousOwner(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 12})
	sim.wave(20*time.Second, 3, deskMachines(8)...)
	for len(sim.ordered) < 3 {
		sim.advance(simulationStep)
	}
	sim.advance(simulationStep)
	sim.replaceOwner()
	sim.advance(20 * time.Second)
	assertNoViolations(t, sim.simulation)
	qt.Assert(t, sim.maxInMaintenance, qt.Equals, 3)
	qt.Assert(t, sim.finished[1], qt.IsTrue)
}

// Guards against a new owner that does not know of an order in flight: once the order is carried
// out late, more machines than the wave allows are in maintenance.
func TestLateMaintenanceOrderOfPreviousOwnerCounts(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 12})
	var held []MachineOrder
	sim.onOrder = func(o MachineOrder) { held = append(held, o) }
	// This owner takes the machines of these tasks last, the next owner takes them first.
	sim.submitFor("rounds", "arbiters", "brief", job.Step{Count: 4, Need: resource.Amount{CPU: 1500}, MaxPerWorker: 1})
	sim.advance(100 * time.Millisecond)
	sim.wave(20*time.Second, 2, deskMachines(8)...)
	for len(held) < 2 {
		sim.advance(simulationStep)
	}
	sim.advance(time.Second)
	sim.onOrder = sim.order
	sim.replaceOwner()
	sim.advance(time.Second)
	for _, o := range held {
		sim.carryOut(o)
	}
	sim.advance(20 * time.Second)
	assertNoViolations(t, sim.simulation)
	qt.Assert(t, sim.maxInMaintenance, qt.Equals, 2)
	qt.Assert(t, sim.finished[1], qt.IsTrue)
}

// Guards against an order that a new owner cannot know of because it was given before the selection
// of the machine was durable.
func TestMaintenanceWaitsForTheStore(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 12})
	sim.storeDown = true
	sim.wave(20*time.Second, 2, deskMachines(8)...)
	sim.advance(time.Second)
	qt.Assert(t, sim.ordered, qt.HasLen, 0)
}

// Guards against a machine that stays unused and counts as in maintenance because it had been
// maintained before, so that its order changed nothing.
func TestMachineMaintainedBeforeIsUsed(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 3})
	sim.machines["desk-0"].maintained = true
	sim.wave(20*time.Second, 1, deskMachines(3)...)
	sim.advance(20 * time.Second)
	qt.Assert(t, sim.finished[1], qt.IsTrue)
	for n := range 12 {
		sim.submitFor("rounds", "arbiters", fmt.Sprintf("j%02d", n), job.Step{Count: 1, Need: resource.Amount{CPU: 4000}})
	}
	sim.advance(simulationStep)
	sim.advance(simulationStep)
	used := 0
	for _, w := range sim.workers {
		if len(w.runs) > 0 {
			used++
		}
	}
	qt.Assert(t, used, qt.Equals, 3)
}

func deskMachines(n int) []string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("desk-%d", i))
	}
	return ids
}

// Guards against a wave that takes all machines of a pool at once: a stopped long-running task
// could not start on any other worker, and its siblings could not be moved either.
func TestWaveLeavesMachinesForThePool(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 3})
	sim.submitFor("rounds", "arbiters", "desk", job.Step{Count: 3, Need: small, LongRunning: true, MayMiss: 1, MaxPerWorker: 1})
	sim.advance(2 * time.Second)
	sim.wave(20*time.Second, 3, "desk-0", "desk-1", "desk-2")
	sim.advance(3 * time.Second)
	assertNoViolations(t, sim.simulation)
	qt.Assert(t, sim.absent <= 1, qt.IsTrue, qt.Commentf("%d absent", sim.absent))
}

// Covers queues with bursts at different times: waiting tasks borrow standby machines first, and
// then idle machines of the other pool, down to the minimum size of that pool.
func TestBurstBorrowsMachines(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 2, "league": minPoolMachines + 1, "spare": 1})
	for n := range 20 {
		sim.submitFor("rounds", "arbiters", fmt.Sprintf("j%02d", n), job.Step{Count: 4, Need: small})
	}
	sim.advance(5 * time.Second)
	assertNoViolations(t, sim.simulation)
	qt.Assert(t, sim.machines["spare-0"].Pool, qt.Equals, "desk")
	lent := 0
	for n := range minPoolMachines + 1 {
		if sim.machines[fmt.Sprintf("league-%d", n)].Pool == "desk" {
			lent++
		}
	}
	qt.Assert(t, lent, qt.Equals, 1)
	for n := range 20 {
		assertState(t, sim.simulation, fmt.Sprintf("j%02d", n), progress.Succeeded)
	}
}

// Covers a burst that begins while the burst of another pool trails off: the few tasks that still
// arrive there must not keep all of its machines busy, as only idle ones can be lent.
func TestTrickleLeavesMachinesToABurst(t *testing.T) {
	const lendable = 4
	sim := newMachineSimulation(map[string]int{"desk": 1, "league": minPoolMachines + lendable})
	sim.taskDuration = 1500 * time.Millisecond
	for n := range minPoolMachines + lendable {
		sim.submitFor("teams", "arbiters", fmt.Sprintf("t%02d", n), job.Step{Count: 1, Need: small})
		sim.advance(100 * time.Millisecond)
	}
	for n := range 10 {
		sim.submitFor("rounds", "arbiters", fmt.Sprintf("j%02d", n), job.Step{Count: 4, Need: small})
	}
	sim.advance(200 * time.Millisecond)
	assertNoViolations(t, sim.simulation)
	qt.Assert(t, sim.ordered, qt.HasLen, lendable)
}

// Guards against long-running tasks that a new owner starts on a machine which a wave has yet to
// take: they leave one after the other, and the wave misses its deadline. Seen in incident inc-fec7.
func TestNewOwnerKeepsLongRunningTasksOffMachinesOfAWave(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 4})
	sim.wave(25*time.Second, 1, "desk-0", "desk-1")
	// A worker that does not answer prolongs the recovery, during which no machine is planned.
	sim.workers[sim.machines["desk-3"].Worker].unreachable = true
	sim.replaceOwner()
	sim.submitFor("rounds", "arbiters", "desk", job.Step{Count: 4, Need: small, LongRunning: true, MayMiss: 1})
	sim.advance(500 * time.Millisecond)
	for id, w := range sim.workers {
		if m := w.registration.Machine; len(w.runs) > 0 {
			qt.Assert(t, m == "desk-2" || m == "desk-3", qt.IsTrue, qt.Commentf("%s on %s", id, m))
		}
	}
	qt.Assert(t, sim.starts, qt.Equals, 4)
}

// Covers a burst of tasks that need a label: machines without it are not borrowed for them.
func TestBurstForALabelBorrowsMachinesWithIt(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 1, "spare": 4})
	sim.machines["spare-2"].Labels = worker.Labels{"large"}
	sim.submitFor("rounds", "arbiters", "need", job.Step{Count: 2, Need: small, Label: "large"})
	sim.advance(5 * time.Second)
	assertNoViolations(t, sim.simulation)
	qt.Assert(t, sim.machines["spare-2"].Pool, qt.Equals, "desk")
	qt.Assert(t, sim.ordered, qt.HasLen, 1)
	assertState(t, sim.simulation, "need", progress.Succeeded)
}

// Guards against a wave that misses its deadline because the long-running tasks of its machines
// cannot be relocated: the only other workers with their label are in the same wave.
func TestWaveBorrowsReplacementWorker(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 4, "spare": 2})
	for id, m := range sim.machines {
		if id == "desk-0" || id == "desk-1" || id == "spare-1" {
			m.Labels = worker.Labels{"large"}
		}
	}
	sim.updateLabels()
	sim.submitFor("rounds", "arbiters", "desk", job.Step{Count: 2, Need: small, LongRunning: true, MayMiss: 1, MaxPerWorker: 1, Label: "large"})
	sim.advance(2 * time.Second)
	sim.wave(15*time.Second, 2, "desk-0", "desk-1")
	sim.advance(15 * time.Second)
	assertNoViolations(t, sim.simulation)
	qt.Assert(t, sim.machines["spare-1"].Pool, qt.Equals, "desk")
	qt.Assert(t, sim.finished[1], qt.IsTrue)
	qt.Assert(t, sim.absent <= 1, qt.IsTrue, qt.Commentf("%d absent", sim.absent))
}

// Covers one account that submits many times its share: the jobs of an account within its share do
// not wait for those of an account above its share.
func TestAccountWithinShareDoesNotWait(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 2})
	for n := range 40 {
		sim.submitFor("rounds", "small", fmt.Sprintf("hot%02d", n), job.Step{Count: 2, Need: small})
	}
	sim.advance(700 * time.Millisecond)
	sim.submitFor("rounds", "large", "other", job.Step{Count: 4, Need: small})
	sim.advance(1500 * time.Millisecond)
	assertNoViolations(t, sim.simulation)
	assertState(t, sim.simulation, "other", progress.Succeeded)
}

// Covers overload: jobs that can still meet their objective go before those that cannot, and
// smaller ones before larger ones.
func TestJobsThatCanMeetTheirObjectiveGoFirst(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 1})
	for n := range 8 {
		sim.submitFor("rounds", "arbiters", fmt.Sprintf("early%d", n), job.Step{Count: 8, Need: small})
	}
	sim.advance(8 * time.Second)
	sim.submitFor("rounds", "arbiters", "fresh", job.Step{Count: 4, Need: small})
	sim.advance(1600 * time.Millisecond)
	assertNoViolations(t, sim.simulation)
	assertState(t, sim.simulation, "fresh", progress.Succeeded)
}

// Covers a burst beside a busy pool that has idle machines: the lending pool may use up to three
// quarters of what it keeps; the limit is not half of all that it has.
func TestBusyPoolLendsIdleMachines(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 1, "league": 2 * minPoolMachines})
	sim.taskDuration = 10 * time.Second
	// The lending pool uses seven of its machines.
	sim.submitFor("teams", "arbiters", "long", job.Step{Count: 4 * (minPoolMachines + 1), Need: small})
	sim.advance(100 * time.Millisecond)
	for n := range 10 {
		sim.submitFor("rounds", "arbiters", fmt.Sprintf("j%02d", n), job.Step{Count: 4, Need: small})
	}
	sim.advance(200 * time.Millisecond)
	assertNoViolations(t, sim.simulation)
	qt.Assert(t, len(sim.ordered) > 0, qt.IsTrue)
}

// Guards against a machine that is moved to a pool on standby and never used again: it carries no
// worker there that would show the end of its move.
func TestMachineOnStandbyIsCalledBack(t *testing.T) {
	sim := newMachineSimulation(map[string]int{"desk": 8})
	m := sim.core.machines["desk-7"]
	m.cordoned, m.cordonedAt, m.moveTo = true, sim.now, "spare"
	sim.advance(4 * time.Second)
	qt.Assert(t, sim.machines["desk-7"].Pool, qt.Equals, "spare")
	for n := range 20 {
		sim.submitFor("rounds", "arbiters", fmt.Sprintf("j%d", n), job.Step{Count: 4, Need: small})
	}
	sim.advance(3 * time.Second)
	qt.Assert(t, sim.machines["desk-7"].Pool, qt.Equals, "desk")
}
