// Package soak plays faults against entry hosts that run as processes, and checks what callers,
// workers and the store see. It has test code only, as no other code may start processes.
package soak

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
)

var (
	seedFlag     = flag.Uint64("seed", 0, "seed of the schedule; 0 plays the seeds of seeds.txt and one of CI")
	durationFlag = flag.Duration("for", 20*time.Second, "how long faults are inflicted")
	hostsFlag    = flag.Int("hosts", 5, "number of entry hosts")
	rateFlag     = flag.Float64("rate", 10, "jobs a second for 5 hosts; it rises with the hosts")
	intervalFlag = flag.Duration("fault-interval", 600*time.Millisecond, "mean time between two faults")
	keepLogs     = flag.Bool("keep-logs", false, "keep the logs also of a run without a broken promise")
	binaryFlag   = flag.String("binary", "", "program to play, built from this source if empty")
	logsFlag     = flag.String("logs", "", "directory for logs, the system's one for temporary files if empty")
)

const (
	// ciSeed is the seed that is always played.
	ciSeed = 1
	// startWithin is how long hosts may need until all are ready.
	startWithin = 20 * time.Second
	// warmUp is the time under load before the first fault.
	warmUp = 3 * time.Second
	// calmLoad is how long callers submit jobs after the trouble. After it, all accepted jobs have
	// to be done: a job has to end at least every progressWithin, and the last one in recoverWithin.
	// A backlog of bursts is bound by the limit of an account.
	calmLoad       = 4 * time.Second
	progressWithin = 15 * time.Second
	recoverWithin  = 75 * time.Second
	// descriptorSlack and goroutineSlack are what a host may have more than before the trouble,
	// besides what an owner needs for each worker.
	descriptorSlack       = 40
	descriptorsPerWorker  = 4
	goroutineSlack        = 100
	goroutinesPerWorker   = 8
	idleBeforeMeasurement = 2 * time.Second
)

func logDirectory() string { return *logsFlag }

// TestSoak guards against faults that only show when processes, connections and the store fail
// together, in real time.
func TestSoak(t *testing.T) {
	if *seedFlag != 0 {
		soak(t, *seedFlag, *hostsFlag, *durationFlag)
		return
	}
	t.Parallel()
	for _, p := range append(readSeeds(t), played{ciSeed, *hostsFlag, *durationFlag}) {
		t.Run(fmt.Sprint(p.seed), func(t *testing.T) {
			t.Parallel()
			soak(t, p.seed, p.hosts, p.trouble)
		})
	}
}

// played is a run that repeats.
type played struct {
	seed    uint64
	hosts   int
	trouble time.Duration
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// readSeeds returns the runs that have failed before.
func readSeeds(t *testing.T) (runs []played) {
	b, err := os.ReadFile("seeds.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(b)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var p played
		var trouble string
		_, err := fmt.Sscan(line, &p.seed, &p.hosts, &trouble)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", line))
		p.trouble, err = time.ParseDuration(trouble)
		qt.Assert(t, err, qt.IsNil)
		runs = append(runs, p)
	}
	return runs
}

// soak plays one seed.
func soak(t *testing.T, seed uint64, hosts int, trouble time.Duration) {
	repeat := fmt.Sprintf("go test ./soak -run TestSoak -count=1 -args -seed %d -hosts %d -for %v", seed, hosts, trouble)
	faults := newSchedule(newRand(seed), trouble, *intervalFlag, hosts)
	t.Logf("seed %d: %d faults in %v on %d hosts; to repeat: %s", seed, len(faults), trouble, hosts, repeat)
	for _, f := range faults {
		t.Log(f)
	}
	c := newCluster(t, deployment(hosts), seed, hosts)
	r := newRun(c, seed)
	c.startAll()
	if !c.waitReady(startWithin) {
		t.Fatalf("the hosts are not ready within %v; to repeat: %s", startWithin, repeat)
	}
	r.begin()
	sleep(t.Context(), warmUp)
	r.measure()
	i := &inflictor{c: c, callers: r.callers}
	i.run(t.Context(), faults)
	r.settle()
	r.finish(i)
	r.report(repeat)
}

// run is one play on a cluster: callers and a monitor.
type run struct {
	c       *cluster
	seed    uint64
	callers *callers
	monitor *monitor

	stopTraffic, stopCallers, stopMonitor context.CancelFunc
	traffic                               chan struct{}
	follow                                context.Context
	descriptors                           map[string]int

	mu   sync.Mutex
	calm time.Time
}

func newRun(c *cluster, seed uint64) *run {
	r := &run{c: c, seed: seed, traffic: make(chan struct{})}
	const referenceHosts = 5
	r.callers = newCallers(c, *rateFlag*float64(len(c.hosts))/referenceHosts)
	r.callers.limit = 1000 * limitedCores(len(c.hosts))
	r.monitor = &monitor{c: c, zones: make(map[string]string), calmFrom: r.calmFrom, ownerAt: time.Now(), done: make(chan struct{})}
	return r
}

func (r *run) calmFrom() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calm
}

