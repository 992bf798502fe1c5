package backlog

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// burst is a load on one pool: tasks on a number of cores, without preemption.
type burst struct {
	cores float64
	// kinds has the queues, in jobs a second at each time; accounts is their number.
	kinds    []kind
	accounts int
	// surge is the factor by which account 0 exceeds its usual rate.
	surge func(t float64) float64
	// lost is the number of cores that are missing at a time.
	lost func(t float64) float64
	end  float64
}

// kind is a queue: its mean job has tasks of some cores and seconds in one or two steps.
type kind struct {
	priority        int
	tasks           float64
	cores, taskTime float64
	spread          float64 // of the sizes, as the standard deviation of their logarithm
	load            func(t float64) float64
	// noise is the standard deviation of the logarithm of the actual over the expected time, long the
	// share of runs that take seven times as long.
	noise, long      float64
	stretch, allowed float64
}

// meanWork is the work of the mean job in core-seconds; half of the jobs have a second step.
func (k *kind) meanWork() float64 { return 1.5 * k.tasks * k.cores * k.taskTime }

type burstJob struct {
	kind      *kind
	account   int
	overShare bool
	due       float64
	size      int
	steps     [][]float64 // actual times of the tasks that wait, by step
	running   []int
	objective float64
	doneAt    float64
}

func (j *burstJob) work() float64 { return float64(j.size) * j.kind.cores * j.kind.taskTime }

// step returns the first step that is not done.
func (j *burstJob) step() int {
	for i := range j.steps {
		if len(j.steps[i])+j.running[i] > 0 {
			return i
		}
	}
	return len(j.steps)
}

// left returns the work of a job as the plan sees it: with the expected times.
func (j *burstJob) left(start time.Time, costOf cost) Work {
	at := func(t float64) time.Time { return start.Add(seconds(t)) }
	w := Work{
		Priority: j.kind.priority, OverShare: j.overShare, Due: at(j.due), Deadline: at(j.due + j.objective), Limit: at(j.due + 3*j.objective),
		Path:      seconds(float64(len(j.steps)-j.step()) * j.kind.taskTime),
		DelayCost: costOf(j),
	}
	for _, tasks := range j.steps {
		w.Left += float64(len(tasks)) * j.kind.cores * j.kind.taskTime
	}
	return w
}

// arrivals draws the jobs of a burst.
func (b *burst) arrivals(r *rand.Rand) []*burstJob {
	const tick = 0.01
	var jobs []*burstJob
	buckets := make([]float64, b.accounts)
	for t := 0.0; t < b.end; t += tick {
		for i := range b.kinds {
			k := &b.kinds[i]
			for account := range b.accounts {
				usual := k.load(t) * b.cores / k.meanWork() / float64(b.accounts)
				rate := usual
				if account == 0 {
					rate *= b.surge(t)
				}
				share := usual
				if i == 0 {
					share = 0
					for n := range b.kinds {
						share += b.kinds[n].load(t) * b.cores / b.kinds[n].meanWork() / float64(b.accounts)
					}
					buckets[account] = min(2*share, buckets[account]+share*tick)
				}
				for range poisson(r, rate*tick) {
					j := newBurstJob(r, k, account, t)
					// Only the account with the surge exceeds its share.
					if j.overShare = account == 0 && b.surge(t) > 1 && buckets[0] < 1; !j.overShare {
						buckets[account]--
					}
					jobs = append(jobs, j)
				}
			}
		}
	}
	return jobs
}

func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for p := r.Float64(); p > math.Exp(-mean); p *= r.Float64() {
		n++
	}
	return n
}

func newBurstJob(r *rand.Rand, k *kind, account int, due float64) *burstJob {
	j := &burstJob{kind: k, account: account, due: due}
	for range 1 + r.IntN(2) {
		size := max(1, int(math.Round(k.tasks*math.Exp(k.spread*r.NormFloat64()-k.spread*k.spread/2))))
		tasks := make([]float64, size)
		for i := range tasks {
			tasks[i] = k.taskTime * math.Exp(k.noise*r.NormFloat64())
			if r.Float64() < k.long {
				tasks[i] *= 7
			}
		}
		j.size += size
		j.steps, j.running = append(j.steps, tasks), append(j.running, 0)
	}
	j.objective = k.stretch*float64(len(j.steps))*k.taskTime + k.allowed
	return j
}

type burstRun struct {
	ends  float64
	cores float64
	job   *burstJob
	step  int
}

