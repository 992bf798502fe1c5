package measure

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"egretdrum.example/slot"
)

const (
	entryHosts  = 9
	shareSlots  = 10 * slotsPerWorker
	shareTick   = 10 * time.Millisecond
	shareWindow = 10 * time.Second
	shareStart  = 20 * time.Second // slow start has ended by then
	shareEnd    = 60 * time.Second
	// unlimitedBacklog is a number of waiting requests that a host never runs out of.
	unlimitedBacklog = 1000
	totalShare       = 100
)

const (
	shareAllocator = "slot-allocator"
	shareSplit     = "equal-static-split"
	shareFirstCome = "first-come-first-served"
)

// Distance is the largest difference, in any window of 10 s, between an account's fraction of
// the used slot time and its share, in hundredths of a percent of the used slot time.
type Distance struct {
	Shape  string `json:"shape"`
	Order  string `json:"order"`
	Points int    `json:"distance-hundredths-of-percent"`
}

// saturatedPool simulates one full pool for whose slots all client accounts wait. The accounts
// send requests through different hosts, at rates that differ from their shares and with
// different run times.
type saturatedPool struct {
	shares       []int64
	hosts        [][]int // by account
	arrivalRates []float64
	meanRunTimes []time.Duration
	rnd          *rand.Rand
	now          time.Duration
	runs         []run
	release      func(id uint64)
}

type run struct {
	account, host int
	id            uint64
	end           time.Duration
}

func newSaturatedPool(s shape) *saturatedPool {
	c := &saturatedPool{shares: s.shares, rnd: rand.New(rand.NewPCG(s.seed, s.seed)), release: func(uint64) {}}
	for range s.shares {
		hosts := c.rnd.Perm(entryHosts)[:1+c.rnd.IntN(entryHosts)]
		c.hosts = append(c.hosts, slices.Sorted(slices.Values(hosts)))
		c.arrivalRates = append(c.arrivalRates, 1+3*c.rnd.Float64())
		c.meanRunTimes = append(c.meanRunTimes, uniform(c.rnd, meanRunTime/4, 2*meanRunTime))
	}
	return c
}

// distances measures the slot allocator and two baselines.
func (s shape) distances() (out []Distance) {
	for _, o := range []struct {
		name string
		make func(c *saturatedPool) func()
	}{
		{shareAllocator, (*saturatedPool).useAllocator},
		{shareSplit, (*saturatedPool).useEqualSplit},
		{shareFirstCome, (*saturatedPool).useFirstCome},
	} {
		c := newSaturatedPool(s)
		out = append(out, Distance{Shape: s.name, Order: o.name, Points: round(totalShare * totalShare * c.distance(o.make(c)))})
	}
	return out
}

func (c *saturatedPool) distance(start func()) (worst float64) {
	used := make([]float64, len(c.shares))
	for c.now < shareEnd {
		c.runs = slices.DeleteFunc(c.runs, c.removeEnded)
		start()
		for _, j := range c.runs {
			used[j.account]++
		}
		if c.now += shareTick; c.now%shareWindow != 0 {
			continue
		}
		if c.now > shareStart {
			worst = max(worst, c.maxDeviation(used))
		}
		clear(used)
	}
	return worst
}

func (c *saturatedPool) maxDeviation(used []float64) (worst float64) {
	all := 0.0
	for _, n := range used {
		all += n
	}
	for i, s := range c.shares {
		worst = max(worst, math.Abs(used[i]/all-float64(s)/totalShare))
	}
	return worst
}

func (c *saturatedPool) removeEnded(j run) bool {
	if j.end > c.now {
		return false
	}
	c.release(j.id)
	return true
}

func (c *saturatedPool) begin(account, host int, id uint64) {
	runTime := time.Duration((0.5 + c.rnd.Float64()) * float64(c.meanRunTimes[account]))
	c.runs = append(c.runs, run{account, host, id, c.now + runTime})
}

// useAllocator returns a function that starts the requests that the slot allocator grants.
func (c *saturatedPool) useAllocator() func() {
	a := slot.New(slot.Config{})
	shares, accounts := make(map[string]int64), make(map[string]int)
	for i, s := range c.shares {
		shares[accountName(i)], accounts[accountName(i)] = s, i
	}
	a.SetShares(shares)
	var minions []slot.Target
	for i := range shareSlots / slotsPerWorker {
		minions = append(minions, slot.Target{Name: fmt.Sprintf("m%d", i), Slots: slotsPerWorker})
	}
	a.SetMinions(epoch, "s", minions)
	c.release = func(id uint64) { a.Release(epoch.Add(c.now), id, slot.OK) }
	return func() {
		now := epoch.Add(c.now)
		for i, hosts := range c.hosts {
			for _, h := range hosts {
				a.Demand(now, slot.Demand{Host: fmt.Sprint(h), Service: "s", Team: accountName(i), Ordinary: unlimitedBacklog})
			}
		}
		for _, g := range a.Grants(now) {
			a.Bind(now, g.ID, now.Add(time.Minute))
			c.begin(accounts[g.Team], 0, g.ID)
		}
	}
}

func accountName(i int) string { return fmt.Sprintf("account-%d", i) }

// useEqualSplit returns a function that gives each host the same number of slots and chooses
// among the accounts of a host in proportion to their shares of slot time.
func (c *saturatedPool) useEqualSplit() func() {
	return func() {
		var running [entryHosts]int
		for _, j := range c.runs {
			running[j.host]++
		}
		for h := range entryHosts {
			for ; running[h] < shareSlots/entryHosts; running[h]++ {
				i := c.drawAccount(func(i int) float64 {
					if !slices.Contains(c.hosts[i], h) {
						return 0
					}
					return float64(c.shares[i]) / c.meanRunTimes[i].Seconds()
				})
				if i < 0 {
					break
				}
				c.begin(i, h, 0)
			}
		}
	}
}

// useFirstCome returns a function that starts requests in the order of arrival.
func (c *saturatedPool) useFirstCome() func() {
	return func() {
		for len(c.runs) < shareSlots {
			c.begin(c.drawAccount(func(i int) float64 { return c.arrivalRates[i] }), 0, 0)
		}
	}
}

// drawAccount returns a random account by weight, or -1 if no account has a weight.
func (c *saturatedPool) drawAccount(weight func(i int) float64) int {
	type turn struct {
		account int
		at      float64
	}
	var turns []turn
	for i := range c.shares {
		if w := weight(i); w > 0 {
			turns = append(turns, turn{i, c.rnd.ExpFloat64() / w})
		}
	}
	if len(turns) == 0 {
		return -1
	}
	return slices.MinFunc(turns, func(a, b turn) int { return cmp.Compare(a.at, b.at) }).account
}
