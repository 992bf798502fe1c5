package callerlimit_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/callerlimit"
)

// testConn is a connection whose end is seen by its client.
type testConn struct {
	net.Conn
	ctx    context.Context
	client net.Conn
}

// pipeListener accepts one connection.
type pipeListener struct {
	net.Listener
	conn net.Conn
}

func (l pipeListener) Accept() (net.Conn, error) { return l.conn, nil }

// open opens a connection to a server.
func open(t *testing.T, s *http.Server, l *callerlimit.Limit) *testConn {
	client, server := net.Pipe()
	conn, err := l.Listen(pipeListener{conn: server}).Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = client.Close(); _ = conn.Close() })
	return &testConn{conn, s.ConnContext(context.Background(), conn), client}
}

func (c *testConn) closed() bool {
	_ = c.client.SetReadDeadline(time.Now())
	_, err := c.client.Read(make([]byte, 1))
	return err == io.EOF
}

// receive lets the server read text.
func (c *testConn) receive(t *testing.T, text string) {
	go func() { _, _ = io.WriteString(c.client, text) }()
	_, err := io.ReadFull(c, make([]byte, len(text)))
	qt.Assert(t, err, qt.IsNil)
}

// Guards against new callers that are refused while others hold connections that they do not
// use, and against closing a connection whose request is being carried out.
func TestQuietestConnectionGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := 0
		l := &callerlimit.Limit{Max: 2, Refuse: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { refused++ })}
		inHandler := func() {}
		s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { inHandler() })}
		l.Apply(s)
		first := open(t, s, l)
		time.Sleep(time.Second)
		second := open(t, s, l)
		first.receive(t, "GET")
		third := open(t, s, l)
		// Only what has been quiet for some time gives way.
		qt.Assert(t, []bool{first.closed(), second.closed()}, qt.DeepEquals, []bool{false, false})
		time.Sleep(time.Second)
		serve := func(c *testConn) {
			s.Handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil).WithContext(c.ctx))
		}
		serve(third)
		qt.Assert(t, refused, qt.Equals, 1)
		s.ConnState(third.Conn, http.StateClosed)
		inHandler = func() {
			time.Sleep(time.Second)
			open(t, s, l)
		}
		serve(second)
		qt.Assert(t, []bool{first.closed(), second.closed()}, qt.DeepEquals, []bool{true, false})
		qt.Assert(t, l.Open(), qt.Equals, int64(2))
	})
}

// Guards against closing a connection whose request is being carried out although its body was not
// read, as that of a cancellation is not.
func TestRequestWithUnreadBodyIsCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &callerlimit.Limit{Max: 1, Refuse: http.NotFoundHandler()}
		s := &http.Server{}
		closed := true
		s.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			time.Sleep(time.Second)
			open(t, s, l)
			closed = l.Open() != 2
		})
		l.Apply(s)
		c := open(t, s, l)
		r := httptest.NewRequest(http.MethodDelete, "/", strings.NewReader("{}")).WithContext(c.ctx)
		s.Handler.ServeHTTP(httptest.NewRecorder(), r)
		qt.Assert(t, closed, qt.IsFalse)
	})
}

// Guards against large heads that never end on all connections at the same time, and against
// closing a connection with a head that has ended.
func TestOldestLargeHeadGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &callerlimit.Limit{Max: 10, MaxHeads: 2}
		s := &http.Server{Handler: http.NotFoundHandler()}
		l.Apply(s)
		var conns []*testConn
		for range 4 {
			conns = append(conns, open(t, s, l))
		}
		field := "A-Field: " + strings.Repeat("x", 2000)
		conns[0].receive(t, field+"\r\n\r\n")
		for _, c := range conns[1:] {
			c.receive(t, field)
			time.Sleep(time.Second)
		}
		var closed []bool
		for _, c := range conns {
			closed = append(closed, c.closed())
		}
		qt.Assert(t, closed, qt.DeepEquals, []bool{false, true, false, false})
	})
}

// Guards against an answer that waits for the rest of a body that does not come, and against a
// head of thousands of fields that is kept while its request is carried out.
func TestAnswerDoesNotWaitForBody(t *testing.T) {
	s, _ := newServer(t)
	for request, status := range map[string]int{
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nx":                        http.StatusOK,
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n":           http.StatusOK,
		"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A: 1\r\n", 101) + "\r\n":             http.StatusRequestHeaderFieldsTooLarge,
		"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A: 1\r\n", 100) + "\r\n":             http.StatusOK,
		"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 100000\r\n\r\n": http.StatusOK,
	} {
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		_, err = io.WriteString(conn, request)
		qt.Assert(t, err, qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, status, qt.Commentf("%.60q", request))
		qt.Assert(t, conn.Close(), qt.IsNil)
	}
}

// Guards against a deadline for the rest of a body that cancels the contexts of later requests
// on the same connection.
func TestConnectionIsUsableAfterUnreadBody(t *testing.T) {
	ended := make(chan error, 1)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Longer than the rest of a body is waited for.
		select {
		case <-r.Context().Done():
		case <-time.After(400 * time.Millisecond):
		}
		ended <- r.Context().Err()
		w.WriteHeader(http.StatusUnauthorized)
	}))
	(&callerlimit.Limit{Max: 2}).Apply(s.Config)
	s.Start()
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	reader := bufio.NewReader(conn)
	for range 3 {
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
		qt.Assert(t, err, qt.IsNil)
		resp, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusUnauthorized)
		qt.Assert(t, <-ended, qt.IsNil)
	}
}
