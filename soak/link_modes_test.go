package soak

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// echoServer answers each connection with what it gets.
func echoServer(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); _, _ = io.Copy(conn, conn) }()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// exchange sends a byte on a connection and reports whether it came back.
func exchange(t *testing.T, conn net.Conn) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(300*time.Millisecond)), qt.IsNil)
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

// Guards against a soak whose links do not disturb anything.
func TestLinkModes(t *testing.T) {
	for mode, want := range map[string]struct{ old, fresh, healed bool }{
		"cut":      {healed: true},
		"cut-up":   {healed: true},
		"cut-down": {healed: true},
		"delay":    {old: true, fresh: true, healed: true},
		"refuse":   {},
		"reset":    {fresh: true},
		"silence":  {fresh: true},
	} {
		t.Run(mode, func(t *testing.T) {
			l, err := newLink(mode, echoServer(t), nil)
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(l.close)
			dial := func() (net.Conn, error) {
				conn, err := net.Dial("tcp", l.address().String())
				if err == nil {
					t.Cleanup(func() { _ = conn.Close() })
				}
				return conn, err
			}
			// A link that refuses may reset a connection before or after the caller knows that it is open.
			exchangeAnew := func() error {
				conn, err := dial()
				if err != nil {
					return err
				}
				return exchange(t, conn)
			}
			old, err := dial()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, exchange(t, old), qt.IsNil)
			f := newLinkFault(&fault{mode: mode, delay: 20 * time.Millisecond})
			l.add(f)
			qt.Check(t, exchange(t, old) == nil, qt.Equals, want.old)
			qt.Check(t, exchangeAnew() == nil, qt.Equals, want.fresh)
			l.remove(f)
			qt.Check(t, exchange(t, old) == nil, qt.Equals, want.healed)
			qt.Check(t, exchangeAnew(), qt.IsNil)
		})
	}
}

// Guards against hosts that reach workers or owners around their links, and against a view that
// changes other values.
func TestViewReplacesAddresses(t *testing.T) {
	const (
		// The values are 127.0.0.1:12345 and 127.0.0.1:23456 in base64.
		first, self = "MTI3LjAuMC4xOjEyMzQ1", "MTI3LjAuMC4xOjIzNDU2"
		body        = `{"items":[{"key":"servers/w","revision":9007199254740993,"value":"` + first + `"},` +
			`{"key":"egretdrum/owner","value":"` + self + `"},{"key":"other","value":"` + first + `"}]}`
	)
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	t.Cleanup(store.Close)
	v, err := newView("entry-1", netip.MustParseAddrPort(store.Listener.Addr().String()), netip.MustParseAddrPort("127.0.0.1:23456"))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(v.close)
	resp, err := http.Get("http://" + v.address().String() + "/-/kv-range?prefix=")
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, strings.Count(string(b), first), qt.Equals, 1)
	qt.Check(t, strings.Count(string(b), self), qt.Equals, 1)
	qt.Check(t, strings.Contains(string(b), "9007199254740993"), qt.IsTrue)
	qt.Check(t, v.links[netip.MustParseAddrPort("127.0.0.1:12345")], qt.IsNotNil)
}

// Guards against schedules that do not repeat.
func TestScheduleRepeats(t *testing.T) {
	const hosts = 5
	first := newSchedule(newRand(7), time.Minute, time.Second, hosts)
	second := newSchedule(newRand(7), time.Minute, time.Second, hosts)
	qt.Assert(t, len(first) > 30, qt.IsTrue)
	for n := range first {
		qt.Assert(t, first[n].String(), qt.Equals, second[n].String())
	}
}
