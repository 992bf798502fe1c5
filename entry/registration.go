package entry

import (
	"context"
	"time"

	"egretdrum.example/claim"
	"egretdrum.example/node"
	"egretdrum.example/refusal"
	"egretdrum.example/slot"
)

// registrationWait is how long a granted slot waits for the registration of the request
// id. Normally the registration is done first; while a witness is lost it may take
// seconds, in which another request uses the slot.
const registrationWait = 20 * time.Millisecond

// registered waits for the registration of a non-idempotent request. Without it within
// registrationWait, the slot goes back and the request queues again; registered is then
// false. The exchange is over when the id is known or cannot be registered.
func (x *exchange) registered(ctx context.Context, call *node.Call) (registered, over bool) {
	if x.claim == nil || x.claim.Decided() {
		return true, false
	}
	timer := time.NewTimer(registrationWait)
	defer timer.Stop()
	select {
	case d := <-x.claim.Done:
		if d == claim.Send {
			x.claim.SetDecided()
			return true, false
		}
		x.host.node.Finish(time.Now(), call, slot.Unused, 0)
		x.refuseClaim(d)
		return false, true
	case <-timer.C:
	case <-ctx.Done():
	}
	x.host.node.Finish(time.Now(), call, slot.Unused, 0)
	select {
	case d := <-x.claim.Done:
		if d == claim.Send {
			x.claim.SetDecided()
			return false, false
		}
		x.refuseClaim(d)
	case <-ctx.Done():
		x.refuse(refusal.DeadlineExceeded, "the request id could not be registered before the deadline", time.Second)
	}
	return false, true
}

func (x *exchange) refuseClaim(d claim.Decision) {
	if d == claim.Duplicate {
		// Another request with this id was or is being run; this one was not.
		x.mayHaveRun = true
		x.refuse(refusal.DuplicateRequest, "a request with this id was accepted before", 0)
		return
	}
	x.refuse(refusal.NotAdmitting, "the request id could not be registered", time.Second)
}

// endClaim reports to the witnesses how the request ended. An id whose request did not
// run is forgotten.
func (x *exchange) endClaim() {
	if x.claim == nil {
		return
	}
	state := claim.State(0)
	switch {
	case x.ran:
		state = claim.Finished
	case x.mayHaveRun:
		state = claim.Unknown
	}
	x.host.node.EndRegistration(time.Now(), x.claim, state)
	x.claim = nil
}
