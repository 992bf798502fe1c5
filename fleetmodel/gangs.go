package fleetmodel

import (
	"time"

	"egretdrum.example/job"
)

// gangRun identifies one run of a gang: its members share the number of the run.
type gangRun struct {
	step string
	run  int64
}

// joinGang adds a member that is present. The gang works once all members are.
func (f *Fleet) joinGang(now time.Time, m *machine, t job.Task, run int64) {
	g := gangRun{t.StepName(), run}
	if f.gangs[g] == nil {
		f.gangs[g] = make(map[job.Task]*machine)
	}
	f.gangs[g][t] = m
	if len(f.gangs[g]) < f.jobs[t.Job].Steps[t.Step].Count {
		return
	}
	for member, on := range f.gangs[g] {
		if on.model != nil {
			on.model.BeginGang(now, member, run)
		}
	}
}

// leaveGang removes a member that has ended. The other members are broken if it has not ended
// as done.
func (f *Fleet) leaveGang(now time.Time, g gangRun, t job.Task, broken bool) {
	members := f.gangs[g]
	if members == nil {
		return
	}
	delete(members, t)
	if len(members) == 0 {
		delete(f.gangs, g)
	}
	if !broken {
		return
	}
	for member, on := range members {
		delete(members, member)
		if on.model == nil {
			continue
		}
		if e, ok := on.model.Break(now, member, g.run); ok {
			f.recorder.End(now, on.workerID, e)
			f.ends = append(f.ends, End{now, on.workerID, on.model.Incarnation(), e.Task, e.Run, e.Reason, e.Checkpoint})
		}
	}
	delete(f.gangs, g)
}
