// Package measure simulates the buffer policy on synthetic demand in virtual time and
// compares it with baseline policies. It measures the decisions of the policy; it does not
// simulate a cluster.
package measure

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"egretdrum.example/buffer"
)

const (
	services       = 5
	workers        = 50
	slotsPerWorker = 8
	spareWorkers   = 5

	// meanSlots is the mean demand of a service in slots. A burst of five times as much, 130
	// slots, exceeds the 72 slots of its pool and the 80 slots of a tenth of the workers.
	meanSlots   = 26
	burstFactor = 5
	quietFactor = 0.05
	meanRunTime = 200 * time.Millisecond

	// arrivalPeriod is the period in which requests arrive. The simulation continues after it
	// until the longest deadline has passed.
	arrivalPeriod    = 180 * time.Second
	shortestDeadline = 2 * time.Second
	longestDeadline  = 6 * time.Second
	// shortDeadlineDivisor divides the deadlines of demandShort, which gives 0.5 to 1.5 s.
	shortDeadlineDivisor = 4
	// With demandRise, the bursts end at riseTime, and from then on one service needs
	// riseSlots, which is more than its pool has.
	riseTime  = 60 * time.Second
	riseSlots = 96
)

// shape describes the fleet and the demand of one user.
type shape struct {
	name, spare    string
	services       []string
	coresPerWorker int
	seed           uint64
	shares         []int64 // of the client accounts, in percent
	// minAvailable is the number of workers that must stay available in each pool with a
	// service (availability budget).
	minAvailable int
}

var shapes = []shape{
	{
		name: "tengri", spare: "portal", coresPerWorker: 16, seed: 1, minAvailable: 1,
		services: []string{"pairings", "standings", "ratings", "reports", "entries"},
		shares:   []int64{40, 25, 15, 10, 6, 4},
	},
	{
		name: "kessling", spare: "depot", coresPerWorker: 64, seed: 2, minAvailable: 1,
		services: []string{"routes", "loans", "overdue", "holds", "returns"},
		shares:   []int64{35, 30, 15, 10, 5, 5},
	},
}

func (s shape) coresPerSlot() float64 { return float64(s.coresPerWorker) / slotsPerWorker }

// floorSlots returns the slots of the workers that must stay available in a pool.
func (s shape) floorSlots() int { return s.minAvailable * slotsPerWorker }

// pools returns the pools with a service, followed by the spare pool.
func (s shape) pools() (out []buffer.Pool) {
	for _, name := range s.services {
		out = append(out, buffer.Pool{Name: name, MinAvailable: s.minAvailable})
	}
	return append(out, buffer.Pool{Name: s.spare, Spare: true})
}

// members returns total workers: the first spare ones are in the spare pool, the others are
// distributed over the services.
func (s shape) members(total, spare int) (out []buffer.Worker) {
	for i := range total {
		w := buffer.Worker{Name: fmt.Sprintf("w%02d", i), Pool: s.spare, Slots: slotsPerWorker}
		if i >= spare {
			w.Pool = s.services[i%services]
		}
		out = append(out, w)
	}
	return out
}

// request is one request. Its arrival and deadline count from the start of the simulation.
type request struct {
	service                int
	arrival, run, deadline time.Duration
}

// Kinds of demand. With demandBursts, the services burst in turn for some seconds each.
// demandNoMinimum is the same without a min-available of the pools, because the idle slots
// that it causes hide the other idle slots. demandRise begins with bursts, then the demand of
// one service rises permanently. With demandShort, the deadlines leave no time to recall
// released slots in a burst.
const (
	demandBursts    = "bursts"
	demandNoMinimum = "bursts-no-minimum"
	demandRise      = "lasting-rise"
	demandShort     = "short-deadlines"
)

// requests generates the requests of one simulation, in order of arrival.
func (s shape) requests(demand string) []request {
	rnd := rand.New(rand.NewPCG(s.seed, s.seed))
	var out []request
	end := arrivalPeriod
	for i := range services {
		out = arrivals(out, rnd, i, 0, arrivalPeriod, quietFactor*meanSlots)
	}
	if demand == demandRise {
		end = riseTime
		out = arrivals(out, rnd, 0, riseTime, arrivalPeriod, riseSlots)
	}
	for at, turn := time.Duration(0), 0; at < end; turn++ {
		length := uniform(rnd, 4*time.Second, 8*time.Second)
		height := (0.9 + 0.2*rnd.Float64()) * (burstFactor - quietFactor) * meanSlots
		out = arrivals(out, rnd, turn%services, at, min(end, at+length), height)
		at += length + uniform(rnd, 0, 2*time.Second)
	}
	for i := range out {
		if demand == demandShort {
			out[i].deadline -= (out[i].deadline - out[i].arrival) * (shortDeadlineDivisor - 1) / shortDeadlineDivisor
		}
	}
	slices.SortStableFunc(out, func(a, b request) int { return cmp.Compare(a.arrival, b.arrival) })
	return out
}

// arrivals appends requests with exponential gaps (a Poisson process) that need the given
// number of slots on average.
func arrivals(out []request, rnd *rand.Rand, service int, from, until time.Duration, slots float64) []request {
	gap := meanRunTime.Seconds() / slots
	for at := from; ; {
		at += time.Duration(rnd.ExpFloat64() * gap * float64(time.Second))
		if at >= until {
			return out
		}
		run := uniform(rnd, meanRunTime/2, 3*meanRunTime/2)
		out = append(out, request{service, at, run, at + uniform(rnd, shortestDeadline, longestDeadline)})
	}
}

func uniform(rnd *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rnd.Float64()*float64(high-low))
}
