// Command driver4 plays the cases of the fourth review: it starts an emulated platform and entry hosts as
// processes, disrupts them, and judges by what callers and workers have seen.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	timeLimit = 110 * time.Second
)

// verdict is the outcome of a case that could run.
type verdict struct {
	broken bool
	text   string
}

// playbook has the platform's settings and the course of a case.
type playbook struct {
	settings string
	// memoryMb is the memory of the machines of the entry hosts, zero for what the platform sets.
	memoryMb int
	play     func(ctx context.Context, s *system, trouble bool) (verdict, error)
}

var playbooks = map[string]playbook{
	"many-ends":     {settings: manyEndsSettings, play: playManyEnds},
	"large-record":  {settings: largeRecordSettings, play: playLargeRecord},
	"large-jobs":    {settings: largeJobsSettings, memoryMb: largeJobsMemoryMb, play: playLargeJobs},
	"gang-on-trial": {settings: gangOnTrialSettings, play: playGangOnTrial},
	"new-machine":   {settings: newMachineSettings, play: playNewMachine},
}

func main() { os.Exit(run()) }

// run plays the case that the arguments name: CASE BINARY STAND-IN RECORD.
func run() int {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: driver4 CASE BINARY STAND-IN RECORD")
		return couldNot
	}
	book, known := playbooks[os.Args[1]]
	rec, err := newRecord(os.Args[4])
	if err != nil || !known {
		fmt.Fprintln(os.Stderr, "case can't run:", os.Args[1], err)
		return couldNot
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, timeLimit)
	defer stop()
	s, err := startSystem(ctx, os.Args[2], os.Args[3], book, rec)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		rec.note("could not run: %v", err)
		return couldNot
	}
	v, err := book.play(ctx, s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNot
	case v.broken:
		rec.note("rule broken: %s", v.text)
		fmt.Println("rule broken:", v.text)
		return broken
	}
	rec.note("rule held: %s", v.text)
	fmt.Println("rule held:", v.text)
	return held
}
