// Package measure runs the buffer decisions on modelled demand in virtual time and
// compares them with baselines. It measures decisions; it does not simulate a cluster.
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

	// meanSlots is the mean demand of a service in slots. Five times as much, 130, exceeds
	// the 72 slots of its pool and the 80 slots of a tenth of the workers.
	meanSlots   = 26
	burstFactor = 5
	quietFactor = 0.05
	meanRun     = 200 * time.Millisecond

	// duration is the time in which requests arrive. The measurement then runs on until
	// the longest deadline.
	duration         = 180 * time.Second
	shortestDeadline = 2 * time.Second
	longestDeadline  = 6 * time.Second
	// shortPart shortens the deadlines of the demand of that name to 0.5 to 1.5 s.
	shortPart = 4
	// From riseTime on, the lasting demand keeps riseSlots of one service in use, which
	// exceeds its pool, and the bursts end.
	riseTime  = 60 * time.Second
	riseSlots = 96
)

// shape is one user's fleet and demand.
type shape struct {
	name, spare    string
	services       []string
	coresPerWorker int
	seed           uint64
	shares         []int64 // of the client accounts, in percent
	// minAvailable is the availability budget of each pool with a service, in workers.
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

// floorSlots are the slots of the available workers of a pool.
func (s shape) floorSlots() int { return s.minAvailable * slotsPerWorker }

// pools returns the pools with a service and the spare pool last.
func (s shape) pools() (out []buffer.Pool) {
	for _, name := range s.services {
		out = append(out, buffer.Pool{Name: name, MinAvailable: s.minAvailable})
	}
	return append(out, buffer.Pool{Name: s.spare, Spare: true})
}

// members spreads workers over the services, after the given number in the spare pool.
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

// request is one request with its times from the start of the measurement.
type request struct {
	service                int
	arrival, run, deadline time.Duration
}

// Demands. With bursts, each queue in turn bursts for some seconds; the second form has
// pools without min-available, whose idle slots otherwise hide the others. The rise begins
// like that, then the demand of one service rises for good. With short deadlines, bursts
// leave no time to recall released slots.
const (
	demandBursts = "bursts"
	demandFree   = "bursts-no-minimum"
	demandRise   = "lasting-rise"
	demandShort  = "short-deadlines"
)

// requests draws the requests of one measurement, in order of arrival.
func (s shape) requests(demand string) []request {
	rnd := rand.New(rand.NewPCG(s.seed, s.seed))
	var out []request
	end := duration
	for i := range services {
		out = arrivals(out, rnd, i, 0, duration, quietFactor*meanSlots)
	}
	if demand == demandRise {
		end = riseTime
		out = arrivals(out, rnd, 0, riseTime, duration, riseSlots)
	}
	for at, turn := time.Duration(0), 0; at < end; turn++ {
		length := between(rnd, 4*time.Second, 8*time.Second)
		height := (0.9 + 0.2*rnd.Float64()) * (burstFactor - quietFactor) * meanSlots
		out = arrivals(out, rnd, turn%services, at, min(end, at+length), height)
		at += length + between(rnd, 0, 2*time.Second)
	}
	for i := range out {
		if demand == demandShort {
			out[i].deadline -= (out[i].deadline - out[i].arrival) * (shortPart - 1) / shortPart
		}
	}
	slices.SortStableFunc(out, func(a, b request) int { return cmp.Compare(a.arrival, b.arrival) })
	return out
}

// arrivals adds random arrivals that need the given number of slots in the mean.
func arrivals(out []request, rnd *rand.Rand, service int, from, until time.Duration, slots float64) []request {
	gap := meanRun.Seconds() / slots
	for at := from; ; {
		at += time.Duration(rnd.ExpFloat64() * gap * float64(time.Second))
		if at >= until {
			return out
		}
		run := between(rnd, meanRun/2, 3*meanRun/2)
		out = append(out, request{service, at, run, at + between(rnd, shortestDeadline, longestDeadline)})
	}
}

func between(rnd *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rnd.Float64()*float64(high-low))
}
