package runtimes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"egretdrum.example/job"
	"egretdrum.example/property"
	"egretdrum.example/resource"
)

// TestMain fixes the seed, so that each run gives the same result.
func TestMain(m *testing.M) { property.Main(m, "seed=5", "shrinktime=0s", "checks=100") }

func stepOf(count, cores int, estimate time.Duration) *job.Step {
	return &job.Step{Count: count, Need: resource.Amount{CPU: 1000 * cores}, Estimate: estimate}
}

func ExampleStats() {
	s := New()
	for range 40 {
		// This account always asks for three times what its tasks take.
		s.Record("render", "studio", stepOf(1, 2, 3*time.Second), time.Second)
		s.Record("render", "studio", stepOf(1, 2, 9*time.Second), 3*time.Second)
	}
	d, known := s.Expected("render", "studio", stepOf(1, 2, 6*time.Second))
	fmt.Println(d.Round(100*time.Millisecond), known)
	_, known = s.Expected("print", "studio", stepOf(1, 2, 6*time.Second))
	fmt.Println(known)
	// Output:
	// 2s true
	// false
}

// Guards against conclusions from fewer runs than MinRuns, from a single step of many alike tasks, and
// against values that are not times.
func TestFewRunsTellNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assert := func(ok bool, what string) {
			if !ok {
				t.Fatal(what)
			}
		}
		s := New()
		count := rapid.IntRange(1, 200).Draw(t, "count")
		step := stepOf(count, rapid.IntRange(0, 64).Draw(t, "cores"), time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "estimate")))
		runs := rapid.IntRange(0, 400).Draw(t, "runs")
		for range runs {
			s.Record("q", "a", step, time.Duration(rapid.Int64Range(-1, int64(2*time.Hour)).Draw(t, "d")))
		}
		d, known := s.Expected("q", "a", step)
		assert(!known || runs >= MinRuns, "known from few runs")
		assert(!known || runs > count || count <= maxRunsOfStep, "known from one step")
		assert(!known || d >= 0 && d < 100*time.Hour, "not a run time")
		earlier := time.Duration(0)
		for _, q := range []float64{0, 0.5, 0.9, 0.99, 1} {
			d, known := s.Quantile("q", "a", step, q)
			assert(!known || runs >= MinRuns, "known from few runs")
			assert(d >= earlier, "quantiles fall")
			earlier = d
		}
	})
}

// sample returns a logarithm that is normally distributed.
func sample(r *rand.Rand, deviation float64) float64 { return deviation * r.NormFloat64() }

func inSeconds(x float64) time.Duration { return time.Duration(math.Exp(x) * float64(time.Second)) }

// Guards against estimates that are off by a factor of ten and keep their weight, against exact ones
// that don't gain any, and against an expected time that is worse than the equal weights of before.
func TestWeightFollowsTheErrorOfEstimates(t *testing.T) {
	for name, c := range map[string]struct {
		noise, bias float64
		minWeight   float64
		maxWeight   float64
	}{
		"exact":                        {0, 0, 0.9, 1},
		"always three times too large": {0, math.Log(3), 0.9, 1},
		"off by up to two":             {0.35, 0, 0.5, 0.9},
		"off by up to ten":             {1.3, 0, 0, 0.35},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			s := New()
			var learnt, equal, mean float64
			const runs = 2000
			for n := range runs {
				x := sample(random, 0.7)
				e := x + c.bias + sample(random, c.noise)
				step := stepOf(1, 1, inSeconds(e))
				if d, known := s.Expected("q", "a", step); known {
					learnt += math.Pow(math.Log(d.Seconds())-x, 2)
					equal += math.Pow((mean+e)/2-x, 2)
				}
				s.Record("q", "a", step, inSeconds(x))
				mean += max(0.05, 1/float64(n+1)) * (x - mean)
			}
			w := s.records[key{queue: "q"}].pairs.estimateWeight()
			qt.Check(t, w >= c.minWeight && w <= c.maxWeight, qt.IsTrue, qt.Commentf("weight %.2f", w))
			qt.Check(t, learnt < equal, qt.IsTrue, qt.Commentf("mean square of the error %.3f, with equal weights %.3f", learnt/runs, equal/runs))
			t.Logf("weight %.2f, deviation %.2f, with equal weights %.2f", w, math.Sqrt(learnt/runs), math.Sqrt(equal/runs))
			bias, deviation, known := s.EstimateError("a")
			qt.Check(t, known, qt.IsTrue)
			qt.Check(t, math.Abs(bias+c.bias) < 0.4 && math.Abs(deviation-c.noise) < 0.35, qt.IsTrue, qt.Commentf("%f %f", bias, deviation))
		})
	}
}

