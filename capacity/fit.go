package capacity

import "math"

// fit is the least-squares line through the points of a series.
type fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	RSquared  float64 `json:"r-squared"`
}

// linear fits a line. Points that all have the same value fit it exactly.
func linear(points []point) fit {
	n := float64(len(points))
	var mx, my float64
	for _, p := range points {
		mx += p.X / n
		my += p.Y / n
	}
	var xx, xy, yy float64
	for _, p := range points {
		xx += (p.X - mx) * (p.X - mx)
		xy += (p.X - mx) * (p.Y - my)
		yy += (p.Y - my) * (p.Y - my)
	}
	f := fit{RSquared: 1}
	if xx > 0 {
		f.Slope = xy / xx
	}
	f.Intercept = my - f.Slope*mx
	if yy > 0 && xx > 0 {
		f.RSquared = xy * xy / (xx * yy)
	}
	return f
}

func (f fit) at(x float64) float64 { return f.Intercept + f.Slope*x }

// atLeastZero is for costs: an intercept below zero is an error of the measurement.
func (f fit) atLeastZero(x float64) float64 { return math.Max(0, f.at(x)) }
