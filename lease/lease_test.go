package lease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"egretdrum.example/epoch"
)

const slice = 50 * time.Millisecond

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "1500")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// node is an entry host whose clock runs at its own rate.
type node struct {
	member       epoch.Member
	rate         float64
	lease        *Lease
	config       uint64
	dead, paused bool
	noStore      bool
	leased       bool
	created      uint64
	nextBeat     time.Time
}

type packet struct {
	from, to epoch.ID
	beat     Beat
	due      time.Duration
}

// world is a small stand-in for the fleet: hosts, lossy links and the store. It records
// by true time which leases are outstanding, which the hosts cannot see.
type world struct {
	t        *rapid.T
	noise    *rand.Rand
	faults   faults
	now      time.Duration
	nodes    []*node
	queue    []packet
	ep       *epoch.Epoch
	storeTTL map[epoch.ID]time.Duration
	promised map[[2]epoch.ID]time.Duration
	cut      map[[2]epoch.ID]bool
	down     bool
	config   uint64
	reclaim  *reclaimTry
	fault    string
	reclaims int
}

type reclaimTry struct {
	base     *epoch.Epoch
	ask      epoch.Ask
	by       *node
	confirms []epoch.Confirm
	started  time.Duration
}

func (n *node) id() epoch.ID { return n.member.ID() }

func (n *node) clock(now time.Duration) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(now) * n.rate))
}

// chance uses one generator per run, because drawing every packet with rapid takes most
// of the run's time.
func (w *world) chance(percent int) bool { return w.noise.IntN(100) < percent }

// start adds a host that creates a store lease and joins.
func (w *world) start(name string, incarnation uint64) {
	n := &node{rate: 0.955 + 0.095*w.noise.Float64(), config: w.config}
	n.member = epoch.Member{Name: name, Incarnation: incarnation, Zone: "z", Peer: netip.MustParseAddrPort("127.0.0.1:7000")}
	n.lease = New(n.clock(w.now), n.id())
	n.lease.faults = w.faults
	n.lease.SetConfig(n.config)
	e, err := w.ep.Join(n.member)
	if err != nil {
		w.fault = err.Error()
		return
	}
	w.ep = e
	w.storeTTL[n.id()] = w.now + StoreTTL
	n.lease.StoreCreated(n.clock(w.now))
	n.lease.StoreConfirmed()
	n.lease.Adopt(e)
	n.leased = true
	for _, o := range w.nodes {
		o.dead = o.dead || o.member.Name == name
	}
	w.nodes = append(w.nodes, n)
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end && w.fault == ""; w.now += slice {
		for _, n := range w.nodes {
			if !n.dead && !n.paused {
				w.step(n)
			}
		}
		w.deliver()
		w.tryReclaim()
		w.check()
	}
}

func (w *world) step(n *node) {
	now := n.clock(w.now)
	if !w.down && !n.noStore {
		w.useStore(n, now)
	}
	if n.config < w.config && w.chance(10) {
		n.config = w.config
		n.lease.SetConfig(n.config)
	}
	if now.Before(n.nextBeat) {
		return
	}
	n.nextBeat = now.Add(250 * time.Millisecond)
	for _, m := range n.lease.ep.Members {
		if m.ID() == n.id() {
			continue
		}
		b := n.lease.Beat(now, m.ID())
		if b.Granted {
			w.promised[[2]epoch.ID{n.id(), m.ID()}] = w.now + time.Duration(float64(Hold)/n.rate)
		}
		for copies := []int{1, 1, 1, 1, 0, 2}[w.noise.IntN(6)]; copies > 0; copies-- {
			delay := time.Duration(w.noise.IntN(9)) * slice
			w.queue = append(w.queue, packet{n.id(), m.ID(), b, w.now + delay})
		}
	}
}

