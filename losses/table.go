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

// periodLength is the length of the submission periods in the table by time.
const periodLength = 2 * time.Second

// Write prints the number of lost jobs by cause, queue, account and time of submission, and
// then up to maxJobs of the lost jobs, those with the longest wait first.
func (r *Report) Write(w io.Writer, maxJobs int) error {
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
		key  func(JobSummary) string
	}{
		{"CAUSE", func(l JobSummary) string { return l.Cause }},
		{"QUEUE", func(l JobSummary) string { return l.Queue }},
		{"ACCOUNT", func(l JobSummary) string { return l.Account }},
		{"FROM", func(l JobSummary) string { return l.At.Sub(start).Truncate(periodLength).String() }},
	} {
		fmt.Fprintf(t, "\n%s\tJOBS\tLOST\tOUTCOMES\tMOST OF THEM BY\n", table.name)
		writeRows(t, all, lost, table.key)
	}
	fmt.Fprintf(t, "\nJOB\tQUEUE\tOUTCOME\tTOOK\tOBJECTIVE\tCAUSE\tWAITED\n")
	slices.SortStableFunc(lost, func(a, b JobSummary) int { return cmp.Compare(b.Waits[b.Cause], a.Waits[a.Cause]) })
	for _, l := range lost[:min(maxJobs, len(lost))] {
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%v\t%s\t%v\n", l.Job, l.Queue, l.Outcome, round(l.Took), round(l.Objective), l.Cause, round(l.Waits[l.Cause]))
	}
	return t.Flush()
}

// writeRows prints one line for each key that has lost jobs, with the number of all jobs of the
// key and of the lost ones.
func writeRows(w io.Writer, all, lost []JobSummary, key func(JobSummary) string) {
	groups, totals := make(map[string][]JobSummary), make(map[string]int)
	for _, l := range lost {
		groups[key(l)] = append(groups[key(l)], l)
	}
	for _, l := range all {
		totals[key(l)]++
	}
	for _, k := range slices.SortedFunc(maps.Keys(groups), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(groups[b]), len(groups[a])), cmp.Compare(a, b))
	}) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\n", cmp.Or(k, "-"), totals[k], len(groups[k]), outcomes(groups[k]), mostFrequent(groups[k]))
	}
}

// outcomes lists the number of jobs by outcome.
func outcomes(jobs []JobSummary) string {
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

// mostFrequent returns the most frequent cause.
func mostFrequent(jobs []JobSummary) string {
	counts := make(map[string]int)
	for _, l := range jobs {
		counts[l.Cause]++
	}
	return slices.MinFunc(slices.Collect(maps.Keys(counts)), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
