package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// crashesSettings are those of a small deployment with one pool of eight workers.
const crashesSettings = `[pool.rounds]
workers = 8
cores = 16
memory = 32768
zones = zone-a
[queue.rounds]
host = rounds.example
prefix = /rounds/
pool = rounds
max-attempts = 4
stretch = 4
allowance = 120s
[account.arbiters]
keys = key-1
`

const (
	crashJobs      = 10
	crashJobTasks  = 6
	crashJobTime   = 8 * time.Second
	crashes        = 40
	crashInterval  = 600 * time.Millisecond
	crashDownTime  = time.Second
	crashSeed      = 4
	crashFinishFor = 40 * time.Second
)

// playCrashes crashes one worker of a pool after the other while jobs of sound tasks run there.
func playCrashes(ctx context.Context, s *system, trouble bool) (verdict, error) {
	ids := make([]string, crashJobs)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", 0xe000+i)
		spec := fmt.Sprintf("run-time=%s", crashJobTime)
		if err := s.submit("rounds", ids[i], "key-1", spec, []step{{Count: crashJobTasks, CPU: 500, EstRuntimeMs: crashJobTime.Milliseconds()}}); err != nil {
			return verdict{}, err
		}
	}
	if trouble {
		if err := s.crashWorkers(ctx); err != nil {
			return verdict{}, err
		}
	}
	failed, done := s.awaitFinal(ctx, ids)
	ends, err := s.ends()
	if err != nil {
		return verdict{}, err
	}
	without := 0
	for _, id := range failed {
		reasons := make(map[string]int)
		for _, e := range ofJob(ends, id) {
			reasons[e.Reason]++
		}
		s.record.note("job %s is shown as failed; ends of its runs: %v", id, reasons)
		if reasons["failed"] == 0 {
			without++
		}
	}
	if len(failed)+done == 0 {
		return verdict{}, errors.New("no job has ended")
	}
	return verdict{without > 0, fmt.Sprintf("%d of %d jobs are shown as failed although no run of them has ended so; %d are done", without, crashJobs, done)}, nil
}

// crashWorkers crashes workers in a fixed random order, one at a time.
func (s *system) crashWorkers(ctx context.Context) error {
	var state struct {
		Workers []struct {
			Machine string `json:"machine"`
		} `json:"workers"`
	}
	if err := s.command(http.MethodGet, "/state", nil, &state); err != nil {
		return err
	}
	if len(state.Workers) == 0 {
		return errors.New("the platform lists no workers")
	}
	random := rand.New(rand.NewPCG(crashSeed, crashSeed))
	for range crashes {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		machine := state.Workers[random.IntN(len(state.Workers))].Machine
		body := map[string]any{"down-for": crashDownTime.String()}
		if err := s.command(http.MethodPost, "/workers/"+machine+"/restart", body, nil); err != nil {
			// The machine is down already.
			s.record.note("platform: %v", err)
		}
		time.Sleep(crashInterval)
	}
	return nil
}

// awaitFinal waits until all jobs are shown in a final state, and returns those shown as failed and the
// number of those shown as succeeded.
func (s *system) awaitFinal(ctx context.Context, ids []string) (failed []string, done int) {
	states := make(map[string]string)
	for deadline := time.Now().Add(crashFinishFor); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(500 * time.Millisecond) {
		open := 0
		for _, id := range ids {
			if states[id] == "failed" || states[id] == "succeeded" {
				continue
			}
			status, state := s.state("rounds", id, "key-1")
			if state != states[id] {
				s.record.note("client: GET /rounds/%s -> %d %s", id, status, state)
			}
			states[id] = state
			if state != "failed" && state != "succeeded" {
				open++
			}
		}
		if open == 0 {
			break
		}
	}
	for _, id := range ids {
		switch states[id] {
		case "failed":
			failed = append(failed, id)
		case "succeeded":
			done++
		}
	}
	return failed, done
}
