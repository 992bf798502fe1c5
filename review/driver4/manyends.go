package main

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"
)

// manyEndsSettings are those of a small deployment with workers of 16 cores.
const manyEndsSettings = `[pool.rounds]
workers = 4
cores = 16
memory = 32768
zones = zone-a
[queue.rounds]
host = rounds.example
prefix = /rounds/
pool = rounds
stretch = 4
allowance = 60s
[account.arbiters]
keys = key-1
`

const (
	manyEndsID    = "00000000000000a2"
	manyEndsCount = 1500
	manyEndsTime  = 6 * time.Second
	// killBefore is how long before the first end the owner is killed, restartAfter when its process
	// starts again.
	killBefore   = 500 * time.Millisecond
	restartAfter = 3 * time.Second
)

// playManyEnds has many small tasks end on one worker while there is no owner.
func playManyEnds(ctx context.Context, s *system, trouble bool) (verdict, error) {
	if err := s.submit("rounds", "00000000000000a1", "key-1", "run-time=300ms", []step{{Count: 4, CPU: 500, EstRuntimeMs: 300}}); err != nil {
		return verdict{}, err
	}
	if got := s.awaitState("rounds", "00000000000000a1", "key-1", 15*time.Second, "succeeded"); got != "succeeded" {
		return verdict{}, errors.New("the first job is not done: " + got)
	}
	spec := fmt.Sprintf("run-time=%s", manyEndsTime)
	if err := s.submit("rounds", manyEndsID, "key-1", spec, []step{{Count: manyEndsCount, CPU: 10, Memory: 10, EstRuntimeMs: manyEndsTime.Milliseconds()}}); err != nil {
		return verdict{}, err
	}
	first, err := s.awaitStarts(ctx, manyEndsID, manyEndsCount, manyEndsTime)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Until(first.Add(manyEndsTime - killBefore)))
	if trouble {
		owner := s.owner()
		owner.signal(syscall.SIGKILL)
		s.record.note("killed %s, which holds the owner's key", owner.name)
		restarted := make(chan error, 1)
		go func() {
			time.Sleep(restartAfter)
			restarted <- owner.start(owner.process.Path)
			s.record.note("started %s again", owner.name)
		}()
		defer func() { <-restarted }()
	}
	state := s.awaitState("rounds", manyEndsID, "key-1", 40*time.Second, "succeeded", "failed")
	time.Sleep(time.Second)
	return s.judgeTwice(manyEndsID, state)
}

// awaitStarts waits until as many tasks of a job have started, and returns the time of the first start.
func (s *system) awaitStarts(ctx context.Context, id string, count int, within time.Duration) (time.Time, error) {
	for deadline := time.Now().Add(within); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		starts, err := s.starts()
		if err != nil {
			return time.Time{}, err
		}
		if mine := ofJob(starts, id); len(mine) >= count {
			s.record.note("workers: %d tasks of job %s have started within %v", len(mine), id, mine[len(mine)-1].At.Sub(mine[0].At))
			return mine[0].At, nil
		}
	}
	return time.Time{}, errors.New("the tasks have not all started")
}

// judgeTwice judges by the rule TWICE: a start after a run has ended done, if that end is taken note of.
func (s *system) judgeTwice(id, state string) (verdict, error) {
	violations, err := s.violations()
	if err != nil {
		return verdict{}, err
	}
	starts, err := s.starts()
	if err != nil {
		return verdict{}, err
	}
	ends, err := s.ends()
	if err != nil {
		return verdict{}, err
	}
	done := make(map[string]time.Time)
	for _, e := range ofJob(ends, id) {
		if _, known := done[e.Task]; e.Reason == "done" && !known {
			done[e.Task] = e.At
		}
	}
	again := 0
	for _, e := range ofJob(starts, id) {
		if at, ended := done[e.Task]; ended && e.At.After(at) {
			again++
			s.record.note("workers: task %s ended done at %s, and run %d of it started at %s on %s", e.Task, at.Format("15:04:05.000"), e.Run, e.At.Format("15:04:05.000"), e.Worker)
		}
	}
	counts := make(map[string]int)
	for _, v := range violations {
		counts[v.Check]++
		if counts[v.Check] <= 5 {
			s.record.note("platform: %s %s %s %s", v.Check, v.Task, v.Worker, v.Detail)
		}
	}
	text := fmt.Sprintf("job shown as %s; %d starts after the task had ended done; broken promises seen by the platform: %v", state, again, counts)
	return verdict{counts["start-after-done"]+counts["two-runs"] > 0, text}, nil
}
