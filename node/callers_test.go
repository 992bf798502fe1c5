package node

import (
	"slices"
	"time"

	"egretdrum.example/claim"
	"egretdrum.example/slot"
)

const registrationWait = 100 * time.Millisecond

// request is a caller's request at one entry host; it follows package entry.
type request struct {
	w        *world
	h        *host
	id       string
	team     string
	pool     string
	deadline time.Time
	run      time.Duration
	call     *Call
	calls    []*Call
	target   string
	got      time.Time // of the target
	reg      *Registration
	job      *job
	tried    []string
	mayRun   bool
	over     bool
	answer   string
}

// job is one run at a minion.
type job struct {
	r       *request
	minion  *backEnd
	started time.Time
	ends    time.Time
	done    bool
	outcome slot.Outcome
}

// submit starts a request. An empty id stands for an idempotent method.
func (w *world) submit(h *host, id, pool, team string, urgent bool, timeout, run time.Duration) *request {
	r := &request{w: w, h: h, id: id, team: team, pool: pool, deadline: w.now.Add(timeout), run: run}
	w.requests = append(w.requests, r)
	if id != "" {
		r.reg = h.n.Register(w.now, id, r.deadline)
	}
	r.queue(urgent)
	w.poll()
	return r
}

func (r *request) queue(urgent bool) {
	r.call = NewCall(r.id, r.pool, r.team, urgent, r.deadline)
	r.call.Verdict = make(chan Verdict, 4) // a second verdict must not block the node
	r.call.Excluded = slices.Clone(r.tried)
	r.calls = append(r.calls, r.call)
	r.h.n.Submit(r.w.now, r.call)
}

// poll does what the goroutines of the requests would do now.
func (w *world) poll() {
	for again := true; again; {
		again = false
		for _, r := range w.requests {
			if !r.over && !r.h.dead && !r.h.paused {
				r.poll()
			}
			r.over = r.over || r.h.dead
		}
		for _, r := range w.requests {
			again = again || !r.over && !r.h.paused && r.call != nil && r.target == "" && len(r.call.Verdict) > 0
		}
	}
	w.requests = slices.DeleteFunc(w.requests, func(r *request) bool {
		if !r.over || r.h.paused {
			return false
		}
		for _, c := range r.calls {
			w.check(len(c.Verdict) == 0, "call %q of %s got a second verdict", r.id, r.team)
		}
		return true
	})
}

func (r *request) poll() {
	r.w.check(r.target == "" || len(r.call.Verdict) == 0, "call %q got a second verdict", r.id)
	switch {
	case r.job != nil:
		if r.job.done {
			r.finished()
		}
	case r.target != "":
		r.awaitRegistration()
	case r.call == nil:
		r.awaitRegistration()
	default:
		select {
		case v := <-r.call.Verdict:
			if v.Reason != "" {
				r.end(string(v.Reason))
				return
			}
			r.w.check(r.h.n.lease.MayAdmit(r.w.now), "%s admitted without its lease", r.h.id())
			r.w.check(r.w.epoch().Has(r.h.id()) || r.w.now.Sub(r.h.resumed) == 0, "%s admitted after it was removed", r.h.id())
			r.target, r.got = v.Target.Worker, r.w.now
			r.awaitRegistration()
		default:
			if !r.w.now.Before(r.deadline) {
				r.cancel()
			}
		}
	}
}

// awaitRegistration sends once the id is registered. Without that for a while the slot
// goes back and the request queues again.
func (r *request) awaitRegistration() {
	if r.reg != nil && !r.reg.Decided() {
		select {
		case d := <-r.reg.Done:
			if d != claim.Send {
				r.mayRun = d == claim.Duplicate
				r.back()
				r.end(d.String())
				return
			}
			r.reg.SetDecided()
		default:
			if r.target != "" && r.w.now.Sub(r.got) >= registrationWait {
				r.back()
			}
			if !r.w.now.Before(r.deadline) {
				r.back()
				r.end("not registered")
			}
			return
		}
	}
	if r.target == "" {
		r.queue(false)
		return
	}
	r.send()
}

