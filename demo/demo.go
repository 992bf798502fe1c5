// Package demo runs the whole system on embedded stand-ins with the traffic of two
// client accounts, changes it while it runs, and judges the result by the minions' own
// records.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Demo is one run.
type Demo struct {
	out    io.Writer
	stage  *stage
	load   *load
	report report
}

// RuleError reports rules that the run broke.
type RuleError struct{ Broken []string }

func (e *RuleError) Error() string { return fmt.Sprintf("broken rules: %q", e.Broken) }

// StepError reports a step of the run that could not be done.
type StepError struct {
	Step string
	Err  error
}

func (e *StepError) Error() string { return fmt.Sprintf("demo: %s: %v", e.Step, e.Err) }
func (e *StepError) Unwrap() error { return e.Err }

// New returns a demo that prints its progress and its table to out.
func New(out io.Writer) *Demo {
	return &Demo{out: out, report: report{reasons: make(map[string]int)}}
}

// step is one action during the run.
type step struct {
	name string
	wait time.Duration // after the step before
	run  func(context.Context) error
}

// Run plays the whole demo. It returns a *RuleError when a rule was broken.
func (d *Demo) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stage, err := newStage(ctx)
	if err != nil {
		return &StepError{Step: "start", Err: err}
	}
	d.stage = stage
	d.load = newLoad(stage)
	if err := d.prepare(ctx); err != nil {
		return err
	}
	loaded := make(chan struct{})
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	go func() { defer close(loaded); d.load.run(loadCtx) }()
	for _, s := range d.steps() {
		if err := d.play(ctx, s); err != nil {
			return err
		}
	}
	stopLoad()
	<-loaded
	if err := d.stage.stop(); err != nil {
		return &StepError{Step: "stop", Err: err}
	}
	d.judge()
	d.report.print(d.out)
	if len(d.report.broken) > 0 {
		return &RuleError{Broken: d.report.broken}
	}
	return nil
}

func (d *Demo) play(ctx context.Context, s step) error {
	timer := time.NewTimer(s.wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return &StepError{Step: s.name, Err: ctx.Err()}
	}
	started := time.Now()
	if err := s.run(ctx); err != nil {
		return &StepError{Step: s.name, Err: err}
	}
	sent, answered := d.load.progress()
	d.printf("%-36s took %-8s sent %6d  answered %6d\n", s.name, time.Since(started).Round(time.Millisecond), sent, answered)
	return nil
}

// steps is the plan of the run; the load passes through its bursts beside it.
func (d *Demo) steps() []step {
	return []step{
		{"bursts on four services", 4 * time.Second, func(context.Context) error { return nil }},
		{"withdraw a key", 0, d.withdrawKey},
		{"move a worker", time.Second, d.moveWorker},
		{"drain a worker", 0, d.drainWorker},
		{"stop an entry host", time.Second, d.stopEntry},
		{"replace it", time.Second, d.replaceEntry},
		{"fill one pool", time.Second, d.fill},
		{"measure shares", fillTime, d.measureShares},
		{"run jobs while their owner is killed", 0, d.runJobs},
	}
}

func (d *Demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format, args...) }
