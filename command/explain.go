package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"egretdrum.example/change"
	"egretdrum.example/operator"
)

func explainCommand() *cli.Command {
	return group(
		"explain", "explain why a request, a host, a team, a move, a wave or a zone is in its current state",
		explainSubcommand(operator.KindRequest, "ID", ""),
		explainSubcommand(operator.KindHost, "NAME", change.KindWorker),
		explainSubcommand(operator.KindTeam, "NAME", change.KindContract),
		explainSubcommand(operator.KindMove, "WORKER", change.KindWorker),
		explainSubcommand(operator.KindWave, "NAME", change.KindWave),
		explainSubcommand(operator.KindZone, "NAME", change.KindZone),
	)
}

func explainSubcommand(kind, args, completeKind string) subcommand {
	return subcommand{
		name: kind, usage: "explain a " + kind, args: args, completeKind: completeKind,
		run: func(ctx context.Context, op *operation) error {
			e, err := operator.Explain(ctx, op.api, kind, op.arg(0))
			if err != nil {
				return err
			}
			rows := [][]string{{e.Summary}}
			for _, f := range e.Facts {
				rows = append(rows, []string{"  " + f.Name, f.Value})
			}
			return op.show(e, rows)
		},
	}
}
