package eventlog_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/eventlog"
)

// Guards against long lines, which may quote what a caller has sent, that fill the memory while
// the destination is slow, and against a buffer that stays full afterwards.
func TestBufferIsBoundedInBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lineBytes, lines = 16 << 10, 1000
		ctx, cancel := context.WithCancel(t.Context())
		reader, writer := io.Pipe()
		b := eventlog.NewBuffered(ctx, writer)
		write := func(lines int) {
			for range lines {
				_, err := io.WriteString(b, strings.Repeat("x", lineBytes-1)+"\n")
				qt.Assert(t, err, qt.IsNil)
			}
		}
		written := make(chan int, 1)
		write(1)
		// The first line is being written from now on.
		synctest.Wait()
		write(lines)
		go func() {
			content, err := io.ReadAll(reader)
			qt.Check(t, err, qt.IsNil)
			written <- strings.Count(string(content), "x\n")
		}()
		synctest.Wait()
		write(1)
		cancel()
		<-b.Done()
		qt.Assert(t, writer.Close(), qt.IsNil)
		// Besides the first and the last line, 2 MB were kept.
		const kept = 1 + 2<<20/lineBytes + 1
		qt.Assert(t, <-written, qt.Equals, kept)
	})
}