// back returns a slot that was not used.
func (r *request) back() {
	if r.target != "" {
		r.h.n.Finish(r.w.now, r.call, slot.Unused, 0)
	}
	r.target, r.call = "", nil
}

func (r *request) cancel() {
	if r.over || r.h.dead || r.h.paused || r.job != nil {
		return
	}
	if r.call != nil && r.target == "" && !r.h.n.Cancel(r.w.now, r.call) {
		if v := <-r.call.Verdict; v.Reason == "" {
			r.target = v.Target.Worker
		}
	}
	r.back()
	r.end("cancelled")
}

// send hands the request to the minion and applies the rules on what may run where.
func (r *request) send() {
	w, m := r.w, r.w.minions[r.target]
	r.tried = append(r.tried, r.target)
	if m.refuse {
		r.h.n.Finish(w.now, r.call, slot.Leaving, 0)
		r.h.n.Leaving(w.now, r.target)
		r.target, r.call = "", nil
		r.retry()
		return
	}
	m.running++
	w.running[r.team]++
	w.check(m.running <= m.Slots, "%d running on %s, sent by %s", m.running, r.target, r.h.id())
	limit := 0
	for _, h := range w.live() {
		limit = max(limit, h.n.cfg.Contracts[r.team].Limit)
	}
	w.check(w.running[r.team] <= limit, "%d running of %s, limit %d, sent by %s", w.running[r.team], r.team, limit, r.h.id())
	since := m.leavingSince
	if r.h.resumed.After(since) {
		since = r.h.resumed
	}
	w.check(m.leavingSince.IsZero() || w.now.Sub(since) < 2*time.Second, "%s got work %s after it began to leave", r.target, w.now.Sub(since))
	if r.id != "" {
		w.sent[r.id]++
		w.check(w.sent[r.id] == 1, "id %s sent twice", r.id)
	}
	r.mayRun = true
	ends := w.now.Add(r.run)
	r.job = &job{r: r, minion: m, started: w.now, ends: ends, outcome: slot.OK}
	if m.fails {
		r.job.ends, r.job.outcome = w.now.Add(hop), slot.Failed
	}
	if r.job.ends.After(r.deadline) {
		r.job.ends, r.job.outcome = r.deadline, slot.Silent
	}
	w.jobs = append(w.jobs, r.job)
}

// runJobs ends the runs that are due, whether or not their sender still exists.
func (w *world) runJobs() {
	w.jobs = slices.DeleteFunc(w.jobs, func(j *job) bool {
		if w.now.Before(j.ends) {
			return false
		}
		j.done = true
		j.minion.running--
		w.running[j.r.team]--
		return true
	})
}

func (r *request) finished() {
	j := r.job
	r.h.n.Finish(r.w.now, r.call, j.outcome, j.ends.Sub(j.started))
	r.job, r.target, r.call = nil, "", nil
	switch {
	case j.outcome == slot.OK:
		r.end("ran")
	case r.id != "":
		r.end("outcome unknown")
	default:
		r.retry()
	}
}

func (r *request) retry() {
	if len(r.tried) > 2 || !r.w.now.Before(r.deadline) {
		r.end("gave up")
		return
	}
	r.queue(false)
}

func (r *request) end(answer string) {
	r.w.check(!r.over, "request %q ended twice", r.id)
	r.over, r.answer = true, answer
	if r.reg == nil {
		return
	}
	state := claim.State(0)
	switch {
	case answer == "ran":
		state = claim.Finished
	case r.mayRun:
		state = claim.Unknown
	}
	r.w.check(state != 0 || r.w.sent[r.id] == 0 || r.answer != "ran", "id %s released after it ran", r.id)
	r.h.n.EndRegistration(r.w.now, r.reg, state)
}
