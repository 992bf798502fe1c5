package ownerlink_test

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/ownerlink"
)

// Guards against hosts that do not learn that a pool is short of room, or that it no longer is, and against
// messages about pools while all have room.
func TestShortPoolsAreAnnounced(t *testing.T) {
	var short atomic.Pointer[[]string]
	short.Store(new([]string))
	h, l := newHost(t, "term 7"), newLink(t)
	h.server.ShortPools = func() []string { return *short.Load() }
	l.SetOwner(h.at, h.token)
	waitConnected(t, l, true)
	qt.Assert(t, l.Short("desk"), qt.IsFalse)
	short.Store(&[]string{"desk"})
	waitShort(t, l, true)
	qt.Assert(t, l.Short("league"), qt.IsFalse)
	short.Store(new([]string))
	waitShort(t, l, false)
	short.Store(&[]string{"desk"})
	waitShort(t, l, true)
	h.closeConnections()
	waitConnected(t, l, false)
	qt.Assert(t, l.Short("desk"), qt.IsFalse)
}

func waitShort(t *testing.T, l *ownerlink.Link, want bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); l.Short("desk") != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("Short() did not become %t", want)
		}
	}
}

// Guards against forecasts that say something else to the host than to the owner, and against a host that
// takes a missing answer, as that of an older owner, for a forecast.
func TestForecasts(t *testing.T) {
	want := ownerlink.Forecast{Refuse: true, DoneIn: 20 * time.Second, Objective: 2 * time.Second, ErrorFactor: 1.3, RoomIn: 14 * time.Second, PlanAge: 40 * time.Millisecond}
	for name, c := range map[string]struct {
		answer func([]byte, func(*ownerlink.Forecast))
		job    []byte
		known  bool
	}{
		"forecast":    {func(_ []byte, reply func(*ownerlink.Forecast)) { reply(&want) }, []byte("job"), true},
		"none":        {func(_ []byte, reply func(*ownerlink.Forecast)) { reply(nil) }, []byte("job"), false},
		"silent":      {func([]byte, func(*ownerlink.Forecast)) {}, []byte("job"), false},
		"older owner": {nil, []byte("job"), false},
		"large job":   {func(_ []byte, reply func(*ownerlink.Forecast)) { reply(&want) }, make([]byte, 64<<10), false},
	} {
		t.Run(name, func(t *testing.T) {
			h, l := newHost(t, "term 7"), newLink(t)
			h.server.Forecast = c.answer
			l.SetOwner(h.at, h.token)
			waitConnected(t, l, true)
			f, ok := l.Forecast(t.Context(), c.job)
			qt.Assert(t, ok, qt.Equals, c.known)
			if ok {
				qt.Assert(t, f, qt.Equals, want)
			}
			qt.Assert(t, l.Connected(), qt.IsTrue)
		})
	}
	_, ok := newLink(t).Forecast(t.Context(), []byte("job"))
	qt.Assert(t, ok, qt.IsFalse)
}
