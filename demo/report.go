package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// maxShownViolations limits the list of violations in the output.
const maxShownViolations = 10

// report is the result of one run.
type report struct {
	sent, answered, refused, unknown, lost, duplicated int
	reasons                                            map[string]int

	keyWithdrawn, keyRestored time.Time
	drainedAt                 time.Time
	withdrawal                time.Duration
	rollOuts                  []time.Duration
	moves                     int
	shareDistance             float64
	shares                    []string
	shareMeasured             bool
	violations                []string
}

func (r *report) print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { _, _ = fmt.Fprintf(t, "%s\t%v\n", name, value) }
	_, _ = fmt.Fprintln(t)
	row("requests sent", r.sent)
	row("answered by a minion", r.answered)
	row("refused as not run", r.refused)
	row("outcome unknown", r.unknown)
	for _, reason := range slices.Sorted(maps.Keys(r.reasons)) {
		row("  "+reason, r.reasons[reason])
	}
	row("lost", r.lost)
	row("run twice", r.duplicated)
	row("key withdrawal time", r.withdrawal.Round(time.Millisecond))
	row("roll-out time, longest", longest(r.rollOuts))
	row("buffer cost", "not measured")
	row("moves", r.moves)
	row("distance to share", r.share())
	for _, s := range r.shares {
		row("", s)
	}
	row("broken rules", len(r.violations))
	for _, b := range r.violations[:min(len(r.violations), maxShownViolations)] {
		row("", b)
	}
	_ = t.Flush()
}

func (r *report) share() string {
	if !r.shareMeasured {
		return "not measured"
	}
	return fmt.Sprintf("%.1f%%", 100*r.shareDistance)
}

func longest(d []time.Duration) string {
	if len(d) == 0 {
		return "not measured"
	}
	return slices.Max(d).Round(time.Millisecond).String()
}
