package maintenance

import (
	"context"

	"egretdrum.example/budget"
	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
	"egretdrum.example/rollout"
)

// BudgetCheck returns a function for a rollout.ConfigManager that checks a change against the
// availability budgets. For each change of a worker or a pool, the function reads the host list
// and refuses the change if the list cannot be read, because no worker may leave without it.
func BudgetCheck(hosts func(context.Context) ([]hostlist.Host, error)) func(context.Context, *fleet.Config, *fleet.Config, change.Change) error {
	return func(ctx context.Context, cur, next *fleet.Config, c change.Change) error {
		if c.Kind != change.KindWorker && c.Kind != change.KindPool {
			return nil
		}
		list, err := hosts(ctx)
		if err != nil {
			return &rollout.ConfigError{ChangeID: c.ID, Err: err}
		}
		return budget.Check(cur, next, list, c.Forced)
	}
}
