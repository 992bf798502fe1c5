package membership

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/epoch"
	"egretdrum.example/store"
)

// reclaim removes lost members whose store lease has expired, and recovers the credits of
// replaced incarnations. The first live member does it. If two members each consider
// themselves the first, the compare-and-swap decides.
func (a *Agent) reclaim(ctx context.Context) error {
	now := time.Now()
	if now.Sub(a.lastReclaimCheck) < reclaimInterval {
		return nil
	}
	a.lastReclaimCheck = now
	_, lostNames := a.node.Peers(now)
	e := a.node.Epoch()
	if !a.isFirstLive(e, lostNames) {
		return nil
	}
	lost, err := a.lapsedMembers(ctx, e, lostNames)
	if err != nil || (len(lost) == 0 && len(e.Departed) == 0) {
		return err
	}
	a.node.Reclaim(time.Now(), lost, false)
	request, confirmations, ok := a.node.Confirmed()
	// A member whose lease was found expired may have changed the epoch since e, which shows
	// that it is alive.
	if !ok || request.Number != e.Number || !slices.Equal(request.Lost, append(slices.Clone(lost), e.Departed...)) {
		return nil
	}
	err = a.updateEpoch(ctx, func(e *epoch.Epoch) (*epoch.Epoch, error) {
		if e.Number != request.Number {
			return nil, &StaleError{Adopted: request.Number, Found: e.Number}
		}
		return e.Reclaim(a.self.ID(), lost, confirmations, epoch.LongestWork)
	})
	if err == nil {
		a.log.Info("members-reclaimed", zap.String("lost", joinIDs(lost)), zap.String("replaced", joinIDs(e.Departed)))
	}
	return err
}

// joinIDs joins ids for the log. The logfmt encoder panics on slices of non-standard types.
func joinIDs(ids []epoch.ID) string {
	names := make([]string, len(ids))
	for n, id := range ids {
		names[n] = string(id)
	}
	return strings.Join(names, ",")
}

func (a *Agent) isFirstLive(e *epoch.Epoch, lost []string) bool {
	for _, m := range e.Members {
		if !slices.Contains(lost, m.Name) {
			return m.ID() == a.self.ID()
		}
	}
	return false
}

// lapsedMembers returns the lost members without a host key at the store.
func (a *Agent) lapsedMembers(ctx context.Context, e *epoch.Epoch, names []string) ([]epoch.ID, error) {
	var lost []epoch.ID
	for _, m := range e.Members {
		if !slices.Contains(names, m.Name) {
			continue
		}
		_, _, err := a.store.Get(ctx, hostPrefix+m.Name)
		var missing *store.NotFoundError
		switch {
		case errors.As(err, &missing):
			lost = append(lost, m.ID())
		case err != nil:
			return nil, &StepError{Step: "read host key", Err: err}
		}
	}
	return lost, nil
}

// Leave removes the host from the epoch at a planned stop. Run must have returned and the
// node must have drained. Credits and grant tables are handed over first. If ctx ends before
// that, the other hosts reclaim this one as if it had crashed.
func (a *Agent) Leave(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		if done, err := a.tryLeave(ctx); done {
			return nil
		} else if err != nil {
			a.log.Warn("leave-failed", zap.Error(err))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return &StepError{Step: "leave", Err: ctx.Err()}
		}
	}
}

func (a *Agent) tryLeave(ctx context.Context) (bool, error) {
	now := time.Now()
	if err := a.refresh(ctx); err != nil {
		return false, err
	}
	if a.node.Removed() {
		// The response to an earlier attempt was lost, or the others have reclaimed this host.
		return true, a.store.EndLease(ctx, a.leaseID)
	}
	a.node.HandOver(now)
	successor, ok := a.node.Successor()
	if !ok {
		// The last host has no successor. The next host that starts reclaims it, which is
		// safe because an only member admits with its store lease only.
		return true, a.store.EndLease(ctx, a.leaseID)
	}
	if !a.node.HandedOver(now) {
		return false, nil
	}
	a.node.Reclaim(now, []epoch.ID{a.self.ID()}, true)
	request, confirmations, ok := a.node.Confirmed()
	if !ok || !request.Planned {
		return false, nil
	}
	err := a.updateEpoch(ctx, func(e *epoch.Epoch) (*epoch.Epoch, error) {
		if e.Number != request.Number {
			return nil, &StaleError{Adopted: request.Number, Found: e.Number}
		}
		return e.Leave(a.self.ID(), successor, confirmations)
	})
	if err != nil {
		return false, err
	}
	a.log.Info("left", zap.String("member", string(a.self.ID())))
	return true, a.store.EndLease(ctx, a.leaseID)
}
