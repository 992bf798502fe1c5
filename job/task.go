package job

import (
	"cmp"
	"strconv"
	"strings"
)

// Task identifies one task by its job, occurrence, step and index in the step.
type Task struct {
	Job                     string
	Occurrence, Step, Index int
}

// String returns the form JOB.OCCURRENCE.STEP.INDEX.
func (t Task) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// Compare orders tasks by their names.
func Compare(a, b Task) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// StepName returns the form JOB.OCCURRENCE.STEP, which all tasks of a step share.
func (t Task) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTask parses the form that String returns.
func ParseTask(s string) (Task, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return Task{}, false
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return Task{}, false
		}
		n[i] = v
	}
	return Task{parts[0], n[0], n[1], n[2]}, true
}
