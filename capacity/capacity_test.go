package capacity

import (
	"context"
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func page(t *testing.T) string {
	b, err := os.ReadFile("../docs/CAPACITY.md")
	qt.Assert(t, err, qt.IsNil)
	return string(b)
}

// unmeasured is a report with all rows and no values, but for the messages.
func unmeasured(t *testing.T) *Report {
	r := &Report{Series: append(append(controlSeries(), objectSeries()...), hostSeries(context.Background())...)}
	var err error
	r.Messages, err = messageSizes()
	qt.Assert(t, err, qt.IsNil)
	r.Grouping, err = groupings()
	qt.Assert(t, err, qt.IsNil)
	r.Budgets, r.Roles, r.Days = r.budgets(), r.roles(), r.events()
	return r
}

// rowsOf returns the name and the unit of each row of the table with this title.
func rowsOf(text, title string) []string {
	_, rest, _ := strings.Cut(text, "\n### "+title+"\n")
	section, _, _ := strings.Cut(rest, "\n#")
	var rows []string
	for _, m := range regexp.MustCompile(`(?m)^\| ([^|]+) \| ([^|]+) \|`).FindAllStringSubmatch(section, -1) {
		rows = append(rows, m[1]+", "+m[2])
	}
	return rows
}

// Guards against a page whose tables have other rows than the command prints.
func TestPageHasPrintedRows(t *testing.T) {
	r := unmeasured(t)
	var printed strings.Builder
	qt.Assert(t, r.Text(&printed), qt.IsNil)
	for _, table := range r.tables() {
		rows := rowsOf(printed.String(), table.title)
		qt.Assert(t, rows, qt.HasLen, len(table.rows)+2, qt.Commentf("%s", table.title))
		qt.Check(t, rowsOf(page(t), table.title), qt.DeepEquals, rows, qt.Commentf("%s", table.title))
	}
}

// Guards against a budget line without a verdict, and against a missed budget that does
// not say what has to change.
func TestBudgetsHaveVerdicts(t *testing.T) {
	_, rest, _ := strings.Cut(page(t), "\n### Budgets\n")
	section, _, _ := strings.Cut(rest, "\n#")
	lines := regexp.MustCompile(`(?m)^\| .*$`).FindAllString(section, -1)[2:]
	qt.Assert(t, lines, qt.HasLen, len((&Report{}).budgets()))
	for _, l := range lines {
		verdict := strings.TrimSpace(strings.Split(l, "|")[5])
		qt.Check(t, verdict, qt.Matches, "met|not met: .{5,}", qt.Commentf("%s", l))
	}
}

// Guards against heartbeats and credit messages that grow above the budget again, at nine
// hosts and 90 busy teams.
func TestControlBytes(t *testing.T) {
	s := reference()
	s.busy = busyTeams
	m, err := s.observe(bytesTime)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, m.refused, qt.Equals, 0)
	qt.Check(t, m.bytesPerSecond() <= bytesBudget, qt.IsTrue, qt.Commentf("%.0f B/s", m.bytesPerSecond()))
}

// Guards against a wrong line, through points on it and beside it.
func TestLinear(t *testing.T) {
	f := linear([]point{{0, 3}, {1, 5}, {2, 7}, {4, 11}})
	qt.Check(t, f, qt.Equals, fit{Slope: 2, Intercept: 3, RSquared: 1})
	f = linear([]point{{-1, 0}, {-1, 2}, {1, 2}, {1, 4}})
	qt.Check(t, f, qt.Equals, fit{Slope: 1, Intercept: 2, RSquared: 0.5})
}
