// Command stand plays the client of the cases under review, and judges what their platform, the
// emulated one of this project, has seen. The scripts of the cases start it.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"
)

// The exit codes: the rule held, it was broken, or the case could not run.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitInvalid = 2
)

// runLimit bounds a case; its script ends the processes afterwards.
const runLimit = 100 * time.Second

// cases has the cases by name. A case returns what breaks the rule, empty if nothing does.
var cases = map[string]func(context.Context, *session) (string, error){
	"on-trial": onTrial,
	"reserved": reserved,
	"late-job": lateJob,
	"reborn":   reborn,
}

const usage = "usage: stand free-ports COUNT | stand CASE CONTROL INGRESS RECORD TROUBLE"

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	switch {
	case len(args) == 2 && args[0] == "free-ports":
		return printFreePorts(args[1])
	case len(args) == 5 && cases[args[0]] != nil:
		return play(args[0], args[1], args[2], args[3], args[4] != "0")
	}
	fmt.Fprintln(os.Stderr, usage)
	return exitInvalid
}

// play plays a case and returns the exit code.
func play(name, control, ingress, record string, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	s, err := newSession(control, ingress, record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	defer s.close()
	broken, err := cases[name](ctx, s)
	s.noteRuns(context.WithoutCancel(ctx))
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	case broken != "":
		s.note("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	s.note("the rule held")
	fmt.Println("held")
	return exitHeld
}

const (
	firstPort, lastPort = 20000, 32000
	portStep            = 64
)

var errNoPorts = errors.New("no block of free ports")

// printFreePorts prints the first of a number of consecutive free ports.
func printFreePorts(count string) int {
	n, err := strconv.Atoi(count)
	if err == nil && (n < 1 || n > portStep) {
		err = errNoPorts
	}
	for port := firstPort + os.Getpid()%100*portStep; err == nil && port < lastPort; port += portStep {
		if portsFree(port, n) {
			fmt.Println(port)
			return exitHeld
		}
	}
	fmt.Fprintln(os.Stderr, errors.Join(errNoPorts, err))
	return exitInvalid
}

func portsFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = l.Close() // It was never used.
	}
	return true
}
