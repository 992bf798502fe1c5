package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"egretdrum.example/fleet"
	"egretdrum.example/operator"
)

const (
	outputTable = "table"
	outputJSON  = "json"

	apiEnv      = "EGRETDRUM_API"
	operatorEnv = "EGRETDRUM_OPERATOR"
)

// subcommand describes one operator command. args lists the names of its arguments, all of
// them required. If completeKind is set, the first argument is the name of an object of that
// kind, and shell completion offers the names in the configuration.
type subcommand struct {
	name, usage, args string
	completeKind      string
	makesChange       bool
	flags             []cli.Flag
	run               func(ctx context.Context, op *operation) error
}

// operation is one invocation of an operator command.
type operation struct {
	cmd *cli.Command
	api string
	cfg *fleet.Config
}

func (s subcommand) command() *cli.Command {
	flags := append([]cli.Flag{apiFlag(), outputFlag()}, s.flags...)
	if s.makesChange {
		flags = append(flags, changeFlags()...)
	}
	return &cli.Command{
		Name: s.name, Usage: s.usage, ArgsUsage: s.args, Flags: flags,
		ShellComplete: s.completion,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if want := len(strings.Fields(s.args)); cmd.Args().Len() != want {
				return cli.Exit(fmt.Sprintf("%s needs %d arguments: %s", cmd.FullName(), want, s.args), exitUsage)
			}
			op := &operation{cmd: cmd, api: strings.TrimSuffix(cmd.String("api"), "/")}
			var err error
			if op.cfg, err = operator.FetchConfig(ctx, op.api); err != nil {
				return exitError(err)
			}
			return exitError(s.run(ctx, op))
		},
	}
}

func group(name, usage string, subcommands ...subcommand) *cli.Command {
	cmd := &cli.Command{Name: name, Usage: usage}
	for _, s := range subcommands {
		cmd.Commands = append(cmd.Commands, s.command())
	}
	return cmd
}

func apiFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "api", Value: "http://127.0.0.1:8081", Sources: cli.EnvVars(apiEnv),
		Usage: "URL of the operator API of any entry host",
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "output", Value: outputTable, Usage: "output format: table or json",
		Validator: func(v string) error {
			if v != outputTable && v != outputJSON {
				return fmt.Errorf("is %q; accepted: table, json", v)
			}
			return nil
		},
	}
}

// completion prints the names that complete the command line, or none if no entry host answers.
func (s subcommand) completion(ctx context.Context, cmd *cli.Command) {
	if s.completeKind == "" || cmd.Args().Len() > 0 {
		cli.DefaultCompleteWithFlags(ctx, cmd)
		return
	}
	// The library runs completion before it reads flags from the environment.
	api := cmd.String("api")
	if v := os.Getenv(apiEnv); v != "" && !cmd.IsSet("api") {
		api = v
	}
	cfg, err := operator.FetchConfig(ctx, strings.TrimSuffix(api, "/"))
	if err != nil {
		return
	}
	for _, name := range cfg.Names(s.completeKind) {
		_, _ = fmt.Fprintln(cmd.Root().Writer, name)
	}
}

func (op *operation) arg(n int) string { return op.cmd.Args().Get(n) }

func (op *operation) stdout() io.Writer { return op.cmd.Root().Writer }

func (op *operation) stderr() io.Writer { return op.cmd.Root().ErrWriter }

func (op *operation) isJSON() bool { return op.cmd.String("output") == outputJSON }

// show prints v as JSON or rows as an aligned table, as --output says.
func (op *operation) show(v any, rows [][]string) error {
	if op.isJSON() {
		e := json.NewEncoder(op.stdout())
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	t := tabwriter.NewWriter(op.stdout(), 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	return t.Flush()
}

// resolve returns the qualified name of an existing object.
func (op *operation) resolve(kind, name string) (string, error) { return op.cfg.Resolve(kind, name) }
