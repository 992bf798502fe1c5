package capacity

import (
	"fmt"
	"io"
	"strconv"
	"strings"
)

// table is one printed table.
type table struct {
	title  string
	header []string
	rows   [][]string
}

// Text writes the report as tables in Markdown.
func (r *Report) Text(w io.Writer) error {
	for _, t := range r.tables() {
		if _, err := fmt.Fprintf(w, "\n### %s\n\n%s%s", t.title, row(t.header), row(make([]string, len(t.header)), "---")); err != nil {
			return err
		}
		for _, cells := range t.rows {
			if _, err := io.WriteString(w, row(cells)); err != nil {
				return err
			}
		}
	}
	return nil
}

// row joins cells; a filler stands in each empty one.
func row(cells []string, filler ...string) string {
	out := "|"
	for _, c := range cells {
		if c == "" {
			c = strings.Join(filler, "")
		}
		out += " " + c + " |"
	}
	return out + "\n"
}

func (r *Report) tables() []table {
	return []table{r.seriesTable(), r.messageTable(), r.roleTable(), r.groupingTable(), r.eventTable(), r.budgetTable()}
}

func (r *Report) seriesTable() table {
	t := table{title: "Measured series", header: []string{"name", "unit", "role", "by", "points", "slope", "intercept", "r squared", "two-year size", "value", "mechanism"}}
	for _, s := range r.Series {
		var points []string
		for _, p := range s.Points {
			points = append(points, number(p.X)+": "+number(p.Y))
		}
		t.rows = append(t.rows, []string{
			s.Name, s.Unit, s.Role, s.By, strings.Join(points, ", "), number(s.Fit.Slope), number(s.Fit.Intercept),
			strconv.FormatFloat(s.Fit.RSquared, 'f', 4, 64), number(s.Size), number(s.Value), s.Mechanism,
		})
	}
	return t
}

func (r *Report) messageTable() table {
	t := table{title: "Messages of one entry host", header: []string{"kind", "unit", "messages/s", "mean bytes"}}
	for _, m := range r.Messages {
		t.rows = append(t.rows, []string{m.Kind, "bytes", number(m.PerSecond), number(m.Bytes)})
	}
	return t
}

func (r *Report) roleTable() table {
	t := table{title: "Needs of each role", header: []string{"role", "unit", "state", "messages", "B/s", "CPU ms/s", "memory MB"}}
	for _, n := range r.Roles {
		t.rows = append(t.rows, []string{n.Role, "B/s, ms/s, MB", n.State, n.Messages, number(n.Bytes), number(n.CPU), number(n.Memory)})
	}
	return t
}

func (r *Report) groupingTable() table {
	t := table{title: "Loss of a zone in a region", header: []string{"entry hosts", "unit", "lost", "survivors have a majority of peer leases", "survivors may reclaim"}}
	for _, g := range r.Grouping {
		t.rows = append(t.rows, []string{strconv.Itoa(g.Hosts) + " less " + strconv.Itoa(g.Lost), "hosts", strconv.Itoa(g.Lost), yes(g.PeerLease), yes(g.Reclaimable)})
	}
	return t
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func (r *Report) eventTable() table {
	t := table{title: "Ordinary day and large failures", header: []string{"figure", "unit", "event", "value", "arithmetic"}}
	for _, e := range r.Days {
		t.rows = append(t.rows, []string{e.What, e.Unit, e.Event, number(e.Value), e.Sum})
	}
	return t
}

func (r *Report) budgetTable() table {
	t := table{title: "Budgets", header: []string{"budget", "unit", "value", "limit", "verdict", "arithmetic"}}
	for _, b := range r.Budgets {
		t.rows = append(t.rows, []string{b.Name, b.Unit, number(b.Value), number(b.Limit), b.verdict(), b.Sum})
	}
	return t
}

// number prints four significant digits, and whole numbers from 1000 on.
func number(v float64) string {
	if v >= 1000 || v <= -1000 || v == float64(int64(v)) {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}
