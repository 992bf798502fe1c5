package scheduler

import "time"

// Paced reports the answer to a pace order.
func (s *Scheduler) Paced(a Pace, ok bool, now time.Time) {
	s.now = now
	h := s.hosts[a.Worker.ID]
	if h == nil {
		return
	}
	if r := h.runs[a.Task]; r != nil && r.number == a.Run && ok {
		r.paced = a.Percent
	}
}
