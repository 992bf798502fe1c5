package maintenance

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/budget"
	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
	"egretdrum.example/move"
	"egretdrum.example/node"
)

// tickMoves performs the next step of each move whose worker's slots this host owns.
func (d *Driver) tickMoves(ctx context.Context, now time.Time) {
	cfg := d.Config()
	var moving []string
	for name, w := range cfg.Workers {
		if w.Move != nil {
			moving = append(moving, name)
		}
	}
	if len(moving) == 0 {
		return
	}
	slices.Sort(moving)
	version, use := d.SlotUse(now, moving)
	if version < cfg.Version {
		// The grants are still based on an older document, in which the worker may serve.
		return
	}
	list, ok := d.hosts(ctx)
	if !ok {
		return
	}
	lagging := d.LaggingHosts(cfg.Version)
	for _, name := range moving {
		if use[name].Owned {
			d.stepMove(ctx, now, cfg, name, evidence(use[name], list, name, lagging))
		}
	}
}

func evidence(use node.SlotUse, list map[string]hostlist.Host, worker string, lagging []string) move.Evidence {
	host, listed := list[worker]
	return move.Evidence{
		Owner: use.Owned, Outstanding: use.Outstanding, Lagging: lagging,
		Listed: listed, ListedLeaving: host.Leaving,
	}
}

// stepMove performs the next step of one move, or reports why it is overdue.
func (d *Driver) stepMove(ctx context.Context, now time.Time, cfg *fleet.Config, worker string, ev move.Evidence) {
	c, wait, err := move.Next(cfg, now, worker, ev)
	if err != nil {
		d.Log.Error("move-step-not-made", zap.String("worker", worker), zap.Error(err))
		return
	}
	if wait == "" && c.ID != "" {
		var exceeded *budget.ExceededError
		err := d.accept(ctx, c)
		if err == nil {
			d.Log.Info("move-step", zap.String("worker", worker), zap.String("step", c.Action))
		}
		if errors.As(err, &exceeded) {
			wait = exceeded.Error()
		}
	}
	if wait != "" {
		d.reportStuck(ctx, now, cfg, worker, wait)
	}
}

func (d *Driver) reportStuck(ctx context.Context, now time.Time, cfg *fleet.Config, worker, reason string) {
	c, err := move.Stuck(cfg, now, worker, reason)
	if err != nil || c.ID == "" {
		return
	}
	d.Log.Warn("move-stuck", zap.String("worker", worker), zap.String("reason", reason))
	_ = d.accept(ctx, c)
}
