package cancellation

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"egretdrum.example/kv"
	"egretdrum.example/storekeys"
)

// MarkedError reports that the mark of a refusal can't be stored because the job has another mark.
type MarkedError struct {
	ID string
	// Item is the other mark.
	Item kv.Item
}

func (e *MarkedError) Error() string { return fmt.Sprintf("job %s has another mark", e.ID) }

// IsRefusal reports whether the value of a mark is that of a refusal.
func IsRefusal(value []byte) bool {
	var o owner
	return cbor.Unmarshal(value, &o) == nil && o.RefusedQueue != ""
}

// Refuses reports whether the value of a mark is that of the refusal of a submission by an account to a
// queue.
func Refuses(value []byte, queue, account string) bool {
	var o owner
	return cbor.Unmarshal(value, &o) == nil && o.RefusedQueue == queue && o.RefusedAccount == account && queue != ""
}

// SetRefused stores the mark of a refused job, so that no earlier submission of it takes effect. Unlike
// Set it replaces no cancellation: if the job has a mark that is not that of an earlier refusal, it
// returns a *MarkedError, and if the job is stored a *StoredError.
func (m *Marks) SetRefused(ctx context.Context, id, queue, account string) error {
	o := owner{RefusedQueue: queue, RefusedAccount: account}
	err := m.set(ctx, &mark{id: id, refusal: true}, o)
	var marked *MarkedError
	if errors.As(err, &marked) && Refuses(marked.Item.Value, queue, account) {
		// The lease of the earlier mark may end soon.
		err = m.set(ctx, &mark{id: id, refusal: true, replaces: marked.Item.Revision}, o)
	}
	return err
}

// failure returns why the mark can't be stored, nil if its conditions hold.
func (k *mark) failure(conflict *kv.ConflictError) error {
	if stored := conflict.Find(storekeys.Job(k.id)); stored.Revision > 0 {
		return &StoredError{ID: k.id, Item: stored}
	}
	if other := conflict.Find(storekeys.Cancel(k.id)); k.refusal && other.Revision != k.replaces {
		return &MarkedError{ID: k.id, Item: other}
	}
	return nil
}
