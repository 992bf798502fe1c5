package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	shortPause = time.Second
	// goneFor is longer than a case: the worker is lost for good.
	goneFor = "300s"
)

var errNotPlaced = errors.New("a job does not run where the case needs it")

// The steps of the cases with a full pool of workers with 16 cores.
var (
	// spread takes just under half of six workers.
	spread = step{Count: 6, CPU: 7900, Memory: 1024, EstimateMs: 900, AntiAffinity: 1, LongRunning: true}
	// burst fills two workers for ten seconds.
	burst = step{Count: 2, CPU: 16000, Memory: 1024, EstimateMs: 10000}
	small = step{Count: 1, CPU: 9000, Memory: 1024, EstimateMs: 900, LongRunning: true}
	large = step{Count: 2, CPU: 10000, Memory: 1024, EstimateMs: 900, LongRunning: true}
)

const (
	spreadID = "0000000000000001"
	smallID  = "0000000000000002"
	burstID  = "0000000000000003"
	largeID  = "0000000000000004"
)

// reserved loses the worker of a task that lasts while a larger one of a later job waits for workers
// that are reserved for it.
func reserved(ctx context.Context, s *session) (string, error) {
	if err := s.awaitHosts(ctx); err != nil {
		return "", err
	}
	for _, j := range []struct {
		queue, id, spec string
		step            step
	}{{"sync", spreadID, "", spread}, {"sync", smallID, "", small}, {"blitz", burstID, "run-time=10s", burst}, {"sync", largeID, "", large}} {
		if err := s.submitAccepted(ctx, j.queue, j.id, j.spec, j.step); err != nil {
			return "", err
		}
		if err := pause(ctx, shortPause); err != nil {
			return "", err
		}
	}
	f, err := s.fleet(ctx)
	if err != nil {
		return "", err
	}
	s.noteFleet(f)
	machine := f.machineOf(smallID)
	if machine == "" {
		return "", fmt.Errorf("%w: %s", errNotPlaced, smallID)
	}
	if s.trouble {
		if err := s.crash(ctx, machine, goneFor); err != nil {
			return "", err
		}
	}
	return s.judgeStarved(ctx, []lasting{{spreadID, spread}, {smallID, small}, {largeID, large}})
}

// crash crashes the worker of a machine. It is back under its ID after a time.
func (s *session) crash(ctx context.Context, machine, downFor string) error {
	return s.command(ctx, http.MethodPost, "/workers/"+machine+"/restart", struct {
		DownFor string `json:"down-for"`
		NewID   bool   `json:"new-id"`
	}{downFor, false}, nil)
}

// machineOf returns the machine whose worker runs the first task of a job.
func (f *fleet) machineOf(id string) string {
	for _, w := range f.Workers {
		for _, r := range w.Running {
			if strings.HasPrefix(r.Task, id+".") {
				return w.Machine
			}
		}
	}
	return ""
}
