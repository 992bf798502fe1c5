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

// task is the measurement of one shape and demand.
type task struct {
	shape  shape
	demand string
	rows   []Row
}

// Policies measures the policy and its baselines on all shapes and demands. The tasks run
// at the same time, each with its own seed, so that the result does not depend on their
// order. It returns an error only if the context ends.
func Policies(ctx context.Context) (Result, error) {
	var tasks []*task
	for _, s := range shapes {
		for _, demand := range []string{demandBursts, demandFree, demandShort, demandRise} {
			t := &task{shape: s, demand: demand}
			if demand == demandFree {
				t.shape.minAvailable = 0
			}
			tasks = append(tasks, t)
		}
	}
	done := make(chan struct{})
	for _, t := range tasks {
		go func() {
			t.run(ctx)
			done <- struct{}{}
		}()
	}
	for range tasks {
		<-done
	}
	var r Result
	for _, t := range tasks {
		r.Policies = append(r.Policies, t.rows...)
	}
	for _, s := range shapes {
		r.Distances = append(r.Distances, s.distances()...)
	}
	return r, ctx.Err()
}

// run measures all policies and then the bound, unless the context ends before.
func (t *task) run(ctx context.Context) {
	requests := t.shape.requests(t.demand)
	for _, c := range candidates {
		if ctx.Err() != nil {
			return
		}
		by, members := c.make(t.shape)
		w := newWorld(t.shape, members)
		w.by = by
		row := w.run(requests)
		row.Policy = c.name
		t.rows = append(t.rows, row)
	}
	least := bound(t.shape, requests)
	t.rows = append(t.rows, least)
	for i := range t.rows {
		r := &t.rows[i]
		r.Shape, r.Demand, r.Floor = t.shape.name, t.demand, least.Floor
	}
}

// candidates are the policy and the baselines that run in the model.
var candidates = []struct {
	name string
	make func(shape) (decider, []buffer.Worker)
}{
	{rowPolicy, policy},
	{rowFixed, fixed(workers, allSlots)},
	{rowFixed32, fixed(workers, 32)},
	{rowFixed16, fixed(workers, 16)},
	{rowFixed90, fixed(burstWorkers, allSlots)},
	{rowThreshold, threshold},
}

func round(x float64) int { return int(math.Round(x)) }
