package measure

import (
	_ "embed" // for the previous result
	"encoding/json"
	"math"

	"egretdrum.example/buffer"
)

const (
	rowPolicy    = "policy"
	rowFixed     = "fixed-reserve"
	rowFixed16   = "fixed-reserve-16"
	rowFixed32   = "fixed-reserve-32"
	rowFixed90   = "fixed-reserve-90-workers"
	rowThreshold = "threshold"
	rowBound     = "offline-bound"
)

// Row is the result of one policy on one shape. Buffer is in core-seconds.
type Row struct {
	Shape  string `json:"shape"`
	Demand string `json:"demand"`
	Policy string `json:"policy"`
	Buffer int    `json:"buffer-core-seconds"`
	// Floor is the part of the bound's buffer cost that min-available alone causes.
	Floor    int `json:"floor-core-seconds"`
	Moves    int `json:"moves"`
	Requests int `json:"requests"`
	Late     int `json:"late"`
	// Wait is the mean time from arrival to start.
	Wait int `json:"mean-wait-milliseconds"`
}

// Result is one whole measurement.
type Result struct {
	Policies  []Row      `json:"policies"`
	Distances []Distance `json:"distances"`
}

//go:embed testdata/policy.json
var previous []byte

// Previous returns the result that was kept before the last change of the policy.
func Previous() (Result, error) {
	var r Result
	if err := json.Unmarshal(previous, &r); err != nil {
		return Result{}, &PreviousError{Err: err}
	}
	return r, nil
}

// Find returns the row of the same measurement, or nil if the result has none.
func (r Result) Find(like Row) *Row {
	for i, row := range r.Policies {
		if row.Shape == like.Shape && row.Demand == like.Demand && row.Policy == like.Policy {
			return &r.Policies[i]
		}
	}
	return nil
}

// Policies measures the policy and its baselines on all shapes and demands.
func Policies() (r Result) {
	for _, s := range shapes {
		for _, demand := range []string{demandBursts, demandFree, demandShort, demandRise} {
			s := s
			if demand == demandFree {
				s.minAvailable = 0
			}
			for _, row := range s.measure(s.requests(demand)) {
				row.Shape, row.Demand = s.name, demand
				r.Policies = append(r.Policies, row)
			}
		}
		r.Distances = append(r.Distances, s.distances()...)
	}
	return r
}

func (s shape) measure(requests []request) (out []Row) {
	for _, c := range []struct {
		name string
		make func(shape) (decider, []buffer.Worker)
	}{
		{rowPolicy, policy},
		{rowFixed, fixed(workers, allSlots)},
		{rowFixed32, fixed(workers, 32)},
		{rowFixed16, fixed(workers, 16)},
		{rowFixed90, fixed(burstWorkers, allSlots)},
		{rowThreshold, threshold},
	} {
		by, members := c.make(s)
		w := newWorld(s, members)
		w.by = by
		row := w.run(requests)
		row.Policy = c.name
		out = append(out, row)
	}
	least := bound(s, requests)
	for i := range out {
		out[i].Floor = least.Floor
	}
	return append(out, least)
}

func round(x float64) int { return int(math.Round(x)) }