// begin starts callers and the monitor.
func (r *run) begin() {
	var traffic, watch context.Context
	traffic, r.stopTraffic = context.WithCancel(context.Background())
	r.follow, r.stopCallers = context.WithCancel(context.Background())
	watch, r.stopMonitor = context.WithCancel(context.Background())
	r.c.t.Cleanup(func() { r.stopTraffic(); r.stopCallers(); r.stopMonitor() })
	go func() {
		defer close(r.traffic)
		r.callers.run(traffic, r.follow, rand.New(rand.NewPCG(r.seed, 1)))
	}()
	go r.monitor.run(watch)
}

// measure notes the descriptors of the hosts before the trouble.
func (r *run) measure() {
	r.callers.direct.CloseIdleConnections()
	r.descriptors = make(map[string]int)
	for _, h := range r.c.hosts {
		if p := h.current(); p != nil {
			r.descriptors[h.name] = p.descriptors()
		}
	}
}

// settle ends the traffic some time after the last fault, and waits until the callers have seen
// the end of all jobs.
func (r *run) settle() {
	r.c.startAll()
	r.mu.Lock()
	r.calm = time.Now()
	r.mu.Unlock()
	r.c.note("all faults have ended")
	sleep(r.c.t.Context(), calmLoad)
	r.stopTraffic()
	<-r.traffic
	done := make(chan struct{})
	go func() { defer close(done); r.callers.wait.Wait() }()
	for progress := time.Now(); ; {
		select {
		case <-done:
			return
		case <-r.callers.ended:
			progress = time.Now()
		case <-time.After(progressWithin - time.Since(progress)):
			r.c.note("no job has ended for %v", progressWithin)
			r.stopCallers()
			<-done
			return
		case <-time.After(time.Until(r.calmFrom().Add(recoverWithin))):
			r.c.note("jobs have not ended in %v", recoverWithin)
			r.stopCallers()
			<-done
			return
		}
	}
}

// finish checks what is left to check at the end.
func (r *run) finish(i *inflictor) {
	i.checkWaves(r.calmFrom().Add(recoverWithin))
	if !r.c.emulator.running() {
		r.c.fail("emulator", "it has ended by itself: %v; see emulator.log", r.c.emulator.err)
	}
	history, err := readHistory(r.c.control)
	if err != nil {
		r.c.fail("history", "%v", err)
		return
	}
	r.c.save("runs.txt", history.lines())
	r.callers.checkRuns(history, r.calmFrom())
	r.stopMonitor()
	<-r.monitor.done
	r.monitor.look()
	i.checkEvacuations(history, r.monitor.zones)
	if r.descriptors != nil {
		r.checkResources()
	}
	r.c.checkLogs()
}

// checkResources checks that descriptors and goroutines are back at their level.
func (r *run) checkResources() {
	r.callers.direct.CloseIdleConnections()
	sleep(r.c.t.Context(), idleBeforeMeasurement)
	most := 0
	for _, n := range r.descriptors {
		most = max(most, n)
	}
	workers := len(r.monitor.zones)
	for _, h := range r.c.hosts {
		p := h.current()
		if p == nil || !p.running() {
			r.c.fail("stopped-host", "%s does not run at the end", h.name)
			continue
		}
		descriptors := p.descriptors()
		goroutines := p.dumpGoroutines(h.logPath)
		r.c.note("%s: %d descriptors, %d before; %d goroutines", h.name, descriptors, r.descriptors[h.name], goroutines)
		if limit := most + descriptorsPerWorker*workers + descriptorSlack; descriptors > limit {
			r.c.fail("descriptors", "%s has %d, at most %d were expected", h.name, descriptors, limit)
		}
		if limit := goroutinesPerWorker*workers + goroutineSlack; goroutines > limit {
			r.c.fail("goroutines", "%s has %d, at most %d were expected", h.name, goroutines, limit)
		}
	}
}

