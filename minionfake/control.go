package minionfake

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"
)

const headerTimeout = 10 * time.Second

// Record is what GET /stand-in/record returns.
type Record struct {
	Runs []Run
	Peak int
}

// Serve serves requests at address and the control interface at control. The control
// interface has an address of its own, because connection faults concern every
// connection to the first one.
func (m *Minion) Serve(address, control string) error {
	if err := m.accept(address); err != nil {
		return err
	}
	s := &http.Server{Addr: control, Handler: m.control(address), ReadHeaderTimeout: headerTimeout}
	return s.ListenAndServe()
}

// accept opens the address unless it is open.
func (m *Minion) accept(address string) error {
	m.mu.Lock()
	open := m.server != nil
	m.mu.Unlock()
	if open {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: m, ReadHeaderTimeout: headerTimeout}
	wrapped := m.Listen(l)
	m.mu.Lock()
	m.server = s
	m.mu.Unlock()
	go func() { _ = s.Serve(wrapped) }()
	return nil
}

// refuse closes all connections and refuses new ones, as a worker that lost power does.
// Running requests end at this moment in the record; their handlers notice it later.
func (m *Minion) refuse() error {
	m.mu.Lock()
	s, now := m.server, time.Now()
	m.server = nil
	for n := range m.runs {
		if m.runs[n].Ended.IsZero() {
			m.runs[n].Ended = now
		}
	}
	m.mu.Unlock()
	if s == nil {
		return nil
	}
	return s.Close()
}

// control returns the control interface: GET /stand-in/runs and GET /stand-in/record
// return the record, PUT /stand-in/behaviour replaces the behaviour, and POST to
// /stand-in/silence, /stand-in/silence-new, /stand-in/refuse and /stand-in/accept does
// what the name says to the connections.
func (m *Minion) control(address string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stand-in/runs", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(m.Runs())
	})
	mux.HandleFunc("GET /stand-in/record", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Record{Runs: m.Runs(), Peak: m.Peak()})
	})
	mux.HandleFunc("PUT /stand-in/behaviour", func(w http.ResponseWriter, r *http.Request) {
		var b Behaviour
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		m.Set(b)
	})
	for name, do := range map[string]func() error{
		"silence": m.Silence, "silence-new": m.SilenceNew, "refuse": m.refuse,
		"accept": func() error { return m.accept(address) },
	} {
		mux.HandleFunc("POST /stand-in/"+name, func(w http.ResponseWriter, _ *http.Request) {
			if err := do(); err != nil && !errors.Is(err, net.ErrClosed) {
				http.Error(w, err.Error(), http.StatusInternalServerError)
			}
		})
	}
	return mux
}
