package callermemory

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// firstBuffer is the first buffer for a body of unknown length.
	firstBuffer = 1 << 10
	// smallHead is the size up to which a request head is not subject to the budget.
	smallHead = 2 << 10
	// fieldOverhead is the memory that a field of a head takes besides its text.
	fieldOverhead = 64
)

// Reservation is a body and the memory that is reserved for it and for its processing.
type Reservation struct {
	budget     *Budget
	controller *http.ResponseController
	givenUp    chan struct{}
	content    []byte

	// The following fields are guarded by the mutex of the budget.
	body, processing int64
	pace             pace
	leaving          bool
}

// Terms are the conditions on which a body is received.
type Terms struct {
	// MaxBytes limits the size of the body.
	MaxBytes int64
	// Timeout is how long the caller is willing to wait.
	Timeout time.Duration
	// Check, if set, gets each part of the body as it arrives; an error ends the reception.
	Check io.Writer
}

// Receive reads the body of a request. The memory of a body with a length is reserved before the
// body is read, that of one without before each growth of the buffer. The error is a
// *RefusedError if there is not enough memory or the body does not arrive in time. Without an
// error, Release has to be called.
func (b *Budget) Receive(w http.ResponseWriter, r *http.Request, t Terms) (*Reservation, error) {
	now := time.Now()
	deadline := now.Add(min(t.Timeout, b.limits().BodyTimeout))
	res := &Reservation{budget: b, controller: http.NewResponseController(w), givenUp: make(chan struct{}), pace: newPace(now)}
	// Writers without deadlines have no connection that could stall.
	_ = res.controller.SetReadDeadline(deadline)
	received := false
	defer func() {
		if !received {
			res.Release()
			// The rest of the body must not be taken for another request.
			w.Header().Set("Connection", "close")
		}
	}()
	if err := res.receive(r, t, deadline); err != nil {
		return nil, err
	}
	if !b.complete(res) {
		return nil, refuse(CauseSlow)
	}
	// After the end of the body, net/http waits for the end of the connection. A deadline that
	// passes meanwhile would cancel the context of this call and those of later ones.
	_ = res.controller.SetReadDeadline(time.Time{})
	if !time.Now().Before(deadline) {
		return nil, refuse(CauseLate)
	}
	received = true
	return res, nil
}

func (r *Reservation) receive(req *http.Request, t Terms, deadline time.Time) error {
	if req.ContentLength > t.MaxBytes {
		return &http.MaxBytesError{Limit: t.MaxBytes}
	}
	size, initial := max(0, req.ContentLength), int64(0)
	if head := headBytes(req); head > smallHead {
		initial += head
	}
	if size > smallBody {
		initial += size
	}
	if initial > 0 {
		if err := r.budget.reserve(r, initial, deadline); err != nil {
			return err
		}
	}
	if req.ContentLength < 0 {
		size = min(firstBuffer, t.MaxBytes)
	}
	r.content = make([]byte, 0, size)
	for {
		free := r.content[len(r.content):cap(r.content)]
		if len(free) == 0 {
			// The buffer is full, and the body may have ended.
			free = make([]byte, 1)
		}
		n, err := req.Body.Read(free)
		if n > 0 {
			if err := r.take(free[:n], t, deadline); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return r.readError(err)
		}
	}
}

// take adds what was read, at the end of the content or elsewhere, to the content.
func (r *Reservation) take(part []byte, t Terms, deadline time.Time) error {
	r.budget.recordArrival(r, len(part))
	if t.Check != nil {
		if _, err := t.Check.Write(part); err != nil {
			return err
		}
	}
	if len(r.content)+len(part) <= cap(r.content) {
		r.content = r.content[:len(r.content)+len(part)]
		return nil
	}
	if int64(cap(r.content)) >= t.MaxBytes {
		return &http.MaxBytesError{Limit: t.MaxBytes}
	}
	return r.grow(part, min(2*int64(cap(r.content)), t.MaxBytes), deadline)
}

// grow moves the content to a larger buffer and appends part. Both buffers count until then.
func (r *Reservation) grow(part []byte, size int64, deadline time.Time) error {
	if size > smallBody {
		if err := r.budget.reserve(r, size, deadline); err != nil {
			return err
		}
	}
	old := int64(cap(r.content))
	r.content = append(append(make([]byte, 0, size), r.content...), part...)
	if old > smallBody {
		r.budget.releaseBody(r, old)
	}
	return nil
}

func (r *Reservation) readError(err error) error {
	select {
	case <-r.givenUp:
		return refuse(CauseSlow)
	default:
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuse(CauseLate)
	}
	return err
}

// interrupt ends a read that waits for the caller.
func (r *Reservation) interrupt() {
	_ = r.controller.SetReadDeadline(time.Now())
}

// Decode reserves the memory that the submission needs until it is decided, passes the body to
// decode and releases the memory of the body.
func (r *Reservation) Decode(memory int64, decode func(content []byte) error) error {
	if err := r.budget.reserveProcessing(r, memory, len(r.content)); err != nil {
		return err
	}
	content := r.content
	r.content = nil
	err := decode(content)
	r.budget.releaseBody(r, r.bodyBytes())
	return err
}

func (r *Reservation) bodyBytes() int64 {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.body
}

// Release returns all memory. Further calls have no effect.
func (r *Reservation) Release() {
	r.content = nil
	r.budget.releaseBody(r, r.bodyBytes())
	r.budget.releaseProcessing(r)
}

// headBytes is the memory that the head of a request takes.
func headBytes(r *http.Request) int64 {
	n := int64(len(r.RequestURI))
	for name, values := range r.Header {
		for _, v := range values {
			n += int64(len(name)+len(v)) + fieldOverhead
		}
	}
	return n
}
