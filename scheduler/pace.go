package scheduler

import (
	"fmt"
	"time"

	"egretdrum.example/job"
	"egretdrum.example/worker"
)

// Pace tells a worker to limit a background task to a percentage of its full speed; report it by
// PaceAnswered.
type Pace struct {
	Worker  worker.Entry
	Task    job.Task
	Run     int64
	Percent int
	Fence   int64
}

const (
	// paceInterval is the time between two decisions for a worker, whose latency figures cover the
	// last half second.
	paceInterval = 500 * time.Millisecond
	// initialPace is the percentage at which a background task starts beside a task with a latency
	// target, as it is not known before how much it slows that task down.
	initialPace = 30
	// paceStep is added to the percentage while the tail latency is below tailLow of its target.
	// Above tailHigh the percentage is halved, and above tailHalt the background task is halted.
	paceStep = 10
	tailLow  = 0.7
	tailHigh = 0.9
	tailHalt = 1.3
	// minPace is the lowest percentage besides zero.
	minPace = 10
	// longestCall is how long after it was sent a call may be carried out. It is far above the
	// timeouts of calls to workers.
	longestCall = 3 * time.Second
)

// pace adjusts the speed of the background tasks of a worker to the tail latencies of its tasks with
// a latency target.
func (s *Scheduler) pace(w *workerState) {
	if w.background == 0 || s.now.Sub(w.pacedAt) < paceInterval {
		return
	}
	w.pacedAt = s.now
	tail := w.worstTailRatio()
	for _, r := range w.sortedRuns() {
		if !r.step.spec.Background || r.state != present {
			continue
		}
		percent := nextPace(r.percentAllowed, tail)
		if w.serving == 0 {
			percent = 100
		}
		s.setPace(r, percent)
	}
}

// nextPace returns the percentage that follows the present one. tail is the tail latency as a
// fraction of its target.
func nextPace(percent int, tail float64) int {
	switch {
	case tail > tailHalt:
		return 0
	case tail > tailHigh && percent/2 < minPace:
		return 0
	case tail > tailHigh:
		return percent / 2
	case tail < tailLow:
		return min(100, percent+paceStep)
	}
	return percent
}

// worstTailRatio returns the highest tail latency on the worker as a fraction of its target.
func (w *workerState) worstTailRatio() float64 {
	worst := 0.0
	for _, r := range w.runs {
		if target := r.step.spec.LatencyTarget; target > 0 {
			worst = max(worst, float64(r.load)/float64(target.Milliseconds()))
		}
	}
	return worst
}

// setPace sets the percentage of a run unless the worker has it already. While an unanswered call may
// replace it, and once afterwards, it is sent again.
func (s *Scheduler) setPace(r *run, percent int) {
	if percent == r.percentAllowed && r.paceKnown {
		if r.repeatPaceUntil.IsZero() {
			return
		}
		if s.now.After(r.repeatPaceUntil) {
			r.repeatPaceUntil = time.Time{}
		}
		s.sendPace(r)
		return
	}
	s.logEvent(LogEvent{Event: "task-paced", Job: r.step.job.spec.ID, Task: r.step.name(r.index), Worker: r.worker.registration.ID, Run: r.number, Reason: fmt.Sprintf("%d percent", percent)})
	r.percentAllowed, r.paceKnown = percent, true
	s.sendPace(r)
}

func (s *Scheduler) sendPace(r *run) {
	s.actions.Paces = append(s.actions.Paces, Pace{Worker: r.worker.registration, Task: r.step.name(r.index), Run: r.number, Percent: r.percentAllowed, Fence: r.worker.fence})
}

// PaceAnswered reports whether a pace call was answered; an unanswered one is sent again, and newer
// ones are repeated as long as it may be carried out after them.
func (s *Scheduler) PaceAnswered(a Pace, ok bool, now time.Time) {
	s.now = now
	w := s.workers[a.Worker.ID]
	if ok || w == nil {
		return
	}
	r := w.runs[a.Task]
	if r == nil || r.number != a.Run || r.state != present {
		return
	}
	r.repeatPaceUntil = now.Add(longestCall)
	if r.percentAllowed == a.Percent {
		s.sendPace(r)
	}
}