// play runs the jobs of a burst in an order until all are done.
func (b *burst) play(jobs []*burstJob, order Order, costOf cost) {
	const tick, planEvery, longest = 0.01, 4, 200.0
	start := time.UnixMilli(1_700_000_000_000)
	var running []burstRun
	var waiting []*burstJob
	used := 0.0
	for n := 0; len(jobs)+len(waiting)+len(running) > 0 && float64(n)*tick < longest; n++ {
		t := float64(n) * tick
		running = slices.DeleteFunc(running, func(r burstRun) bool {
			if r.ends > t {
				return false
			}
			used -= r.cores
			r.job.running[r.step]--
			if r.job.step() == len(r.job.steps) {
				r.job.doneAt = r.ends
			}
			return true
		})
		for len(jobs) > 0 && jobs[0].due <= t {
			waiting, jobs = append(waiting, jobs[0]), jobs[1:]
		}
		total := b.cores - b.lost(t)
		if n%planEvery == 0 {
			waiting = b.sort(waiting, start, t, total, used, order, costOf)
		}
		for _, j := range waiting {
			for s := j.step(); s < len(j.steps) && len(j.steps[s]) > 0 && used+j.kind.cores <= total; {
				used += j.kind.cores
				running = append(running, burstRun{t + j.steps[s][0], j.kind.cores, j, s})
				j.steps[s] = j.steps[s][1:]
				j.running[s]++
			}
		}
		waiting = slices.DeleteFunc(waiting, func(j *burstJob) bool { return len(j.steps[len(j.steps)-1]) == 0 })
	}
}

func (b *burst) sort(waiting []*burstJob, start time.Time, t, total, used float64, order Order, costOf cost) []*burstJob {
	work := make([]Work, len(waiting))
	for i, j := range waiting {
		work[i] = j.left(start, costOf)
	}
	p := New(start.Add(seconds(t)), Capacity{Total: total, Free: total - used}, order, work)
	sorted := make([]*burstJob, len(waiting))
	for i, j := range waiting {
		sorted[p.Place(i)] = j
	}
	return sorted
}

// burstCount counts the jobs of several bursts.
type burstCount struct {
	jobs, inTime, late, useless int
	worth, allWorth             float64
	byKind                      map[int]*kindCount
	sentOf, inTimeOf            map[int]float64 // by account
}

// kindCount counts the jobs of a kind, and those of its largest tenth.
type kindCount struct{ sent, inTime, largest, largestInTime float64 }

func (c *burstCount) add(b *burst, jobs []*burstJob) {
	for i := range b.kinds {
		if c.byKind[i] == nil {
			c.byKind[i] = &kindCount{}
		}
		ofKind := slices.DeleteFunc(slices.Clone(jobs), func(j *burstJob) bool { return j.kind != &b.kinds[i] })
		slices.SortStableFunc(ofKind, func(a, b *burstJob) int { return b.size - a.size })
		for n, j := range ofKind {
			c.addJob(j, c.byKind[i], n < len(ofKind)/10)
		}
	}
}

func (c *burstCount) addJob(j *burstJob, k *kindCount, largest bool) {
	worth := j.kind.meanWork() * min(4, 0.3+0.7*j.work()/j.kind.meanWork())
	took := j.doneAt - j.due
	inTime := 0.0
	c.jobs++
	c.allWorth += worth
	switch {
	case j.doneAt > 0 && took <= j.objective:
		inTime = 1
		c.inTime++
		c.worth += worth
	case j.doneAt > 0 && took <= 3*j.objective:
		c.late++
		c.worth += 0.07 * worth
	default:
		c.useless++
	}
	k.sent, k.inTime = k.sent+1, k.inTime+inTime
	if largest {
		k.largest, k.largestInTime = k.largest+1, k.largestInTime+inTime
	}
	c.sentOf[j.account]++
	c.inTimeOf[j.account] += inTime
}

// largestShare returns how often the largest tenth of a kind is in time, relative to the kind, for
// the kind where it is least.
func (c *burstCount) largestShare() float64 {
	least := math.Inf(1)
	for _, k := range c.byKind {
		if k.largest < 20 {
			continue
		}
		least = min(least, (k.largestInTime/k.largest)/(k.inTime/k.sent))
	}
	return least
}

// shares returns the share in time of account 0, which may have a surge, and the least one of the others.
func (c *burstCount) shares() (first, worst float64) {
	worst = 1
	for account, sent := range c.sentOf {
		if account > 0 {
			worst = min(worst, c.inTimeOf[account]/sent)
		}
	}
	return c.inTimeOf[0] / c.sentOf[0], worst
}

// cost is the cost of delay of a job: its work, or that of a small one more than its work.
type cost func(j *burstJob) float64

func byWork(j *burstJob) float64 { return j.work() }

func smallFirst(j *burstJob) float64 { return max(j.work(), math.Sqrt(j.work()*j.kind.meanWork())) }

