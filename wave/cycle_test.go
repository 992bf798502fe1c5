package wave

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"egretdrum.example/budget"
	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
)

// The two-year size of the design page.
const (
	fleetSize, poolCount, zoneCount = 28_000, 38, 23
	failuresPerDay, restartsPerDay  = 540.0, 6800.0
	cycle                           = 28 * 24 * time.Hour
	tick                            = 5 * time.Minute
)

// cyclePool is one pool with its wave in virtual time. Budgets are per pool, so pools do
// not affect each other; the changes are put into the document without its checks.
type cyclePool struct {
	cfg                   *fleet.Config
	hosts                 map[string]hostlist.Host
	away                  map[string]time.Time // end of an unplanned absence
	back                  map[string]time.Time // end of a reboot
	watch                 Watch
	draw                  *rand.Rand
	now, finished         time.Time
	changes, pauses, over int
}

func poolName(n int) string { return fmt.Sprintf("a/p%02d", n) }

// fill adds the workers of pool n; racks of four follow each other through the zones.
func (p *cyclePool) fill(n int, budget fleet.Pool) {
	name, size := poolName(n), fleetSize/poolCount
	if n < fleetSize%poolCount {
		size++
	}
	w := fleet.Wave{ID: "id", Pool: name, From: p.now, To: p.now.Add(cycle), State: fleet.WaveRunning, At: p.now, Reason: "cycle"}
	for i := range size {
		worker := fmt.Sprintf("w%02d-%03d", n, i)
		p.cfg.Workers[worker] = fleet.Worker{Pool: name}
		p.hosts[worker] = hostlist.Host{Worker: worker, Rack: fmt.Sprintf("r%02d-%03d", n, i/4), Zone: fmt.Sprintf("z%02d", i/4%zoneCount)}
		w.Workers = append(w.Workers, worker)
	}
	budget.MinAvailable = size - budget.MinAvailable
	p.cfg.Pools[name], p.cfg.Waves[fmt.Sprintf("x%02d", n)] = budget, w
}

func newCyclePool(seed int) *cyclePool {
	return &cyclePool{
		cfg:   &fleet.Config{Workers: map[string]fleet.Worker{}, Pools: map[string]fleet.Pool{}, Waves: map[string]fleet.Wave{}},
		hosts: map[string]hostlist.Host{}, away: map[string]time.Time{}, back: map[string]time.Time{},
		draw: rand.New(rand.NewPCG(1, uint64(seed))), now: time.Unix(0, 0).UTC(),
	}
}

// fail lets workers fail for four hours, restart for ten minutes, and one zone fail for
// two hours on the third day.
func (p *cyclePool) fail(list map[string]hostlist.Host) {
	const perTick = float64(tick) / float64(24*time.Hour) / fleetSize
	zoneAway := p.now.Sub(time.Unix(0, 0)) / time.Hour
	for worker, h := range p.hosts {
		switch x := p.draw.Float64(); {
		case x < failuresPerDay*perTick:
			p.away[worker] = p.now.Add(4 * time.Hour)
		case x < (failuresPerDay+restartsPerDay)*perTick && p.away[worker].Before(p.now):
			p.away[worker] = p.now.Add(10 * time.Minute)
		}
		if delete(list, worker); !p.away[worker].After(p.now) && !p.back[worker].After(p.now) && (h.Zone != "z07" || zoneAway < 48 || zoneAway >= 50) {
			list[worker] = h
		}
	}
}

