package budget

import (
	"maps"
	"slices"

	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
)

// PermitError reports a permit that is dropped or replaced while its worker is absent.
type PermitError struct{ Worker, Reason string }

func (e *PermitError) Error() string {
	return "worker " + e.Worker + ": permit is " + e.Reason + "; accepted: to keep it until the worker is in the host list, not leaving there and not leaving here"
}

// Check returns an error if the step from cur to next breaks a budget. Only what the
// step makes worse counts, so that a budget already broken by failures does not stop a
// change that helps or is unrelated to it. A forced step may break budgets, but the rules
// for permits still apply.
func Check(cur, next *fleet.Config, hosts []hostlist.Host, forced bool) error {
	byWorker := make(map[string]hostlist.Host, len(hosts))
	for _, h := range hosts {
		byWorker[h.Worker] = h
	}
	if err := checkPermits(cur, next, byWorker); err != nil || forced {
		return err
	}
	before, after := New(cur, byWorker), New(next, byWorker)
	before.addNewWorkers(cur, after)
	for _, pool := range slices.Sorted(maps.Keys(next.Pools)) {
		previous, count, limit := before.Available(pool), after.Available(pool), next.Pools[pool].MinAvailable
		if count < previous && count < limit && !mutation.ignoreMin {
			return &ExceededError{Pool: pool, Budget: minAvailable, Limit: limit, Count: count}
		}
	}
	for _, d := range after.domainsWithAbsences() {
		previous, count, limit := before.absentIn(d), after.absentIn(d), after.limit(d)
		if count > previous && limit > 0 && count > limit {
			return exceeded(d, limit, count)
		}
	}
	return nil
}

// addNewWorkers counts the absent workers that the step adds to the document as absent
// before it as well. A new worker did not serve before, so adding it to the document before
// it is in the host list reduces no availability.
func (t *Tally) addNewWorkers(cur *fleet.Config, after *Tally) {
	for name := range after.cfg.Workers {
		if _, known := cur.Workers[name]; known || after.Serves(name) || mutation.countNewWorkers {
			continue
		}
		for _, d := range after.domains(name) {
			t.countAbsent(d)
		}
	}
}

// domainsWithAbsences returns the domains in which workers may be absent, in sorted order.
func (t *Tally) domainsWithAbsences() []domain {
	all := make(map[domain]bool)
	for d := range t.absent {
		all[d] = true
	}
	for d := range t.absentUnknown {
		all[d] = true
	}
	return slices.SortedFunc(maps.Keys(all), func(a, b domain) int {
		return slices.Compare([]string{a.pool, a.budget, a.name}, []string{b.pool, b.budget, b.name})
	})
}

func checkPermits(cur, next *fleet.Config, hosts map[string]hostlist.Host) error {
	for name, old := range cur.Workers {
		w, kept := next.Workers[name]
		if old.Permit == nil || !kept {
			continue
		}
		host, listed := hosts[name]
		switch {
		case w.Permit == nil && (w.Leaving || !listed || host.Leaving) && !mutation.earlyRelease:
			return &PermitError{Worker: name, Reason: "released before the worker serves"}
		case w.Permit != nil && w.Permit.ID != old.Permit.ID && !mutation.replacePermit:
			return &PermitError{Worker: name, Reason: "replaced by another one"}
		}
	}
	return nil
}
