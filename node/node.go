// Package node combines the decision logic of one entry host: admission lease, credits,
// slot ownership, queue and routing. Its inputs are events and the current time, its
// outputs messages and verdicts; it opens no sockets and starts no timers.
package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"egretdrum.example/credit"
	"egretdrum.example/epoch"
	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
	"egretdrum.example/lease"
	"egretdrum.example/ownership"
	"egretdrum.example/queue"
	"egretdrum.example/router"
	"egretdrum.example/slot"
)

const (
	// TickInterval is how often Tick is called.
	TickInterval = credit.TickInterval
	// HeartbeatInterval is how often this host sends a heartbeat to each peer.
	HeartbeatInterval = 250 * time.Millisecond
	// EndGrace is how long after its deadline a request may still run at its minion: the
	// minion counts its time limit from the arrival of the request.
	EndGrace = time.Second
	// peerLossTimeout is the time without a heartbeat after which a peer counts as lost.
	peerLossTimeout = 3 * time.Second
	// grantCheckAge is the age at which the slot owner asks the sender whether it still
	// holds a grant.
	grantCheckAge = 10 * time.Second
	// demandResendInterval is how often the demand of waiting requests is sent again.
	demandResendInterval = time.Second
	// minCreditInterval is the minimum time between two requests for credits outside of
	// ticks.
	minCreditInterval = 10 * time.Millisecond
	// grantIDRange is the number of grant ids reserved for each incarnation.
	grantIDRange = 1 << 40
	// rebuildInterval is the time after which an unchanged host list is processed again.
	// This resets the free slots that peers reported: a count may be wrong after a report
	// was lost with a connection.
	rebuildInterval = 10 * time.Second
)

// Node is the decision logic of one entry host. It is safe for concurrent use.
type Node struct {
	// Send queues a message to a peer without waiting. An error means that the message
	// was not queued and will not be delivered.
	Send func(peer, kind string, body any) error
	// Publish is called with each newly adopted epoch, so that the links to peers follow
	// its member list.
	Publish func(e *epoch.Epoch)

	mu     sync.Mutex
	self   epoch.Member
	id     epoch.ID
	lease  *lease.Lease
	ledger *credit.Ledger
	alloc  *slot.Allocator
	table  *ownership.Table
	router *router.Router
	queue  *queue.Queue

	ep    *epoch.Epoch
	cfg   *fleet.Config
	hosts map[string]hostlist.Host
	// hostList is the list that hosts was built from, and lastRebuild the time of the last
	// rebuild of pools.
	hostList    []hostlist.Host
	lastRebuild time.Time
	pools       map[string][]minion
	peers       map[string]*peerState

	running          map[uint64]*Call // calls that use a minion, by grant id
	queuedByTeam     map[string]int   // number of requests in the queue
	queuedByFlow     map[flow]int     // likewise; zero entries stay until the next rebalanceAll
	excludedByFlow   map[flow]map[string]int
	out              outbox
	tableComplete    bool
	draining         bool
	confirmations    map[epoch.ID]epoch.ReclaimConfirmation
	reclaimRequest   epoch.ReclaimRequest
	pendingHandOvers map[string]bool // members that have not acknowledged the hand-over
	toMint           map[string]int64
	leavingSignals   map[string]time.Time // when a minion last signalled that it is leaving
	runTimes         map[flow]*runTime
	grantBuf         []slot.Grant // reused by issueGrants
	lastDemandResend time.Time
	lastCreditTick   time.Time
	abandoned        []abandoned
	claims           claims
	moving           map[string]bool // workers with outstanding grants of a pool that they have left
	lastMoveCheck    time.Time       // last update of moving
	// reclaimConfirmedEpoch is the epoch in which a peer confirmed the reclaim of this host.
	reclaimConfirmedEpoch uint64
	mutation              mutation
}

// mutation switches off single rules; only mutation tests set it.
type mutation struct {
	keepQueued, keepCredit, ignoreLeaving, ignoreMoves, checkByName, ignoreLease bool
}

// minion is one minion of a pool, with the member that owns its slots.
type minion struct {
	host  hostlist.Host
	owner epoch.Member
}

// flow is the requests of one team to one pool.
type flow struct{ pool, team string }

// compare orders flows, so that loops over them are deterministic.
func (f flow) compare(g flow) int {
	return cmp.Or(cmp.Compare(f.pool, g.pool), cmp.Compare(f.team, g.team))
}

