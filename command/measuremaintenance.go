package command

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"

	"egretdrum.example/measure"
)

func measureMaintenanceCommand() *cli.Command {
	return &cli.Command{
		Name:  "maintenance",
		Usage: "simulate the four-week maintenance cycle at the two-year size in virtual time",
		Flags: []cli.Flag{outputFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			rows, err := measure.Cycle()
			if err != nil {
				return err
			}
			table := [][]string{{"ABSENT", "DONE", "QUARANTINED", "LEFT", "POOLS-NOT-FINISHED", "LAST-POOL-AFTER-DAYS", "CHANGES", "PAUSES", "DRAINS-OVER-BUDGET"}}
			for _, r := range rows {
				table = append(table, []string{
					strconv.Itoa(r.Absent), strconv.Itoa(r.Done), strconv.Itoa(r.Quarantined), strconv.Itoa(r.Left), strconv.Itoa(r.Unfinished),
					decimal(r.Days), strconv.Itoa(r.Changes), strconv.Itoa(r.Pauses), strconv.Itoa(r.Over),
				})
			}
			op := &operation{cmd: cmd}
			return op.show(rows, table)
		},
	}
}
