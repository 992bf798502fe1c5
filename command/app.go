// Package command implements the subcommands of the egretdrum binary.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"egretdrum.example/demo"
	"egretdrum.example/entry"
	"egretdrum.example/eventlog"
	"egretdrum.example/settings"
)

// Version is the release of this binary.
const Version = "0.1.0"

// App returns the root command with all subcommands.
func App() *cli.Command {
	return withUsageErrors(&cli.Command{
		Name:                  "egretdrum",
		Usage:                 "fleet capacity and maintenance manager",
		Version:               Version,
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			entryCommand(),
			platformHostCommand(),
			jobCommand(),
			explainJobCommand(), explainLossesCommand(),
			checkConfigCommand(),
			contractCommand(),
			keyCommand(),
			poolCommand(),
			moveCommand(),
			waveCommand(),
			zoneCommand(),
			serviceCommand(),
			auditCommand(),
			demoCommand(),
			emulateCommand(),
			statusCommand(),
			explainCommand(),
			measureCommand(),
			versionCommand(),
		},
	})
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry host",
		Flags: []cli.Flag{&cli.StringFlag{Name: "config", Required: true, Usage: "settings file (INI)"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := settings.Load(cmd.String("config"))
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			// The first signal removes the handler, so that a second one ends the process at once.
			context.AfterFunc(ctx, stop)
			h := entry.New(s, eventlog.New(os.Stderr))
			if err := h.Listen(ctx); err != nil {
				return err
			}
			return h.Run(ctx)
		},
	}
}

func checkConfigCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-config",
		Usage:     "check a settings file and print every error in it",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return cli.Exit("check-config needs one FILE", exitUsage)
			}
			if _, err := settings.Load(cmd.Args().First()); err != nil {
				return cli.Exit(err.Error(), exitRefused)
			}
			_, err := fmt.Fprintln(cmd.Root().Writer, "ok")
			return err
		},
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the whole system against embedded fakes and check the results",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return demo.New(cmd.Root().Writer).Run(ctx)
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := fmt.Fprintln(cmd.Root().Writer, Version)
			return err
		},
	}
}
