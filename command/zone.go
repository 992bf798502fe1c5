package command

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
)

func zoneCommand() *cli.Command {
	return group(
		"zone", "keep new work out of an availability zone",
		subcommand{name: "list", usage: "list the availability zones under evacuation", run: listZones},
		subcommand{
			name: "evacuate", usage: "send no new work to the workers of an availability zone; what runs there goes on", args: "ZONE",
			makesChange: true, run: evacuateZone,
		},
		subcommand{
			name: "restore", usage: "send work to the workers of an availability zone again", args: "ZONE", completeKind: change.KindZone,
			makesChange: true, run: restoreZone,
		},
	)
}

// zoneView is the printed form of an availability zone under evacuation.
type zoneView struct {
	Name string `json:"zone"`
	fleet.Zone
}

func listZones(_ context.Context, op *operation) error {
	views, rows := []zoneView{}, [][]string{{"ZONE", "EVACUATED-SINCE", "REASON"}}
	for _, name := range op.cfg.Names(change.KindZone) {
		z := op.cfg.Zones[name]
		views, rows = append(views, zoneView{name, z}), append(rows, []string{name, z.Since.Format(time.RFC3339), z.Reason})
	}
	return op.show(views, rows)
}

func evacuateZone(ctx context.Context, op *operation) error {
	name := op.arg(0)
	z, evacuated := op.cfg.Zones[name]
	if !evacuated {
		z = fleet.Zone{Since: time.Now().UTC().Truncate(time.Second), Reason: op.cmd.String("reason")}
	}
	p := proposal{action: "evacuate-zone", kind: change.KindZone, name: name, value: z}
	if !evacuated {
		p.cautions = append(p.cautions, fmt.Sprintf("keeps new work from the %d workers of the zone", workersIn(op.cfg, name)))
	}
	return op.propose(ctx, p, "")
}

func restoreZone(ctx context.Context, op *operation) error {
	name, err := op.resolve(change.KindZone, op.arg(0))
	if err != nil {
		return err
	}
	return op.propose(ctx, proposal{action: "restore-zone", kind: change.KindZone, name: name}, "")
}

// workersIn counts the workers whose records name the zone.
func workersIn(cfg *fleet.Config, zone string) int {
	n := 0
	for _, w := range cfg.Workers {
		if w.Zone == zone {
			n++
		}
	}
	return n
}
