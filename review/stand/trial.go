package main

import (
	"context"
	"fmt"
	"time"
)

const (
	goodJobs    = 40
	hopelessIDs = 0x200
	hopeless    = 2
	goodPause   = 300 * time.Millisecond
	// afterHopeless is longer than the attempts of the hopeless jobs take.
	afterHopeless = 6 * time.Second
)

// onTrial sends two jobs that can never be done, among many others, and then two jobs of a task that
// lasts. Only one worker of the pool has room for them.
func onTrial(ctx context.Context, s *session) (string, error) {
	if err := s.awaitHosts(ctx); err != nil {
		return "", err
	}
	full := step{Count: 3, CPU: 14000, Memory: 1024, EstimateMs: 900, AntiAffinity: 1, LongRunning: true}
	if err := s.submitAccepted(ctx, "sync", spreadID, "", full); err != nil {
		return "", err
	}
	if err := pause(ctx, shortPause); err != nil {
		return "", err
	}
	for n := range goodJobs {
		if err := s.submitAccepted(ctx, "blitz", fmt.Sprintf("%016x", 0x100+n), "", step{Count: 1, CPU: 2500, Memory: 512, EstimateMs: 500}); err != nil {
			return "", err
		}
		if err := pause(ctx, goodPause); err != nil {
			return "", err
		}
	}
	if err := pause(ctx, shortPause); err != nil {
		return "", err
	}
	if s.trouble {
		for n := range hopeless {
			if err := s.submitAccepted(ctx, "blitz", fmt.Sprintf("%016x", hopelessIDs+n), "failures=99", step{Count: 3, CPU: 2500, Memory: 512, EstimateMs: 800}); err != nil {
				return "", err
			}
		}
	}
	if err := pause(ctx, afterHopeless); err != nil {
		return "", err
	}
	one := step{Count: 1, CPU: 3000, Memory: 1024, EstimateMs: 900, LongRunning: true}
	for _, id := range []string{smallID, largeID} {
		if err := s.submitAccepted(ctx, "sync", id, "", one); err != nil {
			return "", err
		}
		if err := pause(ctx, shortPause); err != nil {
			return "", err
		}
	}
	broken, err := s.judgeStarved(ctx, []lasting{{spreadID, full}, {smallID, one}, {largeID, one}})
	if s.trouble && err == nil {
		for n := range hopeless {
			s.state(ctx, "blitz", fmt.Sprintf("%016x", hopelessIDs+n))
		}
	}
	return broken, err
}
