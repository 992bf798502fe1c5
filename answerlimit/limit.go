// Package answerlimit bounds the memory of what a host reads for the calls of its callers. Many
// calls at once about one large job would otherwise make the host hold that job once for each.
package answerlimit

import "context"

// Limit admits a number of large answers at a time. A nil limit admits all.
type Limit struct {
	slots chan struct{}
}

// New returns a limit of n answers, one at least.
func New(n int) *Limit { return &Limit{make(chan struct{}, max(1, n))} }

// holdKey is the context key of a hold.
type holdKey struct{}

// hold is the place that one call has among the admitted answers. A call reads one answer after
// the other, so it has one place at most and cannot wait for another while it has it.
type hold struct {
	limit    *Limit
	admitted bool
}

// Hold returns a context in which large answers have to be admitted, and a function that ends the
// admission. That function may be called more than once; an answer after it has to be admitted
// again. In a context that has a hold already, the admission ends with the outer one.
func (l *Limit) Hold(ctx context.Context) (held context.Context, release func()) {
	if l == nil || ctx.Value(holdKey{}) != nil {
		return ctx, func() {}
	}
	h := &hold{limit: l}
	return context.WithValue(ctx, holdKey{}, h), h.release
}

func (h *hold) release() {
	if h.admitted {
		h.admitted = false
		<-h.limit.slots
	}
}

// Admit waits until a large answer may be read, or ctx ends. Outside a hold it does not wait.
func Admit(ctx context.Context) error {
	h, _ := ctx.Value(holdKey{}).(*hold)
	if h == nil || h.admitted {
		return nil
	}
	select {
	case h.limit.slots <- struct{}{}:
		h.admitted = true
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
