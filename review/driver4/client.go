package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

// note writes one line with the time since the begin of the case.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// step is a step of a job as the platform's callers send it.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	Memory       int    `json:"memMb,omitempty"`
	EstRuntimeMs int64  `json:"estRuntimeMs"`
	After        []int  `json:"after,omitempty"`
	Image        string `json:"image,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Constraints  string `json:"constraints,omitempty"`
}

// call makes a call of a client through the platform's ingress, and returns the status and the body;
// the status is zero without an answer.
func (s *system) call(method, queue, id, key string, body any) (int, string) {
	var b string
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		b = string(encoded)
	}
	req, err := http.NewRequest(method, "http://"+s.ingress+"/"+queue+"/"+id, strings.NewReader(b))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queue + ".example"
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(callDeadline.Milliseconds(), 10))
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: callDeadline}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(answer))
}

// callDeadline is the time budget of a call.
const callDeadline = 3 * time.Second

// submit hands a job in until it is accepted.
func (s *system) submit(queue, id, key, spec string, steps []step) error {
	body := struct {
		Spec  string `json:"spec"`
		Steps []step `json:"steps"`
	}{spec, steps}
	for range 10 {
		status, answer := s.call(http.MethodPost, queue, id, key, body)
		s.record.note("client: POST /%s/%s -> %d %s", queue, id, status, answer)
		if status/100 == 2 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state asks for the state of a job.
func (s *system) state(queue, id, key string) (int, string) {
	status, answer := s.call(http.MethodGet, queue, id, key, nil)
	var body struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal([]byte(answer), &body); err != nil {
		return status, answer
	}
	return status, body.State
}

// awaitState waits until a job is shown in one of the given states, and returns the last one shown.
func (s *system) awaitState(queue, id, key string, within time.Duration, states ...string) string {
	last := ""
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		status, state := s.state(queue, id, key)
		if shown := fmt.Sprintf("%d %s", status, state); shown != last {
			last = shown
			s.record.note("client: GET /%s/%s -> %s", queue, id, shown)
		}
		for _, want := range states {
			if state == want {
				return state
			}
		}
	}
	return last
}

// event is a start or an end that the workers have seen.
type event struct {
	Number int       `json:"number"`
	At     time.Time `json:"at"`
	Task   string    `json:"task"`
	Run    int64     `json:"run"`
	Worker string    `json:"worker"`
	Reason string    `json:"reason"`
}

// starts and ends return what the workers have begun and ended.
func (s *system) starts() ([]event, error) {
	var answer struct {
		Starts []event `json:"starts"`
	}
	err := s.command(http.MethodGet, "/starts", nil, &answer)
	return answer.Starts, err
}

func (s *system) ends() ([]event, error) {
	var answer struct {
		Ends []event `json:"ends"`
	}
	err := s.command(http.MethodGet, "/ends", nil, &answer)
	return answer.Ends, err
}

// violation is a broken promise that the platform has seen.
type violation struct {
	Check  string `json:"check"`
	Job    string `json:"job"`
	Task   string `json:"task"`
	Worker string `json:"worker"`
	Detail string `json:"detail"`
}

func (s *system) violations() ([]violation, error) {
	var answer struct {
		Violations []violation `json:"violations"`
	}
	err := s.command(http.MethodGet, "/violations", nil, &answer)
	return answer.Violations, err
}

// ofJob returns the events of a job.
func ofJob(events []event, id string) []event {
	var list []event
	for _, e := range events {
		if strings.HasPrefix(e.Task, id+".") {
			list = append(list, e)
		}
	}
	return list
}
