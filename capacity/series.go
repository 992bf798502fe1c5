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
	runs    int
	measure func(n int) (float64, error)
}

// run takes the points, each the smallest of the runs, and fits the line.
func (s *series) run() error {
	for n := range max(1, s.runs) {
		for i, size := range s.sizes {
			y, err := s.measure(size)
			if err != nil {
				return &MeasureError{What: fmt.Sprintf("%s at %d %s", s.Name, size, s.By), Err: err}
			}
			if n == 0 {
				s.Points = append(s.Points, point{float64(size), y})
			}
			s.Points[i].Y = min(s.Points[i].Y, y)
		}
	}
	s.Fit = linear(s.Points)
	s.Value = s.Fit.atLeastZero(s.Size)
	return nil
}
