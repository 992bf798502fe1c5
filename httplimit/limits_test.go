package httplimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startServer starts a server with the limits l. The channel receives the result of reading each body.
func startServer(t *testing.T, l Limits) (address string, bodyErrors chan error) {
	bodyErrors = make(chan error, 10)
	s := l.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		var withStatus interface{ Status() int }
		if errors.As(err, &withStatus) {
			w.WriteHeader(withStatus.Status())
		}
		bodyErrors <- err
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l.Listen(listener)) }()
	t.Cleanup(func() { _ = s.Close() })
	return listener.Addr().String(), bodyErrors
}

func testLimits() Limits {
	return Limits{
		Conns: 2, HeaderTimeout: 20 * time.Second, HeaderBytes: 1 << 10, BodyBytes: 100,
		BodyTimeout: 20 * time.Second, IdleTimeout: 20 * time.Second,
	}
}

// rawConn is a connection on which a test sends raw requests.
type rawConn struct {
	*qt.C
	conn   net.Conn
	reader *bufio.Reader
}

func dial(c *qt.C, address string) *rawConn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &rawConn{c, conn, bufio.NewReader(conn)}
}

// assertStatus sends the text and asserts the status of the response; 0 means that the server
// closes the connection without one.
func (c *rawConn) assertStatus(status int, text string) {
	c.Helper()
	_, err := io.WriteString(c.conn, text)
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(c.reader, nil)
	if status == 0 {
		c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
		return
	}
	c.Assert(err, qt.IsNil)
	_, _ = io.Copy(io.Discard, resp.Body)
	c.Assert(resp.StatusCode, qt.Equals, status)
}

func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// Guards against an oversized body that reaches the handler in full, and against a refusal
// after which the connection cannot be used for the next request.
func TestBodySizeLimit(t *testing.T) {
	c := qt.New(t)
	address, bodyErrors := startServer(t, testLimits())
	first := dial(c, address)
	first.assertStatus(200, post(100, strings.Repeat("x", 100)))
	c.Assert(<-bodyErrors, qt.IsNil)
	first.assertStatus(413, post(101, strings.Repeat("x", 101)))
	first.assertStatus(200, post(1, "x"))
	c.Assert(<-bodyErrors, qt.IsNil)
	first.assertStatus(413, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nc8\r\n"+strings.Repeat("x", 200)+"\r\n0\r\n\r\n")
	c.Assert(<-bodyErrors, qt.ErrorAs, new(*BodyTooLargeError))
	dial(c, address).assertStatus(431, "GET / HTTP/1.1\r\nHost: a\r\nBig: "+strings.Repeat("x", 6<<10)+"\r\n\r\n")
}

// Guards against callers that occupy a connection by sending a body or headers slowly.
func TestSlowCaller(t *testing.T) {
	c := qt.New(t)
	l := testLimits()
	l.BodyTimeout = 50 * time.Millisecond
	address, bodyErrors := startServer(t, l)
	dial(c, address).assertStatus(408, post(10, "x"))
	c.Assert(<-bodyErrors, qt.ErrorAs, new(*SlowBodyError))
	l = testLimits()
	l.HeaderTimeout = 50 * time.Millisecond
	address, _ = startServer(t, l)
	dial(c, address).assertStatus(0, "GET / HTTP/1.1\r\n")
}

// Guards against more connections than the limit, and against closed connections that still
// count towards it.
func TestConnectionLimit(t *testing.T) {
	c := qt.New(t)
	address, bodyErrors := startServer(t, testLimits())
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	first, second := dial(c, address), dial(c, address)
	for _, served := range []*rawConn{first, second} {
		served.assertStatus(200, get)
		c.Assert(<-bodyErrors, qt.IsNil)
	}
	dial(c, address).assertStatus(429, get)
	second.assertStatus(200, get)
	first.assertStatus(413, post(101, strings.Repeat("x", 101)))
	first.assertStatus(200, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	_, err := first.reader.ReadByte()
	c.Assert(err, qt.ErrorIs, io.EOF)
}

// Guards against a refusal that waits for the rest of a body that does not come.
func TestAnswerDoesNotWaitForBody(t *testing.T) {
	c := qt.New(t)
	l := testLimits()
	// Longer than the client waits.
	l.BodyTimeout = time.Minute
	address, _ := startServer(t, l)
	dial(c, address).assertStatus(413, post(101, "x"))
}
