package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/store"
)

// archive moves the oldest changes of an overfull document to an audit key. The key is
// written before the changes leave the document, and its name and content depend only
// on the changes, so repeating the step after a lost answer writes the same record.
func (k *Keeper) archive(ctx context.Context, cfg *fleet.Config) error {
	if len(cfg.Recent) <= fleet.RecentChanges {
		return nil
	}
	half := fleet.RecentChanges / 2
	b, err := json.Marshal(cfg.Recent[:half])
	if err != nil {
		return &AcceptError{Err: err}
	}
	key := fmt.Sprintf("%s%016d", auditPrefix, cfg.Recent[0].Version)
	_, err = k.store.Put(ctx, key, b, 0, "")
	var conflict *store.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return &AcceptError{Err: err}
	}
	cfg.Recent = append([]change.Change(nil), cfg.Recent[half:]...)
	return nil
}

// Audit returns the whole audit trail, oldest change first.
func (k *Keeper) Audit(ctx context.Context) ([]change.Change, error) {
	cfg, _, err := k.read(ctx)
	if err != nil {
		return nil, err
	}
	names, err := k.store.Keys(ctx, auditPrefix)
	if err != nil {
		return nil, &AcceptError{Err: err}
	}
	var trail []change.Change
	for _, name := range names {
		b, _, err := k.store.Get(ctx, name)
		if err != nil {
			return nil, &AcceptError{Err: err}
		}
		var part []change.Change
		if err := json.Unmarshal(b, &part); err != nil {
			return nil, &AcceptError{Err: fmt.Errorf("audit key %s: %w", name, err)}
		}
		trail = append(trail, part...)
	}
	return mergeTrail(trail, cfg.Recent), nil
}

// mergeTrail drops archived changes that are still in the document, which happens when
// a host dies between the two writes.
func mergeTrail(archived, recent []change.Change) []change.Change {
	trail := archived
	for _, c := range recent {
		if len(trail) == 0 || c.Version > trail[len(trail)-1].Version {
			trail = append(trail, c)
		}
	}
	return trail
}
