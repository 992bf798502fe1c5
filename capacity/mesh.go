package capacity

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"runtime"
	"slices"
	"time"

	"egretdrum.example/claim"
	"egretdrum.example/epoch"
	"egretdrum.example/hostlist"
	"egretdrum.example/node"
	"egretdrum.example/peer"
	"egretdrum.example/slot"
)

const (
	// frameBytes is the WebSocket header with its mask of a message of 126 to 65,535
	// bytes, the size of most control messages.
	frameBytes = 8
	// packetBytes is the IPv4 and TCP header with the timestamp option.
	packetBytes = 52
	// warmUp is the simulated time before the figures count: links, credits and grants
	// have settled by then.
	warmUp = 2 * time.Second
	// cpuTime is the simulated time in which processor time is measured.
	cpuTime = 2 * time.Second
	// bytesTime is the simulated time in which bytes are counted: a busy team's free
	// credits are repeated every 10 s.
	bytesTime = 10 * time.Second

	pool         = "tengri/pairings"
	limitPerTeam = 40
	slotsPerHost = 8
)

// start is the fixed begin of simulated time, so that runs are repeatable.
var start = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// size is one set-up of a mesh of nodes.
type size struct {
	members, teams, minions, busy, requests int
	// remote leaves out the workers that the first node owns, so that each of its
	// requests needs the grant of another host.
	remote bool
}

// meter is what one node cost in the observed time.
type meter struct {
	elapsed           time.Duration
	ticks, receives   time.Duration
	least             float64
	messages, bytes   int
	requests, refused int
	kinds             map[string]traffic
}

// traffic is what was sent of one kind of message.
type traffic struct{ messages, bytes int }

// cpu returns the milliseconds of processor time in the cheapest second.
func (m meter) cpu() float64 { return m.least }

func (m *meter) note(kind string, n int) {
	if m.kinds == nil {
		m.kinds = make(map[string]traffic)
	}
	t := m.kinds[kind]
	m.kinds[kind] = traffic{t.messages + 1, t.bytes + n}
}

func (m meter) bytesPerSecond() float64 {
	return float64(m.bytes+m.messages*frameBytes) / m.elapsed.Seconds()
}

func (m meter) wirePerSecond() float64 {
	return m.bytesPerSecond() + float64(m.messages*packetBytes)/m.elapsed.Seconds()
}

// mesh connects real nodes in memory. Messages are encoded and decoded as on a link; the
// costs of sockets are not part of it.
type mesh struct {
	size  size
	now   time.Time
	nodes map[string]*node.Node
	ids   map[string]epoch.ID
	order []string
	queue []envelope
	meter meter
	err   error
	calls []*node.Call
}

type envelope struct {
	from, to string
	bytes    []byte
}

func memberName(n int) string { return fmt.Sprintf("entry-%d", n+1) }

// firstName is the node that is measured.
var firstName = memberName(0)

func newMesh(s size) (*mesh, error) {
	m := &mesh{size: s, now: start, nodes: make(map[string]*node.Node), ids: make(map[string]epoch.ID)}
	e, err := members(s.members)
	if err != nil {
		return nil, err
	}
	cfg, hosts := document(documentSize{workers: s.minions, teams: s.teams, pools: 1}), hostList(s.minions)
	if s.remote {
		hosts = slices.DeleteFunc(hosts, func(h hostlist.Host) bool { return e.First(h.Worker).Name == firstName })
	}
	for _, member := range e.Members {
		n := node.New(m.now, member)
		m.order, m.nodes[member.Name], m.ids[member.Name] = append(m.order, member.Name), n, member.ID()
		n.Connect(m.sender(member.Name), func(*epoch.Epoch) {})
		n.StoreCreated(m.now)
		n.AdoptEpoch(m.now, e)
		n.StoreConfirmed()
		n.SetHosts(m.now, hosts)
		n.SetConfig(m.now, cfg)
	}
	return m, m.run(warmUp)
}

// members returns the epoch in which n hosts of three zones have joined.
func members(n int) (*epoch.Epoch, error) {
	e := &epoch.Epoch{}
	var err error
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
		e, err = e.Join(epoch.Member{
			Name: memberName(i), Incarnation: e.Number + 1, Zone: zoneName(i), Peer: address, Operator: address,
		})
		if err != nil {
			return nil, err
		}
	}
	return e, nil
}

func zoneName(n int) string { return fmt.Sprintf("zone-%d", n%3+1) }

func (m *mesh) sender(from string) func(to, kind string, body any) error {
	return func(to, kind string, body any) error {
		b, err := peer.Encode(kind, body)
		if err != nil {
			return err
		}
		m.queue = append(m.queue, envelope{from, to, b})
		if from == firstName {
			m.meter.messages++
			m.meter.bytes += len(b)
			m.meter.note(kind, len(b))
		}
		return nil
	}
}

