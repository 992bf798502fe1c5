package entry

import (
	"context"
	"time"

	"egretdrum.example/claim"
	"egretdrum.example/node"
	"egretdrum.example/refusal"
	"egretdrum.example/slot"
)

// registrationWait bounds how long a granted slot is held for the registration of the
// request id. Registration normally completes before a slot is granted. While a witness is
// lost it may take seconds, in which the slot is better used by another request.
const registrationWait = 20 * time.Millisecond

// awaitRegistration waits for the registration of a non-idempotent request's id. If it takes
// longer than registrationWait, the slot is returned and, once the id is registered, the
// request queues again; registered is then false. The exchange is done if the id is a
// duplicate or cannot be registered.
func (x *exchange) awaitRegistration(ctx context.Context, call *node.Call) (registered, done bool) {
	if x.registration == nil || x.registration.PermissionTaken() {
		return true, false
	}
	timer := time.NewTimer(registrationWait)
	defer timer.Stop()
	select {
	case decision := <-x.registration.Done:
		if decision == claim.Send {
			x.registration.SetPermissionTaken()
			return true, false
		}
		x.host.node.Finish(time.Now(), call, slot.Unused, 0)
		x.refuseRegistration(decision)
		return false, true
	case <-timer.C:
	case <-ctx.Done():
	}
	x.host.node.Finish(time.Now(), call, slot.Unused, 0)
	select {
	case decision := <-x.registration.Done:
		if decision == claim.Send {
			x.registration.SetPermissionTaken()
			return false, false
		}
		x.refuseRegistration(decision)
	case <-ctx.Done():
		x.refuse(refusal.DeadlineExceeded, "the request id could not be registered before the deadline", time.Second)
	}
	return false, true
}

func (x *exchange) refuseRegistration(decision claim.Decision) {
	if decision == claim.Duplicate {
		// Another request with this id ran or is running; this one did not run.
		x.mayHaveRun = true
		x.refuse(refusal.DuplicateRequest, "a request with this id was accepted before", 0)
		return
	}
	x.refuse(refusal.NotAdmitting, "the request id could not be registered", time.Second)
}

// endRegistration reports to the witnesses how the request ended. They forget the id of a
// request that did not run.
func (x *exchange) endRegistration() {
	if x.registration == nil {
		return
	}
	state := claim.State(0)
	switch {
	case x.answered:
		state = claim.Finished
	case x.mayHaveRun:
		state = claim.Unknown
	}
	x.host.node.EndRegistration(time.Now(), x.registration, state)
	x.registration = nil
}
