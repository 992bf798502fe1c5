package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// largeRecordSettings are those of a small deployment with two queues, each with its own pool.
const largeRecordSettings = `[pool.rounds]
workers = 6
cores = 16
memory = 32768
zones = zone-a
[pool.standings]
workers = 4
cores = 16
memory = 32768
zones = zone-a
[queue.rounds]
host = rounds.example
prefix = /rounds/
pool = rounds
stretch = 4
allowance = 120s
[queue.standings]
host = standings.example
prefix = /standings/
pool = standings
[account.arbiters]
keys = key-1
`

const (
	smallTasksID    = "00000000000000b1"
	standingsID     = "00000000000000b2"
	smallTasksCount = 8000
	smallTasksTime  = 90 * time.Second
	// cutFor is how long a worker is cut off, finishAfter the time after which jobs are asked for.
	cutFor      = 5 * time.Second
	finishAfter = 14 * time.Second
	idleFor     = 3 * time.Second
)

// playLargeRecord cuts off a worker on which thousands of small tasks run, and then hands a job in to
// another queue, which has used no pool before.
func playLargeRecord(ctx context.Context, s *system, trouble bool) (verdict, error) {
	spec := fmt.Sprintf("run-time=%s", smallTasksTime)
	if err := s.submit("rounds", smallTasksID, "key-1", spec, []step{{Count: smallTasksCount, CPU: 1, Memory: 1, EstRuntimeMs: smallTasksTime.Milliseconds()}}); err != nil {
		return verdict{}, err
	}
	if _, err := s.awaitStarts(ctx, smallTasksID, smallTasksCount, 30*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		starts, err := s.starts()
		if err != nil {
			return verdict{}, err
		}
		cut := busiest(ofJob(starts, smallTasksID))
		fault := map[string]any{"target": "workers", "name": cut, "kind": "silent", "for": cutFor.String()}
		if err := s.command(http.MethodPost, "/faults", fault, nil); err != nil {
			return verdict{}, err
		}
		time.Sleep(cutFor + time.Second)
	}
	if err := s.submit("standings", standingsID, "key-1", "run-time=300ms", []step{{Count: 4, CPU: 500, EstRuntimeMs: 300}}); err != nil {
		return verdict{}, err
	}
	state := s.awaitState("standings", standingsID, "key-1", finishAfter+idleFor, "succeeded")
	starts, err := s.starts()
	if err != nil {
		return verdict{}, err
	}
	begun := len(ofJob(starts, standingsID))
	switch {
	case state == "succeeded":
		return verdict{false, "the job of the other queue was done"}, nil
	case begun > 0:
		return verdict{}, errors.New("the job has begun and is not done")
	}
	text := fmt.Sprintf("job %s is shown as %q and nothing of it has run %v after it was accepted, with four idle workers", standingsID, state, finishAfter+idleFor)
	return verdict{true, text}, nil
}

// busiest returns the worker with the most starts.
func busiest(starts []event) string {
	counts, most := make(map[string]int), ""
	for _, e := range starts {
		if counts[e.Worker]++; counts[e.Worker] > counts[most] {
			most = e.Worker
		}
	}
	return most
}
