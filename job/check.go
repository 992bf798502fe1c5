package job

import (
	"fmt"
	"regexp"
)

const (
	// MaxSpecBytes is the size limit for the specs of the platform's callers.
	MaxSpecBytes = 4000
	// maxSteps and maxTasks bound the memory that one job takes on the host that
	// schedules it: 10,000 tasks take about 2 MB, and a step as much as four tasks.
	maxSteps = 1024
	maxTasks = 10_000
	// maxOccurrences bounds the occurrences of a scheduled job.
	maxOccurrences = 100_000
)

var idPattern = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// InvalidError reports a field with which a job cannot run.
type InvalidError struct{ Field, Reason string }

func (e *InvalidError) Error() string { return fmt.Sprintf("field %q: %s", e.Field, e.Reason) }

// Check returns an *InvalidError for the first invalid field of the job.
func (j *Job) Check() error {
	if !idPattern.MatchString(j.ID) {
		return &InvalidError{"id", "not 16 hexadecimal digits"}
	}
	if len(j.Payload) > MaxSpecBytes {
		return &InvalidError{"spec", fmt.Sprintf("longer than %d bytes", MaxSpecBytes)}
	}
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return &InvalidError{"steps", fmt.Sprintf("must have 1 to %d entries", maxSteps)}
	}
	if j.Repeat < 0 || j.Repeat > maxOccurrences {
		return &InvalidError{"repeat", fmt.Sprintf("must be 0 to %d", maxOccurrences)}
	}
	if j.Interval < 0 {
		return &InvalidError{"interval", "negative"}
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Count
	}
	if tasks > maxTasks {
		return &InvalidError{"steps", fmt.Sprintf("more than %d tasks", maxTasks)}
	}
	return nil
}

func (s *Step) check(index int) error {
	field := func(name string) string { return fmt.Sprintf("steps[%d].%s", index, name) }
	if s.Count < 1 || s.Count > maxTasks {
		return &InvalidError{field("count"), fmt.Sprintf("must be 1 to %d", maxTasks)}
	}
	if s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.Accelerators < 0 {
		return &InvalidError{field("need"), "negative"}
	}
	if s.MaxPerWorker < 0 || s.MayMiss < 0 || s.Estimate < 0 {
		return &InvalidError{field("limits"), "negative"}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return &InvalidError{field("after"), fmt.Sprintf("step %d is not an earlier step", earlier)}
		}
	}
	return nil
}
