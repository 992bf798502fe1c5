package measure

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"egretdrum.example/budget"
	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
	"egretdrum.example/wave"
)

// Size and rates of the fleet in two years, from the design page.
const (
	cycleWorkers   = 28_000
	cyclePools     = 38
	cycleZones     = 23
	failuresPerDay = 540.0
	restartsPerDay = 6800.0
	cycleDuration  = 28 * 24 * time.Hour
	cycleTick      = 5 * time.Minute
)

// Assumptions of docs/maintenance.md; none of them has been measured yet.
const (
	failureDuration = 4 * time.Hour
	restartDuration = 10 * time.Minute
	rebootDuration  = 10 * time.Minute
	repairDuration  = 24 * time.Hour
	resumeDelay     = 30 * time.Minute
	// lostRatio of the rebooted workers never come back, and badRatio come back bad.
	lostRatio = 0.005
	badRatio  = 0.005
	// One zone is absent for two hours on the third day.
	outageZone                     = "z07"
	outageStartHour, outageEndHour = 48, 50 // hours
)

// CycleRow is the result of a four-week maintenance cycle of the whole fleet with one budget,
// which is the number of workers of a pool that may be absent.
type CycleRow struct {
	Absent      int     `json:"absent"`
	Done        int     `json:"done"`
	Quarantined int     `json:"quarantined"`
	Left        int     `json:"left"`
	Unfinished  int     `json:"pools-not-finished"`
	Days        float64 `json:"last-pool-after-days"`
	Changes     int     `json:"changes"`
	Pauses      int     `json:"pauses"`
	Over        int     `json:"drains-over-budget"`
}

// Cycle simulates the maintenance cycle in virtual time, with several budgets.
func Cycle() ([]CycleRow, error) {
	var rows []CycleRow
	for _, absent := range []int{2, 3, 4, 6, 8, 15} {
		pools := make([]*cyclePool, cyclePools)
		errs := make([]error, cyclePools)
		var group sync.WaitGroup
		for n := range pools {
			pools[n] = newCyclePool(n)
			group.Go(func() {
				errs[n] = pools[n].run(n, fleet.Pool{MinAvailable: absent, MaxAbsentPerRack: 2})
			})
		}
		group.Wait()
		if err := errors.Join(errs...); err != nil {
			return nil, &CycleError{Err: err}
		}
		rows = append(rows, cycleRow(absent, pools))
	}
	return rows, nil
}

// cyclePool simulates the wave of one pool. Budgets are per pool, so pools do not affect each
// other. Changes are applied to the configuration document without the checks of the store.
type cyclePool struct {
	cfg                         *fleet.Config
	hosts                       map[string]hostlist.Host
	absentUntil                 map[string]time.Time // end of an unplanned absence
	rebootEnd                   map[string]time.Time
	absences                    wave.AbsenceTracker
	rnd                         *rand.Rand
	now, finishedAt             time.Time
	changes, pauses, overBudget int
	workerNames                 []string // in a fixed order, so that a seed always draws the same
}

func poolName(n int) string { return fmt.Sprintf("a/p%02d", n) }

// addWorkers adds pool n with its wave and workers. Each four workers share a rack, and
// consecutive racks are in consecutive zones.
func (p *cyclePool) addWorkers(n int, budget fleet.Pool) {
	name, size := poolName(n), cycleWorkers/cyclePools
	if n < cycleWorkers%cyclePools {
		size++
	}
	w := fleet.Wave{ID: "id", Pool: name, From: p.now, To: p.now.Add(cycleDuration), State: fleet.WaveRunning, At: p.now, Reason: "cycle"}
	for i := range size {
		worker := fmt.Sprintf("w%02d-%03d", n, i)
		p.cfg.Workers[worker] = fleet.Worker{Pool: name}
		p.hosts[worker] = hostlist.Host{Worker: worker, Rack: fmt.Sprintf("r%02d-%03d", n, i/4), Zone: fmt.Sprintf("z%02d", i/4%cycleZones)}
		w.Workers = append(w.Workers, worker)
	}
	p.workerNames = append(p.workerNames, w.Workers...)
	budget.MinAvailable = size - budget.MinAvailable
	p.cfg.Pools[name], p.cfg.Waves[fmt.Sprintf("x%02d", n)] = budget, w
}

func newCyclePool(seed int) *cyclePool {
	return &cyclePool{
		cfg:   &fleet.Config{Workers: map[string]fleet.Worker{}, Pools: map[string]fleet.Pool{}, Waves: map[string]fleet.Wave{}},
		hosts: map[string]hostlist.Host{}, absentUntil: map[string]time.Time{}, rebootEnd: map[string]time.Time{},
		rnd: rand.New(rand.NewPCG(1, uint64(seed))), now: time.Unix(0, 0).UTC(),
	}
}

// simulateFailures makes random workers fail for four hours or restart for ten minutes, and
// one zone fail for two hours on the third day. It updates the list of present hosts.
func (p *cyclePool) simulateFailures(list map[string]hostlist.Host) {
	const perTick = float64(cycleTick) / float64(24*time.Hour) / cycleWorkers
	hour := p.now.Sub(time.Unix(0, 0)) / time.Hour
	for _, worker := range p.workerNames {
		h := p.hosts[worker]
		switch x := p.rnd.Float64(); {
		case x < failuresPerDay*perTick:
			p.absentUntil[worker] = p.now.Add(failureDuration)
		case x < (failuresPerDay+restartsPerDay)*perTick && p.absentUntil[worker].Before(p.now):
			p.absentUntil[worker] = p.now.Add(restartDuration)
		}
		if delete(list, worker); !p.absentUntil[worker].After(p.now) && !p.rebootEnd[worker].After(p.now) && (h.Zone != outageZone || hour < outageStartHour || hour >= outageEndHour) {
			list[worker] = h
		}
	}
}

