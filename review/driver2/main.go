// Command driver2 plays the script cases of the second review: it starts an emulated platform and
// hosts as processes on loopback addresses, acts as their callers, and judges one rule by what
// callers and workers see.
package main

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// brokenError reports that the rule of a case was broken.
type brokenError struct{ Rule, Seen string }

func (e *brokenError) Error() string { return e.Rule + " broken: " + e.Seen }

// trial is one case.
type trial struct {
	// settings is the settings file of the emulated platform without its ports, hosts the number of hosts.
	settings string
	hosts    int
	// play plays the case, with its disruption if trouble is set, and returns a *brokenError if the rule
	// was broken.
	play func(c *cluster, trouble bool) error
}

var trials = map[string]trial{
	"cancelled": {cancelledSettings, 2, playCancelled},
	"scheduled": {scheduledSettings, 3, playScheduled},
	"pending":   {pendingSettings, 2, playPending},
	"gang":      {gangSettings, 2, playGang},
}

func main() {
	name := flag.String("case", "", strings.Join(slices.Sorted(maps.Keys(trials)), ", "))
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.String("trouble", "1", "0 plays the case without its disruption")
	flag.Parse()
	os.Exit(run(*name, *recordFile, *trouble != "0"))
}

func run(name, recordFile string, trouble bool) int {
	t, known := trials[name]
	if !known {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitNotRun
	}
	f, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r := &record{out: f, started: time.Now()}
	r.add("case %s, disruption %t", name, trouble)
	err = playIn(r, &t, trouble)
	var broken *brokenError
	code := exitNotRun
	switch {
	case err == nil:
		r.add("held")
		code = exitHeld
	case errors.As(err, &broken):
		r.add("%v", err)
		code = exitBroken
	default:
		r.add("not run: %v", err)
	}
	if err := f.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}

// playIn starts the processes of a case, plays it and ends them.
func playIn(r *record, t *trial, trouble bool) error {
	c, err := startCluster(r, t.settings, t.hosts)
	if err != nil {
		return err
	}
	defer c.stop()
	return t.play(c, trouble)
}
