package minion

import (
	"io"
	"net/http"
	"sync/atomic"
)

// States of a requestBody.
const (
	bodyUnread = iota
	bodyRead
	bodyRevoked
)

// requestBody records how much of a caller's body a transport has read. Each attempt to send
// a request on a connection has its own requestBody.
type requestBody struct {
	io.ReadCloser
	length    int64 // 0 or less: unknown
	read      atomic.Int64
	state     atomic.Int32
	readToEnd atomic.Bool
	readErr   atomic.Pointer[RequestBodyError]
}

// newRequestBody returns nil for a request without a body.
func newRequestBody(req *http.Request) *requestBody {
	if req.Body == nil || req.Body == http.NoBody {
		return nil
	}
	return &requestBody{ReadCloser: req.Body, length: req.ContentLength}
}

func (b *requestBody) Read(p []byte) (int, error) {
	if !b.state.CompareAndSwap(bodyUnread, bodyRead) && b.state.Load() == bodyRevoked {
		return 0, errOutcomeReported
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF || b.read.Add(int64(n)) == b.length {
		b.readToEnd.Store(true)
	} else if err != nil {
		b.readErr.Store(&RequestBodyError{Err: err})
	}
	return n, err
}

// Close closes the caller's body only if it was read. An unread body stays open, so that the
// request can be sent on another connection when this one turns out to be closed.
func (b *requestBody) Close() error {
	if b.state.Load() != bodyRead {
		return nil
	}
	return b.ReadCloser.Close()
}

// revoke prevents the transport from reading the body if it has not read any of it, and
// reports whether that was so.
func (b *requestBody) revoke() bool {
	return b == nil || b.state.CompareAndSwap(bodyUnread, bodyRevoked)
}

func (b *requestBody) fullyRead() bool { return b == nil || b.readToEnd.Load() }

// err returns the read error of the caller's body if there is one, and the given error otherwise.
func (b *requestBody) err(err error) error {
	if b != nil {
		if f := b.readErr.Load(); f != nil {
			return f
		}
	}
	return err
}

// responseBody streams a minion's response and returns a TruncatedError if the response ends
// before it is complete.
type responseBody struct {
	io.ReadCloser
	conn     *conn
	request  *requestBody
	reusable bool
	done     bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || b.done {
		return n, err
	}
	b.done = true
	if err == io.EOF {
		b.conn.endExchange(b.reusable && b.request.fullyRead())
		return n, err
	}
	cause := b.conn.fail(err)
	return n, b.conn.client.onTruncated(&TruncatedError{Address: b.conn.address, Err: b.request.err(cause)})
}

// Close ends the exchange. It closes a connection whose response was not read completely,
// because the unread bytes could be taken for the next response.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	if !b.done {
		b.done = true
		b.conn.fail(&ProtocolError{Reason: "response was not read to its end"})
	}
	return err
}
