package emulator

import (
	"net/http"
	"strconv"
	"time"

	"egretdrum.example/fleetmodel"
	"egretdrum.example/platform"
	"egretdrum.example/platform/emulated"
	"egretdrum.example/progress"
	"egretdrum.example/worker"
)

type runRow struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	Percent int    `json:"percent"`
}

type workerRow struct {
	ID             string   `json:"id"`
	Machine        string   `json:"machine"`
	Pool           string   `json:"pool"`
	Zone           string   `json:"zone"`
	Rack           string   `json:"rack"`
	Address        string   `json:"address"`
	Incarnation    int64    `json:"incarnation"`
	State          string   `json:"state"`
	Capacity       amount   `json:"capacity"`
	Used           amount   `json:"used"`
	Fence          int64    `json:"fence"`
	Running        []runRow `json:"running"`
	Unacknowledged int      `json:"unacknowledged-ends"`
}

type machineRow struct {
	ID     string `json:"id"`
	Pool   string `json:"pool"`
	State  string `json:"state"`
	Worker string `json:"worker"`
	Zone   string `json:"zone"`
}

type faultRow struct {
	Fault   int        `json:"fault"`
	Target  string     `json:"target"`
	Machine string     `json:"machine,omitempty"`
	Host    string     `json:"host,omitempty"`
	Kind    string     `json:"kind,omitempty"`
	Delay   string     `json:"delay,omitempty"`
	Share   float64    `json:"share"`
	Until   *time.Time `json:"until,omitempty"`
	Calls   []string   `json:"calls,omitempty"`
}

type hostRow struct {
	Name    string `json:"name"`
	Callers string `json:"callers"`
	Ready   bool   `json:"ready"`
}

type storeRow struct {
	Revision int64          `json:"revision"`
	Keys     int            `json:"keys"`
	Calls    map[string]int `json:"calls"`
}

var storeCalls = []string{"get", "range", "watch", "commit", "grant", "renew", "revoke"}

func (e *Emulator) getState(*http.Request) (any, error) {
	now := time.Now()
	state := struct {
		Now        time.Time      `json:"now"`
		Seed       int64          `json:"seed"`
		Version    int64          `json:"configuration-version"`
		Workers    []workerRow    `json:"workers"`
		Machines   []machineRow   `json:"machines"`
		Store      storeRow       `json:"store"`
		Jobs       map[string]int `json:"jobs"`
		Faults     []faultRow     `json:"faults"`
		Hosts      []hostRow      `json:"hosts"`
		Violations int            `json:"violations"`
		Starts     int            `json:"starts"`
		Ends       int            `json:"ends"`
	}{
		Now: now, Seed: e.settings.Seed, Version: e.catalog.Version, Workers: []workerRow{}, Machines: []machineRow{},
		Store: e.storeState(), Jobs: e.jobs.counts(), Faults: e.faults.rows(), Hosts: []hostRow{},
		Violations: len(e.recorder.Violations()), Starts: len(e.fleet.Starts()), Ends: len(e.fleet.Ends()),
	}
	for _, s := range e.fleet.State(now) {
		state.Machines = append(state.Machines, machineRow{s.ID, s.Pool, string(s.State), s.Worker, s.Zone})
		if s.Worker != "" || s.State == worker.Down {
			state.Workers = append(state.Workers, newWorkerRow(&s))
		}
	}
	for _, h := range e.hosts {
		state.Hosts = append(state.Hosts, hostRow{h.Name, h.Callers.String(), h.misses < missesNotReady})
	}
	return state, nil
}

func newWorkerRow(s *fleetmodel.WorkerState) workerRow {
	row := workerRow{
		s.Worker, s.ID, s.Pool, s.Zone, s.Rack, s.Address, s.Incarnation, "ready", newAmount(s.Capacity), newAmount(s.Used),
		s.Fence,
		[]runRow{},
		s.Unacknowledged,
	}
	switch {
	case s.State == worker.Down:
		row.State = "down"
	case s.Draining:
		row.State = "draining"
	}
	for i := range s.Running {
		r := &s.Running[i]
		row.Running = append(row.Running, runRow{r.Task.String(), r.Run, r.Percent})
	}
	return row
}

func (e *Emulator) storeState() storeRow {
	row := storeRow{Calls: make(map[string]int)}
	row.Revision, row.Keys = e.store.Status()
	for _, call := range storeCalls {
		row.Calls[call] = e.store.Calls(call)
	}
	return row
}

// counts returns how many jobs are in each state.
func (l *jobList) counts() map[string]int {
	counts := map[string]int{jobSent: 0, jobAccepted: 0, jobRefused: 0, jobCancelled: 0, string(progress.Succeeded): 0, string(progress.Failed): 0}
	for _, j := range l.byID {
		counts[j.state]++
		if j.shown == progress.Succeeded || j.shown == progress.Failed {
			counts[string(j.shown)]++
		}
	}
	return counts
}

