// Package jobfile reads the form in which users of the command line and of the HTTP
// interface write jobs: JSON with kebab-case names, durations such as "1.5s" and times
// as RFC 3339 has them.
package jobfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"egretdrum.example/job"
	"egretdrum.example/resource"
)

// SyntaxError reports a description that cannot be read.
type SyntaxError struct{ Err error }

func (e *SyntaxError) Error() string { return fmt.Sprintf("job: %v", e.Err) }

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.Err }

// file is a job as users write it. README explains the fields.
type file struct {
	Spec     string    `json:"spec"`
	Steps    []step    `json:"steps"`
	Repeat   int       `json:"repeat"`
	Start    time.Time `json:"start"`
	Interval duration  `json:"interval"`
}

type step struct {
	Count         int      `json:"count"`
	CPU           int      `json:"cpu"`
	Memory        int      `json:"memory"`
	Accelerators  int      `json:"accelerators"`
	Estimate      duration `json:"estimate"`
	After         []int    `json:"after"`
	Checkpointing bool     `json:"checkpointing"`
	Gang          bool     `json:"gang"`
	Colocated     bool     `json:"colocated"`
	Speculative   bool     `json:"speculative"`
	LongRunning   bool     `json:"long-running"`
	Label         string   `json:"label"`
	Rack          string   `json:"rack"`
	MaxPerWorker  int      `json:"max-per-worker"`
	Image         string   `json:"image"`
	LatencyTarget duration `json:"latency-target"`
	Background    bool     `json:"background"`
	MayMiss       int      `json:"may-miss"`
}

type duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *duration) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return err
	}
	v, err := time.ParseDuration(text)
	*d = duration(v)
	return err
}

// Decode reads and checks a job with the given ID. It returns a *SyntaxError for text that
// cannot be read or has unknown fields, and a *job.InvalidError for a contradiction.
func Decode(id string, b []byte) (*job.Job, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var f file
	if err := d.Decode(&f); err != nil {
		return nil, &SyntaxError{err}
	}
	j := &job.Job{ID: id, Spec: f.Spec, Repeat: f.Repeat, Interval: time.Duration(f.Interval), Accepted: time.Now().Round(0)}
	if f.Repeat > 0 {
		j.Start = f.Start
		if f.Start.IsZero() {
			j.Start = j.Accepted
		}
	}
	for i := range f.Steps {
		s := &f.Steps[i]
		j.Steps = append(j.Steps, job.Step{
			Count: s.Count, Need: resource.Amount{CPU: s.CPU, Memory: s.Memory, Accelerators: s.Accelerators},
			Estimate: time.Duration(s.Estimate), After: s.After, Checkpointing: s.Checkpointing, Gang: s.Gang,
			Colocated: s.Colocated, Speculative: s.Speculative, LongRunning: s.LongRunning, Label: s.Label, Rack: s.Rack,
			MaxPerWorker: s.MaxPerWorker, Image: s.Image, LatencyTarget: time.Duration(s.LatencyTarget),
			Background: s.Background, MayMiss: s.MayMiss,
		})
	}
	return j, j.Check()
}