// useStore renews or creates the store lease, and adopts the epoch now and then. A
// response is lost sometimes although the operation took effect.
func (w *world) useStore(n *node, now time.Time) {
	lost := w.chance(15)
	id := n.id()
	switch {
	case w.storeTTL[id] > w.now && n.leased:
		w.storeTTL[id] = w.now + StoreTTL
		if !lost {
			n.lease.StoreRenewed(now)
		}
	case n.leased || n.created == 0:
		n.leased, n.created = false, 1
		n.lease.StoreLapsed()
		w.storeTTL[id] = w.now + StoreTTL
		n.lease.StoreCreated(now)
	case w.chance(30):
		e, err := w.ep.Touch(id)
		if err == nil && w.storeTTL[id] > w.now {
			w.ep, n.leased, n.created = e, true, 0
			n.lease.StoreConfirmed()
		} else {
			n.created = 0
		}
	}
	if !lost && w.chance(20) {
		n.lease.Adopt(w.ep)
	}
}

func (w *world) deliver() {
	rest := w.queue[:0]
	for _, p := range w.queue {
		i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.id() == p.to && !n.dead })
		switch {
		case i < 0 || w.cut[[2]epoch.ID{p.from, p.to}]:
		case p.due > w.now || w.nodes[i].paused:
			rest = append(rest, p)
		default:
			n := w.nodes[i]
			n.lease.Heard(n.clock(w.now), p.from, p.beat)
		}
	}
	w.queue = rest
}

// tryReclaim lets one host collect confirmations over several steps, while the store and
// the epoch may change.
func (w *world) tryReclaim() {
	if w.down {
		return
	}
	if w.reclaim == nil || w.reclaim.base != w.ep {
		w.beginReclaim()
		return
	}
	r := w.reclaim
	for _, n := range w.nodes {
		have := slices.ContainsFunc(r.confirms, func(c epoch.Confirm) bool { return c.Member == n.id() })
		if n.dead || n.paused || have {
			continue
		}
		if c, ok := n.lease.Confirm(n.clock(w.now), r.ask); ok {
			r.confirms = append(r.confirms, c)
		}
	}
	if w.now-r.started > 2*time.Second {
		w.reclaim = nil
	}
	if w.chance(85) {
		return
	}
	lost := slices.DeleteFunc(slices.Clone(r.ask.Lost), func(id epoch.ID) bool { return slices.Contains(w.ep.Departed, id) })
	if e, err := w.ep.Reclaim(r.by.id(), lost, r.confirms, epoch.LongestWork); err == nil {
		w.ep, w.reclaim = e, nil
		w.reclaims++
	}
}

func (w *world) beginReclaim() {
	w.reclaim = nil
	var lost []epoch.ID
	var by *node
	for _, n := range w.nodes {
		switch {
		case w.ep.Has(n.id()) && w.storeTTL[n.id()] <= w.now:
			lost = append(lost, n.id())
		case w.ep.Has(n.id()) && !n.dead && !n.paused && n.lease.ep == w.ep:
			by = n
		}
	}
	if lost = append(lost, w.ep.Departed...); by != nil && len(lost) > 0 {
		w.reclaim = &reclaimTry{base: w.ep, ask: epoch.Ask{Number: w.ep.Number, Lost: lost}, by: by, started: w.now}
	}
}

// check compares each host's right to admit with the leases that are really outstanding.
func (w *world) check() {
	for _, n := range w.nodes {
		if n.dead || !n.lease.MayAdmit(n.clock(w.now)) {
			continue
		}
		if !w.ep.Has(n.id()) {
			w.fault = fmt.Sprintf("%v: %s may admit after its reclaim", w.now, n.id())
		}
		votes, newest := 1, uint64(0)
		for _, m := range n.lease.ep.Members {
			if w.promised[[2]epoch.ID{m.ID(), n.id()}] > w.now {
				votes++
			}
			if p := n.lease.peers[m.ID()]; p != nil && p.until.After(n.clock(w.now)) && p.until.Equal(p.waiting.until) {
				newest = max(newest, p.waiting.config)
			}
		}
		fresh := n.leased && w.storeTTL[n.id()] > w.now
		if !fresh && votes < epoch.Majority(len(n.lease.ep.Members)) {
			w.fault = fmt.Sprintf("%v: %s may admit with %d peer leases", w.now, n.id(), votes)
		}
		if newest > n.config {
			w.fault = fmt.Sprintf("%v: %s counts a lease with a newer configuration", w.now, n.id())
		}
	}
}

