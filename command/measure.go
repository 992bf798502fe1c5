package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"egretdrum.example/capacity"
)

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:     "measure",
		Usage:    "measure this build",
		Commands: []*cli.Command{measureCapacityCommand(), measurePolicyCommand(), measureMaintenanceCommand()},
	}
}

func measureCapacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure what entry hosts and the store need, as in docs/CAPACITY.md",
		Flags: []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			r, err := capacity.Measure(ctx)
			if err != nil {
				return err
			}
			if cmd.String("output") == outputJSON {
				return r.JSON(cmd.Root().Writer)
			}
			return r.Text(cmd.Root().Writer)
		},
	}
}
