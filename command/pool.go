package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/operator"
)

func poolCommand() *cli.Command {
	return group(
		"pool", "manage pools and the workers in them",
		subcommand{name: "list", usage: "list all pools", run: listPools},
		subcommand{name: "show", usage: "show the workers of a pool", args: "POOL", completeKind: change.KindPool, run: showPool},
		subcommand{
			name: "set", usage: "create a pool, or set its availability budget", args: "SIDE/POOL", completeKind: change.KindPool, makesChange: true,
			flags: []cli.Flag{
				&cli.IntFlag{Name: "min-available", Usage: "minimum number of workers that serve at any time"},
				&cli.IntFlag{Name: "max-absent-per-rack", Usage: "maximum number of workers absent at a time in one rack; 0 means no limit"},
				&cli.IntFlag{Name: "max-absent-per-zone", Usage: "maximum number of workers absent at a time in one availability zone; 0 means no limit"},
			},
			run: setPool,
		},
		subcommand{
			name: "move", usage: "drain a worker and move it to another pool; see also: egretdrum move", args: "WORKER POOL", completeKind: change.KindWorker, makesChange: true,
			flags: []cli.Flag{
				&cli.BoolFlag{Name: "add", Usage: "accept a worker that is in no pool yet"},
				&cli.BoolFlag{Name: "at-once", Usage: "do not wait until the worker is empty"},
				&cli.IntFlag{Name: "slots", Usage: "number of requests that the worker runs at the same time"},
				&cli.StringFlag{Name: "zone", Usage: "availability zone of the worker while it is not in the host list"},
				&cli.StringFlag{Name: "rack", Usage: "rack of the worker while it is not in the host list"},
				forceFlag(),
			},
			run: moveWorker,
		},
		subcommand{name: "drain", usage: "stop new work on a worker", args: "WORKER", completeKind: change.KindWorker, makesChange: true, flags: []cli.Flag{forceFlag()}, run: drainWorker},
		subcommand{name: "return", usage: "let a drained worker take work again", args: "WORKER", completeKind: change.KindWorker, makesChange: true, run: returnWorker},
	)
}

func forceFlag() cli.Flag {
	return &cli.BoolFlag{Name: "force", Usage: "allow a violation of availability budgets; recorded in the audit trail"}
}

func listPools(_ context.Context, op *operation) error {
	pools, rows := operator.StatusOf(op.cfg).Pools, [][]string{{"POOL", "WORKERS", "LEAVING", "MIN-AVAILABLE"}}
	for _, p := range pools {
		rows = append(rows, []string{p.Name, strconv.Itoa(p.Workers), strconv.Itoa(p.Leaving), strconv.Itoa(p.MinAvailable)})
	}
	return op.show(pools, rows)
}

// workerView is the printed form of a worker.
type workerView struct {
	Name string `json:"worker"`
	fleet.Worker
}

func showPool(_ context.Context, op *operation) error {
	pool, err := op.resolve(change.KindPool, op.arg(0))
	if err != nil {
		return err
	}
	views, rows := []workerView{}, [][]string{{"WORKER", "LEAVING", "SLOTS", "PERMIT"}}
	for _, name := range op.cfg.Names(change.KindWorker) {
		w := op.cfg.Workers[name]
		if w.Pool != pool {
			continue
		}
		views, rows = append(views, workerView{name, w}), append(rows, []string{name, strconv.FormatBool(w.Leaving), slotsText(w.Slots), permitText(w.Permit)})
	}
	return op.show(views, rows)
}

func slotsText(n int) string {
	if n == 0 {
		return "not stated"
	}
	return strconv.Itoa(n)
}

func permitText(p *fleet.Permit) string {
	if p == nil {
		return "-"
	}
	if p.Forced {
		return p.Cause + ", forced"
	}
	return p.Cause
}

func setPool(ctx context.Context, op *operation) error {
	name, err := op.nameToSet(change.KindPool)
	if err != nil {
		return err
	}
	old := op.cfg.Pools[name]
	pool := old
	if op.cmd.IsSet("min-available") {
		pool.MinAvailable = op.cmd.Int("min-available")
	}
	if op.cmd.IsSet("max-absent-per-rack") {
		pool.MaxAbsentPerRack = op.cmd.Int("max-absent-per-rack")
	}
	if op.cmd.IsSet("max-absent-per-zone") {
		pool.MaxAbsentPerZone = op.cmd.Int("max-absent-per-zone")
	}
	p := proposal{action: "set-pool", kind: change.KindPool, name: name, value: pool}
	if pool.MinAvailable < old.MinAvailable {
		p.cautions = append(p.cautions, fmt.Sprintf("lowers min-available from %d to %d", old.MinAvailable, pool.MinAvailable))
	}
	return op.propose(ctx, p, "")
}

func moveWorker(ctx context.Context, op *operation) error {
	pool, err := op.resolve(change.KindPool, op.arg(1))
	if err != nil {
		return err
	}
	name := op.arg(0)
	w, exists := op.cfg.Workers[name]
	if !exists && !op.cmd.Bool("add") {
		return &fleet.ReferenceError{Kind: change.KindWorker, Name: name, From: "the command without --add"}
	}
	if exists && w.Pool != pool && !op.cmd.Bool("at-once") {
		return startMove(ctx, op, name, pool)
	}
	p := proposal{action: "move-worker", kind: change.KindWorker, name: name}
	if exists && w.Pool != pool {
		p.action = "move-worker-at-once"
		p.cautions = append(p.cautions, fmt.Sprintf("stops the work of pool %s on %s", w.Pool, name))
	}
	w.Pool = pool
	if op.cmd.IsSet("slots") {
		w.Slots = op.cmd.Int("slots")
	}
	if op.cmd.IsSet("zone") {
		w.Zone = op.cmd.String("zone")
	}
	if op.cmd.IsSet("rack") {
		w.Rack = op.cmd.String("rack")
	}
	p.value = w
	return op.propose(ctx, p, "")
}

func drainWorker(ctx context.Context, op *operation) error {
	return setLeaving(ctx, op, "drain-worker", true)
}

func returnWorker(ctx context.Context, op *operation) error {
	return setLeaving(ctx, op, "return-worker", false)
}

func setLeaving(ctx context.Context, op *operation, action string, leaving bool) error {
	name, err := op.resolve(change.KindWorker, op.arg(0))
	if err != nil {
		return err
	}
	w := op.cfg.Workers[name]
	w.Leaving = leaving
	if leaving && w.Permit == nil {
		w.Permit = &fleet.Permit{ID: rand.Text(), Cause: fleet.CauseDrain, At: time.Now().UTC(), Forced: op.cmd.Bool("force")}
	}
	if m := w.Maintenance; !leaving && m != nil && m.Step == fleet.MaintenanceQuarantined {
		returned := *m
		returned.Step, returned.At, returned.Reason = fleet.MaintenanceReturning, time.Now().UTC(), "returned by "+operatorName()
		w.Maintenance = &returned
	}
	p := proposal{action: action, kind: change.KindWorker, name: name, value: w}
	if leaving {
		p.cautions = append(p.cautions, fmt.Sprintf("stops new work on %s; pool %s has one worker less", name, w.Pool))
	}
	return op.propose(ctx, p, "")
}

// nameToSet returns the qualified name of the object to set, which need not exist yet. A new
// object needs a qualified name, because an unqualified one does not say its side.
func (op *operation) nameToSet(kind string) (string, error) {
	name, err := op.resolve(kind, op.arg(0))
	if err == nil || !fleet.IsQualified(op.arg(0)) {
		return name, err
	}
	return op.arg(0), nil
}
