package command

import "github.com/urfave/cli/v3"

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:     "measure",
		Usage:    "measure this build",
		Commands: []*cli.Command{measurePolicyCommand(), measureMaintenanceCommand()},
	}
}
