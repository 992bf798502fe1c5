package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// window is the length of the periods of the table over time.
const window = 2 * time.Second

// Write prints how many jobs were lost to which cause, in all and by queue, account and time,
// and up to most of the jobs with their IDs, those with the longest wait first.
func (r *Report) Write(w io.Writer, most int) error {
	all := r.Jobs()
	if len(all) == 0 {
		_, err := fmt.Fprintln(w, "the logs tell of no job")
		return err
	}
	start := all[0].At
	lost := r.Losses()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%d jobs: %s\n", len(all), outcomes(all))
	for _, table := range []struct {
		name string
		key  func(Loss) string
	}{
		{"CAUSE", func(l Loss) string { return l.Cause }},
		{"QUEUE", func(l Loss) string { return l.Queue }},
		{"ACCOUNT", func(l Loss) string { return l.Account }},
		{"FROM", func(l Loss) string { return l.At.Sub(start).Truncate(window).String() }},
	} {
		fmt.Fprintf(t, "\n%s\tJOBS\tLOST\tOUTCOMES\tMOST OF THEM BY\n", table.name)
		rows(t, all, lost, table.key)
	}
	fmt.Fprintf(t, "\nJOB\tQUEUE\tOUTCOME\tTOOK\tOBJECTIVE\tCAUSE\tWAITED\n")
	slices.SortStableFunc(lost, func(a, b Loss) int { return cmp.Compare(b.Waits[b.Cause], a.Waits[a.Cause]) })
	for _, l := range lost[:min(most, len(lost))] {
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%v\t%s\t%v\n", l.Job, l.Queue, l.Outcome, round(l.Took), round(l.Objective), l.Cause, round(l.Waits[l.Cause]))
	}
	return t.Flush()
}

// rows prints one line for each key with lost jobs: all jobs of the key, and the lost ones.
func rows(w io.Writer, all, lost []Loss, key func(Loss) string) {
	groups, of := make(map[string][]Loss), make(map[string]int)
	for _, l := range lost {
		groups[key(l)] = append(groups[key(l)], l)
	}
	for _, l := range all {
		of[key(l)]++
	}
	for _, k := range slices.SortedFunc(maps.Keys(groups), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(groups[b]), len(groups[a])), cmp.Compare(a, b))
	}) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\n", cmp.Or(k, "-"), of[k], len(groups[k]), outcomes(groups[k]), mostFrequent(groups[k]))
	}
}

// outcomes lists how many jobs ended how.
func outcomes(jobs []Loss) string {
	counts := make(map[string]int)
	for _, l := range jobs {
		counts[l.Outcome]++
	}
	text := ""
	for _, o := range slices.Sorted(maps.Keys(counts)) {
		text += fmt.Sprintf(", %d %s", counts[o], o)
	}
	return text[len(", "):]
}

// mostFrequent is the cause of most of the jobs.
func mostFrequent(jobs []Loss) string {
	counts := make(map[string]int)
	for _, l := range jobs {
		counts[l.Cause]++
	}
	return slices.MinFunc(slices.Collect(maps.Keys(counts)), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
