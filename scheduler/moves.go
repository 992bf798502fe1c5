package scheduler

import (
	"cmp"
	"slices"

	"egretdrum.example/resource"
	"egretdrum.example/worker"
)

// demand is what a pool has and what it is asked for.
type demand struct {
	pool     string
	capacity resource.Amount
	wanted   resource.Amount
	machines int
	unit     resource.Amount
}

const (
	// homeMachines is the least number of machines that a pool keeps when it lends.
	homeMachines = 6
	// fullShare is the use of a pool from which on it borrows; a machine arrives 1.5 s later,
	// and a burst fills a pool within that time.
	fullShare = 0.75
)

// planMoves lends machines to pools whose waiting work exceeds their room: spare ones
// first, then idle ones of pools that ask for little.
func (s *Scheduler) planMoves() {
	pools := s.demands()
	short := make([]*demand, 0, len(pools))
	for _, d := range pools {
		if d.missing() > 0 {
			short = append(short, d)
		}
	}
	slices.SortFunc(short, func(a, b *demand) int {
		return cmp.Or(cmp.Compare(b.missing(), a.missing()), cmp.Compare(a.pool, b.pool))
	})
	for _, d := range short {
		for n := d.missing(); n > 0; n-- {
			m := s.lender(pools, d.pool)
			if m == nil {
				break
			}
			m.cordoned, m.cordonedAt, m.cordonWave, m.moveTo = true, s.now, 0, d.pool
			if from := pools[m.Pool]; from != nil {
				from.machines--
				from.capacity = from.capacity.Sub(m.Capacity)
			}
			s.note(Note{Event: "machine-lent", Worker: m.Worker, Reason: m.ID + " from " + m.Pool + " to " + d.pool})
		}
	}
}

// missing is the number of machines that a pool lacks.
func (d *demand) missing() int {
	if d.unit.CPU == 0 {
		return 0
	}
	lack := float64(d.wanted.CPU) - fullShare*float64(d.capacity.CPU)
	lackMemory := float64(d.wanted.Memory) - fullShare*float64(d.capacity.Memory)
	n := max(lack/float64(d.unit.CPU), lackMemory/float64(max(1, d.unit.Memory)))
	return int(max(0, n) + 0.999)
}

func (s *Scheduler) demands() map[string]*demand {
	pools := make(map[string]*demand)
	for name, p := range s.catalog.Pools {
		if !p.Standby {
			pools[name] = &demand{pool: name}
		}
	}
	for _, m := range s.machines {
		pool := m.Pool
		if m.moveTo != "" {
			pool = m.moveTo
		}
		if d := pools[pool]; d != nil && m.State != worker.Down {
			d.machines++
			d.capacity = d.capacity.Add(m.Capacity)
		}
		for _, d := range pools {
			d.unit = m.Capacity
		}
	}
	for _, h := range s.hosts {
		if d := pools[h.entry.Pool]; d != nil {
			d.wanted = d.wanted.Add(h.used)
		}
	}
	for pool, parts := range s.waiting {
		d := pools[pool]
		if d == nil {
			continue
		}
		for _, p := range parts {
			d.wanted = d.wanted.Add(p.step.Reserved().Times(len(p.queue)))
		}
	}
	return pools
}

// lender returns a machine that another pool can do without, or nil.
func (s *Scheduler) lender(pools map[string]*demand, borrower string) *machine {
	var best *machine
	bestSpare := false
	for _, m := range s.machines {
		if m.State != worker.Up || m.Pool == borrower || m.cordoned || m.ordering || m.away || s.now.Before(m.retryAt) {
			continue
		}
		from := pools[m.Pool]
		spare := from == nil
		if !spare && (from.machines <= homeMachines || from.missing() > 0 || 2*from.wanted.CPU > from.capacity.CPU) {
			continue
		}
		if h := s.hosts[m.Worker]; h != nil && (len(h.runs) > 0 || h.entry.Leaving || h.orderedAway || h.doubt) {
			continue
		}
		if best == nil || (spare && !bestSpare) || (spare == bestSpare && m.ID < best.ID) {
			best, bestSpare = m, spare
		}
	}
	return best
}
