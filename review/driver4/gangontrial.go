package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// gangOnTrialSettings are those of a small deployment with ten racks of one worker each.
const gangOnTrialSettings = `[pool.rounds]
workers = 10
cores = 16
memory = 32768
zones = zone-a
racks = 10
[queue.rounds]
host = rounds.example
prefix = /rounds/
pool = rounds
max-attempts = 3
[account.arbiters]
keys = key-1
`

const (
	// Of the jobs of the queue, hopelessJobs can never be done: 0.055 of all within soundTime.
	hopelessJobs = 3
	soundJobs    = 52
	soundTime    = 3 * time.Second
	gangID       = "00000000000000f9"
	gangMembers  = 4
	// calmBefore is the time between the end of the last hopeless job and the gang.
	calmBefore = 10 * time.Second
)

// playGangOnTrial hands in jobs of which a few, for one rack, can never be done, and after these have failed
// a gang for the same rack.
func playGangOnTrial(_ context.Context, s *system, trouble bool) (verdict, error) {
	rack, err := s.lastRack()
	if err != nil {
		return verdict{}, err
	}
	for i := range soundJobs {
		if err := s.submit("rounds", fmt.Sprintf("%016x", 0xa00+i), "key-1", "run-time=100ms", []step{{Count: 1, CPU: 500, EstRuntimeMs: 100}}); err != nil {
			return verdict{}, err
		}
		time.Sleep(soundTime / soundJobs)
	}
	if trouble {
		if err := s.submitHopeless(rack); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(calmBefore)
	if err := s.submit("rounds", gangID, "key-1", "run-time=500ms", []step{{Count: gangMembers, CPU: 500, EstRuntimeMs: 500, Constraints: rack, Gang: true}}); err != nil {
		return verdict{}, err
	}
	state := s.awaitState("rounds", gangID, "key-1", finishAfter+idleFor, "succeeded")
	starts, err := s.starts()
	if err != nil {
		return verdict{}, err
	}
	begun := len(ofJob(starts, gangID))
	switch {
	case state == "succeeded":
		return verdict{false, "the gang was done"}, nil
	case begun > 0:
		return verdict{}, errors.New("the gang has begun and is not done")
	}
	return verdict{true, fmt.Sprintf("the gang is shown as %q and nothing of it has run %v after it was accepted, with ten idle workers", state, finishAfter+idleFor)}, nil
}

// submitHopeless hands in jobs for a rack that can never be done, and waits until they have failed.
func (s *system) submitHopeless(rack string) error {
	ids := make([]string, hopelessJobs)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", 0xf0+i)
		if err := s.submit("rounds", ids[i], "key-1", "run-time=200ms failures=9", []step{{Count: 2, CPU: 500, EstRuntimeMs: 200, Constraints: rack}}); err != nil {
			return err
		}
	}
	for _, id := range ids {
		if got := s.awaitState("rounds", id, "key-1", 40*time.Second, "failed"); got != "failed" {
			return errors.New("a hopeless job is shown as " + got)
		}
	}
	return nil
}

// lastRack returns the rack of the last worker.
func (s *system) lastRack() (string, error) {
	var state struct {
		Workers []struct {
			Rack string `json:"rack"`
		} `json:"workers"`
	}
	if err := s.command(http.MethodGet, "/state", nil, &state); err != nil {
		return "", err
	}
	last := len(state.Workers) - 1
	if last < 0 || state.Workers[last].Rack == "" {
		return "", errors.New("the platform lists no rack")
	}
	return state.Workers[last].Rack, nil
}
