package callermemory

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	testBody    = 100 << 10
	testTimeout = 20 * time.Second
)

func limitsOf(bodies, processing int64) *Budget {
	return &Budget{Limits: func() Limits { return Limits{bodies, processing, 30 * time.Second} }}
}

// connWriter is a response writer whose read deadlines apply to a connection.
type connWriter struct {
	http.ResponseWriter
	conn net.Conn
}

func (w connWriter) SetReadDeadline(t time.Time) error { return w.conn.SetReadDeadline(t) }

// sender is a client and what became of its body.
type sender struct {
	conn   net.Conn
	result chan error
	body   *Reservation
}

// send starts to receive a body of the given length, -1 for an unknown one.
func send(b *Budget, length int64) *sender {
	client, server := net.Pipe()
	s := &sender{conn: client, result: make(chan error, 1)}
	r := httptest.NewRequest(http.MethodPost, "/", server)
	r.ContentLength = length
	if length >= 0 {
		r.Body = io.NopCloser(io.LimitReader(server, length))
	}
	go func() {
		var err error
		s.body, err = b.Receive(connWriter{httptest.NewRecorder(), server}, r, Terms{MaxBytes: 256 << 10, Timeout: testTimeout})
		s.result <- err
		_ = server.Close()
	}()
	synctest.Wait()
	return s
}

// write sends n bytes, which are all read unless the body was given up.
func (s *sender) write(n int) {
	_, _ = io.WriteString(s.conn, strings.Repeat(" ", n))
	synctest.Wait()
}

func assertRefused(t *testing.T, err error, cause string) {
	t.Helper()
	refused, ok := errors.AsType[*RefusedError](err)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, refused.Cause, qt.Equals, cause)
	qt.Assert(t, refused.RetryAfter >= time.Second, qt.IsTrue)
}

func assertUsage(t *testing.T, b *Budget, bodies, processing int64) {
	t.Helper()
	gotBodies, gotProcessing := b.Usage()
	qt.Assert(t, []int64{gotBodies, gotProcessing}, qt.DeepEquals, []int64{bodies, processing})
}

// Guards against bodies that are given up although they arrive fast, against giving up more than
// needed, and against giving up bodies without a gain.
func TestSlowestBodiesAreChosen(t *testing.T) {
	stalled, slow, fast := &Reservation{}, &Reservation{}, &Reservation{}
	bodies := []candidate{{fast, 100, minPace}, {slow, 100, 1000}, {stalled, 100, 0}}
	for _, test := range []struct {
		name   string
		needed int64
		want   []*Reservation
		enough bool
	}{
		{"nothing", 0, nil, true},
		{"one", 100, []*Reservation{stalled}, true},
		{"two", 101, []*Reservation{stalled, slow}, true},
		{"more than the slow ones have", 201, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, enough := chooseSlowest(bodies, test.needed)
			qt.Assert(t, enough, qt.Equals, test.enough)
			qt.Assert(t, len(got), qt.Equals, len(test.want))
			for i := range got {
				qt.Assert(t, got[i] == test.want[i], qt.IsTrue)
			}
		})
	}
}

// Guards against a body that sends almost everything at once and then stalls, and still counts
// as faster than one that arrives steadily.
func TestStalledBodyIsSlowerThanSteadyOne(t *testing.T) {
	now := time.Now()
	burst, steady := newPace(now), newPace(now)
	burst.add(256<<10, now)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		steady.add(6<<10, now)
	}
	qt.Assert(t, burst.rate(now) < minPace, qt.IsTrue)
	qt.Assert(t, steady.rate(now) >= minPace, qt.IsTrue)
	fresh := newPace(now)
	qt.Assert(t, fresh.rate(now) >= minPace, qt.IsTrue)
}

// Guards against stalled bodies that keep the memory from others, and against bodies that are
// given up while they may still arrive.
func TestStalledBodyGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := limitsOf(2*testBody, 0)
		stalled, steady := send(b, testBody), send(b, testBody)
		stalled.write(testBody - 1)
		steady.write(1)
		early := send(b, testBody)
		assertRefused(t, <-early.result, CauseMemory)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			steady.write(3200)
		}
		late := send(b, testBody)
		assertRefused(t, <-stalled.result, CauseSlow)
		late.write(testBody)
		qt.Assert(t, <-late.result, qt.IsNil)
		late.body.Release()
		steady.write(testBody - 1 - 30*3200)
		qt.Assert(t, <-steady.result, qt.IsNil)
		assertUsage(t, b, testBody, 0)
		steady.body.Release()
		steady.body.Release()
		assertUsage(t, b, 0, 0)
	})
}

// Guards against buffers of bodies without a length that do not count with their capacity, and
// against the two buffers of a growth that count as one.
func TestGrowingBufferCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := limitsOf(80<<10, 0)
		first, second := send(b, -1), send(b, -1)
		first.write(8 << 10)
		assertUsage(t, b, 0, 0)
		first.write(1)
		assertUsage(t, b, 16<<10, 0)
		first.write(16 << 10)
		assertUsage(t, b, 32<<10, 0)
		second.write(32 << 10)
		assertUsage(t, b, 64<<10, 0)
		// 32 KB cannot become 64 KB beside what both hold.
		second.write(1)
		assertRefused(t, <-second.result, CauseMemory)
		assertUsage(t, b, 32<<10, 0)
		time.Sleep(testTimeout)
		assertRefused(t, <-first.result, CauseLate)
		assertUsage(t, b, 0, 0)
	})
}

// Guards against a host that serves no large body at all because its memory is small, and
// against small bodies that are refused because of large ones.
func TestSingleAndSmallBodiesAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := limitsOf(1, 1)
		large, small := send(b, testBody), send(b, smallBody)
		for _, s := range []*sender{large, small} {
			s.write(testBody)
			_ = s.conn.Close()
			qt.Assert(t, <-s.result, qt.IsNil)
		}
		qt.Assert(t, large.body.Decode(testBody, func(content []byte) error {
			qt.Check(t, content, qt.HasLen, testBody)
			return nil
		}), qt.IsNil)
		assertUsage(t, b, 0, testBody)
		large.body.Release()
		assertUsage(t, b, 0, 0)
	})
}

// Guards against large submissions that use all of the memory for processing, so that small
// ones are refused.
func TestProcessingMemoryIsLeftForSmallBodies(t *testing.T) {
	b := limitsOf(0, 100)
	decode := func(size int, memory int64) (*Reservation, error) {
		r := &Reservation{budget: b, content: make([]byte, size)}
		return r, r.Decode(memory, func([]byte) error { return nil })
	}
	large, err := decode(smallBody+1, 75)
	qt.Assert(t, err, qt.IsNil)
	_, err = decode(smallBody+1, 1)
	assertRefused(t, err, CauseMemory)
	small, err := decode(smallBody, 25)
	qt.Assert(t, err, qt.IsNil)
	_, err = decode(smallBody, 1)
	assertRefused(t, err, CauseMemory)
	large.Release()
	small.Release()
	assertUsage(t, b, 0, 0)
}
