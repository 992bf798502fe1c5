// Package jobfile decodes the job descriptions that users of the command line and of the HTTP
// interface write: JSON with kebab-case names, durations such as "1.5s" and times in the format
// of RFC 3339.
package jobfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"egretdrum.example/job"
	"egretdrum.example/resource"
)

// SyntaxError reports a job description that cannot be decoded.
type SyntaxError struct{ Err error }

func (e *SyntaxError) Error() string { return fmt.Sprintf("job: %v", e.Err) }

// Unwrap returns the error of the decoder.
func (e *SyntaxError) Unwrap() error { return e.Err }

// jobDescription is a job as users write it. README explains the fields.
type jobDescription struct {
	Spec     string            `json:"spec"`
	Steps    []stepDescription `json:"steps"`
	Repeat   int               `json:"repeat"`
	Start    time.Time         `json:"start"`
	Interval duration          `json:"interval"`
}

type stepDescription struct {
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

// duration is written as a string that time.ParseDuration accepts.
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

// Decode decodes and checks a job with the given ID. It returns a *SyntaxError for text that
// cannot be decoded or has unknown fields, and a *job.InvalidError for an invalid job.
func Decode(id string, b []byte) (*job.Job, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var desc jobDescription
	if err := d.Decode(&desc); err != nil {
		return nil, &SyntaxError{err}
	}
	j := &job.Job{ID: id, Payload: desc.Spec, Repeat: desc.Repeat, Interval: time.Duration(desc.Interval), Accepted: time.Now().Round(0)}
	if desc.Repeat > 0 {
		j.Start = desc.Start
		if desc.Start.IsZero() {
			j.Start = j.Accepted
		}
	}
	for i := range desc.Steps {
		step := &desc.Steps[i]
		j.Steps = append(j.Steps, job.Step{
			Count: step.Count, Need: resource.Amount{CPU: step.CPU, Memory: step.Memory, Accelerators: step.Accelerators},
			Estimate: time.Duration(step.Estimate), After: step.After, Checkpointing: step.Checkpointing, Gang: step.Gang,
			Colocated: step.Colocated, Speculative: step.Speculative, LongRunning: step.LongRunning, Label: step.Label, Rack: step.Rack,
			MaxPerWorker: step.MaxPerWorker, Image: step.Image, LatencyTarget: time.Duration(step.LatencyTarget),
			Background: step.Background, MayMiss: step.MayMiss,
		})
	}
	return j, j.Check()
}