// run advances the mesh tick by tick.
func (m *mesh) run(d time.Duration) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for end := m.now.Add(d); m.now.Before(end) && m.err == nil; m.now = m.now.Add(node.TickInterval) {
		for _, name := range m.order {
			n := m.nodes[name]
			n.StoreRenewed(m.now)
			m.cost(name, &m.meter.ticks, func() { n.Tick(m.now) })
		}
		m.deliver()
		m.mint()
		if m.size.requests > 0 {
			m.request()
		}
	}
	return m.err
}

func (m *mesh) cost(name string, to *time.Duration, f func()) {
	if name != firstName {
		f()
		return
	}
	started := threadTime()
	f()
	*to += threadTime() - started
}

// deliver passes all messages on, and those that they cause.
func (m *mesh) deliver() {
	for len(m.queue) > 0 {
		batch := m.queue
		m.queue = nil
		for _, e := range batch {
			m.cost(e.to, &m.meter.receives, func() { m.receive(e) })
		}
	}
}

func (m *mesh) receive(e envelope) {
	msg, err := peer.Parse(e.from, e.bytes)
	if err == nil {
		_, err = m.nodes[e.to].Receive(m.now, m.ids[e.from], msg.Kind, msg.Decode)
	}
	if err != nil {
		m.err = &MeasureError{What: "message " + msg.Kind, Err: err}
	}
}

// mint does the part of the membership agent: one step of the epoch for each coordinator.
func (m *mesh) mint() {
	for _, name := range m.order {
		amounts := m.nodes[name].Mint()
		if len(amounts) == 0 {
			continue
		}
		e, err := m.nodes[name].Epoch().Mint(m.ids[name], maps.Clone(amounts))
		if err != nil {
			m.err = &MeasureError{What: "mint", Err: err}
			return
		}
		for _, other := range m.order {
			m.nodes[other].AdoptEpoch(m.now, e)
		}
		// The other coordinators ask again with the next tick, on the new epoch.
		return
	}
}

// occupy lets each busy team hold one running request at the first node.
func (m *mesh) occupy() error {
	n := m.nodes[firstName]
	for team := range m.size.busy {
		c := node.NewCall(fmt.Sprint("busy-", team), pool, teamName(team), false, m.now.Add(time.Minute))
		n.Submit(m.now, c)
		m.calls = append(m.calls, c)
	}
	if err := m.run(time.Second); err != nil {
		return err
	}
	for _, c := range m.calls {
		select {
		case v := <-c.Verdict:
			if v.Reason != "" {
				m.meter.refused++
			}
		default:
			m.meter.refused++
		}
	}
	return nil
}

// request runs the requests of one tick at the first node, registered and finished.
func (m *mesh) request() {
	n := m.nodes[firstName]
	own := func(f func()) { m.cost(firstName, &m.meter.ticks, f) }
	perTick := int(math.Ceil(float64(m.size.requests) * node.TickInterval.Seconds()))
	for i := range perTick {
		m.meter.requests++
		id := fmt.Sprint("request-", m.now.UnixNano(), "-", i)
		deadline := m.now.Add(10 * time.Second)
		c := node.NewCall(id, pool, teamName(i%m.size.teams), false, deadline)
		var r *node.Registration
		own(func() {
			r = n.Register(m.now, id, deadline)
			n.Submit(m.now, c)
		})
		m.deliver()
		select {
		case v := <-c.Verdict:
			if v.Reason != "" {
				m.meter.refused++
			}
		default:
			n.Cancel(m.now, c)
			m.meter.refused++
		}
		own(func() {
			n.Finish(m.now, c, slot.OK, 100*time.Millisecond)
			n.EndRegistration(m.now, r, claim.Finished)
		})
		m.deliver()
	}
}

// observe measures a settled mesh.
func (s size) observe(d time.Duration) (meter, error) {
	requests := s.requests
	s.requests = 0
	m, err := newMesh(s)
	if err != nil {
		return meter{}, err
	}
	if err := m.occupy(); err != nil {
		return meter{}, err
	}
	refused := m.meter.refused
	m.size.requests, m.meter = requests, meter{elapsed: d}
	m.meter.least = math.Inf(1)
	for range d / time.Second {
		before := m.meter.ticks + m.meter.receives
		if err := m.run(time.Second); err != nil {
			return meter{}, err
		}
		took := m.meter.ticks + m.meter.receives - before
		m.meter.least = min(m.meter.least, float64(took)/float64(time.Millisecond))
	}
	m.meter.refused += refused
	return m.meter, nil
}

func teamName(n int) string { return fmt.Sprintf("tengri/team-%d", n) }

func workerName(n int) string { return fmt.Sprintf("tengri-worker-%05d", n) }

func hostList(n int) []hostlist.Host {
	hosts := make([]hostlist.Host, n)
	for i := range hosts {
		hosts[i] = hostlist.Host{
			Worker: workerName(i), Zone: zoneName(i), Rack: fmt.Sprintf("rack-%d", i/4),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080),
			Slots:   slotsPerHost, Connections: 64,
		}
	}
	return hosts
}