// checkLogs looks for failures of the runtime in the output of the hosts.
func (c *cluster) checkLogs() {
	for _, h := range c.hosts {
		b, err := os.ReadFile(h.logPath)
		if err != nil {
			c.fail("logs", "%v", err)
			continue
		}
		for _, sign := range []string{"\npanic: ", "fatal error: ", "WARNING: DATA RACE", "part-failed"} {
			if at := strings.Index(string(b), sign); at >= 0 {
				c.fail("logs", "%s: %.300s", filepath.Base(h.logPath), string(b)[at:])
			}
		}
	}
}

func (c *cluster) startAll() {
	for _, h := range c.hosts {
		h.start()
	}
}

// report prints the numbers of the run and fails the test for each broken promise.
func (r *run) report(repeat string) {
	c, s := r.c, r.callers
	c.mu.Lock()
	broken, timeline := slices.Clone(c.broken), slices.Clone(c.timeline)
	c.mu.Unlock()
	total := 0
	for _, n := range c.faults {
		total += n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	outcomes := make(map[string]int)
	for _, j := range s.jobs {
		outcomes[j.outcome()]++
	}
	c.t.Logf("seed %d: %d hosts, %d processes, %d faults %v, %d changes of the owner, hosts up to %d MB together; the test itself was late by up to %v",
		r.seed, len(c.hosts), c.processes, total, c.faults, r.monitor.owners, r.monitor.memory, r.monitor.heldUp.Round(time.Millisecond))
	c.t.Logf("jobs %d %v; calls %v; %s at most %d thousandths of a core", len(s.jobs), outcomes, s.calls, limitedAccount, s.mostInUse)
	c.t.Logf("from the intended time: accepted %s; final state seen %s", quantiles(s.accepting), quantiles(s.finishing))
	c.t.Logf("slowest: %s", s.slowest())
	if len(broken) == 0 {
		return
	}
	for _, line := range timeline {
		c.t.Log(line)
	}
	for _, text := range broken {
		c.t.Error(text)
	}
	c.t.Errorf("failures by promise: %v", c.failures)
	c.t.Errorf("to repeat: %s", repeat)
}

// outcome is what became of a job.
func (j *submitted) outcome() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case j.final != "":
		return j.final
	case !j.accepted.IsZero():
		return "open"
	case j.others > 0:
		return "unknown"
	}
	return "refused"
}

// slowest describes the jobs that took longest, apart from those that were to be cancelled. The
// lock must be held.
func (s *callers) slowest() string {
	const shown = 3
	jobs := slices.DeleteFunc(slices.Collect(maps.Values(s.jobs)), func(j *submitted) bool { return j.final == "" || j.cancelAfter > 0 })
	took := func(j *submitted) time.Duration { return j.finalSeen.Sub(j.due).Round(time.Millisecond) }
	slices.SortFunc(jobs, func(a, b *submitted) int { return cmp.Compare(took(b), took(a)) })
	var b strings.Builder
	for _, j := range jobs[:min(shown, len(jobs))] {
		fmt.Fprintf(&b, "%s (%s of %s, due %s) %v; ", j.id, j.kind, j.queue, j.due.UTC().Format("15:04:05.000"), took(j))
	}
	return b.String()
}

// newHistogram returns a histogram of times from a microsecond to ten minutes.
func newHistogram() *hdrhistogram.Histogram {
	const digits = 3
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), digits)
}

// quantiles describes times by some of their quantiles.
func quantiles(h *hdrhistogram.Histogram) string {
	at := func(q float64) time.Duration {
		return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(time.Millisecond)
	}
	const p50, p90, p99, p100 = 50, 90, 99, 100
	return fmt.Sprintf("p50 %v p90 %v p99 %v max %v", at(p50), at(p90), at(p99), at(p100))
}
