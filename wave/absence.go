package wave

import (
	"maps"
	"math"
	"slices"
	"time"

	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
)

const (
	// FailureWindow is the time within which failures count as one event. A failed switch
	// or a bad image takes its workers down within minutes.
	FailureWindow = 10 * time.Minute
	// absencesPerDay is the expected rate of unplanned absences of one worker: 540
	// failures and 6,800 restarts or replacements a day among 28,000 workers.
	absencesPerDay = (540.0 + 6800.0) / 28000.0
	// falsePauseProbability is the probability that unrelated failures pause a wave in one
	// window. With 4,032 windows and 38 waves in a cycle this is one needless pause in
	// about 65 cycles.
	falsePauseProbability = 1e-7
	// minFailureLimit keeps a small wave from pausing because of two unrelated failures.
	minFailureLimit = 2
)

// AbsenceTracker records when workers become absent unplanned. Every entry host keeps one, so
// that a host that takes over a wave knows the earlier failures. It is not safe for
// concurrent use.
type AbsenceTracker struct {
	observed bool
	since    map[string]time.Time
}

// Observe compares the host list with the document. Absences in the first list do not count
// as recent, because it is unknown when they began.
func (t *AbsenceTracker) Observe(now time.Time, cfg *fleet.Config, hosts map[string]hostlist.Host) {
	since := make(map[string]time.Time)
	pools := poolsOf(cfg, slices.Collect(maps.Values(cfg.Waves))...)
	for name, r := range cfg.Workers {
		if !pools[r.Pool] || !isFailed(r, hosts, name) {
			continue
		}
		since[name] = now
		if at, ok := t.since[name]; ok {
			since[name] = at
		} else if !t.observed {
			since[name] = time.Time{}
		}
	}
	t.since, t.observed = since, true
}

// isFailed reports whether the worker is absent unplanned, or quarantined by a wave.
func isFailed(r fleet.Worker, hosts map[string]hostlist.Host, name string) bool {
	if r.Maintenance != nil && r.Maintenance.Step == fleet.MaintenanceQuarantined {
		return true
	}
	host, listed := hosts[name]
	return !r.IsAbsent() && (!listed || host.Leaving)
}

// Failures counts the workers in the wave's pools that failed within FailureWindow and
// after the wave entered its current state. The limit is FailureLimit of the number of
// workers in these pools.
func (t *AbsenceTracker) Failures(cfg *fleet.Config, now time.Time, w fleet.Wave) (failures, limit int) {
	pools := poolsOf(cfg, w)
	size := 0
	for name, r := range cfg.Workers {
		if !pools[r.Pool] {
			continue
		}
		size++
		if at, ok := t.since[name]; ok && now.Sub(at) < FailureWindow && at.After(w.At) {
			failures++
		}
	}
	return failures, FailureLimit(size)
}

// FailureLimit returns the largest number of failures within FailureWindow among n workers that is
// attributed to chance. It assumes a Poisson distribution, and the probability of more
// failures is at most falsePauseProbability.
func FailureLimit(n int) int {
	mean := float64(n) * absencesPerDay * FailureWindow.Hours() / 24
	term := math.Exp(-mean)
	tail := 1 - term
	k := 0
	for ; tail > falsePauseProbability && k < n; k++ {
		term *= mean / float64(k+1)
		tail -= term
	}
	return max(minFailureLimit, k)
}