func constant(v float64) func(float64) float64 { return func(float64) float64 { return v } }

// during returns a value for a time that begins at 2 s, and another one otherwise.
func during(length, value, otherwise float64) func(float64) float64 {
	return func(t float64) float64 {
		if t >= 2 && t < 2+length {
			return value
		}
		return otherwise
	}
}

func bursts() map[string]*burst {
	small := func(load func(float64) float64) kind {
		return kind{tasks: 8, cores: 2.8, taskTime: 0.64, spread: 0.7, load: load, stretch: 1.6, allowed: 0.6, noise: 0.15, long: 0.0005}
	}
	large := func(load func(float64) float64) kind {
		return kind{tasks: 16, cores: 6, taskTime: 1.7, spread: 0.7, load: load, stretch: 1.6, allowed: 0.6, noise: 0.15, long: 0.0005}
	}
	wide := small(during(4, 0.9, 0.2))
	wide.spread = 1.1
	second := large(during(4, 0.75, 0.3))
	second.priority = 1
	scattered := small(during(4, 1.4, 0.2))
	scattered.noise, scattered.long = 0.3, 0.002
	none := constant(1)
	return map[string]*burst{
		"calm":       {1280, []kind{small(constant(0.5)), large(constant(0.1))}, 20, none, constant(0), 12},
		"turn":       {1280, []kind{small(during(4, 1.4, 0.28)), large(constant(0.1))}, 20, none, constant(0), 12},
		"scattered":  {1280, []kind{scattered}, 20, none, constant(0), 12},
		"two kinds":  {1280, []kind{small(during(4, 0.8, 0.2)), large(during(4, 0.8, 0.2))}, 20, none, constant(0), 12},
		"priorities": {1280, []kind{small(during(4, 0.75, 0.2)), second}, 20, none, constant(0), 12},
		"surge":      {1280, []kind{small(constant(0.5)), large(constant(0.45))}, 12, during(5, 7.5, 1), constant(0), 12},
		"mix":        {1280, []kind{wide, large(during(4, 0.6, 0.2))}, 20, none, constant(0), 12},
		"rack":       {1920, []kind{small(constant(0.5)), large(constant(0.4))}, 20, none, during(5, 640, 0), 12},
	}
}

// playAll plays a burst with several seeds.
func (b *burst) playAll(order Order, costOf cost) *burstCount {
	const seeds = 20
	c := &burstCount{byKind: make(map[int]*kindCount), sentOf: make(map[int]float64), inTimeOf: make(map[int]float64)}
	for seed := range uint64(seeds) {
		jobs := b.arrivals(rand.New(rand.NewPCG(seed, 1)))
		b.play(slices.Clone(jobs), order, costOf)
		c.add(b, jobs)
	}
	return c
}

// Weighs orders by bursts on one pool, all of them with -v. Guards against an order that serves callers worse than
// the one by age, against small jobs that keep the largest ones waiting, and against a surge that
// others pay for.
func TestOrdersInBursts(t *testing.T) {
	for name, b := range bursts() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plays := make(map[string]*burstCount)
			for _, c := range []struct {
				name  string
				order Order
				cost  cost
			}{
				{"due", Due(), byWork},
				{"slack", Slack(), byWork},
				{"worth", Worth(), byWork},
				{"worth, small first", Worth(), smallFirst},
				{"share", Share(), byWork},
				{"Moore-Hodgson", byLatest(), byWork},
				{"Moore-Hodgson, small first", byLatest(), smallFirst},
				{"feasible", Feasible(), byWork},
				{"feasible, small first", Feasible(), smallFirst},
			} {
				if !testing.Verbose() && c.name != "due" && c.name != "feasible" {
					continue
				}
				count := b.playAll(c.order, c.cost)
				plays[c.name] = count
				surge, worst := count.shares()
				t.Logf("| %s | %s | %d | %d | %d | %d | %.3f | %.2f | %.2f | %.2f |", name, c.name, count.jobs, count.inTime, count.late, count.useless, count.worth/count.allWorth, count.largestShare(), worst, surge)
			}
			feasible, due := plays["feasible"], plays["due"]
			_, worst := feasible.shares()
			_, worstByAge := due.shares()
			qt.Check(t, feasible.worth/feasible.allWorth >= due.worth/due.allWorth-0.01, qt.IsTrue)
			qt.Check(t, feasible.largestShare() >= 0.5, qt.IsTrue)
			qt.Check(t, worst >= worstByAge-0.05, qt.IsTrue)
		})
	}
}

// byLatest is Feasible with all starts in the order of the latest ones.
func byLatest() Order {
	o := Feasible()
	o.CompareShort = nil
	return o
}
