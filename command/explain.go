package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"egretdrum.example/change"
	"egretdrum.example/operator"
)

func explainCommand() *cli.Command {
	return group(
		"explain", "say why a request, a host, a team, a move or a wave is in its present state",
		explainLeaf(operator.KindRequest, "ID", ""),
		explainLeaf(operator.KindHost, "NAME", change.KindWorker),
		explainLeaf(operator.KindTeam, "NAME", change.KindContract),
		explainLeaf(operator.KindMove, "WORKER", change.KindWorker),
		explainLeaf(operator.KindWave, "NAME", change.KindWave),
	)
}

func explainLeaf(kind, args, complete string) leaf {
	return leaf{
		name: kind, usage: "explain a " + kind, args: args, complete: complete,
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
