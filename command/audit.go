package command

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/operator"
)

func auditCommand() *cli.Command {
	return subcommand{
		name: "audit", usage: "show the audit trail of changes",
		flags: []cli.Flag{
			&cli.StringFlag{Name: "object", Usage: "only changes of the object with this name"},
			&cli.StringFlag{Name: "operator", Usage: "only changes by this operator"},
			&cli.StringFlag{Name: "since", Usage: "only changes since a time (RFC 3339) or in the last DURATION, for example 24h"},
		},
		run: showAudit,
	}.command()
}

func showAudit(ctx context.Context, op *operation) error {
	since, err := parseSince(op.cmd.String("since"), time.Now())
	if err != nil {
		return err
	}
	trail, err := operator.Audit(ctx, op.api)
	if err != nil {
		return err
	}
	object := op.cmd.String("object")
	if object != "" {
		if object, err = objectInTrail(object, trail); err != nil {
			return err
		}
	}
	author := op.cmd.String("operator")
	selected, rows := []change.Change{}, [][]string{{"VERSION", "AT", "OPERATOR", "ACTION", "OBJECT", "REASON"}}
	for _, c := range trail {
		if object != "" && c.Name != object || author != "" && c.Operator != author || c.At.Before(since) {
			continue
		}
		action := c.Action
		if c.Forced {
			action += ", forced"
		}
		selected = append(selected, c)
		rows = append(rows, []string{strconv.FormatUint(c.Version, 10), c.At.Format(time.RFC3339), c.Operator, action, c.Kind + " " + c.Name, c.Reason})
	}
	return op.show(selected, rows)
}

// objectInTrail resolves a name among the objects of the audit trail, which include removed
// ones.
func objectInTrail(name string, trail []change.Change) (string, error) {
	var names []string
	for _, c := range trail {
		names = append(names, c.Name)
	}
	slices.Sort(names)
	return fleet.ResolveAmong("object", name, slices.Compact(names))
}

func parseSince(v string, now time.Time) (time.Time, error) {
	if v == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(v); err == nil && d >= 0 {
		return now.Add(-d), nil
	}
	t, err := time.Parse(time.RFC3339, v)
	if err != nil {
		return t, cli.Exit(fmt.Sprintf("--since is %q; accepted: a duration such as 24h or a time such as 2026-01-31T08:00:00Z", v), exitUsage)
	}
	return t, nil
}