type peerState struct {
	id                epoch.ID
	heartbeatReceived time.Time
	heartbeatSent     time.Time
	sentFreeSlots     map[string]int // free slots by pool, as last sent
	syncedMemberList  uint64
	configVersion     uint64
}

// New returns the node of one incarnation. It admits nothing before it has adopted an
// epoch that lists it as a member.
func New(now time.Time, self epoch.Member) *Node {
	n := &Node{
		Send:           func(string, string, any) error { return nil },
		Publish:        func(*epoch.Epoch) {},
		self:           self,
		id:             self.ID(),
		lease:          lease.New(now, self.ID()),
		ledger:         credit.New(self.ID()),
		alloc:          slot.New(slot.Config{FirstID: self.Incarnation * grantIDRange}),
		table:          ownership.New(string(self.ID())),
		router:         router.New(self.Name),
		ep:             &epoch.Epoch{},
		cfg:            &fleet.Config{},
		hosts:          make(map[string]hostlist.Host),
		pools:          make(map[string][]minion),
		peers:          make(map[string]*peerState),
		running:        make(map[uint64]*Call),
		queuedByTeam:   make(map[string]int),
		queuedByFlow:   make(map[flow]int),
		excludedByFlow: make(map[flow]map[string]int),
		out:            newOutbox(),
		leavingSignals: make(map[string]time.Time),
		runTimes:       make(map[flow]*runTime),
	}
	n.queue = queue.New(n.shed)
	n.claims = n.newClaims(now)
	return n
}

// MayAdmit reports whether this host holds its admission lease at the given time.
func (n *Node) MayAdmit(now time.Time) bool { return n.lease.MayAdmit(now) }

func (n *Node) mayAdmit(now time.Time) bool { return n.mutation.ignoreLease || n.lease.MayAdmit(now) }

// Epoch returns the adopted epoch.
func (n *Node) Epoch() *epoch.Epoch {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ep
}

// Removed reports whether the adopted epoch no longer lists this incarnation.
func (n *Node) Removed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lease.Removed()
}

// SetConfig applies a configuration if it is newer than the current one.
func (n *Node) SetConfig(now time.Time, cfg *fleet.Config) {
	n.mu.Lock()
	defer n.flush(now)
	if cfg.Version <= n.cfg.Version {
		return
	}
	n.cfg = cfg
	limits := make(map[string]int64, len(cfg.Contracts))
	queueLimits := make(map[string]int, len(cfg.Contracts))
	shares := make(map[string]int64, len(cfg.Contracts))
	for team, c := range cfg.Contracts {
		limits[team], queueLimits[team], shares[team] = int64(c.Limit), c.Limit, c.Share
	}
	n.ledger.SetLimits(limits)
	n.queue.SetTeams(queueLimits, shares)
	n.alloc.SetShares(shares)
	n.lease.SetConfig(cfg.Version)
	n.rebuildPools(now)
}

// SetHosts applies the platform's list of hosts. The caller must not change it afterwards.
// An unchanged list has no effect unless a minion's own leaving signal has expired or
// rebuildInterval has passed.
func (n *Node) SetHosts(now time.Time, hosts []hostlist.Host) {
	n.mu.Lock()
	defer n.flush(now)
	if now.Sub(n.lastRebuild) < rebuildInterval && !n.expireLeavingSignals(now) && slices.Equal(n.hostList, hosts) {
		return
	}
	n.hostList, n.hosts = hosts, make(map[string]hostlist.Host, len(hosts))
	for _, h := range hosts {
		n.hosts[h.Worker] = h
	}
	n.rebuildPools(now)
}

// Tick does the periodic work. It is called every TickInterval.
func (n *Node) Tick(now time.Time) {
	n.mu.Lock()
	defer n.flush(now)
	n.expire(now)
	n.endAbandoned(now)
	n.tickCredits(now)
	n.tickPeers(now)
	n.tickOwnership(now)
	n.tickReclaim(now)
	n.checkGrants(now)
	n.tickClaims(now)
	n.rebalanceAll(now)
	n.repeatDemands(now)
	n.issueGrants(now)
}

func (n *Node) tickCredits(now time.Time) {
	n.lastCreditTick = now
	for team, waiting := range n.queuedByTeam {
		n.ledger.SetWaiting(team, waiting)
	}
	actions := n.ledger.Tick(now)
	for _, m := range actions.Messages {
		n.sendTo(m.To, kindCredit, m)
	}
	n.toMint = actions.Mint
}

// Mint returns the credits by team that this host should mint by a compare-and-swap of the
// epoch document.
func (n *Node) Mint() map[string]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.toMint
}
