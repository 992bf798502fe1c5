package scheduler

import (
	"cmp"
	"slices"
	"time"

	"egretdrum.example/catalog"
	"egretdrum.example/job"
)

// AdviceRequest asks the advice service which of the workers may run a step; report the answer by
// AdviceAnswered.
type AdviceRequest struct {
	// Step is named by its first task.
	Step job.Task
	// Workers holds the IDs of at most maxAdviceWorkers workers.
	Workers []string
	// Timeout is how long to wait for the answer.
	Timeout time.Duration

	incarnations []int64 // of the workers
}

// ticket is the permission to run a step on one incarnation of a worker.
type ticket struct {
	value       string
	incarnation int64
	until       time.Time
	// refused is set if the worker may never run the step.
	refused bool
}

const (
	// maxAdviceWorkers is the largest number of workers in a request. Each of them costs time,
	// and a step seldom needs more; if it does, another request follows.
	maxAdviceWorkers = 30
	// maxAdviceInFlight bounds the requests in flight: the service answers them one after the
	// other, so with more of them a request for a step that goes first would have to queue.
	maxAdviceInFlight = 4
	// adviceRetryDelay is the delay after a request that was not answered.
	adviceRetryDelay = 150 * time.Millisecond
	// adviceTimeoutMargin is added to the time that the service states for a request.
	adviceTimeoutMargin = time.Second
	// ticketMargin is how long before its expiry a ticket is used for the last time, as the start
	// needs time to reach the worker.
	ticketMargin = 150 * time.Millisecond
)

// advice returns the advice settings of the queue of a step, nil if it needs no advice.
func (s *Scheduler) advice(st *stepState) *catalog.Advice {
	if q := s.queueOf(st.job); q != nil {
		return q.Advice
	}
	return nil
}

// advisedWorkers narrows the workers down to those that may run the step now, and requests advice
// on others while these have too little free capacity for the waiting tasks.
func (s *Scheduler) advisedWorkers(st *stepState, workers []*workerState) []*workerState {
	a := s.advice(st)
	if a == nil {
		return workers
	}
	var allowed, unknown []*workerState
	fitting := 0
	for _, w := range workers {
		t := st.tickets[w.registration.ID]
		switch {
		case t != nil && t.refused:
		case t != nil && t.validFor(w, s.now):
			allowed = append(allowed, w)
			fitting += s.tasksFitting(st, w)
		default:
			unknown = append(unknown, w)
		}
	}
	if fitting < len(st.waitingTasks) {
		s.requestAdvice(st, a, unknown)
	}
	return allowed
}

// validFor reports whether the ticket is valid for the present incarnation of the worker.
func (t *ticket) validFor(w *workerState, now time.Time) bool {
	return t.value != "" && t.incarnation == w.currentIncarnation() && now.Before(t.until)
}

// requestAdvice requests advice on the workers with the highest scores on which a task fits,
// unless a request for the step is in flight or has just failed.
func (s *Scheduler) requestAdvice(st *stepState, a *catalog.Advice, workers []*workerState) {
	if st.adviceInFlight || s.adviceInFlight >= maxAdviceInFlight || s.now.Before(st.askAfter) {
		return
	}
	workers = slices.DeleteFunc(slices.Clone(workers), func(w *workerState) bool { return s.tasksFitting(st, w) == 0 })
	if len(workers) == 0 {
		return
	}
	slices.SortStableFunc(workers, func(a, b *workerState) int {
		return cmp.Compare(s.score(st, st.waitingTasks[0], b, 0), s.score(st, st.waitingTasks[0], a, 0))
	})
	workers = workers[:min(len(workers), maxAdviceWorkers)]
	st.adviceInFlight = true
	s.adviceInFlight++
	request := AdviceRequest{Step: st.name(0), Timeout: maxAdviceInFlight*(a.BaseTime+time.Duration(len(workers))*a.TimePerWorker) + adviceTimeoutMargin}
	for _, w := range workers {
		request.Workers = append(request.Workers, w.registration.ID)
		request.incarnations = append(request.incarnations, w.currentIncarnation())
	}
	s.actions.Advice = append(s.actions.Advice, request)
}

// AdviceAnswered reports the answer to a request: the tickets of the workers that may run the
// step, by worker ID. ok is false if there was no answer.
func (s *Scheduler) AdviceAnswered(q AdviceRequest, tickets map[string]string, ok bool, now time.Time) {
	s.now = now
	s.adviceInFlight--
	st := s.step(q.Step)
	if st == nil {
		return
	}
	st.adviceInFlight = false
	if queue := s.queueOf(st.job); queue != nil {
		s.changedPools[queue.Pool] = true
	}
	a := s.advice(st)
	if !ok || a == nil {
		st.askAfter = now.Add(adviceRetryDelay)
		s.logEvent(LogEvent{Event: "advice-missing", Job: q.Step.Job, Task: q.Step, AffectedCount: len(q.Workers)})
		return
	}
	if st.tickets == nil {
		st.tickets = make(map[string]*ticket)
	}
	for i, id := range q.Workers {
		value := tickets[id]
		st.tickets[id] = &ticket{value: value, incarnation: q.incarnations[i], until: now.Add(a.TicketLifetime - ticketMargin), refused: value == ""}
	}
	s.logEvent(LogEvent{Event: "advice-taken", Job: q.Step.Job, Task: q.Step, AffectedCount: len(tickets)})
}

// ticketFor returns the ticket for a start, empty if the queue needs none.
func (st *stepState) ticketFor(w *workerState) string {
	if t := st.tickets[w.registration.ID]; t != nil {
		return t.value
	}
	return ""
}

// refusedBy reports whether the advice forbids the step on a worker.
func (st *stepState) refusedBy(w *workerState) bool {
	t := st.tickets[w.registration.ID]
	return t != nil && t.refused
}

// currentIncarnation returns the newest incarnation of the worker that is known from its answers, its
// registration or the record of the previous owner.
func (w *workerState) currentIncarnation() int64 {
	return max(w.incarnation, w.registration.Incarnation, w.recordedIncarnation)
}
