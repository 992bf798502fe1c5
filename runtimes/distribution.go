package runtimes

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// ratioUnit is the ratio that is one unit of the histograms, from which they reach up to
	// maxRatio in steps of 3 to 6%.
	ratioUnit       = 0.01
	maxRatio        = 1000
	histogramDigits = 1
	percent         = 100
	// histogramRuns is the number of runs after which a histogram is full: together, two have a few
	// runs beyond the 99th percentile.
	histogramRuns = 300
	// runUnits is what a run of weight 1 counts in a histogram, which has whole numbers only.
	runUnits           = 1024
	cachedQuantiles    = 2
	runsBetweenAnswers = 8
)

// distribution is the distribution of ratios in two histograms: once the current one is full, it
// takes the place of the earlier one.
type distribution struct {
	current, earlier *hdrhistogram.Histogram
	// added counts the ratios so far. answers holds the last quantiles, as of added.
	added   int
	answers [cachedQuantiles]struct {
		share, value float64
		at           int
	}
}

func newDistribution() *distribution {
	return &distribution{current: newHistogram(), earlier: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxRatio/ratioUnit), histogramDigits)
}

// runs is the number of runs by their weights.
func (d *distribution) runs() float64 {
	return float64(d.current.TotalCount()+d.earlier.TotalCount()) / runUnits
}

func (d *distribution) add(ratio, weight float64) {
	if d.current.TotalCount() >= histogramRuns*runUnits {
		d.current, d.earlier = d.earlier, d.current
		d.current.Reset()
	}
	if d.current.RecordValues(int64(min(max(1, ratio/ratioUnit), maxRatio/ratioUnit)), int64(max(1, weight*runUnits))) == nil {
		d.added++
	}
}

// quantile returns the ratio that the given share of the runs stay below. Answers are kept for
// runsBetweenAnswers runs, as they are asked for more often than runs end.
func (d *distribution) quantile(q float64) float64 {
	oldest := &d.answers[0]
	for i := range d.answers {
		a := &d.answers[i]
		if a.share == q && a.at > 0 && d.added-a.at < runsBetweenAnswers {
			return a.value
		}
		if a.at < oldest.at {
			oldest = a
		}
	}
	merged := d.current.Clone()
	merged.Merge(d.earlier)
	oldest.share, oldest.at = q, d.added
	oldest.value = float64(merged.ValueAtQuantile(percent*q)) * ratioUnit
	return oldest.value
}
