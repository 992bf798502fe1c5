package minion

import (
	"io"
	"net/http"
	"sync/atomic"
)

// States of a requestBody.
const (
	bodyUntouched = iota
	bodyTouched
	bodyRevoked
)

// requestBody records how far a transport came with a caller's body. Each connection that
// a request is tried on has its own.
type requestBody struct {
	io.ReadCloser
	length  int64 // 0 or less: unknown
	read    atomic.Int64
	state   atomic.Int32
	ended   atomic.Bool
	failure atomic.Pointer[RequestBodyError]
}

// newRequestBody returns nil for a request without a body.
func newRequestBody(req *http.Request) *requestBody {
	if req.Body == nil || req.Body == http.NoBody {
		return nil
	}
	return &requestBody{ReadCloser: req.Body, length: req.ContentLength}
}

func (b *requestBody) Read(p []byte) (int, error) {
	if !b.state.CompareAndSwap(bodyUntouched, bodyTouched) && b.state.Load() == bodyRevoked {
		return 0, errSealed
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF || b.read.Add(int64(n)) == b.length {
		b.ended.Store(true)
	} else if err != nil {
		b.failure.Store(&RequestBodyError{Err: err})
	}
	return n, err
}

// Close leaves the caller's body open while it was not read, so that the request can go
// over another connection when this one turns out to be closed.
func (b *requestBody) Close() error {
	if b.state.Load() != bodyTouched {
		return nil
	}
	return b.ReadCloser.Close()
}

// revoke takes an untouched body back from its transport for good, and tells whether it
// was untouched.
func (b *requestBody) revoke() bool {
	return b == nil || b.state.CompareAndSwap(bodyUntouched, bodyRevoked)
}

func (b *requestBody) whole() bool { return b == nil || b.ended.Load() }

// err returns the failure of the caller's body if there is one, else the given error.
func (b *requestBody) err(err error) error {
	if b != nil {
		if f := b.failure.Load(); f != nil {
			return f
		}
	}
	return err
}

// responseBody streams a minion's response and turns every end but the proper one into a
// TruncatedError.
type responseBody struct {
	io.ReadCloser
	conn  *conn
	sent  *requestBody
	reuse bool
	done  bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || b.done {
		return n, err
	}
	b.done = true
	if err == io.EOF {
		b.conn.end(b.reuse && b.sent.whole())
		return n, err
	}
	cause := b.conn.fail(err)
	return n, b.conn.client.brokenOff(&TruncatedError{Address: b.conn.address, Err: b.sent.err(cause)})
}

// Close ends the exchange. A connection with an unread rest of the response is closed,
// because the rest could be taken for the next response.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	if !b.done {
		b.done = true
		b.conn.fail(&ProtocolError{Reason: "response was not read to its end"})
	}
	return err
}
