package capacity

import (
	"maps"
	"slices"
)

// messageSize is one kind of message as the first node sent it in the reference region
// with busy teams and requests.
type messageSize struct {
	Kind      string  `json:"kind"`
	PerSecond float64 `json:"per-second"`
	Bytes     float64 `json:"mean-bytes"`
}

func messageSizes() ([]messageSize, error) {
	s := reference()
	s.busy, s.requests, s.remote = busyTeams, requestRate, true
	m, err := s.observe(cpuTime)
	if err != nil {
		return nil, err
	}
	var out []messageSize
	for _, kind := range slices.Sorted(maps.Keys(m.kinds)) {
		t := m.kinds[kind]
		out = append(out, messageSize{kind, float64(t.messages) / m.elapsed.Seconds(), float64(t.bytes) / float64(t.messages)})
	}
	return out, nil
}
