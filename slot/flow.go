package slot

import "slices"

const (
	// maxUrgentRun is the number of consecutive urgent grants after which a team's ordinary
	// demand gets one.
	maxUrgentRun = 4
	// initialSlotTime is the slot time in seconds that a team is charged for a grant before
	// any of its requests was measured.
	initialSlotTime = 0.1
	// slotTimeWeight is the weight of a new slot time in the moving average.
	slotTimeWeight = 0.1
)

const (
	urgentClass = iota
	ordinaryClass
	classes
)

// flow is the demand of one team for one service, with its virtual time as in weighted
// fair queueing.
type flow struct {
	service *service
	team    string
	weight  float64
	// virtualTime is the slot time used, in seconds, divided by weight.
	virtualTime  float64
	meanSlotTime float64
	accruedTime  float64 // in seconds, collected by accrue and not yet charged
	hosts        []*hostDemand
	nextHost     int
	unmet        [classes]int
	urgentRun    int

	orderPosition, urgentPosition int32 // in the heaps of the service
}

// hostDemand is the demand of a flow that one entry host reports.
type hostDemand struct {
	host, zone string
	waiting    [classes]int
	// pending counts unbound grants. The host still reports their requests as waiting.
	pending  [classes]int
	excluded []string
	removed  bool
}

func (h *hostDemand) unmet(class int) int { return max(0, h.waiting[class]-h.pending[class]) }

// adjust adds to the counts of a host and updates the flow's position in the order.
func (f *flow) adjust(h *hostDemand, class, waiting, pending int) {
	before := h.unmet(class)
	h.waiting[class] = max(0, h.waiting[class]+waiting)
	h.pending[class] += pending
	if d := h.unmet(class) - before; d != 0 && !h.removed {
		f.unmet[class] += d
		f.service.updateOrder(f)
	}
}

func (f *flow) hostDemand(host string) *hostDemand {
	for _, h := range f.hosts {
		if h.host == host {
			return h
		}
	}
	h := &hostDemand{host: host}
	f.hosts = append(f.hosts, h)
	return h
}

func (f *flow) removeHost(h *hostDemand) {
	for class := range classes {
		f.adjust(h, class, -h.waiting[class], 0)
	}
	h.removed = true
	f.hosts = slices.DeleteFunc(f.hosts, func(o *hostDemand) bool { return o == h })
}

// nextClass returns the class of the flow's next grant.
func (f *flow) nextClass() int {
	due := f.urgentRun >= f.service.rules.maxUrgentRun && f.unmet[ordinaryClass] > 0
	if f.unmet[urgentClass] > 0 && !due {
		return urgentClass
	}
	return ordinaryClass
}

// pick returns the next host that has unmet demand of the class, and a minion for it. It
// selects hosts round-robin, because the owner does not know the deadlines of their requests.
func (f *flow) pick(class int) (*hostDemand, *minion) {
	for i := range f.hosts {
		n := (f.nextHost + i) % len(f.hosts)
		h := f.hosts[n]
		if h.unmet(class) == 0 {
			continue
		}
		if m := f.service.pick(h); m != nil {
			f.nextHost = n + 1
			return h, m
		}
	}
	return nil, nil
}

// charge advances the flow's virtual time by seconds of slot time.
func (f *flow) charge(seconds float64) {
	f.virtualTime += seconds / f.weight
	f.service.updateOrder(f)
}

func (f *flow) observeSlotTime(slotTime float64) {
	f.meanSlotTime += slotTimeWeight * (slotTime - f.meanSlotTime)
}
