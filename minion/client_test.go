package minion

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/minionfake"
)

const wait = 20 * time.Second

// rig is one client and one stand-in minion with connection faults.
type rig struct {
	client  *Client
	minion  *minionfake.Minion
	address netip.AddrPort
}

func newRig(t testing.TB, handler http.Handler) *rig {
	r := &rig{client: New(), minion: minionfake.New("m1")}
	if handler == nil {
		handler = r.minion
	}
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false) // SilenceNew needs a plain TCP socket.
	l, err := cfg.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = l.Addr().(*net.TCPAddr).AddrPort()
	s := &httptest.Server{Listener: r.minion.Listen(l), Config: &http.Server{Handler: handler}}
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
		r.client.Close()
	})
	return r
}

func (r *rig) start(ctx context.Context, method, body string) (*http.Response, error) {
	req := httptest.NewRequest(method, "/work", nil)
	if body != "" {
		req = httptest.NewRequest(method, "/work", strings.NewReader(body))
	}
	return r.client.Send(ctx, "tengri/pairings", r.address, req)
}

// run does one request and returns its whole response body.
func (r *rig) run(method, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	resp, err := r.start(ctx, method, body)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return string(got), err
}

func (r *rig) echo(c *qt.C, body string) {
	c.Helper()
	got, err := r.run(http.MethodPost, body)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, body)
}

// until waits for an event that another goroutine causes.
func until(c *qt.C, event func() bool) {
	c.Helper()
	for end := time.Now().Add(wait); !event(); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the event did not come"))
	}
}

// guards asserts that a rule holds, and that its check fails on a broken variant.
func guards(t *testing.T, broken func(*Client), check func(c *qt.C, r *rig) error) {
	t.Run("rule", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(check(c, newRig(t, nil)), qt.IsNil)
	})
	t.Run("broken variant", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(t, nil)
		broken(r.client)
		c.Assert(check(c, r), qt.IsNotNil)
	})
}

func as[E error](err error) bool {
	var e E
	return errors.As(err, &e)
}

// Guards against a request that ran but is reported as not sent.
func TestClassifiesWrittenRequestAsMayHaveRun(t *testing.T) {
	guards(t, func(c *Client) { c.sent = func(*conn) bool { return false } }, func(c *qt.C, r *rig) error {
		r.minion.Set(minionfake.Behaviour{Cut: true})
		_, err := r.run(http.MethodPost, "x")
		c.Assert(r.minion.Runs(), qt.HasLen, 1)
		if !as[*MayHaveRunError](err) {
			return err
		}
		return nil
	})
}

// Guards against a write after the request was reported as not sent.
func TestSealedConnectionWritesNothing(t *testing.T) {
	guards(t, func(c *Client) { c.sent = func(*conn) bool { return false } }, func(c *qt.C, r *rig) error {
		n, _, err := r.client.acquire(context.Background(), r.address, true, time.Minute)
		c.Assert(err, qt.IsNil)
		c.Assert(r.client.sent(n), qt.IsFalse)
		if _, err := n.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err == nil {
			return errors.New("a byte was written after the seal")
		}
		return nil
	})
}

// Guards against wrong classes, each judged with the minion's own record.
func TestClassification(t *testing.T) {
	c := qt.New(t)
	r := newRig(t, nil)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := r.start(cancelled, http.MethodPost, "x")
	c.Assert(as[*NotSentError](err), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(r.minion.Runs(), qt.HasLen, 0)

	refused := &rig{client: r.client, address: netip.MustParseAddrPort("127.0.0.1:1")}
	_, err = refused.run(http.MethodPost, "x")
	c.Assert(as[*NotSentError](err), qt.IsTrue)
	c.Assert(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue)

	r.minion.Set(minionfake.Behaviour{Leaving: true})
	_, err = r.run(http.MethodPost, "x")
	var leaving *LeavingError
	c.Assert(errors.As(err, &leaving), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(leaving.Response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	leaving.Response.Body.Close()

	r.minion.Set(minionfake.Behaviour{Silent: true})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		until(c, func() bool { return len(r.minion.Runs()) == 1 })
		cancel()
	}()
	_, err = r.start(ctx, http.MethodPost, "x")
	c.Assert(as[*MayHaveRunError](err), qt.IsTrue)
	c.Assert(errors.Is(err, context.Canceled), qt.IsTrue)

	r.minion.Set(minionfake.Behaviour{})
	req := httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader("x"), iotest.ErrReader(errors.New("the caller left"))))
	_, err = r.client.Do(context.Background(), r.address, req)
	c.Assert(as[*RequestBodyError](err), qt.IsTrue, qt.Commentf("%v", err))
	until(c, func() bool { return len(r.minion.Runs()) == 2 && r.minion.Open() == 0 })
	c.Assert(r.minion.Runs()[1].Complete, qt.IsFalse)
}

