package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/store"
)

var errOtherHistory = errors.New("holds other changes than the document; one of them was restored from a backup")

// archive writes the changes that the next version of cfg drops to an audit key. The key
// is written before the document, and its name and content depend only on accepted
// changes, so a retry after a crash or a lost response writes the same record.
func (m *ConfigManager) archive(ctx context.Context, cfg *fleet.Config) error {
	drop := fleet.Overflow(len(cfg.Recent) + 1)
	if drop == 0 || m.mutation.skipArchive {
		return nil
	}
	b, err := json.Marshal(cfg.Recent[:drop])
	if err != nil {
		return err
	}
	key := auditKey(cfg.Recent[0].Version)
	_, err = m.store.Put(ctx, key, b, 0, "")
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		err = m.checkArchived(ctx, key, b)
	}
	if err != nil {
		return err
	}
	return m.afterArchive()
}

// checkArchived compares an existing audit key with the expected content. Without this
// check, a document restored from a backup could drop changes that were never archived.
func (m *ConfigManager) checkArchived(ctx context.Context, key string, want []byte) error {
	b, _, err := m.store.Get(ctx, key)
	if err != nil {
		return err
	}
	if !bytes.Equal(b, want) && !m.mutation.skipArchiveCheck {
		return &ValueError{Key: key, Err: errOtherHistory}
	}
	return nil
}

// isRecorded reports whether the change with this id is in the document or among the
// archived changes after version seen. The archive is read only when changes after
// seen are no longer in the document.
func (m *ConfigManager) isRecorded(ctx context.Context, cfg *fleet.Config, id string, seen uint64) (bool, error) {
	if m.mutation.skipIDCheck {
		return false, nil
	}
	if cfg.HasChange(id) {
		return true, nil
	}
	if len(cfg.Recent) == 0 || cfg.Recent[0].Version <= seen+1 {
		return false, nil
	}
	archived, err := m.archivedAfter(ctx, seen)
	return slices.ContainsFunc(archived, func(c change.Change) bool { return c.ID == id }), err
}

// Audit returns the whole audit trail, oldest change first.
func (m *ConfigManager) Audit(ctx context.Context) ([]change.Change, error) {
	cfg, _, err := m.read(ctx)
	if err != nil {
		return nil, &ConfigError{Err: err}
	}
	archived, err := m.archivedAfter(ctx, 0)
	if err != nil {
		return nil, &ConfigError{Err: err}
	}
	return appendNewer(archived, cfg.Recent), nil
}

// archivedAfter returns the changes of all audit keys that can hold changes after version.
func (m *ConfigManager) archivedAfter(ctx context.Context, version uint64) ([]change.Change, error) {
	names, err := m.store.Keys(ctx, auditPrefix)
	if err != nil {
		return nil, err
	}
	// A key of another writer would otherwise pass for the successor of the one before it.
	names = slices.DeleteFunc(names, func(name string) bool { return firstVersion(name) == 0 })
	var trail []change.Change
	for n, name := range names {
		if n+1 < len(names) && firstVersion(names[n+1]) <= version {
			continue
		}
		b, _, err := m.store.Get(ctx, name)
		if err != nil {
			return nil, err
		}
		var batch []change.Change
		if err := json.Unmarshal(b, &batch); err != nil {
			return nil, &ValueError{Key: name, Err: err}
		}
		trail = appendNewer(trail, batch)
	}
	return trail, nil
}

// appendNewer appends the changes that are newer than the trail. Changes can be stored
// twice: a host can crash between writing the audit key and the document, and releases
// with another number of changes per key leave overlapping keys.
func appendNewer(trail, more []change.Change) []change.Change {
	for _, c := range more {
		if len(trail) == 0 || c.Version > trail[len(trail)-1].Version {
			trail = append(trail, c)
		}
	}
	return trail
}

func auditKey(first uint64) string { return fmt.Sprintf("%s%016d", auditPrefix, first) }

// firstVersion returns the version in the name of an audit key, or 0 if the name has none.
func firstVersion(key string) uint64 {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, auditPrefix), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
