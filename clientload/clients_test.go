package clientload

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// maxBodyBytes is the largest legal body.
	maxBodyBytes = 256 << 10
	// crowdDeadline is the time that the clients of a crowd claim to wait.
	crowdDeadline = time.Minute
	// sendTime bounds the time in which a client of a crowd sends; what the host does not read
	// stays unsent.
	sendTime = 4 * time.Second
	// settleTime gives the host time to read what it has got.
	settleTime = time.Second
	// maxAttempts bounds the attempts of an ordinary caller.
	maxAttempts = 15
)

var jobs atomic.Uint64

// newJob returns an ID that no other job has.
func newJob() string { return fmt.Sprintf("%016x", jobs.Add(1)) }

// submission returns the head of a submission, without the length of its body and the empty line.
func submission(deadline time.Duration) string { return submissionOf("/rounds/"+newJob(), deadline) }

func submissionOf(path string, deadline time.Duration) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nDeadline-Ms: %d\r\n", path, queueHost, key, deadline.Milliseconds())
}

// apiSubmission is the submission to the host's own interface.
func apiSubmission() string {
	return fmt.Sprintf("PUT /v1/queues/rounds/jobs/%s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", newJob(), queueHost, key)
}

func withLength(head string, n int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, n)
}

func chunked(head string) string { return head + "Transfer-Encoding: chunked\r\n\r\n" }

// validBody returns the body of a job, filled up to n bytes with blanks. Both interfaces take it.
func validBody(n int) []byte {
	const end = `"steps":[{"count":1,"cpu":100}]}`
	return []byte("{" + strings.Repeat(" ", n-len(end)-1) + end)
}

// chunks returns content in chunks of n bytes each, without the last chunk that ends a body.
func chunks(content []byte, n int) []byte {
	var b bytes.Buffer
	for part := range slices.Chunk(content, n) {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
	}
	return b.Bytes()
}

// pieces returns a client that sends content in pieces of n bytes with short pauses.
func pieces(content []byte, n int) func(io.Writer) {
	return func(w io.Writer) {
		for part := range slices.Chunk(content, n) {
			if _, err := w.Write(part); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// whole returns a client that sends content at once.
func whole(content []byte) func(io.Writer) { return pieces(content, len(content)) }

// endless returns a client that sends content again and again, n bytes at most.
func endless(content string, n int) func(io.Writer) {
	block := []byte(strings.Repeat(content, 16<<10/len(content)))
	return func(w io.Writer) {
		for sent := 0; sent < n; sent += len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}
}

// crowd opens n connections to an address. Each sends head and then what its client sends, and
// stays open until the test ends. Connections that the host refuses or cuts are no failure.
func crowd(t *testing.T, n int, address netip.AddrPort, head func() string, client func(io.Writer)) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", address.String(), sendTime)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
			if _, err := io.WriteString(conn, head()); err == nil {
				client(conn)
			}
		})
	}
	wg.Wait()
}

// post sends a submission on a connection of its own.
func post(address netip.AddrPort, head string, client func(io.Writer)) (*http.Response, error) {
	conn, err := net.DialTimeout("tcp", address.String(), patience)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(conn, head); err != nil {
		return nil, err
	}
	client(conn)
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// checkOrdinaryCaller checks that the host accepts a job of an ordinary caller, who tries again
// after a refusal.
func checkOrdinaryCaller(t *testing.T, p *platform) {
	t.Helper()
	body := validBody(200)
	head := withLength(submission(3*time.Second), len(body))
	last := ""
	for range maxAttempts {
		resp, err := post(p.callers, head, whole(body))
		pause := 100 * time.Millisecond
		switch {
		case err != nil:
			last = err.Error()
		case resp.StatusCode == http.StatusOK:
			return
		default:
			last = resp.Status
			if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
				pause = time.Duration(seconds) * time.Second
			}
		}
		time.Sleep(pause)
	}
	t.Errorf("an ordinary caller was not served in %d attempts: %s", maxAttempts, last)
}

// watchDescriptors returns a function that ends the watch and returns the most open descriptors
// that were seen.
func watchDescriptors(h *process) func() int {
	stop, ended := make(chan struct{}), make(chan struct{})
	most := 0
	go func() {
		defer close(ended)
		for ticker := time.NewTicker(20 * time.Millisecond); ; {
			most = max(most, h.openDescriptors())
			select {
			case <-ticker.C:
			case <-stop:
				ticker.Stop()
				return
			}
		}
	}()
	return func() int { close(stop); <-ended; return most }
}

// checkHost plays a crowd against a new host and checks what has to hold afterwards, while the
// connections of the crowd are still open.
func checkHost(t *testing.T, p *platform, play func(t *testing.T)) {
	h := p.startHost(t)
	watched := watchDescriptors(h)
	play(t)
	time.Sleep(settleTime)
	qt.Check(t, h.running(), qt.IsTrue, qt.Commentf("the host has ended"))
	checkOrdinaryCaller(t, p)
	most := watched()
	qt.Assert(t, h.running(), qt.IsTrue, qt.Commentf("the host has ended"))
	peak := h.peakMB(t)
	t.Logf("peak of the resident memory %d MiB of %d, most open descriptors %d of %d", peak, memoryMB, most, descriptors)
	qt.Check(t, peak <= memoryMB, qt.IsTrue, qt.Commentf("%d MiB", peak))
	qt.Check(t, most <= descriptors, qt.IsTrue, qt.Commentf("%d descriptors", most))
}
