package fleetmodel

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"egretdrum.example/job"
	"egretdrum.example/promises"
	"egretdrum.example/workermodel"
)

const (
	// unknownRunTime is the run time of tasks of jobs that the fleet does not know.
	unknownRunTime = 100 * time.Millisecond
	// The run time of a task is its estimate times a factor between these.
	leastRunTimeFactor = 0.8
	runTimeFactorRange = 0.5
	// longRunFailure is the time within which a long-running task fails, if it does.
	longRunFailure = 10 * time.Second
	// failureShare is the share of its run time after which a run fails.
	failureShare = 0.5
	// crashAfter is how long a run that crashes its worker is at work, unless its payload says otherwise.
	crashAfter = 10 * time.Millisecond
)

// words are the settings in the payload of a job that say how its tasks behave.
type words struct {
	runTime     time.Duration
	failures    int64
	failureRate float64
	crashes     int64
	crashAfter  time.Duration
}

// readWords reads the words KEY=VALUE of a payload; all others are ignored.
func readWords(payload string) words {
	w := words{crashAfter: crashAfter}
	for _, word := range strings.Fields(payload) {
		key, value, _ := strings.Cut(word, "=")
		switch key {
		case "run-time":
			if d, err := time.ParseDuration(value); err == nil && d > 0 {
				w.runTime = d
			}
		case "crash-after":
			if d, err := time.ParseDuration(value); err == nil && d > 0 {
				w.crashAfter = d
			}
		case "failures":
			if n, err := strconv.ParseInt(value, 10, 64); err == nil {
				w.failures = n
			}
		case "failure-rate":
			if v, err := strconv.ParseFloat(value, 64); err == nil {
				w.failureRate = v
			}
		case "crashes":
			if n, err := strconv.ParseInt(value, 10, 64); err == nil {
				w.crashes = n
			}
		}
	}
	return w
}

// share returns a number from 0 to 1 that depends on the seed and on the given text only.
func (f *Fleet) share(text string) float64 {
	const steps = 1 << 20
	h := xxhash.New()
	_, _ = h.WriteString(strconv.FormatInt(f.settings.Seed, 10) + " " + text)
	return float64(h.Sum64()%steps) / steps
}

// behavior returns what a run of a task does on a machine.
func (f *Fleet) behavior(m *machine, t job.Task, run int64) workermodel.Behavior {
	j := f.jobs[t.Job]
	if j == nil || t.Step >= len(j.Steps) {
		return workermodel.Behavior{RunTime: unknownRunTime, Slowdown: 1}
	}
	step, w, name := &j.Steps[t.Step], readWords(j.Payload), t.String()
	b := workermodel.Behavior{
		Need: step.Need, Reserved: step.Reserved(), RunTime: w.runTime, Slowdown: 1, LongRunning: step.LongRunning,
		Checkpointing: step.Checkpointing, Gang: step.Gang,
	}
	if b.RunTime == 0 {
		b.RunTime = f.runTime
	}
	if b.RunTime == 0 {
		b.RunTime = time.Duration(float64(step.Estimate) * (leastRunTimeFactor + runTimeFactorRange*f.share(name)))
	}
	if step.Rack != "" && step.Rack != m.rack {
		b.Slowdown = f.settings.Workers.RemoteFactor
	}
	draw := name + "#" + strconv.FormatInt(run, 10)
	b.StopTime = time.Duration(f.share("stop "+draw) * float64(f.settings.Workers.StopTime))
	middle := time.Duration(failureShare * float64(b.RunTime))
	if step.LongRunning {
		middle = time.Duration(f.share("end "+draw) * float64(longRunFailure))
	}
	past := f.started[t]
	if past < w.failures || f.share("fail "+draw) < w.failureRate {
		b.FailAfter = max(middle, time.Millisecond)
	}
	if past < w.crashes {
		b.CrashAfter = w.crashAfter
	}
	return b
}

func promisesStart(workerID string, o *StartOrder) promises.Start {
	return promises.Start{Worker: workerID, Task: o.Task, Run: o.Run, Late: o.Late}
}
