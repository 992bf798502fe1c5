package command

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"egretdrum.example/operator"
)

// Exit codes, as documented in docs/operators.md.
const (
	exitRefused     = 1 // the change or the name is not acceptable, or a file has faults
	exitUsage       = 2 // the command line is wrong
	exitConflict    = 3 // somebody else changed the object first
	exitUnavailable = 4 // no entry host or store answered; the change may be in force
	exitBehind      = 5 // accepted, but not in force everywhere within --wait
	exitUnconfirmed = 6 // the confirmation was not given
)

// exitError gives an error its exit code.
func exitError(err error) error {
	var coded cli.ExitCoder
	if err == nil || errors.As(err, &coded) {
		return err
	}
	code := exitRefused
	var remote *operator.RemoteError
	if errors.As(err, &remote) {
		switch {
		case remote.Status == http.StatusConflict:
			code = exitConflict
		case isUnclear(err):
			code = exitUnavailable
		}
	}
	return cli.Exit(err.Error(), code)
}

// isUnclear reports whether a call has no answer that says what happened to it.
func isUnclear(err error) bool {
	var remote *operator.RemoteError
	return errors.As(err, &remote) && (remote.Status == 0 || remote.Status >= http.StatusInternalServerError)
}

// usageErrors gives faults of the command line their exit code, in all subcommands. The
// library ends with code 3 after an unknown subcommand, which means a conflict here.
func usageErrors(cmd *cli.Command) *cli.Command {
	cmd.OnUsageError = usageError
	if cmd.Action == nil {
		cmd.Action = noSubcommand
	}
	for _, sub := range cmd.Commands {
		usageErrors(sub)
	}
	return cmd
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return cli.Exit(err.Error(), exitUsage)
}

func noSubcommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return cli.Exit(fmt.Sprintf("%s has no command %q; see %s --help", cmd.FullName(), cmd.Args().First(), cmd.FullName()), exitUsage)
	}
	if cmd == cmd.Root() {
		return cli.ShowRootCommandHelp(cmd)
	}
	return cli.ShowSubcommandHelp(cmd)
}
