// Package budget counts planned and unplanned absences of workers together and decides
// whether a change keeps the availability budgets. It performs no I/O.
package budget

import (
	"fmt"

	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
)

// Names of the budgets as they appear in errors.
const (
	minAvailable = "min-available"
	perRack      = "max-absent-per-rack"
	perZone      = "max-absent-per-zone"
)

// Tally is the state of all budgets according to one configuration document and one host
// list. It is not safe for concurrent use.
type Tally struct {
	cfg       *fleet.Config
	hosts     map[string]hostlist.Host
	available map[string]int // by pool
	absent    map[domain]int
	// absentUnknown counts absent workers whose zone or rack is not known. They count in
	// every domain of their pool, because they may be in any.
	absentUnknown map[domain]int
	markedAbsent  map[string]bool // by worker; set by MarkAbsent
}

// domain is the part of a pool in one rack or zone; name is empty if that is not known.
type domain struct{ pool, budget, name string }

// mutation switches off single rules. Only tests set it, to show that the test of each
// rule fails without the rule.
var mutation struct {
	ignoreUnplanned, ignorePermits, ignoreMin, ignoreRacks, ignoreZones, ignoreUnknownDomains, earlyRelease, replacePermit, countNewWorkers bool
}

// ExceededError reports a change that would break a budget.
type ExceededError struct {
	Pool, Budget, Domain string
	Limit, Count         int
}

func (e *ExceededError) Error() string {
	if e.Budget == minAvailable {
		return fmt.Sprintf("pool %s: %d workers would be available; accepted: at least min-available %d, with workers that are absent or not in the host list counted as not available", e.Pool, e.Count, e.Limit)
	}
	return fmt.Sprintf("pool %s: %d workers would be absent in %s; accepted: at most %s %d, planned and unplanned absence counted together", e.Pool, e.Count, e.Domain, e.Budget, e.Limit)
}

// New counts the absences of a document and a host list.
func New(cfg *fleet.Config, hosts map[string]hostlist.Host) *Tally { return NewFor(cfg, hosts, nil) }

// NewFor counts only the absences of the given pools; nil means all. A wave concerns one of
// the 38 pools that are expected in two years.
func NewFor(cfg *fleet.Config, hosts map[string]hostlist.Host, pools map[string]bool) *Tally {
	t := &Tally{
		cfg: cfg, hosts: hosts, available: make(map[string]int), absent: make(map[domain]int),
		absentUnknown: make(map[domain]int), markedAbsent: make(map[string]bool),
	}
	for name, w := range cfg.Workers {
		if pools != nil && !pools[w.Pool] {
			continue
		}
		if t.Serves(name) {
			t.available[w.Pool]++
		} else {
			t.addAbsent(name)
		}
	}
	return t
}

// Serves reports whether the worker counts as available: it is in the host list, not
// leaving by the list or the document, and holds no permit.
func (t *Tally) Serves(worker string) bool {
	w := t.cfg.Workers[worker]
	if t.markedAbsent[worker] || w.Leaving || w.Permit != nil && !mutation.ignorePermits {
		return false
	}
	host, listed := t.hosts[worker]
	return listed && !host.Leaving || mutation.ignoreUnplanned
}

// Available returns the number of workers of the pool that serve.
func (t *Tally) Available(pool string) int { return t.available[pool] }

// MarkAbsent counts a worker as absent from now on. It must serve.
func (t *Tally) MarkAbsent(worker string) {
	t.available[t.cfg.Workers[worker].Pool]--
	t.markedAbsent[worker] = true
	t.addAbsent(worker)
}

// MarkServing counts an absent worker as serving from now on, for a forecast.
func (t *Tally) MarkServing(worker string) {
	t.available[t.cfg.Workers[worker].Pool]++
	delete(t.markedAbsent, worker)
	for _, d := range t.domains(worker) {
		if d.name == "" {
			t.absentUnknown[d]--
		} else {
			t.absent[d]--
		}
	}
}

// Refusal returns an error with the budget that prevents the worker from leaving, or nil. A
// worker that does not serve may always leave: it is counted as absent already.
func (t *Tally) Refusal(worker string) error {
	if !t.Serves(worker) {
		return nil
	}
	w := t.cfg.Workers[worker]
	p := t.cfg.Pools[w.Pool]
	if count := t.available[w.Pool] - 1; count < p.MinAvailable && !mutation.ignoreMin {
		return &ExceededError{Pool: w.Pool, Budget: minAvailable, Limit: p.MinAvailable, Count: count}
	}
	for _, d := range t.domains(worker) {
		count := t.absentIn
		if d.name == "" {
			// The worker may be in any domain of the pool.
			count = t.maxAbsent
		}
		if limit := t.limit(d); limit > 0 && count(d)+1 > limit {
			return exceeded(d, limit, count(d)+1)
		}
	}
	return nil
}

func exceeded(d domain, limit, count int) error {
	name := "a domain that is not known"
	if d.name != "" {
		name = map[string]string{perRack: "rack ", perZone: "zone "}[d.budget] + d.name
	}
	return &ExceededError{Pool: d.pool, Budget: d.budget, Domain: name, Limit: limit, Count: count}
}

// FailureDomains returns the failure domains of a worker, empty if they are not known.
func (t *Tally) FailureDomains(worker string) (zone, rack string) {
	w := t.cfg.Workers[worker]
	if host, ok := t.hosts[worker]; ok {
		return host.Zone, host.Rack
	}
	return w.Zone, w.Rack
}

func (t *Tally) domains(worker string) [2]domain {
	pool := t.cfg.Workers[worker].Pool
	zone, rack := t.FailureDomains(worker)
	return [2]domain{{pool, perRack, rack}, {pool, perZone, zone}}
}

func (t *Tally) addAbsent(worker string) {
	for _, d := range t.domains(worker) {
		t.countAbsent(d)
	}
}

func (t *Tally) countAbsent(d domain) {
	if d.name == "" {
		t.absentUnknown[d]++
	} else {
		t.absent[d]++
	}
}

// absentIn returns the largest number of workers that may be absent in the domain. The
// unknown domain stands for any domain without known absences.
func (t *Tally) absentIn(d domain) int {
	n := t.absent[d]
	if !mutation.ignoreUnknownDomains {
		n += t.absentUnknown[domain{d.pool, d.budget, ""}]
	}
	return n
}

// maxAbsent returns the number for the domain of the pool with the most absences.
func (t *Tally) maxAbsent(d domain) int {
	n := t.absentIn(d)
	for other := range t.absent {
		if other.pool == d.pool && other.budget == d.budget {
			n = max(n, t.absentIn(other))
		}
	}
	return n
}

func (t *Tally) limit(d domain) int {
	switch {
	case d.budget == perRack && !mutation.ignoreRacks:
		return t.cfg.Pools[d.pool].MaxAbsentPerRack
	case d.budget == perZone && !mutation.ignoreZones:
		return t.cfg.Pools[d.pool].MaxAbsentPerZone
	default:
		return 0
	}
}
