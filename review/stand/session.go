package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"egretdrum.example/wait"
)

const (
	// deadline is the time budget of a client's call, as on the users' sheets.
	deadline = 3 * time.Second
	// answerMargin is how much longer than its time budget a client listens, so that a late answer
	// is recorded.
	answerMargin = 2 * time.Second
	// startTime is how long the hosts and the first owner get before a case begins; traffic starts
	// 10 s after the machines do.
	startTime = 10 * time.Second
	// readyWithin is the time that hosts get beyond that on a slow machine.
	readyWithin = 15 * time.Second
	pollPause   = 100 * time.Millisecond
)

// session is a case that is played.
type session struct {
	control, ingress string
	trouble          bool
	began            time.Time
	record           *os.File
	http             http.Client
}

func newSession(control, ingress, record string, trouble bool) (*session, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &session{control: "http://" + control, ingress: "http://" + ingress, trouble: trouble, began: time.Now(), record: f}, nil
}

func (s *session) close() { _ = s.record.Close() }

// note writes a line to the record, with the seconds since the case began.
func (s *session) note(format string, args ...any) {
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// pause waits; it fails if the time for the case is over.
func pause(ctx context.Context, d time.Duration) error {
	if !wait.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}

// step is a step of a job, in the platform's form.
type step struct {
	Count        int   `json:"count"`
	CPU          int   `json:"cpu"`
	Memory       int   `json:"memMb"`
	EstimateMs   int64 `json:"estRuntimeMs"`
	AntiAffinity int   `json:"antiAffinity,omitempty"`
	LongRunning  bool  `json:"longRunning,omitempty"`
}

// key is the key of the only client account.
const key = "key-1"

// call makes a client's call and returns its status, zero without an answer. host is the entry host
// that the ingress chooses, empty for any.
func (s *session) call(ctx context.Context, method, queue, id, host string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, deadline+answerMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, s.ingress+"/"+queue+"/"+id, bytes.NewReader(body))
	if err != nil {
		s.note("%s %s/%s: %v", method, queue, id, err)
		return 0, nil
	}
	req.Host = queue + ".example"
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if host != "" {
		req.Header.Set("Egretdrum-Host", host)
	}
	s.note("sent      %s %s/%s %s %s", method, queue, id, host, body)
	status, answer, err := s.do(req)
	if err != nil {
		s.note("answered  %s %s/%s: nothing, %v", method, queue, id, err)
		return 0, nil
	}
	s.note("answered  %s %s/%s: %d %s", method, queue, id, status, answer)
	return status, answer
}

func (s *session) do(req *http.Request) (int, []byte, error) {
	resp, err := s.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// submit submits a job of one step. spec says what its tasks do on the emulated workers.
func (s *session) submit(ctx context.Context, queue, id, host, spec string, st step) int {
	body, err := json.Marshal(struct {
		Spec  string `json:"spec"`
		Steps []step `json:"steps"`
	}{spec, []step{st}})
	if err != nil {
		s.note("submission of %s: %v", id, err)
		return 0
	}
	status, _ := s.call(ctx, http.MethodPost, queue, id, host, body)
	return status
}

// submitAccepted submits a job that has to be accepted before the case can go on.
func (s *session) submitAccepted(ctx context.Context, queue, id, spec string, st step) error {
	if status := s.submit(ctx, queue, id, "", spec, st); status != http.StatusOK {
		return fmt.Errorf("job %s: status %d", id, status)
	}
	return nil
}

// state returns the state that a client is shown, empty without one.
func (s *session) state(ctx context.Context, queue, id string) string {
	status, answer := s.call(ctx, http.MethodGet, queue, id, "", nil)
	var shown struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &shown) != nil {
		return ""
	}
	return shown.State
}

