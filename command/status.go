package command

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"egretdrum.example/contract"
	"egretdrum.example/operator"
)

func statusCommand() *cli.Command {
	return subcommand{name: "status", usage: "show entry hosts, pools and teams", run: showStatus}.command()
}

func showStatus(ctx context.Context, op *operation) error {
	s, err := operator.FetchStatus(ctx, op.api)
	if err != nil {
		return err
	}
	if op.isJSON() {
		return op.show(s, nil)
	}
	if err := op.show(nil, [][]string{{"configuration version", strconv.FormatUint(s.Version, 10)}, {"epoch", strconv.FormatUint(s.Epoch, 10)}}); err != nil {
		return err
	}
	hosts := [][]string{{"ENTRY-HOST", "ZONE", "VERSION", "ADMITTING"}}
	for _, m := range s.Members {
		hosts = append(hosts, []string{m.Name, m.Zone, strconv.FormatUint(m.Version, 10), strconv.FormatBool(m.Admitting)})
	}
	pools := [][]string{{"POOL", "WORKERS", "LEAVING", "MIN-AVAILABLE"}}
	for _, p := range s.Pools {
		pools = append(pools, []string{p.Name, strconv.Itoa(p.Workers), strconv.Itoa(p.Leaving), strconv.Itoa(p.MinAvailable)})
	}
	teams := [][]string{{"TEAM", "SHARE", "UPPER-LIMIT", "RUNNING", "WAITING"}}
	for _, t := range s.Teams {
		teams = append(teams, []string{t.Name, contract.FormatShare(t.Share), strconv.Itoa(t.Limit), strconv.Itoa(t.Running), strconv.Itoa(t.Waiting)})
	}
	for _, rows := range [][][]string{hosts, pools, teams} {
		if len(rows) == 1 {
			continue
		}
		_, _ = fmt.Fprintln(op.stdout())
		if err := op.show(nil, rows); err != nil {
			return err
		}
	}
	_, err = fmt.Fprint(op.stdout(), prefixLines("warning: ", s.Warnings))
	return err
}
