// Command driver3 plays the scripted cases of the third review: it starts the emulated platform and
// entry hosts as processes, acts as callers and as the operator, and records what is seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario is a scripted case.
type scenario struct {
	settings string
	hosts    int
	// play returns errBroken if the rule was broken. Without trouble, the disruption is left out.
	play func(c *cluster, trouble bool) error
}

var scenarios = map[string]scenario{
	"freeze": {freezeSettings, 10, playFreeze},
	"rename": {routeSettings, 3, playRename},
	"remove": {routeSettings, 3, playRemove},
	"wave":   {waveSettings, 3, playWave},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver3 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run plays a case and returns the exit code.
func run(name, folder string, trouble bool) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitFailed
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.Close()
	fmt.Fprintf(record, "case %s, trouble %t\n", name, trouble)
	c, err := newCluster(record, s.settings, s.hosts)
	if c != nil {
		defer c.stop()
		interrupted := make(chan os.Signal, 1)
		signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
		go func() { <-interrupted; c.stop(); os.Exit(exitFailed) }()
	}
	if err == nil {
		err = s.play(c, trouble)
	}
	switch {
	case err == nil:
		fmt.Fprintln(record, "the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		fmt.Fprintln(record, err)
		fmt.Println(err)
		return exitBroken
	}
	fmt.Fprintln(record, "the case could not run:", err)
	fmt.Println(err)
	return exitFailed
}