// command sends a command to the emulated platform and decodes its answer into result.
func (s *session) command(ctx context.Context, method, path string, body, result any) error {
	var content []byte
	if body != nil {
		var err error
		if content, err = json.Marshal(body); err != nil {
			return err
		}
	}
	if method != http.MethodGet {
		s.note("trouble   %s %s %s", method, path, content)
	}
	req, err := http.NewRequestWithContext(ctx, method, s.control+path, bytes.NewReader(content))
	if err != nil {
		return err
	}
	status, answer, err := s.do(req)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("command %s %s: status %d, %s", method, path, status, answer)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(answer, result)
}

// amount is an amount of resources of the emulated platform.
type amount struct {
	Cores  float64 `json:"cores"`
	Memory float64 `json:"memory"`
}

// workerRow is what the emulated platform says of a worker.
type workerRow struct {
	ID       string `json:"id"`
	Machine  string `json:"machine"`
	State    string `json:"state"`
	Capacity amount `json:"capacity"`
	Used     amount `json:"used"`
	Running  []struct {
		Task    string `json:"task"`
		Percent int    `json:"percent"`
	} `json:"running"`
}

// fleet is the state of the emulated platform.
type fleet struct {
	Workers  []workerRow `json:"workers"`
	Machines []struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Worker string `json:"worker"`
	} `json:"machines"`
	Hosts []struct {
		Name  string `json:"name"`
		Ready bool   `json:"ready"`
	} `json:"hosts"`
}

func (s *session) fleet(ctx context.Context) (*fleet, error) {
	f := new(fleet)
	return f, s.command(ctx, http.MethodGet, "/state", nil, f)
}

// upWorkers returns the workers whose machine is up.
func (f *fleet) upWorkers() []workerRow {
	up := make(map[string]bool)
	for _, m := range f.Machines {
		up[m.Worker] = m.State == "up"
	}
	var workers []workerRow
	for _, w := range f.Workers {
		if up[w.ID] {
			workers = append(workers, w)
		}
	}
	return workers
}

var errNotReady = errors.New("the hosts are not ready")

// awaitHosts waits until all hosts are ready and an owner had the time to settle.
func (s *session) awaitHosts(ctx context.Context) error {
	if err := pause(ctx, startTime); err != nil {
		return err
	}
	for end := time.Now().Add(readyWithin); ; {
		f, err := s.fleet(ctx)
		if err != nil {
			return err
		}
		if f.hostsReady() {
			s.note("the hosts are ready, %d workers are up", len(f.upWorkers()))
			return nil
		}
		if time.Now().After(end) {
			return errNotReady
		}
		if err := pause(ctx, pollPause); err != nil {
			return err
		}
	}
}

func (f *fleet) hostsReady() bool {
	for _, h := range f.Hosts {
		if !h.Ready {
			return false
		}
	}
	return len(f.Hosts) > 0
}

// runEvent is a run that began or ended on a worker.
type runEvent struct {
	At     time.Time `json:"at"`
	Worker string    `json:"worker"`
	Task   string    `json:"task"`
	Run    int64     `json:"run"`
	Reason string    `json:"reason"`
}

func (s *session) starts(ctx context.Context) ([]runEvent, error) {
	var list struct {
		Starts []runEvent `json:"starts"`
	}
	err := s.command(ctx, http.MethodGet, "/starts?after=0", nil, &list)
	return list.Starts, err
}

func (s *session) ends(ctx context.Context) ([]runEvent, error) {
	var list struct {
		Ends []runEvent `json:"ends"`
	}
	err := s.command(ctx, http.MethodGet, "/ends?after=0", nil, &list)
	return list.Ends, err
}

// noteRuns writes to the record what has run on the workers.
func (s *session) noteRuns(ctx context.Context) {
	for _, list := range []struct {
		name string
		read func(context.Context) ([]runEvent, error)
	}{{"begun", s.starts}, {"ended", s.ends}} {
		events, err := list.read(ctx)
		if err != nil {
			s.note("runs that have %s: %v", list.name, err)
			continue
		}
		for _, e := range events {
			s.note("%s at %8.3f: %s run %d on %s %s", list.name, e.At.Sub(s.began).Seconds(), e.Task, e.Run, e.Worker, e.Reason)
		}
	}
}
