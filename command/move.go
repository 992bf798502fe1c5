package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/move"
)

func moveCommand() *cli.Command {
	return group(
		"move", "show and roll back moves of workers between pools",
		subcommand{name: "list", usage: "list the moves in progress, with the reason for each that is stuck", run: listMoves},
		subcommand{name: "roll-back", usage: "roll back a move, so that the worker returns to the pool it came from", args: "WORKER", completeKind: change.KindWorker, makesChange: true, run: rollBackMove},
	)
}

// moveView is the printed form of a move.
type moveView struct {
	Worker string `json:"worker"`
	fleet.Move
}

func listMoves(_ context.Context, op *operation) error {
	views, rows := []moveView{}, [][]string{{"WORKER", "FROM", "TO", "STEP", "SINCE", "STUCK"}}
	for _, name := range op.cfg.Names(change.KindWorker) {
		m := op.cfg.Workers[name].Move
		if m == nil {
			continue
		}
		step := string(m.Step)
		if m.RollBack {
			step += ", rolling back"
		}
		views = append(views, moveView{name, *m})
		rows = append(rows, []string{name, m.From, m.To, step, m.At.Format(time.RFC3339), orDash(m.Stuck)})
	}
	return op.show(views, rows)
}

// startMove starts the move of a worker from its current pool to another one.
func startMove(ctx context.Context, op *operation, worker, pool string) error {
	for _, flag := range []string{"slots", "zone", "rack"} {
		if op.cmd.IsSet(flag) {
			return &fleet.RangeError{Field: "--" + flag, Value: "set", Accepted: "only with --add, --at-once or without a change of pool"}
		}
	}
	c, err := move.Start(op.cfg, time.Now().UTC(), rand.Text(), worker, pool, op.cmd.Bool("force"))
	if err != nil {
		return err
	}
	from := op.cfg.Workers[worker].Pool
	return op.proposePrepared(ctx, c, fmt.Sprintf("stops new work on %s; pool %s has one worker less", worker, from))
}

func rollBackMove(ctx context.Context, op *operation) error {
	worker, err := op.resolve(change.KindWorker, op.arg(0))
	if err != nil {
		return err
	}
	c, err := move.RollBack(op.cfg, time.Now().UTC(), worker)
	if err != nil {
		return err
	}
	return op.proposePrepared(ctx, c)
}

// proposePrepared proposes a change that another package, such as move or wave, prepared, in
// the name of this operator.
func (op *operation) proposePrepared(ctx context.Context, c change.Change, cautions ...string) error {
	c.Operator, c.Reason = operatorName(), op.cmd.String("reason")
	return op.proposeChange(ctx, c, cautions, "")
}

func orDash(v string) string {
	if v == "" {
		return "-"
	}
	return v
}
