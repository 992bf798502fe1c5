package wave

import (
	"slices"
	"time"

	"egretdrum.example/budget"
	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
)

// Progress is the state of a wave for operators.
type Progress struct {
	Total       int `json:"total"`
	Done        int `json:"done"`
	Out         int `json:"out"`
	Quarantined int `json:"quarantined"`
	// Open lists each worker that is not done, with the reason.
	Open []UnfinishedWorker `json:"open"`
	// Finish is when all workers are expected to be done; it is zero if that is unknown
	// or if they cannot all be done. Note states the assumptions of the estimate, or why
	// there is none.
	Finish time.Time `json:"finish,omitzero"`
	Note   string    `json:"note"`
}

// UnfinishedWorker is a worker that is not done.
type UnfinishedWorker struct {
	Worker string `json:"worker"`
	Step   string `json:"step"`
	Reason string `json:"reason"`
}

// ProgressOf computes the progress of a wave from the document and the host list.
func ProgressOf(cfg *fleet.Config, now time.Time, name string, hosts map[string]hostlist.Host) Progress {
	w := cfg.Waves[name]
	p := Progress{Total: len(w.Workers), Open: []UnfinishedWorker{}}
	tally := budget.NewFor(cfg, hosts, poolsOf(cfg, w))
	var waiting []string
	for _, worker := range sortByDomain(tally, w.Workers) {
		r := cfg.Workers[worker]
		m := maintenanceIn(w, r)
		switch {
		case pending(w, r):
			waiting = append(waiting, worker)
			p.Open = append(p.Open, UnfinishedWorker{worker, "waiting", waitReason(cfg, now, w, tally, worker)})
		case m.Step == fleet.MaintenanceDone:
			p.Done++
		case m.Step == fleet.MaintenanceQuarantined:
			p.Quarantined++
			p.Open = append(p.Open, UnfinishedWorker{worker, string(m.Step), m.Reason})
		default:
			p.Out++
			p.Open = append(p.Open, UnfinishedWorker{worker, string(m.Step), "since " + m.At.Format(time.RFC3339)})
		}
	}
	p.Finish, p.Note = forecast(cfg, now, w, hosts, waiting, p.Out)
	return p
}

func waitReason(cfg *fleet.Config, now time.Time, w fleet.Wave, tally *budget.Tally, worker string) string {
	if w.State != fleet.WaveRunning {
		return "the wave is " + string(w.State) + ": " + w.Cause
	}
	if reason := drainBlocker(cfg, tally, worker); reason != nil {
		return reason.Error()
	}
	if reason := outsideWindow(cfg, now, w); reason != "" {
		return reason
	}
	return "next to be drained"
}

// meanWorkerTime returns the mean measured time from drain to return, or AssumedWorkerTime if
// no worker is done yet.
func meanWorkerTime(cfg *fleet.Config, w fleet.Wave) time.Duration {
	var sum time.Duration
	n := 0
	for _, worker := range w.Workers {
		if m := maintenanceIn(w, cfg.Workers[worker]); m != nil && m.Step == fleet.MaintenanceDone {
			sum += m.At.Sub(m.Began)
			n++
		}
	}
	if n == 0 {
		return AssumedWorkerTime
	}
	return sum / time.Duration(n)
}

// forecast simulates the planner's choice round by round, with the workers that are absent now
// and with the mean time as the length of every round. It returns no time if the wave is not
// running or no waiting worker can be drained.
func forecast(cfg *fleet.Config, now time.Time, w fleet.Wave, hosts map[string]hostlist.Host, waiting []string, active int) (time.Time, string) {
	if w.State != fleet.WaveRunning {
		return time.Time{}, "no finish time: the wave is " + string(w.State) + ": " + w.Cause
	}
	timePerWorker := meanWorkerTime(cfg, w)
	rounds := 0
	if active > 0 {
		rounds = 1
	}
	for tally := tallyWithReturned(cfg, w, hosts); len(waiting) > 0; rounds++ {
		var drained []string
		waiting = slices.DeleteFunc(slices.Clone(waiting), func(worker string) bool {
			if drainBlocker(cfg, tally, worker) != nil {
				return false
			}
			tally.MarkAbsent(worker)
			drained = append(drained, worker)
			return true
		})
		if len(drained) == 0 {
			return time.Time{}, "no finish time: nothing is allowed to leave for " + waiting[0] + ": " + drainBlocker(cfg, tally, waiting[0]).Error()
		}
		for _, worker := range drained {
			tally.MarkServing(worker)
		}
	}
	finish := w.From
	if now.After(finish) {
		finish = now
	}
	finish = finish.Add(time.Duration(rounds) * timePerWorker)
	note := "with the measured mean of " + timePerWorker.Round(time.Second).String() + " for each worker and the absences of now"
	if timePerWorker == AssumedWorkerTime {
		note = "with an assumed " + timePerWorker.String() + " for each worker and the absences of now"
	}
	if finish.After(w.To) {
		note += "; after the end of the window, so workers will be left over"
	}
	return finish, note
}

// tallyWithReturned returns the tally of the budgets as if the workers that the wave has out
// were back.
func tallyWithReturned(cfg *fleet.Config, w fleet.Wave, hosts map[string]hostlist.Host) *budget.Tally {
	tally := budget.NewFor(cfg, hosts, poolsOf(cfg, w))
	for _, worker := range w.Workers {
		if maintenanceIn(w, cfg.Workers[worker]).IsActive() {
			tally.MarkServing(worker)
		}
	}
	return tally
}
