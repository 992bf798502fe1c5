package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"egretdrum.example/emulation"
	"egretdrum.example/emulator"
	"egretdrum.example/eventlog"
)

func emulateCommand() *cli.Command {
	return &cli.Command{
		Name:      "emulate",
		Usage:     "emulate the users' platform on loopback addresses, so that platform-host processes can run against it",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: "seed", Usage: "replaces the seed of FILE"},
			&cli.IntFlag{Name: "hosts", Usage: "number of entry hosts; each gets a settings file"},
			&cli.StringFlag{Name: "settings-dir", Usage: "directory for the settings files of the entry hosts"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return cli.Exit("emulate needs one FILE", exitUsage)
			}
			if cmd.Int("hosts") < 0 || (cmd.Int("hosts") > 0) != (cmd.String("settings-dir") != "") {
				return cli.Exit("--hosts and --settings-dir are needed together", exitUsage)
			}
			file, s, err := emulation.Load(cmd.Args().First())
			if err != nil {
				return cli.Exit(err.Error(), exitRefused)
			}
			if cmd.IsSet("seed") {
				s.Seed = cmd.Int64("seed")
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			e := emulator.New(&emulator.Config{
				File: file, Settings: s, Hosts: cmd.Int("hosts"), SettingsDir: cmd.String("settings-dir"),
				Listeners: cmd.Root().Writer, Log: eventlog.New(os.Stderr),
			})
			if err := e.Listen(ctx); err != nil {
				return err
			}
			return e.Run(ctx)
		},
	}
}
