package eventlog

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
)

// Buffered is a writer that never blocks: lines that do not fit into its buffer are dropped
// and counted.
type Buffered struct {
	lines   chan []byte
	dropped atomic.Int64
	// queued is the size of the lines in the buffer.
	queued atomic.Int64
	done   chan struct{}
}

// The buffer is bounded by lines and by bytes when the destination is slow, since a line may quote
// a path of 16 KB that a caller has sent.
const (
	maxBufferedLines = 4096
	maxBufferedBytes = 2 << 20
)

// NewBuffered returns a writer that forwards lines to w until ctx is cancelled, and then
// flushes the buffer and closes Done.
func NewBuffered(ctx context.Context, w io.Writer) *Buffered {
	b := &Buffered{lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go b.run(ctx, w)
	return b
}

// Write implements io.Writer.
func (b *Buffered) Write(line []byte) (int, error) {
	size := int64(len(line))
	if b.queued.Add(size) <= maxBufferedBytes {
		select {
		case b.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	b.queued.Add(-size)
	b.dropped.Add(1)
	return len(line), nil
}

// Done returns a channel that is closed once the lines written before the cancellation are
// flushed.
func (b *Buffered) Done() <-chan struct{} { return b.done }

func (b *Buffered) run(ctx context.Context, w io.Writer) {
	defer close(b.done)
	batch := make([]byte, 0, 4096)
	for {
		select {
		case line := <-b.lines:
			b.queued.Add(-int64(len(line)))
			batch = b.collect(append(batch[:0], line...))
			b.flush(w, batch)
		case <-ctx.Done():
			if len(b.lines) == 0 {
				return
			}
			b.flush(w, b.collect(batch[:0]))
		}
	}
}

// collect appends queued lines to the batch, to write them with one system call.
func (b *Buffered) collect(batch []byte) []byte {
	for len(batch) < cap(batch) {
		select {
		case line := <-b.lines:
			b.queued.Add(-int64(len(line)))
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

func (b *Buffered) flush(w io.Writer, batch []byte) {
	defer func() {
		// A writer that panics must not end the process; the lost batch counts as one line.
		if recover() != nil {
			b.dropped.Add(1)
		}
	}()
	if n := b.dropped.Swap(0); n > 0 {
		batch = append(batch, "level=warn event=log-lines-dropped lines="+strconv.FormatInt(n, 10)+"\n"...)
	}
	// A failed write to the log cannot be logged.
	_, _ = w.Write(batch)
}
