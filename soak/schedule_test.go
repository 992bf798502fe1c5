package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// fault is one disturbance of the schedule.
type fault struct {
	// at is measured from the start of the trouble; length is how long the fault lasts.
	at, length time.Duration
	kind       string
	// host is the number of the host that is disturbed, ownerTarget for the one that is the owner
	// when the fault begins, allTargets for all.
	host int
	// pick chooses a worker, a machine or a zone among those that there are then.
	pick uint64
	// mode is how a link or a service is disturbed.
	mode string
	// delay and share are those of the disturbed calls.
	delay time.Duration
	share float64
}

const (
	ownerTarget = -1
	allTargets  = -2
)

func (f *fault) String() string {
	target := fmt.Sprintf("entry-%d", f.host+1)
	switch f.host {
	case ownerTarget:
		target = "owner"
	case allTargets:
		target = "all"
	}
	return fmt.Sprintf("%6.2fs %-16s %-8s for %5.2fs %s delay %v share %.1f pick %d",
		f.at.Seconds(), f.kind, target, f.length.Seconds(), f.mode, f.delay, f.share, f.pick%1000)
}

// faultKinds are the kinds by weight.
var faultKinds = []struct {
	name   string
	weight int
}{
	{"term", 10},
	{"kill", 9},
	{"freeze", 8},
	{"kill-all", 1},
	{"reload", 2},
	{"store-link", 12},
	{"worker-links", 10},
	{"one-worker-link", 6},
	{"owner-links", 7},
	{"machines-link", 3},
	{"store-calls", 9},
	{"store-history", 3},
	{"worker-calls", 8},
	{"machine-calls", 2},
	{"registrations", 3},
	{"worker-restart", 8},
	{"worker-replace", 3},
	{"worker-drain", 4},
	{"worker-capacity", 5},
	{"configuration", 4},
	{"key", 4},
	{"wave", 3},
	{"evacuation", 2},
	{"burst", 3},
}

var linkModes = []string{"cut", "cut-up", "cut-down", "delay", "refuse", "reset", "silence"}

// callModes are the ways in which a service of the emulator may be disturbed.
var callModes = []string{"refused", "limited", "silent", "slow", "answer-lost", "late"}

// newSchedule draws faults for a span of trouble, with one per interval in the mean. Their times
// and lengths are independent, so that they overlap; some come in series on one target.
func newSchedule(rng *rand.Rand, trouble, interval time.Duration, hosts int) []*fault {
	var faults []*fault
	total := 0
	for _, k := range faultKinds {
		total += k.weight
	}
	for n := int(trouble / interval); n > 0; n-- {
		f := &fault{at: time.Duration(rng.Int64N(int64(trouble))), pick: rng.Uint64(), share: 1}
		w := rng.IntN(total)
		for _, k := range faultKinds {
			if f.kind = k.name; w < k.weight {
				break
			}
			w -= k.weight
		}
		f.length = time.Duration(200+rng.IntN(3800)) * time.Millisecond
		f.host = rng.IntN(hosts)
		if rng.IntN(5) < 2 {
			f.host = ownerTarget
		}
		f.fill(rng)
		faults = append(faults, f)
		// A series: the same again while the first one lasts or soon after.
		for rng.IntN(4) == 0 {
			again := *f
			again.at = min(trouble, f.at+time.Duration(rng.Int64N(int64(2*f.length))))
			faults = append(faults, &again)
		}
	}
	// These come last, so that a seed gives the other faults as before there were any.
	for at := trouble / 8; at < trouble; at += trouble / 4 {
		faults = append(faults, &fault{at: at, kind: "foreign-entry", host: allTargets, pick: rng.Uint64(), length: time.Duration(200+rng.IntN(3800)) * time.Millisecond})
	}
	slices.SortStableFunc(faults, func(a, b *fault) int { return int(a.at - b.at) })
	return faults
}

// fill draws what depends on the kind.
func (f *fault) fill(rng *rand.Rand) {
	switch f.kind {
	case "kill-all", "store-history", "worker-restart", "worker-replace", "worker-drain", "worker-capacity", "configuration", "key",
		"wave", "evacuation", "burst", "registrations":
		f.host = allTargets
	case "store-link", "worker-links", "one-worker-link", "owner-links", "machines-link":
		f.mode = linkModes[rng.IntN(len(linkModes))]
		f.delay = time.Duration(20+rng.IntN(280)) * time.Millisecond
	case "store-calls", "worker-calls", "machine-calls":
		f.mode = callModes[rng.IntN(len(callModes))]
		f.delay = time.Duration(50+rng.IntN(600)) * time.Millisecond
		f.share = []float64{0.2, 0.5, 1}[rng.IntN(3)]
		if f.mode == "late" {
			f.delay *= 4
		}
		if rng.IntN(2) == 0 {
			f.host = allTargets
		}
	}
}
