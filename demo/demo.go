// Package demo runs the whole system in one process, with fakes of the platform and the
// minions and the traffic of two client accounts. It changes the system during the run and
// checks the result against the records of the minions.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Demo is one run of the demo.
type Demo struct {
	out     io.Writer
	cluster *cluster
	load    *load
	report  report
}

// RuleError reports the rules that were violated in the run.
type RuleError struct{ Violations []string }

func (e *RuleError) Error() string { return fmt.Sprintf("broken rules: %q", e.Violations) }

// StepError reports a step of the run that failed.
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
	wait time.Duration // after the previous step
	run  func(context.Context) error
}

// Run runs the whole demo. It returns a *RuleError if a rule was violated.
func (d *Demo) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cluster, err := newCluster(ctx)
	if err != nil {
		return &StepError{Step: "start", Err: err}
	}
	d.cluster = cluster
	d.load = newLoad(cluster)
	if err := d.prepare(ctx); err != nil {
		return err
	}
	loadDone := make(chan struct{})
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	go func() { defer close(loadDone); d.load.run(loadCtx) }()
	for _, s := range d.steps() {
		if err := d.runStep(ctx, s); err != nil {
			return err
		}
	}
	stopLoad()
	<-loadDone
	if err := d.cluster.stop(); err != nil {
		return &StepError{Step: "stop", Err: err}
	}
	d.evaluate()
	d.report.print(d.out)
	if len(d.report.violations) > 0 {
		return &RuleError{Violations: d.report.violations}
	}
	return nil
}

func (d *Demo) runStep(ctx context.Context, s step) error {
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

// steps returns the steps of the run. The load runs concurrently with its own bursts.
func (d *Demo) steps() []step {
	return []step{
		{"bursts on four services", 4 * time.Second, func(context.Context) error { return nil }},
		{"withdraw a key", 0, d.withdrawKey},
		{"move a worker", time.Second, d.moveWorker},
		{"drain a worker", 0, d.drainWorker},
		{"stop an entry host", time.Second, d.stopEntry},
		{"replace it", time.Second, d.replaceEntry},
		{"fill one pool", time.Second, d.overloadPool},
		{"measure shares", fillTime, d.measureShares},
		{"run jobs while their owner is killed", 0, d.runJobs},
	}
}

func (d *Demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format, args...) }
