// Command minion-stand-in serves one fake minion, for tests and trials. Its record of
// runs and its faults are available under /stand-in/ at the control address.
package main

import (
	"fmt"
	"os"
	"time"

	"egretdrum.example/minionfake"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	if len(os.Args) != 5 {
		return fmt.Errorf("usage: minion-stand-in NAME ADDRESS CONTROL-ADDRESS RUN-TIME")
	}
	delay, err := time.ParseDuration(os.Args[4])
	if err != nil {
		return err
	}
	m := minionfake.New(os.Args[1])
	m.Set(minionfake.Behaviour{Delay: delay})
	return m.Serve(os.Args[2], os.Args[3])
}
