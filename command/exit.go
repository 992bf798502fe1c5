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
	exitRefused     = 1 // the change or the name is invalid, or a file has errors
	exitUsage       = 2 // the command line is invalid
	exitConflict    = 3 // another operator changed the object first
	exitUnavailable = 4 // no entry host or no store answered; the change may be in force
	exitNotInForce  = 5 // accepted, but not in force everywhere within --wait
	exitUnconfirmed = 6 // the operator did not confirm the change
)

// exitError adds an exit code to an error that has none.
func exitError(err error) error {
	var exitCoder cli.ExitCoder
	if err == nil || errors.As(err, &exitCoder) {
		return err
	}
	code := exitRefused
	var remote *operator.RemoteError
	if errors.As(err, &remote) {
		switch {
		case remote.Status == http.StatusConflict:
			code = exitConflict
		case isOutcomeUnknown(err):
			code = exitUnavailable
		}
	}
	return cli.Exit(err.Error(), code)
}

// isOutcomeUnknown reports whether a call failed without a response that says if it was
// carried out.
func isOutcomeUnknown(err error) bool {
	var remote *operator.RemoteError
	return errors.As(err, &remote) && (remote.Status == 0 || remote.Status >= http.StatusInternalServerError)
}

// withUsageErrors makes cmd and all its subcommands exit with exitUsage on an invalid command
// line. The library exits with code 3 on an unknown subcommand, which means a conflict here.
func withUsageErrors(cmd *cli.Command) *cli.Command {
	cmd.OnUsageError = usageError
	if cmd.Action == nil {
		cmd.Action = noSubcommand
	}
	for _, sub := range cmd.Commands {
		withUsageErrors(sub)
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
