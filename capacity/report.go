// Package capacity measures what entry hosts, the store and the links cost, and works
// out from the measured slopes what they need at the two-year size of the design page.
package capacity

import (
	"context"
	"encoding/json"
	"io"
	"math"
)

// Report holds the measured series and what follows from them.
type Report struct {
	Series   []*series     `json:"series"`
	Messages []messageSize `json:"messages"`
	Roles    []roleNeed    `json:"roles"`
	Grouping []grouping    `json:"grouping"`
	Budgets  []budget      `json:"budgets"`
	Days     []event       `json:"events"`
}

// Measure runs all measurements. It takes the smallest of several runs for processor
// time and uses fixed seeds.
func Measure(ctx context.Context) (*Report, error) {
	r := &Report{}
	r.Series = append(controlSeries(), objectSeries()...)
	r.Series = append(r.Series, hostSeries(ctx)...)
	for _, s := range r.Series {
		if err := ctx.Err(); err != nil {
			return nil, &MeasureError{What: s.Name, Err: err}
		}
		if err := s.run(); err != nil {
			return nil, err
		}
	}
	var err error
	if r.Messages, err = messageSizes(); err != nil {
		return nil, err
	}
	if r.Grouping, err = groupings(); err != nil {
		return nil, err
	}
	r.Budgets, r.Roles, r.Days = r.budgets(), r.roles(), r.events()
	return r, nil
}

// JSON writes the report as one JSON object.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

func (r *Report) named(name string) *series {
	for _, s := range r.Series {
		if s.Name == name {
			return s
		}
	}
	return &series{}
}

func (r *Report) value(name string) float64 { return r.named(name).Value }
func (r *Report) slope(name string) float64 { return r.named(name).Fit.Slope }

// at returns the value at another size, as it was measured if it was.
func (r *Report) at(name string, x float64) float64 {
	s := r.named(name)
	for _, p := range s.Points {
		if p.X == x {
			return p.Y
		}
	}
	return s.Fit.atLeastZero(x)
}

// perHost returns the cost of one host, the slope or the least value per host, whichever
// is greater: a disturbed run can make either too small.
func (r *Report) perHost(name string) float64 {
	least := math.Inf(1)
	for _, p := range r.named(name).Points {
		least = min(least, p.Y/p.X)
	}
	return max(r.slope(name), least)
}
