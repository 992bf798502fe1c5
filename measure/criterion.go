package measure

import "fmt"

// Criterion is one target value for the policy with one shape and kind of demand. Aim says
// which measure Value and Limit belong to.
type Criterion struct {
	Shape  string  `json:"shape"`
	Demand string  `json:"demand"`
	Aim    string  `json:"aim"`
	Value  float64 `json:"value"`
	Limit  float64 `json:"limit"`
	Met    bool    `json:"met"`
}

// Limits of docs/design.md section 8, as factors of a baseline.
const (
	fixedFactor     = 0.5
	thresholdFactor = 0.25
	boundFactor     = 1.5
)

// Aims compares the rows of the policy with those of the baselines. For late work it uses two
// fixed reserves: the one without late work is the stricter limit, but needs more workers than
// the users have.
func (r Result) Aims() (out []Criterion) {
	for _, p := range r.Policies {
		if p.Policy != rowPolicy {
			continue
		}
		base := func(name string) Row {
			like := p
			like.Policy = name
			return *r.Find(like)
		}
		add := func(aim string, value, limit float64) {
			out = append(out, Criterion{p.Shape, p.Demand, aim, value, limit, value <= limit})
		}
		for _, name := range []string{rowFixed, rowFixed90} {
			add(fmt.Sprintf("late work, at most that of %s", name), float64(p.Late), float64(base(name).Late))
		}
		for _, name := range []string{rowFixed, rowFixed32, rowFixed16} {
			add(fmt.Sprintf("buffer cost, half of %s", name), float64(p.Buffer), fixedFactor*float64(base(name).Buffer))
		}
		add("moves, a quarter of threshold", float64(p.Moves), thresholdFactor*float64(base(rowThreshold).Moves))
		add("buffer cost, 1.5 times the offline bound", float64(p.Buffer), boundFactor*float64(base(rowBound).Buffer))
	}
	return out
}
