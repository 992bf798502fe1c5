package eventlog

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
)

// Buffered is a writer that never blocks: lines that do not fit are dropped and counted.
type Buffered struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// bufferedLines bounds the memory of a log whose reader is slow, to about 1 MB.
const bufferedLines = 4096

// NewBuffered returns a writer that passes lines on to w until ctx ends. Done is closed
// after the last line.
func NewBuffered(ctx context.Context, w io.Writer) *Buffered {
	b := &Buffered{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go b.run(ctx, w)
	return b
}

// Write implements io.Writer.
func (b *Buffered) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Done is closed when the lines written before the end of the context are out.
func (b *Buffered) Done() <-chan struct{} { return b.done }

func (b *Buffered) run(ctx context.Context, w io.Writer) {
	defer close(b.done)
	batch := make([]byte, 0, 4096)
	for {
		select {
		case line := <-b.lines:
			batch = b.collect(append(batch[:0], line...))
			b.out(w, batch)
		case <-ctx.Done():
			if len(b.lines) == 0 {
				return
			}
			b.out(w, b.collect(batch[:0]))
		}
	}
}

// collect joins waiting lines, which costs one system call in place of many.
func (b *Buffered) collect(batch []byte) []byte {
	for len(batch) < cap(batch) {
		select {
		case line := <-b.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

func (b *Buffered) out(w io.Writer, batch []byte) {
	defer func() {
		// A failing log must not end the process; what was lost is counted.
		if recover() != nil {
			b.dropped.Add(1)
		}
	}()
	if n := b.dropped.Swap(0); n > 0 {
		batch = append(batch, "level=warn event=log-lines-dropped lines="+strconv.FormatInt(n, 10)+"\n"...)
	}
	// A log that cannot be written has nowhere to say so.
	_, _ = w.Write(batch)
}
