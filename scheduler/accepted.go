package scheduler

import (
	"fmt"
	"maps"
	"slices"

	"egretdrum.example/catalog"
	"egretdrum.example/job"
	"egretdrum.example/resource"
)

// A job stays tied to the queue and the account that accepted it. A later configuration may give them other
// names, or remove them; the job then goes on with the terms on which it was accepted.

// formerQueue identifies a queue that is not configured any more by what its jobs have stored of it.
type formerQueue struct {
	name, pool string
	terms      job.Terms
}

// queueOf returns the queue of a job: the present one or, if it was removed, the one that accepted the job.
// It is nil for a job of a build that did not store its terms, if this owner has never seen the queue.
func (s *Scheduler) queueOf(j *jobState) *catalog.Queue {
	if s.catalog == nil {
		return nil
	}
	if q := s.catalog.AcceptedBy(j.spec.Queue, j.spec.Origin); q != nil {
		return q
	}
	if q := s.seenQueues[j.spec.Queue]; q != nil && q.Covers(j.spec.Queue, j.spec.Origin) {
		return q
	}
	if j.spec.Terms == nil || !j.spec.Origin.Known() {
		return nil
	}
	f := formerQueue{j.spec.Queue, j.spec.Origin.Pool, *j.spec.Terms}
	q := s.formerQueues[f]
	if q == nil {
		q = &catalog.Queue{Name: f.name, Pool: f.pool, Priority: f.terms.Priority, MaxAttempts: f.terms.MaxAttempts, Stretch: f.terms.Stretch, Allowance: f.terms.Allowance}
		if a := f.terms.Advice; a != (job.AdviceTerms{}) {
			q.Advice = &catalog.Advice{BaseTime: a.BaseTime, TimePerWorker: a.TimePerWorker, TicketLifetime: a.TicketLifetime}
		}
		s.formerQueues[f] = q
	}
	return q
}

// accountOf returns the name of the present account of a job, and that of the one that accepted it if it was
// removed.
func (s *Scheduler) accountOf(spec *job.Job) string {
	if s.catalog != nil && spec.Account != "" {
		if a := s.catalog.AcceptedFrom(spec.Account, spec.Origin); a != nil {
			return a.Name
		}
	}
	return spec.Account
}

// limitOf returns the limit of the account of a job. That of a removed account still holds for its jobs.
func (s *Scheduler) limitOf(j *jobState) resource.Amount {
	if a := s.catalog.Accounts[j.account]; a != nil {
		return a.Limit
	}
	if j.spec.Terms != nil {
		return j.spec.Terms.Limit
	}
	return resource.Amount{}
}

// adoptNames ties all jobs to the present queues and accounts after a change of the configuration.
func (s *Scheduler) adoptNames() {
	maps.Copy(s.seenQueues, s.catalog.Queues)
	changed, used := make(map[string]int), make(map[string]bool)
	for _, j := range s.jobs {
		used[j.spec.Queue] = true
		j.account = s.accountOf(j.spec)
		if note := s.changeOf(j); note != "" && !j.state.Final() {
			changed[note]++
		}
	}
	maps.DeleteFunc(s.seenQueues, func(name string, _ *catalog.Queue) bool { return s.catalog.Queues[name] == nil && !used[name] })
	s.sumAccounts()
	for _, note := range slices.Sorted(maps.Keys(changed)) {
		if s.changeLogged[note] != changed[note] {
			s.logEvent(LogEvent{Event: "jobs-kept", AffectedCount: changed[note], Reason: note})
		}
	}
	s.changeLogged = changed
}

// changeOf says how the queue of a job differs from the one that accepted it, and is empty if it does not.
func (s *Scheduler) changeOf(j *jobState) string {
	switch q := s.catalog.AcceptedBy(j.spec.Queue, j.spec.Origin); {
	case q != nil && q.Name == j.spec.Queue:
		return ""
	case q != nil:
		return fmt.Sprintf("queue %s is %s now", j.spec.Queue, q.Name)
	}
	return fmt.Sprintf("queue %s is not configured any more", j.spec.Queue)
}

// sumAccounts computes what the runs of each account use.
func (s *Scheduler) sumAccounts() {
	clear(s.accounts)
	for _, w := range s.workers {
		for _, r := range w.runs {
			s.addUse(r.step.job.account, r.step.spec.Need)
		}
	}
}
