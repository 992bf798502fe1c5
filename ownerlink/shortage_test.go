package ownerlink

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// Guards against messages about pools while all have room, against more than one each 200 ms while one has
// not, and against hosts that are not told that it has room again.
func TestAnnouncementsOfShortages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pools atomic.Pointer[[]string]
		pools.Store(new([]string))
		s := &Server{ShortPools: func() []string { return *pools.Load() }, Log: zap.NewNop()}
		ctx, cancel := context.WithCancel(t.Context())
		out, ended := make(chan []byte, 100), make(chan error, 1)
		go func() { ended <- s.announceShortage(ctx, out) }()
		assertAnnounced := func(after time.Duration, n int, want []string) {
			t.Helper()
			time.Sleep(after)
			synctest.Wait()
			qt.Assert(t, out, qt.HasLen, n)
			for range n {
				r, err := decode[reply](<-out)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, r.ID, qt.Equals, uint64(0))
				qt.Assert(t, r.Shortage.Pools, qt.DeepEquals, want)
			}
		}
		assertAnnounced(1900*time.Millisecond, 0, nil)
		pools.Store(&[]string{"desk"})
		assertAnnounced(time.Second, 5, []string{"desk"})
		pools.Store(new([]string))
		assertAnnounced(time.Second, 1, nil)
		cancel()
		qt.Assert(t, <-ended, qt.IsNotNil)
	})
}
