package slot

import "slices"

const (
	// urgentRun is the number of urgent grants in a row after which a team's ordinary
	// demand gets one.
	urgentRun = 4
	// firstUse is the slot time in seconds that a team's first requests are charged.
	firstUse = 0.1
	// useWeight is the weight of a new slot time in the observed mean.
	useWeight = 0.1
)

const (
	urgentClass = iota
	ordinaryClass
	classes
)

// flow is the demand of one team for one service, with its virtual time.
type flow struct {
	service *service
	team    string
	weight  float64
	// virtual is the slot time used, in seconds divided by weight.
	virtual float64
	meanUse float64
	owed    float64 // collected by accrue, not yet charged
	hosts   []*claimant
	turn    int
	open    [classes]int
	run     int

	inOrder, inUrgent int32
}

// claimant is the part of a flow that one entry host reports.
type claimant struct {
	host, zone string
	waiting    [classes]int
	// pending counts grants under way, which the host still counts as waiting.
	pending  [classes]int
	excluded []string
	gone     bool
}

func (c *claimant) open(class int) int { return max(0, c.waiting[class]-c.pending[class]) }

// change adds to a claimant's counts and keeps the flow's place in the order.
func (f *flow) change(c *claimant, class, waiting, pending int) {
	before := c.open(class)
	c.waiting[class] = max(0, c.waiting[class]+waiting)
	c.pending[class] += pending
	if d := c.open(class) - before; d != 0 && !c.gone {
		f.open[class] += d
		f.service.place(f)
	}
}

func (f *flow) claimant(host string) *claimant {
	for _, c := range f.hosts {
		if c.host == host {
			return c
		}
	}
	c := &claimant{host: host}
	f.hosts = append(f.hosts, c)
	return c
}

func (f *flow) removeClaimant(c *claimant) {
	for class := range classes {
		f.change(c, class, -c.waiting[class], 0)
	}
	c.gone = true
	f.hosts = slices.DeleteFunc(f.hosts, func(o *claimant) bool { return o == c })
}

// nextClass is the class that the flow's next grant is for.
func (f *flow) nextClass() int {
	due := f.run >= f.service.rules.urgentRun && f.open[ordinaryClass] > 0
	if f.open[urgentClass] > 0 && !due {
		return urgentClass
	}
	return ordinaryClass
}

// pick returns the next host in turn that has demand of the class, and a minion for it.
// Hosts take turns, because the owner does not know the deadlines at each.
func (f *flow) pick(class int) (*claimant, *minion) {
	for i := range f.hosts {
		n := (f.turn + i) % len(f.hosts)
		c := f.hosts[n]
		if c.open(class) == 0 {
			continue
		}
		if m := f.service.pick(c); m != nil {
			f.turn = n + 1
			return c, m
		}
	}
	return nil, nil
}

// charge moves the flow's virtual time by seconds of slot use.
func (f *flow) charge(seconds float64) {
	f.virtual += seconds / f.weight
	f.service.place(f)
}

func (f *flow) observe(used float64) { f.meanUse += useWeight * (used - f.meanUse) }