func (l *faultList) rows() []faultRow {
	rows := []faultRow{}
	for i := range l.faults {
		f := &l.faults[i]
		row := faultRow{Fault: f.number, Target: f.target, Machine: f.name, Host: f.host, Kind: string(f.kind), Share: f.share, Calls: f.operations}
		if f.delay > 0 {
			row.Delay = f.delay.String()
		}
		if !f.until.IsZero() {
			row.Until = &f.until
		}
		rows = append(rows, row)
	}
	return rows
}

func (e *Emulator) getViolations(*http.Request) (any, error) {
	type row struct {
		At     time.Time `json:"at"`
		Check  string    `json:"check"`
		Job    string    `json:"job,omitempty"`
		Task   string    `json:"task,omitempty"`
		Worker string    `json:"worker,omitempty"`
		Detail string    `json:"detail"`
	}
	answer := struct {
		Violations []row `json:"violations"`
	}{[]row{}}
	for _, v := range e.recorder.Violations() {
		answer.Violations = append(answer.Violations, row{v.At, string(v.Check), v.Job, v.Task, v.Worker, v.Detail})
	}
	return answer, nil
}

// after returns the number in the query after which rows are requested, at most all of them.
func after(r *http.Request, rows int) (int, error) {
	text := r.URL.Query().Get("after")
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	return min(max(0, n), rows), err
}

func (e *Emulator) getStarts(r *http.Request) (any, error) {
	type row struct {
		Number      int       `json:"number"`
		At          time.Time `json:"at"`
		Worker      string    `json:"worker"`
		Incarnation int64     `json:"incarnation"`
		Task        string    `json:"task"`
		Run         int64     `json:"run"`
		Checkpoint  string    `json:"checkpoint,omitempty"`
		Late        bool      `json:"late"`
	}
	starts := e.fleet.Starts()
	first, err := after(r, len(starts))
	if err != nil {
		return nil, err
	}
	answer := struct {
		Starts []row `json:"starts"`
		Last   int   `json:"last"`
	}{[]row{}, len(starts)}
	for i, s := range starts[first:] {
		answer.Starts = append(answer.Starts, row{first + i + 1, s.At, s.Worker, s.Incarnation, s.Task.String(), s.Run, s.Checkpoint, s.Late})
	}
	return answer, nil
}

// endReasons are the names of the ways in which runs end.
var endReasons = map[worker.EndReason]string{
	worker.Done: "done", worker.Failed: "failed", worker.Stopped: "stopped", worker.LeaseExpired: "lease-expired",
	worker.GangBroken: "gang-broken", worker.GangTimeout: "gang-timeout", fleetmodel.Crashed: "crashed",
}

func (e *Emulator) getEnds(r *http.Request) (any, error) {
	type row struct {
		Number      int       `json:"number"`
		At          time.Time `json:"at"`
		Worker      string    `json:"worker"`
		Incarnation int64     `json:"incarnation"`
		Task        string    `json:"task"`
		Run         int64     `json:"run"`
		Reason      string    `json:"reason"`
		Checkpoint  string    `json:"checkpoint,omitempty"`
	}
	ends := e.fleet.Ends()
	first, err := after(r, len(ends))
	if err != nil {
		return nil, err
	}
	answer := struct {
		Ends []row `json:"ends"`
		Last int   `json:"last"`
	}{[]row{}, len(ends)}
	for i, s := range ends[first:] {
		answer.Ends = append(answer.Ends, row{first + i + 1, s.At, s.Worker, s.Incarnation, s.Task.String(), s.Run, endReasons[s.Reason], s.Checkpoint})
	}
	return answer, nil
}

func (e *Emulator) getJobs(*http.Request) (any, error) {
	type row struct {
		ID      string `json:"id"`
		Queue   string `json:"queue"`
		Account string `json:"account"`
		State   string `json:"state"`
		Shown   string `json:"shown"`
		Done    int    `json:"done"`
		Tasks   int    `json:"tasks"`
	}
	answer := struct {
		Jobs []row `json:"jobs"`
	}{[]row{}}
	for _, id := range e.jobs.order {
		j := e.jobs.byID[id]
		done, tasks := e.recorder.Progress(id)
		answer.Jobs = append(answer.Jobs, row{id, j.job.Queue, j.job.Account, j.state, string(j.shown), done, tasks})
	}
	return answer, nil
}

func (e *Emulator) getWave(r *http.Request) (any, error) {
	number, err := strconv.ParseInt(r.PathValue("number"), 10, 64)
	if _, known := e.waves[number]; err != nil || !known {
		return nil, &notFoundError{"wave", r.PathValue("number")}
	}
	answer := struct {
		State string `json:"state"`
	}{}
	if status := e.store.Item(platform.WaveStatusPrefix + r.PathValue("number")); status.Revision > 0 {
		finished, err := emulated.WaveFinished(status.Value)
		if err != nil {
			return nil, err
		}
		answer.State = "running"
		if finished {
			answer.State = "succeeded"
		}
	}
	return answer, nil
}
