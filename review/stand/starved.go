package main

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// calmBefore is the time without trouble before the rule is judged: the rules ask for 4 s, and
	// for 6 s after the last run of a task.
	calmBefore = 12 * time.Second
	// judgedFor is how long the rule is judged, starvedFor how long a task may have no run although
	// there is capacity for it twice over.
	judgedFor  = 20 * time.Second
	starvedFor = 3 * time.Second
)

// lasting is an accepted job of tasks that last and that nobody cancels.
type lasting struct {
	id   string
	step step
}

// fits returns how many tasks of a step fit beside what runs on the workers that are up.
func (f *fleet) fits(st *step) int {
	n := 0
	for _, w := range f.upWorkers() {
		if w.State != "ready" {
			continue
		}
		cores := w.Capacity.Cores - w.Used.Cores
		memory := w.Capacity.Memory - w.Used.Memory
		n += int(max(0, min(math.Floor(cores/(float64(st.CPU)/1000)), math.Floor(memory/float64(st.Memory)))))
	}
	return n
}

// running reports whether a task of a job has a run.
func (f *fleet) running(id string, index int) bool {
	name := fmt.Sprintf("%s.0.0.%d", id, index)
	for _, w := range f.Workers {
		for _, r := range w.Running {
			if r.Task == name {
				return true
			}
		}
	}
	return false
}

// used returns the share of the cores of the workers that are up which is in use.
func (f *fleet) used() float64 {
	var used, all float64
	for _, w := range f.upWorkers() {
		used += w.Used.Cores
		all += w.Capacity.Cores
	}
	return used / max(1, all)
}

// gap is a time for which a task had no run although there was room for it.
type gap struct {
	since, until time.Time
	room         int
	used         float64
}

// judgeStarved reports the task that lasts and has no run for the longest time, at least 3 s, although
// there is capacity for it twice over. The client account has no limit. It begins after a time without
// trouble.
func (s *session) judgeStarved(ctx context.Context, jobs []lasting) (string, error) {
	if err := pause(ctx, calmBefore); err != nil {
		return "", err
	}
	s.note("judged from here on")
	open, longest := make(map[string]gap), make(map[string]gap)
	var f *fleet
	for end := time.Now().Add(judgedFor); time.Now().Before(end); {
		var err error
		if f, err = s.fleet(ctx); err != nil {
			return "", err
		}
		f.updateGaps(jobs, open, longest, time.Now())
		if err := pause(ctx, pollPause); err != nil {
			return "", err
		}
	}
	s.noteFleet(f)
	var broken []string
	for _, name := range slices.Sorted(maps.Keys(longest)) {
		if g := longest[name]; g.until.Sub(g.since) >= starvedFor {
			broken = append(broken, fmt.Sprintf("%s has no run for %.1f s, although %d of its kind fit and %.0f%% of the cores are in use", name, g.until.Sub(g.since).Seconds(), g.room, 100*g.used))
		}
	}
	return strings.Join(broken, "; "), nil
}

// updateGaps notes since when tasks have no run although there is room, and the longest such time of
// each.
func (f *fleet) updateGaps(jobs []lasting, open, longest map[string]gap, now time.Time) {
	for i := range jobs {
		j := &jobs[i]
		room := f.fits(&j.step)
		for index := range j.step.Count {
			name := fmt.Sprintf("%s.0.0.%d", j.id, index)
			if f.running(j.id, index) || room < 2 {
				delete(open, name)
				continue
			}
			g, known := open[name]
			if !known {
				g.since = now
			}
			g.until, g.room, g.used = now, room, f.used()
			open[name] = g
			if l := longest[name]; g.until.Sub(g.since) > l.until.Sub(l.since) {
				longest[name] = g
			}
		}
	}
}

// noteFleet writes to the record what runs where.
func (s *session) noteFleet(f *fleet) {
	for _, w := range f.upWorkers() {
		var tasks []string
		for _, r := range w.Running {
			tasks = append(tasks, r.Task)
		}
		s.note("worker    %s: %.1f of %.0f cores in use, %s", w.ID, w.Used.Cores, w.Capacity.Cores, strings.Join(tasks, " "))
	}
}
