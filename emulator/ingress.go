package emulator

import (
	"net/http"
	"net/netip"
	"time"

	"egretdrum.example/catalog"
	"egretdrum.example/job"
	"egretdrum.example/platform/emulated"
	"egretdrum.example/progress"
)

// jobState is a job as callers know it.
type jobState struct {
	job   *job.Job
	state string
	shown progress.State
}

// jobList has the jobs that passed the ingress, in this order.
type jobList struct {
	byID  map[string]*jobState
	order []string
}

func newJobList() jobList { return jobList{byID: make(map[string]*jobState)} }

// The states of a submission.
const (
	jobSent      = "sent"
	jobAccepted  = "accepted"
	jobRefused   = "refused"
	jobCancelled = "cancelled"
)

func (l *jobList) add(j *job.Job) {
	if l.byID[j.ID] == nil {
		l.byID[j.ID] = &jobState{job: j, state: jobSent}
		l.order = append(l.order, j.ID)
	}
}

// set changes the state of a job, unless it is known to be cancelled or, for a refusal, accepted.
func (l *jobList) set(id, state string) {
	j := l.byID[id]
	if j == nil || j.state == jobCancelled || state == jobRefused && j.state == jobAccepted {
		return
	}
	j.state = state
}

// ingressHandler returns the handler for the calls of callers.
func (e *Emulator) ingressHandler() http.Handler {
	locked := func(id string, f func(now time.Time, id string)) {
		e.mu.Lock()
		defer e.mu.Unlock()
		f(time.Now(), id)
	}
	return &emulated.Ingress{
		Gate: e.gate, Host: e.chooseHost, Transport: &http.Transport{MaxIdleConnsPerHost: 64},
		Catalog: func() *catalog.Catalog { e.mu.Lock(); defer e.mu.Unlock(); return e.catalog },
		Account: func(key string) string { e.mu.Lock(); defer e.mu.Unlock(); return e.accounts[key] },
		Submitted: func(j *job.Job) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.jobs.byID[j.ID] == nil {
				e.fleet.AddJob(j)
			}
			e.jobs.add(j)
			e.recorder.Submit(j)
		},
		Accepted: func(id string) {
			locked(id, func(now time.Time, id string) { e.jobs.set(id, jobAccepted); e.recorder.Accept(now, id) })
		},
		Refused: func(id string) {
			locked(id, func(_ time.Time, id string) { e.jobs.set(id, jobRefused); e.recorder.Refuse(id) })
		},
		Cancelled: func(id string) {
			locked(id, func(now time.Time, id string) { e.jobs.set(id, jobCancelled); e.recorder.Cancel(now, id) })
		},
		Shown: func(id string, state progress.State) {
			locked(id, func(now time.Time, id string) {
				if j := e.jobs.byID[id]; j != nil {
					j.shown = state
				}
				e.recorder.Show(now, id, state)
			})
		},
		Unknown: func(id string) {
			locked(id, func(now time.Time, id string) { e.recorder.ShowUnknown(now, id) })
		},
		KeyAccepted: func(sent time.Time, id, key string) {
			locked(id, func(now time.Time, id string) { e.recorder.AcceptKey(now, sent, id, key) })
		},
	}
}

// chooseHost returns the host with the given name, or the next one that is ready.
func (e *Emulator) chooseHost(name string) (string, netip.AddrPort, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for range e.hosts {
		e.nextHost = (e.nextHost + 1) % len(e.hosts)
		h := e.hosts[e.nextHost]
		if name == h.Name || name == "" && h.misses < missesNotReady {
			return h.Name, h.Callers, true
		}
	}
	return "", netip.AddrPort{}, false
}
