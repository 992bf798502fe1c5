// Package minionfake is a fake minion that records every run. Tests and the demo check the
// system against this record and not against the counters of the entry hosts.
package minionfake

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"egretdrum.example/wait"
)

// Run is one request that reached the minion.
type Run struct {
	RequestID string
	Team      string
	Method    string
	Started   time.Time
	Ended     time.Time
	// Complete is false when the request body or the connection ended early.
	Complete bool
}

// Behaviour configures how the minion handles requests and connections.
type Behaviour struct {
	// Delay is the duration of each run.
	Delay time.Duration
	// FailStatus, if it is not 0, is the status of an immediate error response.
	FailStatus int
	// Silent reads the request and sends no response.
	Silent bool
	// Truncate sends half of the response body and closes the connection.
	Truncate bool
	// Leaving answers with status 503 and Connection: close, without a run.
	Leaving bool
	// Cut closes the connection after CutAfter bytes of a response.
	Cut      bool
	CutAfter int
	// Crossed sends a second response directly after each response.
	Crossed bool
	// HalfOpen accepts new connections and never serves them.
	HalfOpen bool
}

// Minion is a fake minion.
type Minion struct {
	mu        sync.Mutex
	name      string
	behaviour Behaviour
	runs      []Run
	running   int
	peak      int
	accepted  int
	listener  net.Listener
	server    *http.Server
	conns     map[*conn]struct{}
}

// New returns a minion that answers each request at once.
func New(name string) *Minion { return &Minion{name: name, conns: make(map[*conn]struct{})} }

// Set replaces the behaviour.
func (m *Minion) Set(b Behaviour) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.behaviour = b
}

// Runs returns a copy of the record.
func (m *Minion) Runs() []Run {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Run(nil), m.runs...)
}

// Peak returns the largest number of requests that ran at the same time.
func (m *Minion) Peak() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

// ServeHTTP records the run, waits for Delay and echoes the request body.
func (m *Minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m.isLeaving() {
		w.Header().Set("Connection", "close")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	index, b := m.beginRun(r)
	complete := false
	defer func() { m.endRun(index, complete) }()
	w.Header().Set("Minion", m.name)
	if b.FailStatus != 0 {
		complete = true
		http.Error(w, "failing", b.FailStatus)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.Silent {
		<-r.Context().Done()
		return
	}
	if !wait.For(r.Context(), b.Delay) {
		return
	}
	complete = true
	if b.Truncate {
		truncate(w, body)
	}
	_, _ = w.Write(body)
}

func (m *Minion) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.behaviour.Leaving
}

func truncate(w http.ResponseWriter, body []byte) {
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (m *Minion) beginRun(r *http.Request) (int, Behaviour) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs = append(m.runs, Run{
		RequestID: r.Header.Get("Egretdrum-Request-Id"),
		Team:      r.Header.Get("Egretdrum-Team"),
		Method:    r.Method,
		Started:   time.Now(),
	})
	m.running++
	m.peak = max(m.peak, m.running)
	return len(m.runs) - 1, m.behaviour
}

func (m *Minion) endRun(index int, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
	if m.runs[index].Ended.IsZero() {
		m.runs[index].Ended = time.Now()
		m.runs[index].Complete = complete
	}
}
