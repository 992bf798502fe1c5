// Command minion-stand-in serves one stand-in minion, for tests and trials. Its record
// of runs is at /stand-in/runs.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
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
	if len(os.Args) != 4 {
		return fmt.Errorf("usage: minion-stand-in NAME ADDRESS RUN-TIME")
	}
	delay, err := time.ParseDuration(os.Args[3])
	if err != nil {
		return err
	}
	m := minionfake.New(os.Args[1])
	m.Set(minionfake.Behaviour{Delay: delay})
	mux := http.NewServeMux()
	mux.Handle("/", m)
	mux.HandleFunc("GET /stand-in/runs", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(m.Runs())
	})
	s := &http.Server{Addr: os.Args[2], Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	return s.ListenAndServe()
}
