package node

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"egretdrum.example/claim"
	"egretdrum.example/epoch"
)

const (
	// claimRetryInterval is the time after which an unanswered claim is sent again.
	claimRetryInterval = 50 * time.Millisecond
	// syncRetryInterval is the time after which missing ids are requested again.
	syncRetryInterval = 500 * time.Millisecond
	// witnessBuckets bounds the number of witness rankings that are computed for one member
	// list: keys of the same bucket have the same witnesses.
	witnessBuckets = 1024
)

// Registration is the registration of one request id at its witnesses.
type Registration struct {
	// Done yields the decision: claim.Send, claim.Duplicate or claim.Refuse.
	Done chan claim.Decision

	key      claim.Key
	owner    claim.Owner
	deadline time.Time
	attempt  *claim.Attempt
	sent     time.Time
	decided  bool
	// permissionTaken is used only by the goroutine of the request.
	permissionTaken bool
}

// PermissionTaken reports whether the caller has taken the permission to send.
func (r *Registration) PermissionTaken() bool { return r.permissionTaken }

// SetPermissionTaken records that the caller has taken the permission to send.
func (r *Registration) SetPermissionTaken() { r.permissionTaken = true }

// claims is the state of the registration of request ids, as sender and as witness.
type claims struct {
	registry *claim.Registry
	pending  map[claim.Owner]*Registration
	attempts uint64
	// memberList is the number of the member list for which ids are registered. Epochs
	// that change no member keep it, so minting credits does not affect registrations.
	memberList  uint64
	rankCache   [witnessBuckets][]string
	syncSources []string
	// claimTime is the time of the claim being processed; the registry's Lost callback
	// needs it.
	claimTime       time.Time
	lastSyncRequest time.Time
}

type claimMessage struct {
	Claim claim.Claim `cbor:"claim"`
}

type claimReply struct {
	Reply   claim.Reply `cbor:"reply"`
	Missing string      `cbor:"missing,omitempty"`
}

// claimEnd reports the end of an attempt; if State is 0, the id is released.
type claimEnd struct {
	Key   claim.Key   `cbor:"key"`
	Owner claim.Owner `cbor:"owner"`
	State claim.State `cbor:"state,omitempty"`
}

type claimSyncRequest struct {
	List uint64 `cbor:"list"`
}

func (n *Node) newClaims(now time.Time) claims {
	return claims{
		registry: claim.New(now, claim.Config{
			Self: n.self.Name,
			Rank: func(key claim.Key, _ []string) []string { return n.witnesses(key) },
			Lost: func(member string) bool { return n.peers[member] == nil || n.lost(n.claims.claimTime, member) },
		}),
		pending: make(map[claim.Owner]*Registration),
	}
}

// witnesses returns the members in their order as witnesses of a key; the first ones are
// in different zones.
func (n *Node) witnesses(key claim.Key) []string {
	bucket := binary.BigEndian.Uint16(key[:]) % witnessBuckets
	if n.claims.rankCache[bucket] == nil {
		for _, m := range n.ep.RankAcrossZones("claim/" + string(rune(bucket))) {
			n.claims.rankCache[bucket] = append(n.claims.rankCache[bucket], m.Name)
		}
	}
	return n.claims.rankCache[bucket]
}

// adoptMemberList switches the registration of ids to a new member list. This host requests
// the ids that it lacks from the members of all lists since the last one that it adopted,
// because each of them may have registered some. It does not wait for a crashed member: the
// other witness has the same ids.
func (n *Node) adoptMemberList(from, to *epoch.Epoch) {
	list := memberListOf(to)
	if list.Number == n.claims.memberList || len(to.Members) == 0 {
		return
	}
	earlier := slices.Clone(memberListOf(from).Members)
	for i, p := range to.History[:len(to.History)-1] {
		if from.Number == 0 && i == len(to.History)-2 || from.Number > 0 && p.Number > from.Number {
			earlier = append(earlier, p.Members...)
		}
	}
	c := &n.claims
	c.memberList, c.rankCache, c.syncSources = list.Number, [witnessBuckets][]string{}, nil
	var members []string
	for _, id := range list.Members {
		members = append(members, id.Name())
		if slices.Contains(earlier, id) && id != n.id {
			c.syncSources = append(c.syncSources, id.Name())
		}
	}
	c.registry.AdoptEpoch(list.Number, members, c.syncSources)
	c.lastSyncRequest = time.Time{}
}

func memberListOf(e *epoch.Epoch) epoch.HistoryEntry {
	if len(e.History) == 0 {
		return epoch.HistoryEntry{}
	}
	return e.History[len(e.History)-1]
}

// Register starts the registration of a non-idempotent request's id.
func (n *Node) Register(now time.Time, id string, deadline time.Time) *Registration {
	n.mu.Lock()
	defer n.flush(now)
	r := &Registration{Done: make(chan claim.Decision, 1), key: claim.KeyOf(id), deadline: deadline}
	n.startAttempt(now, r)
	return r
}

func (n *Node) startAttempt(now time.Time, r *Registration) {
	n.claims.attempts++
	r.owner = claim.Owner{Sender: n.self.Name, Incarnation: n.self.Incarnation, Attempt: n.claims.attempts}
	c := claim.Claim{Key: r.key, Owner: r.owner, Epoch: n.claims.memberList}
	r.attempt = claim.NewAttempt(now, c, n.witnesses(r.key))
	n.claims.pending[r.owner] = r
	n.sendClaim(now, r)
}

