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
// interface has its own address, because connection faults affect all connections to the
// first one.
func (m *Minion) Serve(address, control string) error {
	if err := m.openServer(address); err != nil {
		return err
	}
	s := &http.Server{Addr: control, Handler: m.controlHandler(address), ReadHeaderTimeout: headerTimeout}
	return s.ListenAndServe()
}

// openServer starts to serve requests at address unless it already does.
func (m *Minion) openServer(address string) error {
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

// closeServer closes all connections and refuses new ones, as if the worker had lost power.
// It records the end of all running requests at once; their handlers return later.
func (m *Minion) closeServer() error {
	m.mu.Lock()
	s, now := m.server, time.Now()
	m.server = nil
	for i := range m.runs {
		if m.runs[i].Ended.IsZero() {
			m.runs[i].Ended = now
		}
	}
	m.mu.Unlock()
	if s == nil {
		return nil
	}
	return s.Close()
}

// controlHandler returns the handler of the control interface: GET /stand-in/runs and GET
// /stand-in/record return the record, PUT /stand-in/behaviour replaces the behaviour, and
// POST to /stand-in/silence, /stand-in/silence-new, /stand-in/refuse and /stand-in/accept
// calls DropTraffic, DropNewTraffic, closeServer and openServer.
func (m *Minion) controlHandler(address string) http.Handler {
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
	for name, action := range map[string]func() error{
		"silence": m.DropTraffic, "silence-new": m.DropNewTraffic, "refuse": m.closeServer,
		"accept": func() error { return m.openServer(address) },
	} {
		mux.HandleFunc("POST /stand-in/"+name, func(w http.ResponseWriter, _ *http.Request) {
			if err := action(); err != nil && !errors.Is(err, net.ErrClosed) {
				http.Error(w, err.Error(), http.StatusInternalServerError)
			}
		})
	}
	return mux
}
