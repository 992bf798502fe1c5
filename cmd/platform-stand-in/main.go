// Command platform-stand-in serves a small fake of the platform, for tests and trials: the
// key-value service and the list of hosts, which is read from a JSON file. Its faults are
// set under /stand-in/.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"egretdrum.example/hostlist"
	"egretdrum.example/platformfake"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	if len(os.Args) != 3 {
		return fmt.Errorf("usage: platform-stand-in ADDRESS HOSTS-FILE")
	}
	b, err := os.ReadFile(os.Args[2])
	if err != nil {
		return err
	}
	var hosts []hostlist.Host
	if err := json.Unmarshal(b, &hosts); err != nil {
		return err
	}
	p := platformfake.New()
	p.SetHosts(hosts)
	p.PublishHosts()
	mux := http.NewServeMux()
	mux.Handle("/", p.Handler())
	mux.Handle("/stand-in/", p.Control())
	s := &http.Server{Addr: os.Args[1], Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	return s.ListenAndServe()
}
