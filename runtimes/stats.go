// Package runtimes learns what tasks take: the expected run time and its quantiles, for each queue
// and size of step, and for each account of which enough runs are known. It does no input or output.
package runtimes

import (
	"container/list"
	"math"
	"time"

	"egretdrum.example/job"
)

const (
	// MinRuns is the number of runs below which nothing is concluded from a record.
	MinRuns = 20
	// maxRunsOfStep is the number of runs that a step counts for at most, as its tasks are alike.
	maxRunsOfStep = 4
	// maxRecords bounds the records, maxDistributions those that have a distribution. A record
	// takes about 500 bytes and a distribution 4 KB, so that all of them together stay below 5 MB.
	maxRecords       = 4096
	maxDistributions = 640
	// shortestRun is the shortest run time that is distinguished: the owner hears of an end some
	// milliseconds late.
	shortestRun = 10 * time.Millisecond
)

// Stats holds the run times that one owner has seen. The zero value is not usable; New returns an
// empty one. It is not safe for concurrent use.
type Stats struct {
	records map[key]*record
	// used has the records, distributions the records that have one, the last used first.
	used, distributions *list.List
}

// New returns statistics without any run.
func New() *Stats {
	return &Stats{records: make(map[key]*record), used: list.New(), distributions: list.New()}
}

// key names what the runs of a record have in common. Fields at their zero values are not in common.
type key struct {
	queue, account string
	size           size
}

// size is the size class of a step: the number of its tasks and the cores of each, rounded up to a
// power of four. Zero stands for all sizes.
type size struct{ tasks, cores int8 }

const (
	millicoresPerCore = 1000
	// maxSizeClass is that of 64 tasks, or cores, and more.
	maxSizeClass = 4
)

func sizeOf(step *job.Step) size {
	return size{sizeClass(step.Count), sizeClass((step.Need.CPU + millicoresPerCore - 1) / millicoresPerCore)}
}

// sizeClass returns 1 for one, 2 for up to 4, 3 for up to 16, and maxSizeClass beyond.
func sizeClass(n int) int8 {
	class := int8(1)
	for limit := 1; n > limit && class < maxSizeClass; limit *= 4 {
		class++
	}
	return class
}

// keys returns the keys of the records that cover the runs of a step, the most specific first. The
// record of an account over all queues is relative to the records that follow it.
func keys(queue, account string, step *job.Step) [4]key {
	size := sizeOf(step)
	return [4]key{{queue, account, size}, {account: account}, {queue: queue, size: size}, {queue: queue}}
}

// levels are the indices in the result of keys.
const (
	accountAndSize = iota
	accountOnly
	queueAndSize
	queueOnly
)

// Record adds the run time of a task of a step.
func (s *Stats) Record(queue, account string, step *job.Step, d time.Duration) {
	x, e, hasEstimate := math.Log(max(d, shortestRun).Seconds()), logOf(step.Estimate), step.Estimate > 0
	weight := min(1, maxRunsOfStep/float64(max(1, step.Count)))
	ks := keys(queue, account, step)
	base, based := s.base(&ks)
	for level, k := range ks {
		if account == "" && level < queueAndSize {
			continue
		}
		shift := 0.0
		if level == accountOnly {
			if !based {
				continue
			}
			shift = base
		}
		r := s.recordOf(k)
		if level >= queueAndSize || level == accountAndSize && r.runs >= MinRuns {
			s.distributionOf(r)
		}
		r.add(x-shift, e-shift, hasEstimate, weight)
	}
}

// base returns the mean logarithm of the run time that the record of an account is relative to.
func (s *Stats) base(ks *[4]key) (mean float64, known bool) {
	for _, k := range ks[queueAndSize:] {
		if r := s.records[k]; r != nil && r.runs >= MinRuns {
			return r.mean, true
		}
	}
	return 0, false
}

// recordOf returns the record of a key and makes room for a new one.
func (s *Stats) recordOf(k key) *record {
	if r := s.records[k]; r != nil {
		s.used.MoveToFront(r.place)
		return r
	}
	if s.used.Len() >= maxRecords {
		oldest := s.used.Remove(s.used.Back()).(*record)
		s.dropDistribution(oldest)
		delete(s.records, oldest.key)
	}
	r := &record{key: k}
	r.place = s.used.PushFront(r)
	s.records[k] = r
	return r
}

// distributionOf gives a record a distribution if it has none, and makes room for a new one.
func (s *Stats) distributionOf(r *record) {
	if r.ratios != nil {
		s.distributions.MoveToFront(r.distributionPlace)
		return
	}
	if s.distributions.Len() >= maxDistributions {
		s.dropDistribution(s.distributions.Back().Value.(*record))
	}
	r.ratios = newDistribution()
	r.distributionPlace = s.distributions.PushFront(r)
}

func (s *Stats) dropDistribution(r *record) {
	if r.ratios != nil {
		s.distributions.Remove(r.distributionPlace)
		r.ratios, r.distributionPlace = nil, nil
	}
}

// Expected returns the expected run time of a task of a step, which is the median if the logarithms
// are distributed evenly around their mean. It is unknown until there are MinRuns runs.
func (s *Stats) Expected(queue, account string, step *job.Step) (d time.Duration, known bool) {
	ks := keys(queue, account, step)
	x, _, known := s.expected(&ks, step)
	return durationOf(x), known
}

// expected returns the logarithm of the expected run time in seconds and the level of its record.
func (s *Stats) expected(ks *[4]key, step *job.Step) (x float64, level int, known bool) {
	e, hasEstimate := logOf(step.Estimate), step.Estimate > 0
	for level, k := range ks {
		r := s.records[k]
		if r == nil || r.runs < MinRuns {
			continue
		}
		shift := 0.0
		if level == accountOnly {
			base, based := s.base(ks)
			if !based {
				continue
			}
			shift = base
		}
		if hasEstimate && r.pairs.runs < MinRuns {
			continue
		}
		return r.predict(e-shift, hasEstimate) + shift, level, true
	}
	return 0, 0, false
}

// Quantile returns the run time that the given share of the runs of a step, from 0 to 1, stay
// below. It takes the estimate into account like Expected. It is unknown until there are MinRuns runs.
func (s *Stats) Quantile(queue, account string, step *job.Step, share float64) (d time.Duration, known bool) {
	ks := keys(queue, account, step)
	x, level, known := s.expected(&ks, step)
	if !known {
		return 0, false
	}
	for _, k := range ks[level:] {
		if r := s.records[k]; r != nil && r.ratios != nil && r.ratios.runs() >= MinRuns {
			return durationOf(x + math.Log(r.ratios.quantile(share))), true
		}
	}
	return 0, false
}

// EstimateError returns the mean of the logarithm of the run time relative to the estimate over the
// runs of an account that have one, and its standard deviation.
func (s *Stats) EstimateError(account string) (mean, deviation float64, known bool) {
	r := s.records[key{account: account}]
	if r == nil || r.pairs.runs < MinRuns {
		return 0, 0, false
	}
	p := &r.pairs
	return p.meanX - p.meanE, math.Sqrt(max(0, p.varX-2*p.cov+p.varE)), true
}

func logOf(d time.Duration) float64 {
	return math.Log(max(d, shortestRun).Seconds())
}

func durationOf(x float64) time.Duration {
	return time.Duration(min(math.Exp(x)*float64(time.Second), math.MaxInt64/2))
}
