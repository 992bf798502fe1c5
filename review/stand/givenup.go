package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	outages = 4
	// outageTime is how long the workers are down, outagePause the time from one outage to the next.
	outageTime  = "1.5s"
	outagePause = 3 * time.Second
	// afterOutages is the time from the last outage until the jobs are asked for.
	afterOutages = 14 * time.Second
	lastingJobs  = 4
)

// givenUp crashes all workers of the only rack of a pool a few times. Tasks that last have to be
// started again however they end; no task ends as failed here.
func givenUp(ctx context.Context, s *session) (string, error) {
	if err := s.awaitHosts(ctx); err != nil {
		return "", err
	}
	var ids []string
	for n := range lastingJobs {
		id := fmt.Sprintf("%016x", 0xa0+n)
		ids = append(ids, id)
		if err := s.submitAccepted(ctx, "sync", id, "", step{Count: 2, CPU: 1500, Memory: 2400, EstimateMs: 900, AntiAffinity: 1, LongRunning: true, MayMiss: 1}); err != nil {
			return "", err
		}
	}
	if err := pause(ctx, 2*outagePause); err != nil {
		return "", err
	}
	for range outages {
		if err := s.crashAll(ctx); err != nil {
			return "", err
		}
		if err := pause(ctx, outagePause); err != nil {
			return "", err
		}
	}
	if err := pause(ctx, afterOutages); err != nil {
		return "", err
	}
	return s.judgeStates(ctx, ids)
}

// crashAll crashes all workers, unless the case is played without trouble.
func (s *session) crashAll(ctx context.Context) error {
	if !s.trouble {
		return nil
	}
	f, err := s.fleet(ctx)
	if err != nil {
		return err
	}
	for _, m := range f.Machines {
		if err := s.crash(ctx, m.ID, outageTime); err != nil {
			return err
		}
	}
	return nil
}

// crash crashes the worker of a machine. It is back under its ID after a time.
func (s *session) crash(ctx context.Context, machine, downFor string) error {
	return s.command(ctx, http.MethodPost, "/workers/"+machine+"/restart", struct {
		DownFor string `json:"down-for"`
		NewID   bool   `json:"new-id"`
	}{downFor, false}, nil)
}

// judgeStates reports a job that is shown as failed although no task of it has ended so.
func (s *session) judgeStates(ctx context.Context, ids []string) (string, error) {
	ends, err := s.ends(ctx)
	if err != nil {
		return "", err
	}
	failed := func(id string) bool {
		for _, e := range ends {
			if strings.HasPrefix(e.Task, id+".") && e.Reason == "failed" {
				return true
			}
		}
		return false
	}
	var wrong []string
	for _, id := range ids {
		if s.state(ctx, "sync", id) == "failed" && !failed(id) {
			wrong = append(wrong, id)
		}
	}
	if len(wrong) == 0 {
		return "", nil
	}
	return fmt.Sprintf("jobs that last, that nobody has cancelled and of which no task has ended as failed, are shown as failed: %s", strings.Join(wrong, ", ")), nil
}
