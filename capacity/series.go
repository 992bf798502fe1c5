package capacity

import "fmt"

type point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// series is one quantity measured over several sizes, with its line and the value that
// the line gives at the two-year size.
type series struct {
	Name      string  `json:"name"`
	Role      string  `json:"role"`
	Unit      string  `json:"unit"`
	By        string  `json:"by"`
	Mechanism string  `json:"mechanism"`
	Points    []point `json:"points"`
	Fit       fit     `json:"fit"`
	Size      float64 `json:"two-year-size"`
	Value     float64 `json:"two-year-value"`

	sizes   []int
	measure func(n int) (float64, error)
}

// run takes the points and fits the line.
func (s *series) run() error {
	for _, n := range s.sizes {
		y, err := s.measure(n)
		if err != nil {
			return &MeasureError{What: fmt.Sprintf("%s at %d %s", s.Name, n, s.By), Err: err}
		}
		s.Points = append(s.Points, point{float64(n), y})
	}
	s.Fit = linear(s.Points)
	s.Value = s.Fit.atLeastZero(s.Size)
	return nil
}