// Guards against a weight of the estimate that a hundred runs with nearly equal estimates set by chance.
func TestEqualEstimatesKeepTheWeight(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	s := New()
	for range 20_000 {
		s.Record("q", "a", stepOf(1, 1, inSeconds(sample(random, 0.01))), inSeconds(sample(random, 0.7)))
	}
	w := s.records[key{queue: "q"}].pairs.estimateWeight()
	qt.Assert(t, math.Abs(w-priorWeight) < 0.1, qt.IsTrue, qt.Commentf("weight %.2f", w))
}

// Guards against an account whose own record is not used, and one whose estimates spoil those of others.
func TestAccountsHaveTheirOwnRecord(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	s := New()
	for range 200 {
		x := sample(random, 0.7)
		s.Record("q", "exact", stepOf(1, 1, inSeconds(x)), inSeconds(x))
		s.Record("q", "random", stepOf(1, 1, inSeconds(sample(random, 1.5))), inSeconds(x))
	}
	for account, want := range map[string][2]time.Duration{"exact": {3500 * time.Millisecond, 4100 * time.Millisecond}, "random": {700 * time.Millisecond, 1600 * time.Millisecond}} {
		// The second queue has only runs of others, so that the record over all queues counts.
		d, known := s.Expected("q", account, stepOf(1, 1, 4*time.Second))
		qt.Check(t, known, qt.IsTrue)
		qt.Check(t, d > want[0] && d < want[1], qt.IsTrue, qt.Commentf("%s: %s", account, d))
	}
}

// Guards against a tail that is not seen, and a record that keeps the run times of long ago.
func TestQuantilesFollowRecentRuns(t *testing.T) {
	s := New()
	record := func(usual time.Duration) {
		for n := range 700 {
			d := usual
			if n%33 == 0 {
				d *= 7
			}
			s.Record("q", "a", stepOf(1, 1, 0), d)
		}
	}
	quantile := func(q float64) float64 {
		d, known := s.Quantile("q", "a", stepOf(1, 1, 0), q)
		qt.Assert(t, known, qt.IsTrue)
		return d.Seconds()
	}
	for _, usual := range []time.Duration{time.Second, 4 * time.Second} {
		record(usual)
		qt.Check(t, math.Abs(quantile(0.95)/usual.Seconds()-1) < 0.2, qt.IsTrue, qt.Commentf("%f", quantile(0.95)))
		qt.Check(t, math.Abs(quantile(0.99)/usual.Seconds()-7) < 1, qt.IsTrue, qt.Commentf("%f", quantile(0.99)))
	}
}

// Guards against a tail that one step of many tasks sets, as its tasks are alike.
func TestOneStepDoesNotSetQuantiles(t *testing.T) {
	for name, account := range map[string]string{"of its account": "a", "of its queue": ""} {
		t.Run(name, func(t *testing.T) {
			s := New()
			for range 400 {
				s.Record("q", account, stepOf(17, 1, 0), time.Second)
			}
			for range 1000 {
				s.Record("q", account, stepOf(1000, 1, 0), 5*time.Second)
			}
			d, known := s.Quantile("q", account, stepOf(17, 1, 0), 0.9)
			qt.Assert(t, known, qt.IsTrue)
			qt.Assert(t, d < 2*time.Second, qt.IsTrue, qt.Commentf("%s", d))
		})
	}
}

// Guards against memory that grows with the number of accounts, queues and sizes.
func TestMemoryIsBounded(t *testing.T) {
	s := New()
	for n := range 100_000 {
		s.Record(fmt.Sprint("q", n%100), fmt.Sprint("a", n%900), stepOf(1+n%70, 1+n%32, time.Second), time.Second)
	}
	qt.Check(t, len(s.records) <= maxRecords, qt.IsTrue)
	qt.Check(t, s.used.Len(), qt.Equals, len(s.records))
	bytes, distributions := 0, 0
	for _, r := range s.records {
		if r.ratios != nil {
			distributions++
			bytes += r.ratios.current.ByteSize() + r.ratios.earlier.ByteSize()
		}
	}
	qt.Check(t, distributions <= maxDistributions, qt.IsTrue)
	qt.Check(t, s.distributions.Len(), qt.Equals, distributions)
	const recordSize = 500
	qt.Check(t, bytes+len(s.records)*recordSize < 5<<20, qt.IsTrue, qt.Commentf("%d bytes", bytes))
}

// BenchmarkRecord measures an end and the questions that follow it, over 900 accounts and 100 queues.
func BenchmarkRecord(b *testing.B) {
	s := New()
	names := make([]string, 900)
	for i := range names {
		names[i] = fmt.Sprint("name", i)
	}
	step := stepOf(8, 2, time.Second)
	for n := range b.N {
		queue, account := names[n%100], names[n*7%900]
		s.Record(queue, account, step, time.Duration(1+n%100)*20*time.Millisecond)
		s.Expected(queue, account, step)
		s.Quantile(queue, account, step, 0.95)
	}
}