// sendClaim sends the claim to its witnesses, or sends it again. A lost witness is replaced
// by the third member, if the other witness regards it as lost as well.
func (n *Node) sendClaim(now time.Time, r *Registration) {
	r.sent = now
	w := r.attempt.Witnesses()
	missing := ""
	for _, name := range w[:min(2, len(w))] {
		if name != n.self.Name && n.lost(now, name) {
			missing = name
		}
	}
	c := r.attempt.Claim(missing)
	for i, name := range w {
		if name == missing || (i == 2 && missing == "") {
			continue
		}
		if r.decided || r.attempt == nil {
			return // the reply of this host's own registry ended the attempt
		}
		n.sendClaimTo(now, name, c)
	}
}

func (n *Node) sendClaimTo(now time.Time, witness string, c claim.Claim) {
	if witness == n.self.Name {
		n.claims.claimTime = now
		n.onClaimReply(now, witness, c.Missing, n.claims.registry.Register(now, c))
		return
	}
	n.sendTo(n.member(witness).ID(), kindClaim, claimMessage{Claim: c})
}

func (n *Node) onClaim(now time.Time, from string, m claimMessage) {
	if m.Claim.Owner.Sender != from {
		return
	}
	n.claims.claimTime = now
	reply := n.claims.registry.Register(now, m.Claim)
	n.sendTo(n.member(from).ID(), kindClaimReply, claimReply{Reply: reply, Missing: m.Claim.Missing})
}

func (n *Node) onClaimReply(now time.Time, witness, missing string, reply claim.Reply) {
	r := n.claims.pending[reply.Owner]
	if r == nil || r.decided || r.attempt == nil {
		return
	}
	r.attempt.Reply(witness, missing, reply)
	switch d := r.attempt.Decide(now); {
	case d == claim.Wait:
	case d == claim.Refuse && reply.Outcome == claim.OtherEpoch && now.Before(r.deadline):
		// The witness has another member list at the moment; the next tick starts another
		// attempt.
		n.endAttempt(now, r, 0)
		r.attempt = nil
	default:
		n.decide(now, r, d)
	}
}

func (n *Node) decide(now time.Time, r *Registration, d claim.Decision) {
	r.decided = true
	delete(n.claims.pending, r.owner)
	if d != claim.Send {
		n.endAttempt(now, r, 0)
	}
	r.Done <- d
}

// EndRegistration reports how the request of a registration ended. The id of a request that
// did not run is released, so that the caller may send it again.
func (n *Node) EndRegistration(now time.Time, r *Registration, state claim.State) {
	n.mu.Lock()
	defer n.flush(now)
	r.decided = true
	delete(n.claims.pending, r.owner)
	n.endAttempt(now, r, state)
}

func (n *Node) endAttempt(now time.Time, r *Registration, state claim.State) {
	if r.attempt == nil {
		return
	}
	end := claimEnd{Key: r.key, Owner: r.owner, State: state}
	for _, name := range n.witnessesToNotify(r) {
		if name == n.self.Name {
			n.onClaimEnd(now, end)
			continue
		}
		n.sendTo(n.member(name).ID(), kindClaimEnd, end)
	}
}

// witnessesToNotify returns the witnesses that may have the id of an ended attempt: those of
// the attempt, and those that got the id by a transfer since then.
func (n *Node) witnessesToNotify(r *Registration) []string {
	names := slices.Clone(r.attempt.Witnesses())
	ranked := n.witnesses(r.key)
	for _, name := range ranked[:min(2, len(ranked))] {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

func (n *Node) onClaimEnd(now time.Time, m claimEnd) {
	if m.State == 0 {
		n.claims.registry.Release(now, m.Key, m.Owner)
		return
	}
	n.claims.registry.Finish(now, m.Key, m.Owner, m.State)
}

func (n *Node) pendingClaims() []claim.Owner {
	return slices.SortedFunc(maps.Keys(n.claims.pending), func(a, b claim.Owner) int {
		return cmp.Compare(a.Attempt, b.Attempt)
	})
}

// tickClaims sends unanswered claims again and requests missing ids.
func (n *Node) tickClaims(now time.Time) {
	for _, owner := range n.pendingClaims() {
		r := n.claims.pending[owner]
		switch {
		case r == nil:
		case !now.Before(r.deadline):
			n.decide(now, r, claim.Refuse)
		case r.attempt == nil:
			delete(n.claims.pending, owner)
			n.startAttempt(now, r)
		case now.Sub(r.sent) >= claimRetryInterval:
			n.sendClaim(now, r)
		}
	}
	if n.claims.registry.Ready() || now.Sub(n.claims.lastSyncRequest) < syncRetryInterval {
		return
	}
	n.claims.lastSyncRequest = now
	for _, name := range n.claims.syncSources {
		n.sendTo(n.member(name).ID(), kindClaimSyncRequest, claimSyncRequest{List: n.claims.memberList})
	}
}

func (n *Node) onClaimSyncRequest(now time.Time, from string, m claimSyncRequest) {
	if m.List != n.claims.memberList {
		return
	}
	for _, batch := range n.claims.registry.Transfer(now, from) {
		n.sendTo(n.member(from).ID(), kindClaimSync, batch)
	}
}

func (n *Node) onClaimSync(now time.Time, from string, m claim.TransferBatch) {
	if m.From == from {
		// A rejected batch belongs to another member list; tickClaims requests the ids again.
		_ = n.claims.registry.Accept(now, m)
	}
}
