package claim

import "time"

// Decision is the sender's decision about a request.
type Decision uint8

// Decisions of an Attempt. All but Wait are final.
const (
	Wait Decision = iota
	// Send permits the sender to start sending the request, once and immediately.
	Send
	// Duplicate refuses the request because its id is registered already.
	Duplicate
	// Refuse refuses the request as not run. The sender then asks the witnesses to release
	// the id.
	Refuse
)

// Attempt is the sender's side of one registration. It collects the replies of the witnesses
// and decides whether the request is sent.
type Attempt struct {
	claim Claim
	// witnesses are the first two members in the order of the key and the third one,
	// which accepts the id in place of a lost witness.
	witnesses []string
	startedAt time.Time
	accepted  map[string]bool
	// confirmedLost has a key "WITNESS MISSING" for each witness that regards the missing
	// witness as lost.
	confirmedLost map[string]bool
	decision      Decision
	mutation      mutation
}

// NewAttempt starts a registration; ranked lists the members of the claim's epoch in the
// order for its key.
func NewAttempt(now time.Time, c Claim, ranked []string) *Attempt {
	return &Attempt{
		claim: c, witnesses: ranked[:min(3, len(ranked))], startedAt: now,
		accepted: make(map[string]bool), confirmedLost: make(map[string]bool),
	}
}

// Claim returns the message to the witnesses. If the sender cannot reach the first or the
// second witness, it sends the claim again to the other one and to the third member, with
// missing set.
func (a *Attempt) Claim(missing string) Claim {
	c := a.claim
	c.Missing = missing
	return c
}

// Witnesses returns the two witnesses and the third member, which replaces a lost one.
func (a *Attempt) Witnesses() []string { return a.witnesses }

// Reply processes the reply of a witness to a claim that named missing. Replies to other
// attempts are ignored, and so is an acceptance from another epoch.
func (a *Attempt) Reply(witness, missing string, reply Reply) {
	if a.decision != Wait || reply.Key != a.claim.Key || reply.Owner != a.claim.Owner {
		return
	}
	switch reply.Outcome {
	case Known:
		a.decision = Duplicate
	case Full, OtherEpoch:
		a.decision = Refuse
	case Accepted:
		if reply.Epoch != a.claim.Epoch {
			return
		}
		a.accepted[witness] = true
		if reply.MissingLost {
			a.confirmedLost[witness+" "+missing] = true
		}
	}
}

// Decide returns the decision at this time. An attempt that has waited for LongestDeadline is
// refused, because after that the witnesses might forget its id before the retention ends.
func (a *Attempt) Decide(now time.Time) Decision {
	if a.decision != Wait {
		return a.decision
	}
	switch {
	case now.Sub(a.startedAt) >= LongestDeadline:
		a.decision = Refuse
	case a.registered():
		a.decision = Send
	}
	return a.decision
}

func (a *Attempt) registered() bool {
	w := a.witnesses
	if len(w) < 2 {
		return len(w) == 1 && a.accepted[w[0]]
	}
	if a.accepted[w[0]] && a.accepted[w[1]] {
		return true
	}
	if a.mutation == sendOnOneReply {
		return a.accepted[w[0]] || a.accepted[w[1]]
	}
	return len(w) == 3 && a.accepted[w[2]] && (a.replaces(w[0], w[1]) || a.replaces(w[1], w[0]))
}

// replaces reports whether a witness accepted the id and regards the other as lost.
func (a *Attempt) replaces(witness, missing string) bool {
	return a.accepted[witness] && a.confirmedLost[witness+" "+missing]
}