// owners confirm empty workers and release permits, and operators repair a quarantined
// worker after a day and resume a paused wave after half an hour.
func (p *cyclePool) owners(list map[string]hostlist.Host) {
	for worker, r := range p.cfg.Workers {
		if r.Maintenance == nil {
			continue
		}
		m := *r.Maintenance
		_, listed := list[worker]
		switch {
		case m.Step == fleet.MaintenanceDraining:
			m.Step, m.At = fleet.MaintenanceEmpty, p.now
		case m.Step == fleet.MaintenanceQuarantined && r.Leaving && p.now.Sub(m.At) > 24*time.Hour:
			m.Step, m.At, r.Leaving, p.back[worker] = fleet.MaintenanceReturning, p.now, false, p.now
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
		if w.State == fleet.WavePaused && p.now.Sub(w.At) > 30*time.Minute {
			w.State, w.At, w.Return = fleet.WaveRunning, p.now, false
			p.cfg.Waves[name] = w
		}
	}
}

// drive puts the changes of one tick into the document.
func (p *cyclePool) drive(name string, list map[string]hostlist.Host) {
	w := p.cfg.Waves[name]
	facts := Facts{Hosts: list, Reboots: map[string]RebootState{}}
	for worker, end := range p.back {
		if r := p.cfg.Workers[worker]; r.Maintenance.Step == fleet.MaintenanceRebooting && !end.After(p.now) {
			facts.Reboots[worker] = Up
			if p.draw.Float64() < 0.005 {
				facts.Reboots[worker] = Bad
			}
		}
	}
	p.watch.Observe(p.now, p.cfg, list)
	facts.Failures, facts.Limit = p.watch.Failures(p.cfg, p.now, w)
	changes, err := Next(p.cfg, p.now, name, facts)
	if err != nil {
		panic(err)
	}
	drained := false
	for _, c := range changes {
		p.changes++
		drained = drained || c.Action == "drain-worker"
		if c.Name == name {
			w = fleet.Wave{}
			must(json.Unmarshal(c.After, &w))
			p.cfg.Waves[name] = w
			if w.State == fleet.WavePaused {
				p.pauses++
			}
			continue
		}
		var r fleet.Worker
		must(json.Unmarshal(c.After, &r))
		p.cfg.Workers[c.Name] = r
		if r.Maintenance.Step == fleet.MaintenanceRebooting {
			p.back[c.Name] = p.now.Add(10 * time.Minute)
			if p.draw.Float64() < 0.005 {
				p.back[c.Name] = p.now.Add(cycle)
			}
		}
	}
	if w := p.cfg.Waves[name]; w.State == fleet.WaveEnded && p.finished.IsZero() {
		p.finished = p.now
	}
	// A drain must keep the budget even if no store would refuse it.
	if tally := budget.New(p.cfg, list); drained && tally.Available(w.Pool) < p.cfg.Pools[w.Pool].MinAvailable {
		p.over++
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// run plays the whole cycle of pool n.
func (p *cyclePool) run(n int, budget fleet.Pool) {
	p.fill(n, budget)
	name, list := fmt.Sprintf("x%02d", n), map[string]hostlist.Host{}
	for end := p.now.Add(cycle); p.now.Before(end) && p.finished.IsZero(); p.now = p.now.Add(tick) {
		p.fail(list)
		p.owners(list)
		p.drive(name, list)
	}
}

// BenchmarkCycle runs the four-week cycle of the whole fleet in virtual time, for
// several budgets: the number of workers of a pool that may be absent.
func BenchmarkCycle(b *testing.B) {
	for _, absent := range []int{2, 3, 4, 6, 8, 15} {
		b.Run(fmt.Sprint("absent-", absent), func(b *testing.B) {
			for b.Loop() {
				pools := make([]*cyclePool, poolCount)
				var group sync.WaitGroup
				for n := range pools {
					pools[n] = newCyclePool(n)
					group.Go(func() { pools[n].run(n, fleet.Pool{MinAvailable: absent, MaxAbsentPerRack: 2}) })
				}
				group.Wait()
				report(b, pools)
			}
		})
	}
}

func report(b *testing.B, pools []*cyclePool) {
	var done, quarantined, left, changes, pauses, over, unfinished int
	var last time.Duration
	for n, p := range pools {
		s := ProgressOf(p.cfg, p.now, fmt.Sprintf("x%02d", n), p.hosts)
		done, quarantined, left = done+s.Done, quarantined+s.Quarantined, left+s.Total-s.Done-s.Quarantined
		changes, pauses, over = changes+p.changes, pauses+p.pauses, over+p.over
		if p.finished.IsZero() {
			unfinished++
			continue
		}
		last = max(last, p.finished.Sub(time.Unix(0, 0)))
	}
	b.Logf("done %d, quarantined at the end %d, left over %d, pools not finished %d of %d, last pool finished after %.1f days", done, quarantined, left, unfinished, poolCount, last.Hours()/24)
	b.Logf("changes %d (%.0f a day over the cycle), pauses %d, drains over budget %d", changes, float64(changes)/28, pauses, over)
}

// BenchmarkNext measures one tick of one wave on the document of the whole fleet.
func BenchmarkNext(b *testing.B) {
	p := newCyclePool(0)
	for n := range poolCount {
		p.fill(n, fleet.Pool{MinAvailable: 8, MaxAbsentPerRack: 2})
	}
	for b.Loop() {
		p.watch.Observe(p.now, p.cfg, p.hosts)
		if changes, err := Next(p.cfg, p.now, "x00", Facts{Hosts: p.hosts}); err != nil || len(changes) != 8 {
			b.Fatal(len(changes), err)
		}
	}
}