// simulateResponses does what owners and operators do: owners confirm empty workers and
// release permits; operators repair a quarantined worker after a day and resume a paused wave
// after half an hour.
func (p *cyclePool) simulateResponses(list map[string]hostlist.Host) {
	for worker, r := range p.cfg.Workers {
		if r.Maintenance == nil {
			continue
		}
		m := *r.Maintenance
		_, listed := list[worker]
		switch {
		case m.Step == fleet.MaintenanceDraining:
			m.Step, m.At = fleet.MaintenanceEmpty, p.now
		case m.Step == fleet.MaintenanceQuarantined && r.Leaving && p.now.Sub(m.At) > repairDuration:
			m.Step, m.At, r.Leaving, p.rebootEnd[worker] = fleet.MaintenanceReturning, p.now, false, p.now
		case r.Permit != nil && !r.Leaving && listed:
			if r.Permit = nil; m.Step == fleet.MaintenanceReturning {
				m.Step, m.At = fleet.MaintenanceDone, p.now
			}
		default:
			continue
		}
		p.changes++
		r.Maintenance = &m
		p.cfg.Workers[worker] = r
	}
	for name, w := range p.cfg.Waves {
		if w.State == fleet.WavePaused && p.now.Sub(w.At) > resumeDelay {
			w.State, w.At, w.Return = fleet.WaveRunning, p.now, false
			p.cfg.Waves[name] = w
		}
	}
}

// advance plans one tick of the wave and applies the changes to the document.
func (p *cyclePool) advance(name string, list map[string]hostlist.Host) error {
	w := p.cfg.Waves[name]
	facts := wave.Facts{Hosts: list, Reboots: map[string]wave.RebootState{}}
	for _, worker := range p.workerNames {
		end, ordered := p.rebootEnd[worker]
		if !ordered {
			continue
		}
		if r := p.cfg.Workers[worker]; r.Maintenance.Step == fleet.MaintenanceRebooting && !end.After(p.now) {
			facts.Reboots[worker] = wave.Up
			if p.rnd.Float64() < badRatio {
				facts.Reboots[worker] = wave.Bad
			}
		}
	}
	p.absences.Observe(p.now, p.cfg, list)
	facts.Failures, facts.FailureLimit = p.absences.Failures(p.cfg, p.now, w)
	changes, err := wave.Next(p.cfg, p.now, name, facts)
	if err != nil {
		return err
	}
	drained := false
	for _, c := range changes {
		p.changes++
		drained = drained || c.Action == "drain-worker"
		if c.Name == name {
			w = fleet.Wave{}
			if err := json.Unmarshal(c.After, &w); err != nil {
				return err
			}
			p.cfg.Waves[name] = w
			if w.State == fleet.WavePaused {
				p.pauses++
			}
			continue
		}
		var r fleet.Worker
		if err := json.Unmarshal(c.After, &r); err != nil {
			return err
		}
		p.cfg.Workers[c.Name] = r
		if r.Maintenance.Step == fleet.MaintenanceRebooting {
			p.rebootEnd[c.Name] = p.now.Add(rebootDuration)
			if p.rnd.Float64() < lostRatio {
				p.rebootEnd[c.Name] = p.now.Add(cycleDuration)
			}
		}
	}
	if w := p.cfg.Waves[name]; w.State == fleet.WaveEnded && p.finishedAt.IsZero() {
		p.finishedAt = p.now
	}
	// The planner must keep the budget by itself: no store is there to refuse a drain.
	if tally := budget.New(p.cfg, list); drained && tally.Available(w.Pool) < p.cfg.Pools[w.Pool].MinAvailable {
		p.overBudget++
	}
	return nil
}

// run simulates the whole cycle of pool n.
func (p *cyclePool) run(n int, budget fleet.Pool) error {
	p.addWorkers(n, budget)
	name, list := fmt.Sprintf("x%02d", n), map[string]hostlist.Host{}
	for end := p.now.Add(cycleDuration); p.now.Before(end) && p.finishedAt.IsZero(); p.now = p.now.Add(cycleTick) {
		p.simulateFailures(list)
		p.simulateResponses(list)
		if err := p.advance(name, list); err != nil {
			return err
		}
	}
	return nil
}

func cycleRow(absent int, pools []*cyclePool) CycleRow {
	row := CycleRow{Absent: absent}
	var last time.Duration
	for n, p := range pools {
		done := wave.ProgressOf(p.cfg, p.now, fmt.Sprintf("x%02d", n), p.hosts)
		row.Done += done.Done
		row.Quarantined += done.Quarantined
		row.Left += done.Total - done.Done - done.Quarantined
		row.Changes += p.changes
		row.Pauses += p.pauses
		row.Over += p.overBudget
		if p.finishedAt.IsZero() {
			row.Unfinished++
			continue
		}
		last = max(last, p.finishedAt.Sub(time.Unix(0, 0)))
	}
	row.Days = math.Round(last.Hours()/24*10) / 10
	return row
}
