// Package router decides, on the sender's side, from which slot owners slots are requested
// for the waiting requests. It does no input or output.
package router

import "slices"

// Router spreads the slot requests for the waiting requests of each pool over the owners of
// its minions. It is not safe for concurrent use.
type Router struct {
	self         string
	owners       map[string][]*owner
	slotRequests map[flow]map[string]int
}

// Owner is what the sender knows of one slot owner of a pool.
type Owner struct {
	Host     string
	Usable   int // slots that its minions can use
	Free     int // free slots, as last reported
	SameZone bool
}

type owner struct {
	Owner
	requested int
	// unansweredRequests is set if slot requests were open at the last ReceiveHeartbeat and
	// the owner has neither granted one nor sent a report since.
	unansweredRequests bool
}

// flow identifies the requests that are equivalent for routing.
type flow struct {
	pool, team string
	urgent     bool
}

// New returns a router for the entry host self.
func New(self string) *Router {
	return &Router{self: self, owners: make(map[string][]*owner), slotRequests: make(map[flow]map[string]int)}
}

// SetOwners replaces the owners of a pool. Slot requests to hosts that are no longer owners
// are dropped; the next Balance sends them to other owners.
func (r *Router) SetOwners(pool string, owners []Owner) {
	next := make([]*owner, 0, len(owners))
	for _, o := range owners {
		next = append(next, &owner{Owner: o})
	}
	r.owners[pool] = next
	for f, byHost := range r.slotRequests {
		if f.pool != pool {
			continue
		}
		for host, n := range byHost {
			if o := r.findOwner(pool, host); o != nil {
				o.requested += n
			} else {
				delete(byHost, host)
			}
		}
	}
}

// Report updates the number of free slots that an owner has reported.
func (r *Router) Report(pool, host string, free int) {
	if o := r.findOwner(pool, host); o != nil {
		o.Free, o.unansweredRequests = free, false
	}
}

// ReceiveHeartbeat records a heartbeat of an owner. Slot requests that stay open from one
// heartbeat to the next show that the owner has no slot for this host, whatever it reported,
// because an owner grants free slots at once.
func (r *Router) ReceiveHeartbeat(host string) {
	for pool := range r.owners {
		o := r.findOwner(pool, host)
		if o == nil {
			continue
		}
		if o.unansweredRequests && o.requested > 0 {
			o.Free = 0
		}
		o.unansweredRequests = o.requested > 0
	}
}

// SlotsRequested returns the number of slots that are requested from host.
func (r *Router) SlotsRequested(pool, team string, urgent bool, host string) int {
	return r.slotRequests[flow{pool, team, urgent}][host]
}

// Granted records that host granted one of the requested slots.
func (r *Router) Granted(pool, team string, urgent bool, host string) {
	f := flow{pool, team, urgent}
	if r.slotRequests[f][host] > 0 {
		r.addRequests(f, host, -1)
	}
	if o := r.findOwner(pool, host); o != nil {
		o.Free, o.unansweredRequests = max(0, o.Free-1), false
	}
}

// Balance makes the slot requests of one flow match its waiting requests and returns the
// hosts whose number changed. New slot requests go to this host if it has free slots, then to
// owners in the same zone, then to those with the most free slots. If no slot is free, they
// go to the owner with the fewest slot requests for its size, so that every owner learns of
// the demand.
func (r *Router) Balance(pool, team string, urgent bool, waiting int) []string {
	f := flow{pool, team, urgent}
	var changed []string
	total := 0
	for _, n := range r.slotRequests[f] {
		total += n
	}
	for ; total < waiting; total++ {
		o := r.bestOwner(pool)
		if o == nil {
			return changed
		}
		r.addRequests(f, o.Host, 1)
		changed = appendOnce(changed, o.Host)
	}
	for ; total > waiting; total-- {
		host := r.mostLoaded(f)
		r.addRequests(f, host, -1)
		changed = appendOnce(changed, host)
	}
	return append(changed, r.moveRequest(f, changed)...)
}

// moveRequest moves one slot request per call from an owner without free slots to one with
// free slots that this host has not requested. It corrects slot requests that were based on
// outdated reports.
func (r *Router) moveRequest(f flow, alreadyChanged []string) []string {
	if len(alreadyChanged) > 0 {
		return nil
	}
	to := r.bestOwner(f.pool)
	if to == nil || to.Free <= to.requested {
		return nil
	}
	for _, from := range r.owners[f.pool] {
		if from != to && from.Free == 0 && r.slotRequests[f][from.Host] > 0 {
			r.addRequests(f, from.Host, -1)
			r.addRequests(f, to.Host, 1)
			return []string{from.Host, to.Host}
		}
	}
	return nil
}

func (r *Router) bestOwner(pool string) *owner {
	var best *owner
	for _, o := range r.owners[pool] {
		if o.Usable > 0 && (best == nil || r.preferred(o, best)) {
			best = o
		}
	}
	return best
}

func (r *Router) preferred(a, b *owner) bool {
	if freeA, freeB := a.Free > a.requested, b.Free > b.requested; freeA != freeB {
		return freeA
	} else if !freeA {
		return a.requested*b.Usable < b.requested*a.Usable
	}
	if selfA, selfB := a.Host == r.self, b.Host == r.self; selfA != selfB {
		return selfA
	}
	if a.SameZone != b.SameZone {
		return a.SameZone
	}
	return a.Free-a.requested > b.Free-b.requested
}

// mostLoaded returns the host from which a slot request is withdrawn first: a host that is no
// longer an owner, otherwise the owner with the most slot requests for its size.
func (r *Router) mostLoaded(f flow) string {
	mostLoaded, load := "", -1.0
	for host, n := range r.slotRequests[f] {
		if n == 0 {
			continue
		}
		o := r.findOwner(f.pool, host)
		if o == nil {
			return host
		}
		l := float64(o.requested) / float64(max(1, o.Usable))
		if l > load || (l == load && host < mostLoaded) {
			mostLoaded, load = host, l
		}
	}
	return mostLoaded
}

func (r *Router) addRequests(f flow, host string, n int) {
	byHost := r.slotRequests[f]
	if byHost == nil {
		byHost = make(map[string]int)
		r.slotRequests[f] = byHost
	}
	byHost[host] += n
	if byHost[host] == 0 {
		delete(byHost, host)
	}
	if o := r.findOwner(f.pool, host); o != nil {
		o.requested += n
	}
}

func (r *Router) findOwner(pool, host string) *owner {
	owners := r.owners[pool]
	n := slices.IndexFunc(owners, func(o *owner) bool { return o.Host == host })
	if n < 0 {
		return nil
	}
	return owners[n]
}

func appendOnce(hosts []string, host string) []string {
	if slices.Contains(hosts, host) {
		return hosts
	}
	return append(hosts, host)
}
