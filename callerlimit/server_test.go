package callerlimit_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/callerlimit"
)

// dial opens a connection to a server and sends text.
func dial(t *testing.T, s *httptest.Server, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = io.WriteString(conn, text)
	qt.Assert(t, err, qt.IsNil)
	return conn, bufio.NewReader(conn)
}

// Guards against the rest of a refused body that counts as a large head, so that connections with
// heads of ordinary callers are closed for it.
func TestRestOfBodyIsNoHead(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnauthorized)
	}))
	l := &callerlimit.Limit{Max: 10, MaxHeads: 1}
	l.Apply(s.Config)
	s.Listener = l.Listen(s.Listener)
	s.Start()
	defer s.Close()
	head, headAnswer := dial(t, s, "GET / HTTP/1.1\r\nHost: a\r\nA-Field: "+strings.Repeat("x", 2000))
	time.Sleep(50 * time.Millisecond)
	_, bodyAnswer := dial(t, s, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 50_000))
	_, err := http.ReadResponse(bodyAnswer, nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(head, "\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	_, err = http.ReadResponse(headAnswer, nil)
	qt.Assert(t, err, qt.IsNil)
}

// Guards against time-outs of requests that cut a connection which has become an owner link.
func TestTimeoutsDoNotCutLinks(t *testing.T) {
	const timeout = 100 * time.Millisecond
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		for line, err := rw.ReadString('\n'); err == nil; line, err = rw.ReadString('\n') {
			_, _ = fmt.Fprint(conn, line)
		}
	}))
	s.Config.ReadTimeout, s.Config.WriteTimeout, s.Config.IdleTimeout = timeout, timeout, timeout
	l := &callerlimit.Limit{Max: 1}
	l.Apply(s.Config)
	s.Listener = l.Listen(s.Listener)
	s.Start()
	defer s.Close()
	conn, answer := dial(t, s, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	for range 3 {
		time.Sleep(3 * timeout)
		_, err := io.WriteString(conn, "x\n")
		qt.Assert(t, err, qt.IsNil)
		_, err = answer.ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, l.Open(), qt.Equals, int64(0))
}
