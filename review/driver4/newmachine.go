package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// newMachineSettings are those of a small deployment.
const newMachineSettings = `[pool.rounds]
workers = 8
cores = 16
memory = 32768
zones = zone-a
[queue.rounds]
host = rounds.example
prefix = /rounds/
pool = rounds
[account.arbiters]
keys = key-1
`

const (
	waveTerm = 20 * time.Second
	// listedAfter is more than the time until a new machine is in each list of machines that is read.
	listedAfter = 5 * time.Second
	// newMachines is the number of machines that are added, machineInterval the time between two.
	newMachines     = 4
	machineInterval = 2700 * time.Millisecond
	// afterWaves is the time after the last wave in which a machine may still begin its maintenance.
	afterWaves = 15 * time.Second
)

// untouchedMachines counts the new machines that still carry the worker with which they were added.
func (s *system) untouchedMachines() (int, error) {
	var state struct {
		Machines []struct {
			ID     string `json:"id"`
			Worker string `json:"worker"`
		} `json:"machines"`
	}
	if err := s.command(http.MethodGet, "/state", nil, &state); err != nil {
		return 0, err
	}
	untouched := 0
	for _, m := range state.Machines {
		if before, isNew := s.added[m.ID]; isNew && before == m.Worker {
			untouched++
		}
	}
	return untouched, nil
}

// playNewMachine adds machines one after the other, and requests the maintenance of each at once; without
// trouble, some seconds later.
func playNewMachine(ctx context.Context, s *system, trouble bool) (verdict, error) {
	time.Sleep(5 * time.Second)
	early := 0
	for range newMachines {
		if err := s.maintainNewMachine(ctx, trouble); err != nil {
			return verdict{}, err
		}
		time.Sleep(machineInterval)
	}
	time.Sleep(afterWaves)
	violations, err := s.violations()
	if err != nil {
		return verdict{}, err
	}
	for _, v := range violations {
		s.record.note("platform: %s %s %s", v.Check, v.Worker, v.Detail)
		if v.Check == "early-wave-end" {
			early++
		}
	}
	untouched, err := s.untouchedMachines()
	if err != nil {
		return verdict{}, err
	}
	text := fmt.Sprintf("%d of %d waves were shown as succeeded before their machine had begun its maintenance; %d machines have not been maintained %v after the last wave", early, newMachines, untouched, afterWaves)
	return verdict{early > 0, text}, nil
}

// maintainNewMachine adds a machine, requests its maintenance, and waits until the wave is shown as
// succeeded.
func (s *system) maintainNewMachine(ctx context.Context, trouble bool) error {
	var added struct {
		Machine string `json:"machine"`
		Worker  string `json:"worker"`
	}
	if err := s.command(http.MethodPost, "/workers/add", map[string]any{"pool": "rounds", "zone": "zone-a"}, &added); err != nil {
		return err
	}
	s.added[added.Machine] = added.Worker
	if !trouble {
		time.Sleep(listedAfter)
	}
	var wave struct {
		Wave int64 `json:"wave"`
	}
	request := map[string]any{"machines": []string{added.Machine}, "limit": 1, "term": waveTerm.String()}
	if err := s.command(http.MethodPost, "/waves", request, &wave); err != nil {
		return err
	}
	state := ""
	for deadline := time.Now().Add(waveTerm + 5*time.Second); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		var answer struct {
			State string `json:"state"`
		}
		if err := s.command(http.MethodGet, "/waves/"+strconv.FormatInt(wave.Wave, 10), nil, &answer); err != nil {
			return err
		}
		if answer.State != state {
			state = answer.State
			s.record.note("operator: wave %d of machine %s is %q", wave.Wave, added.Machine, state)
		}
		if state == "succeeded" {
			return nil
		}
	}
	return errors.New("the wave has not ended: " + state)
}
