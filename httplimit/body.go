package httplimit

import (
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"os"
	"regexp"
	"sync/atomic"
	"time"

	"egretdrum.example/refusal"
)

var validID = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// requestID returns the request ID that the caller sent if it is valid, else a new one.
func requestID(r *http.Request) string {
	if id := r.Header.Get(refusal.HeaderRequestID); validID.MatchString(id) {
		return id
	}
	return rand.Text()
}

// limitedBody bounds the size of a request body and the time spent waiting for it. Time in
// which the handler does not read is not counted, because then the minion is slow and not the
// caller.
type limitedBody struct {
	io.ReadCloser
	controller *http.ResponseController
	limits     Limits
	http2      bool
	waited     time.Duration // time spent waiting for the caller
	received   int64
	err        error // returned by all further reads
	// ended is set after the first error. A transport may read while the handler returns.
	ended atomic.Bool
}

// limitBody returns a copy of the request with a limited body. The body of the original request
// is not replaced, because the server decides by it whether the connection can be reused. The
// first deadline applies to the server when it reads the part of a body that the handler left
// unread. Full duplex stays off: with it, the server of Go 1.26 panics with "invalid concurrent
// Body.Read call" if the handler did not read the whole body.
func limitBody(w http.ResponseWriter, r *http.Request, l Limits) (*http.Request, *limitedBody) {
	b := &limitedBody{
		ReadCloser: http.MaxBytesReader(w, r.Body, l.BodyBytes),
		controller: http.NewResponseController(w),
		limits:     l,
		http2:      r.ProtoMajor > 1,
	}
	if !b.http2 {
		_ = b.controller.SetReadDeadline(time.Now().Add(l.BodyTimeout))
	}
	limited := *r
	limited.Body = b
	return &limited, b
}

func (b *limitedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	start := time.Now()
	allowed := b.limits.BodyTimeout + time.Duration(b.received)*time.Second/minBodyRate - b.waited
	if err := b.controller.SetReadDeadline(start.Add(allowed)); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	b.waited += time.Since(start)
	b.received += int64(n)
	if err == io.EOF || (b.http2 && err == nil) {
		// After the end of a body, and with HTTP/2 at any time, a deadline that passes
		// would abort the request while the minion works on it.
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, b.classify(err)
}

func (b *limitedBody) classify(err error) error {
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		err = &BodyTooLargeError{Limit: b.limits.BodyBytes}
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		err = &SlowBodyError{Waited: b.waited}
	}
	b.err = err
	if err != nil {
		b.ended.Store(true)
	}
	return err
}