// Guards against net/http repeating a replayable request when a used connection ends
// without a response.
func TestNeverRepeats(t *testing.T) {
	redial := func(c *Client) {
		c.redial = func(n *conn) (net.Conn, error) { return net.Dial("tcp", n.address.String()) }
	}
	guards(t, redial, func(c *qt.C, r *rig) error {
		r.echo(c, "first")
		r.minion.Set(minionfake.Behaviour{Cut: true})
		_, err := r.run(http.MethodGet, "")
		c.Assert(err, qt.IsNotNil)
		if runs := len(r.minion.Runs()); runs != 2 {
			return errors.New("the request was repeated")
		}
		return nil
	})
}

// Guards against a late response that is taken for the next request's.
func TestLateResponseIsNotTaken(t *testing.T) {
	guards(t, func(c *Client) { c.readable = func(*conn) bool { return false } }, func(c *qt.C, r *rig) error {
		r.echo(c, "first")
		n := r.client.pools[r.address].idle[0]
		until(c, func() bool { n.mu.Lock(); defer n.mu.Unlock(); return n.gated })
		c.Assert(r.minion.Stray(), qt.IsNil)
		got, err := r.run(http.MethodPost, "second")
		if err != nil || got != "second" {
			return errors.New("a stray response was taken")
		}
		c.Assert(r.minion.Accepted(), qt.Equals, 2)
		return nil
	})
}

// Guards against the second of two responses in one segment being taken for the next
// request's; the rest is in the transport's buffer and not in the kernel.
func TestCrossedResponseIsNotTaken(t *testing.T) {
	c := qt.New(t)
	r := newRig(t, nil)
	r.minion.Set(minionfake.Behaviour{Crossed: true})
	for range 5 {
		r.echo(c, "own")
	}
	c.Assert(r.minion.Accepted(), qt.Equals, 5)
}

// Guards against a truncated response that looks complete, by length and by chunks.
func TestTruncatedIsNeverWhole(t *testing.T) {
	whole := func(c *Client) { c.brokenOff = func(*TruncatedError) error { return io.EOF } }
	for name, sizes := range map[string][2]int{"length": {1500, 1100}, "chunks": {5000, 3000}} {
		t.Run(name, func(t *testing.T) {
			guards(t, whole, func(_ *qt.C, r *rig) error {
				r.minion.Set(minionfake.Behaviour{Cut: true, CutAfter: sizes[1]})
				_, err := r.run(http.MethodPost, strings.Repeat("x", sizes[0]))
				if !as[*TruncatedError](err) {
					return errors.New("a truncated response was whole")
				}
				return nil
			})
		})
	}
	t.Run("end of connection", func(t *testing.T) {
		c := qt.New(t)
		r := newRig(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, buf, _ := http.NewResponseController(w).Hijack()
			_, _ = buf.WriteString("HTTP/1.1 200 OK\r\n\r\nhalf")
			_ = buf.Flush()
			_ = conn.Close()
		}))
		_, err := r.run(http.MethodGet, "")
		c.Assert(as[*MayHaveRunError](err), qt.IsTrue)
	})
}

