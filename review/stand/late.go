package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	lateID = "00000000000000aa"
	// cutHost is the host whose writes the store does not answer, otherHost one that it serves.
	cutHost, otherHost = "entry-1", "entry-2"
	// silentFor is how long the writes of cutHost are lost, lateFor how long after that they are
	// carried out lateBy after they were sent.
	silentFor, lateFor, lateBy = "1s", "2s", "6s"
	silentTime                 = time.Second
	// cancelWithin is the time after the answer to a cancellation after which no task may start.
	cancelWithin = 3 * time.Second
	watchFor     = 16 * time.Second
)

// lateJob submits a job at a host whose writes the store does not answer, and cancels it at another
// host once the first one has given up.
func lateJob(ctx context.Context, s *session) (string, error) {
	if err := s.awaitHosts(ctx); err != nil {
		return "", err
	}
	ended := make(chan error, 1)
	if s.trouble {
		if err := s.disturbWrites(ctx, "silent", silentFor, ""); err != nil {
			return "", err
		}
		go func() {
			if err := pause(ctx, silentTime); err != nil {
				ended <- err
				return
			}
			ended <- s.disturbWrites(ctx, "late", lateFor, lateBy)
		}()
	} else {
		ended <- nil
	}
	s.submit(ctx, "blitz", lateID, cutHost, "", step{Count: 2, CPU: 500, Memory: 128, EstimateMs: 500})
	status, _ := s.call(ctx, http.MethodDelete, "blitz", lateID, otherHost, nil)
	answered := time.Now()
	if err := <-ended; err != nil {
		return "", err
	}
	if status != http.StatusGone && status/100 != 2 {
		return "", fmt.Errorf("the cancellation was answered with %d", status)
	}
	for end := answered.Add(watchFor); time.Now().Before(end); {
		if err := pause(ctx, time.Second); err != nil {
			return "", err
		}
		s.state(ctx, "blitz", lateID)
	}
	starts, err := s.starts(ctx)
	if err != nil {
		return "", err
	}
	for _, e := range starts {
		if after := e.At.Sub(answered); strings.HasPrefix(e.Task, lateID+".") && after > cancelWithin {
			return fmt.Sprintf("%s began %.1f s after the cancellation of its job was answered with %d", e.Task, after.Seconds(), status), nil
		}
	}
	return "", nil
}

// disturbWrites disturbs the writes of cutHost.
func (s *session) disturbWrites(ctx context.Context, kind, during, delay string) error {
	return s.command(ctx, http.MethodPost, "/faults", struct {
		Target string   `json:"target"`
		Kind   string   `json:"kind"`
		Host   string   `json:"host"`
		Calls  []string `json:"calls"`
		For    string   `json:"for"`
		Delay  string   `json:"delay,omitempty"`
	}{"store", kind, cutHost, []string{"commit"}, during, delay}, nil)
}
