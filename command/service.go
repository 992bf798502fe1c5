package command

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
)

func serviceCommand() *cli.Command {
	return group(
		"service", "manage services",
		subcommand{name: "list", usage: "list all services", run: listServices},
		subcommand{
			name: "set", usage: "create a service, or set its pool", args: "SIDE/SERVICE", completeKind: change.KindService, makesChange: true,
			flags: []cli.Flag{
				&cli.StringFlag{Name: "pool", Usage: "pool whose workers run the service"},
				&cli.BoolFlag{Name: "open", Usage: "accept requests without a key"},
			},
			run: setService,
		},
		subcommand{name: "remove", usage: "remove a service", args: "SERVICE", completeKind: change.KindService, makesChange: true, run: removeService},
	)
}

// serviceView is the printed form of a service.
type serviceView struct {
	Name string `json:"name"`
	fleet.Service
}

func listServices(_ context.Context, op *operation) error {
	views, rows := []serviceView{}, [][]string{{"SERVICE", "POOL", "OPEN"}}
	for _, name := range op.cfg.Names(change.KindService) {
		s := op.cfg.Services[name]
		views, rows = append(views, serviceView{name, s}), append(rows, []string{name, s.Pool, strconv.FormatBool(s.Open)})
	}
	return op.show(views, rows)
}

func setService(ctx context.Context, op *operation) error {
	name, err := op.nameToSet(change.KindService)
	if err != nil {
		return err
	}
	old, exists := op.cfg.Services[name]
	s := old
	if op.cmd.IsSet("pool") {
		if s.Pool, err = op.resolve(change.KindPool, op.cmd.String("pool")); err != nil {
			return err
		}
	}
	if op.cmd.IsSet("open") {
		s.Open = op.cmd.Bool("open")
	}
	p := proposal{action: "set-service", kind: change.KindService, name: name, value: s}
	if exists && s.Pool != old.Pool {
		p.cautions = append(p.cautions, fmt.Sprintf("stops the service in pool %s", old.Pool))
	}
	if old.Open && !s.Open {
		p.cautions = append(p.cautions, "refuses requests without a key")
	}
	return op.propose(ctx, p, "")
}

func removeService(ctx context.Context, op *operation) error {
	name, err := op.resolve(change.KindService, op.arg(0))
	if err != nil {
		return err
	}
	return op.propose(ctx, proposal{
		action: "remove-service", kind: change.KindService, name: name,
		cautions: []string{"refuses all further requests to the service"},
	}, "")
}