// disturb changes one thing about the fleet; two in a row act at the same time.
func (w *world) disturb(i int) {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, "host")]
	other := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, "other")]
	switch rapid.IntRange(0, 10).Draw(w.t, "disturbance") {
	case 0:
		n.dead = true
	case 1, 2:
		n.paused = !n.paused
		n.noStore = n.noStore || w.chance(50)
	case 3:
		w.cut[[2]epoch.ID{n.id(), other.id()}] = true
	case 4:
		clear(w.cut)
	case 5, 6:
		w.down = !w.down
	case 7:
		w.config++
	case 8:
		n.noStore = !n.noStore
	case 9:
		if i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.noStore && !n.dead }); i >= 0 {
			n = w.nodes[i]
		}
		w.replaceAllBut(n, uint64(i))
	default:
		name := fmt.Sprint("new", i)
		if w.down || len(w.ep.Members) >= 7 {
			return
		}
		if w.chance(60) {
			name = n.member.Name
		}
		w.start(name, uint64(i))
	}
}

func (w *world) replaceAllBut(n *node, incarnation uint64) {
	for _, o := range slices.Clone(w.nodes) {
		if !w.down && o != n && o.member.Name != n.member.Name && w.ep.Has(o.id()) {
			w.start(o.member.Name, incarnation)
		}
	}
}

func newWorld(t *rapid.T, f faults, hosts int) *world {
	w := &world{
		t: t, noise: rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "noise"))), faults: f, ep: &epoch.Epoch{}, storeTTL: make(map[epoch.ID]time.Duration),
		promised: make(map[[2]epoch.ID]time.Duration), cut: make(map[[2]epoch.ID]bool),
	}
	for i := range hosts {
		w.start(fmt.Sprint("e", i), 0)
	}
	return w
}

func simulate(t *rapid.T, f faults) string {
	w := newWorld(t, f, rapid.IntRange(3, 5).Draw(t, "hosts"))
	w.run(4 * time.Second)
	for i := range rapid.IntRange(3, 10).Draw(t, "disturbances") {
		w.disturb(i + 1)
		w.run(time.Duration(rapid.IntRange(0, 120).Draw(t, "steps")) * slice)
	}
	return w.fault
}

// Guards against a host that admits without a lease, and against the reclaim of a host
// that may still admit. Each broken variant must be caught.
func TestAdmissionProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if s := simulate(t, faults{}); s != "" {
			t.Fatal(s)
		}
	})
	for name, f := range map[string]faults{
		"countFromAnswer": {countFromAnswer: true}, "confirmEarly": {confirmEarly: true},
		"confirmAtStart": {confirmAtStart: true}, "grantAfterConfirm": {grantAfterConfirm: true},
		"useUnconfirmedStore": {useUnconfirmedStore: true}, "ignoreConfig": {ignoreConfig: true},
	} {
		gen, caught, seed := rapid.Custom(func(t *rapid.T) string { return simulate(t, f) }), "", 0
		for ; seed < 3000 && caught == ""; seed++ {
			caught = gen.Example(seed)
		}
		qt.Check(t, caught, qt.Not(qt.Equals), "", qt.Commentf("broken variant %s", name))
		t.Logf("variant %s: %s (seed %d)", name, caught, seed-1)
	}
}

// Guards against a fleet that stays without credits after all nine hosts were replaced,
// or that stops during a store outage.
func TestAllNineReplacedAtOnce(t *testing.T) {
	gen := rapid.Custom(func(t *rapid.T) string {
		w := newWorld(t, faults{}, 9)
		w.run(time.Second)
		w.replaceAllBut(&node{}, 2)
		w.run(10 * time.Second)
		if w.fault != "" || len(w.ep.Departed) > 0 || len(w.ep.Members) != 9 || w.reclaims == 0 {
			return fmt.Sprintf("fault %q, departed %v, %d members", w.fault, w.ep.Departed, len(w.ep.Members))
		}
		w.down = true
		w.run(10 * time.Second)
		for _, n := range w.nodes {
			if !n.dead && !n.lease.MayAdmit(n.clock(w.now)) {
				return fmt.Sprintf("%s may not admit during a store outage", n.id())
			}
		}
		return ""
	})
	for seed := range 20 {
		qt.Check(t, gen.Example(seed), qt.Equals, "")
	}
}