// Guards against one silent path emptying the pool, and against blaming a live minion.
func TestSilentPath(t *testing.T) {
	for name, dead := range map[string]bool{"connection": false, "minion": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newRig(t, nil)
			r.echo(c, "warm")
			c.Assert(r.minion.Silence(), qt.IsNil)
			if dead {
				c.Assert(r.minion.SilenceNew(), qt.IsNil)
			}
			_, err := r.run(http.MethodPost, "lost")
			var silent *SilentError
			c.Assert(errors.As(err, &silent), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(as[*MayHaveRunError](err), qt.IsTrue)
			c.Assert(silent.MinionFailed, qt.Equals, dead)
			c.Assert(r.minion.Runs(), qt.HasLen, 1)
			if !dead {
				r.echo(c, "next")
				c.Assert(r.minion.Accepted(), qt.Equals, 2)
			}
		})
	}
}

// Guards against the interruption of a long run on a live connection, whatever its time.
func TestLongRunIsNotCut(t *testing.T) {
	always := func(c *Client) { c.unacknowledged = func(*conn, time.Duration) bool { return true } }
	guards(t, always, func(c *qt.C, r *rig) error {
		n, _, err := r.client.acquire(context.Background(), r.address, true, time.Second)
		c.Assert(err, qt.IsNil)
		defer n.Close()
		_, err = n.Write([]byte("GET / HTTP/1.1\r\n"))
		c.Assert(err, qt.IsNil)
		now := time.Now().Add(time.Hour)
		n.client.now = func() time.Time { return now }
		n.check()
		return n.cause
	})
}

// Guards against a request reported as not sent that ran, a second run, and a response of
// another request, while callers leave at all moments.
func TestLeavingCallers(t *testing.T) {
	c := qt.New(t)
	r := newRig(t, nil)
	var notSent sync.Map
	var wg sync.WaitGroup
	for i := range 3000 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i)*10*time.Microsecond)
			defer cancel()
			id := strconv.Itoa(i)
			req := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat(id, 1+i%900)))
			req.Header.Set("Egretdrum-Request-Id", id)
			resp, err := r.client.Do(ctx, r.address, req)
			if as[*NotSentError](err) {
				notSent.Store(id, true)
			} else if err == nil {
				defer resp.Body.Close()
				got, err := io.ReadAll(resp.Body)
				c.Check(err != nil || string(got) == strings.Repeat(id, 1+i%900), qt.IsTrue)
			}
		})
	}
	wg.Wait()
	for _, run := range r.minion.Runs() {
		_, again := notSent.LoadOrStore(run.RequestID, true)
		c.Check(again, qt.IsFalse)
	}
}

// Guards against more connections than a minion has, and idle ones beyond the bound.
func TestConnectionLimits(t *testing.T) {
	c := qt.New(t)
	r := newRig(t, nil)
	ctx := context.Background()
	var used []*conn
	for range connsPerMinion {
		n, _, err := r.client.acquire(ctx, r.address, true, time.Minute)
		c.Assert(err, qt.IsNil)
		used = append(used, n)
	}
	_, err := r.run(http.MethodGet, "")
	c.Assert(as[*NotSentError](err) && as[*LimitError](err), qt.IsTrue)
	for _, n := range used {
		n.end(true)
	}
	c.Assert(r.client.pools[r.address].open, qt.Equals, idlePerMinion)
	until(c, func() bool { return r.minion.Open() == idlePerMinion })
	r.client.Close()
	c.Assert(r.client.pools, qt.HasLen, 0)
}

// Guards against a non-idempotent request on a connection that the minion may be closing.
func TestOldIdleConnection(t *testing.T) {
	c := qt.New(t)
	r := newRig(t, nil)
	now := time.Now()
	r.client.now = func() time.Time { return now }
	for i, method := range []string{http.MethodPost, http.MethodPut, http.MethodPost} {
		_, err := r.run(method, "x")
		c.Assert(err, qt.IsNil)
		now = now.Add(reuseAge + time.Second)
		c.Assert(r.minion.Accepted(), qt.Equals, 1+i/2)
	}
}

// Guards against a p99 estimate beyond its bucket's width.
func TestLatencyEstimate(t *testing.T) {
	c := qt.New(t)
	var l latency
	for i := range 1000 {
		l.record(time.Duration(i+1) * time.Millisecond)
	}
	c.Assert(l.p99() >= 990*time.Millisecond && l.p99() <= 1250*time.Millisecond, qt.IsTrue, qt.Commentf("%v", l.p99()))
}
