package measure

import (
	"context"
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

// Row is the result of one policy with one shape and kind of demand. Buffer is in
// core-seconds.
type Row struct {
	Shape  string `json:"shape"`
	Demand string `json:"demand"`
	Policy string `json:"policy"`
	Buffer int    `json:"buffer-core-seconds"`
	// Floor is the buffer cost of the offline bound that is due to min-available alone.
	Floor    int `json:"floor-core-seconds"`
	Moves    int `json:"moves"`
	Requests int `json:"requests"`
	Late     int `json:"late"`
	// Wait is the mean time from arrival to start.
	Wait int `json:"mean-wait-milliseconds"`
}

// Result is the result of all measurements.
type Result struct {
	Policies  []Row      `json:"policies"`
	Distances []Distance `json:"distances"`
}

//go:embed testdata/policy.json
var previousJSON []byte

// Previous returns the stored result from before the last change of the policy.
func Previous() (Result, error) {
	var r Result
	if err := json.Unmarshal(previousJSON, &r); err != nil {
		return Result{}, &PreviousError{Err: err}
	}
	return r, nil
}

// Find returns the row with the shape, demand and policy of like, or nil if there is none.
func (r Result) Find(like Row) *Row {
	for i, row := range r.Policies {
		if row.Shape == like.Shape && row.Demand == like.Demand && row.Policy == like.Policy {
			return &r.Policies[i]
		}
	}
	return nil
}

// measurement is the measurement of one shape and kind of demand.
type measurement struct {
	shape  shape
	demand string
	rows   []Row
}

// Policies measures the policy and its baselines with all shapes and kinds of demand. The
// measurements run concurrently, each with its own random source, so that the result does not
// depend on their order. It returns an error only if the context ends.
func Policies(ctx context.Context) (Result, error) {
	var measurements []*measurement
	for _, s := range shapes {
		for _, demand := range []string{demandBursts, demandNoMinimum, demandShort, demandRise} {
			t := &measurement{shape: s, demand: demand}
			if demand == demandNoMinimum {
				t.shape.minAvailable = 0
			}
			measurements = append(measurements, t)
		}
	}
	done := make(chan struct{})
	for _, t := range measurements {
		go func() {
			t.run(ctx)
			done <- struct{}{}
		}()
	}
	for range measurements {
		<-done
	}
	var r Result
	for _, t := range measurements {
		r.Policies = append(r.Policies, t.rows...)
	}
	for _, s := range shapes {
		r.Distances = append(r.Distances, s.distances()...)
	}
	return r, ctx.Err()
}

// run measures all policies and then the offline bound, unless the context ends first.
func (t *measurement) run(ctx context.Context) {
	requests := t.shape.requests(t.demand)
	for _, c := range simulatedPolicies {
		if ctx.Err() != nil {
			return
		}
		d, members := c.make(t.shape)
		sim := newSimulation(t.shape, members)
		sim.decider = d
		row := sim.run(requests)
		row.Policy = c.name
		t.rows = append(t.rows, row)
	}
	boundRow := offlineBound(t.shape, requests)
	t.rows = append(t.rows, boundRow)
	for i := range t.rows {
		r := &t.rows[i]
		r.Shape, r.Demand, r.Floor = t.shape.name, t.demand, boundRow.Floor
	}
}

// simulatedPolicies are the policy and the baselines that run in the simulation.
var simulatedPolicies = []struct {
	name string
	make func(shape) (decider, []buffer.Worker)
}{
	{rowPolicy, bufferPolicy},
	{rowFixed, fixedReserve(workers, allSlots)},
	{rowFixed32, fixedReserve(workers, 32)},
	{rowFixed16, fixedReserve(workers, 16)},
	{rowFixed90, fixedReserve(burstWorkers, allSlots)},
	{rowThreshold, thresholdPolicy},
}

func round(x float64) int { return int(math.Round(x)) }
