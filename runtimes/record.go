package runtimes

import (
	"container/list"
	"math"
)

// record has the runs that have a key in common. All times are logarithms of seconds.
type record struct {
	key                      key
	place, distributionPlace *list.Element
	// runs counts the runs by their weights, mean is that of all runs.
	runs, mean float64
	pairs      pairs
	// ratios is the distribution of the run times relative to the expected ones, nil if there is none.
	ratios *distribution
	copies copies
}

// pairs has the moments of run times and estimates over the runs that have an estimate.
type pairs struct {
	runs                          float64
	meanX, meanE, varX, varE, cov float64
}

const (
	// memory is the number of runs that the moments cover: recent ones weigh more.
	memory = 100
	// priorRuns runs count in which run times and estimates vary by priorVariance, and the best
	// weight of the estimate is a half.
	priorRuns     = 20
	priorWeight   = 0.5
	priorVariance = 0.25
)

// add adds a run time x with its estimate e.
func (r *record) add(x, e float64, hasEstimate bool, weight float64) {
	if r.ratios != nil && (r.pairs.runs > 0 || !hasEstimate && r.runs > 0) {
		r.ratios.add(math.Exp(x-r.predict(e, hasEstimate)), weight)
	}
	r.runs += weight
	r.mean += share(weight, r.runs, memory) * (x - r.mean)
	if hasEstimate {
		r.pairs.add(x, e, weight)
	}
}

// share is the share of a new value in an average that covers the given number of them.
func share(weight, total, memory float64) float64 { return weight / min(total, memory) }

func (p *pairs) add(x, e, weight float64) {
	p.runs += weight
	w := share(weight, p.runs, memory)
	dx, de := x-p.meanX, e-p.meanE
	p.meanX += w * dx
	p.meanE += w * de
	p.varX = (1 - w) * (p.varX + w*dx*dx)
	p.varE = (1 - w) * (p.varE + w*de*de)
	p.cov = (1 - w) * (p.cov + w*dx*de)
}

// predict returns the expected run time. Of the two predictions, the mean of the record and the
// estimate without its usual error, each has the weight that makes the variance of the error least:
// that of the estimate is the covariance of run times and estimates over the variance of the estimates.
func (r *record) predict(e float64, hasEstimate bool) float64 {
	if !hasEstimate {
		return r.mean
	}
	return r.pairs.meanX + r.pairs.estimateWeight()*(e-r.pairs.meanE)
}

// estimateWeight is the weight of the estimate, from 0 to 1. The prior runs keep their share however many
// runs there were, as the moments cover only the last ones.
func (p *pairs) estimateWeight() float64 {
	prior := priorVariance * priorRuns / min(p.runs, memory)
	return min(max(0, (p.cov+priorWeight*prior)/(p.varE+prior)), 1)
}
