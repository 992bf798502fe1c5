package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/hostlist"
	"egretdrum.example/minionfake"
)

// bench holds the files and the processes of one test.
type bench struct {
	c   *qt.C
	dir string
}

// binaries is the directory of the built binaries, for all tests of this package.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		var err error
		if binaries, err = os.MkdirTemp("", "egretdrum-test"); err != nil {
			panic(err)
		}
		defer os.RemoveAll(binaries)
		if out, err := exec.Command("go", "build", "-o", binaries, "egretdrum.example/cmd/...").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}

func newBench(t *testing.T) *bench { return &bench{c: qt.New(t), dir: t.TempDir()} }

// nextPort walks through ports below those that the kernel gives to outgoing connections,
// so that a stopped process finds its port free when it starts again.
var nextPort atomic.Uint32

// address returns a loopback address on which nothing listens. It dials to find out: a
// listener could pass to a process that another test starts at the same moment, and would
// then keep the port for longer than the test does.
func (b *bench) address() netip.AddrPort {
	for {
		port := 20_000 + (uint32(os.Getpid())*50+nextPort.Add(1))%12_000
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			return address
		}
		conn.Close()
	}
}

// start runs a binary until the test ends or stop is called.
func (b *bench) start(name string, args ...string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(binaries, name), args...)
	cmd.Stderr = &bytes.Buffer{}
	b.c.Assert(cmd.Start(), qt.IsNil)
	b.c.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if b.c.Failed() {
			b.c.Logf("%s %v:\n%s", name, args, lastLines(cmd.Stderr.(*bytes.Buffer).String()))
		}
	})
	return cmd
}

// lastLines shortens the output of a process for the report of a failed test.
func lastLines(s string) string {
	const shown = 4000
	return s[max(0, len(s)-shown):]
}

// run runs an operator command to its end and returns its standard output.
func (b *bench) run(args ...string) string {
	cmd := exec.Command(filepath.Join(binaries, "egretdrum"), args...)
	var errors bytes.Buffer
	cmd.Stderr = &errors
	out, err := cmd.Output()
	b.c.Assert(err, qt.IsNil, qt.Commentf("%v: %s", args, errors.String()))
	return strings.TrimSpace(string(out))
}

// waitFor polls until the address answers.
func (b *bench) waitFor(url string) {
	b.eventually(url+" answers", func() bool {
		resp, err := http.Get(url)
		if err == nil {
			resp.Body.Close()
		}
		return err == nil
	})
}

// eventually polls until the condition holds.
func (b *bench) eventually(what string, done func() bool) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for !done() {
		if ctx.Err() != nil {
			b.c.Fatalf("waited in vain: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (b *bench) file(name, content string) string {
	path := filepath.Join(b.dir, name)
	b.c.Assert(os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
	return path
}

func (b *bench) post(url, key, id, body string) *http.Response {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	b.c.Assert(err, qt.IsNil)
	req.Header.Set("Egretdrum-Key", key)
	req.Header.Set("Egretdrum-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	b.c.Assert(err, qt.IsNil)
	b.c.Cleanup(func() { resp.Body.Close() })
	return resp
}

// TestWholePath guards the path from a caller through an entry host to a minion, with
// each part in a process of its own.
func TestWholePath(t *testing.T) {
	b := newBench(t)
	minion, control, platform := b.address(), b.address(), b.address()
	callers, operators, peers := b.address(), b.address(), b.address()

	hosts, err := json.Marshal([]hostlist.Host{{Worker: "w1", Zone: "a", Rack: "r1", Address: minion, Slots: 8, Connections: 64}})
	b.c.Assert(err, qt.IsNil)
	b.start("minion-stand-in", "w1", minion.String(), control.String(), "1ms")
	b.start("platform-stand-in", platform.String(), b.file("hosts.json", string(hosts)))
	b.waitFor(fmt.Sprintf("http://%s/hosts", platform))

	seed := `{"version":1,"contracts":{},"pools":{"tengri/rounds":{"min-available":0}},
		"services":{"tengri/pairings":{"pool":"tengri/rounds"}},"workers":{"w1":{"pool":"tengri/rounds"}}}`
	req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/kv/config?prev-revision=0", platform), strings.NewReader(seed))
	b.c.Assert(err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	b.c.Assert(err, qt.IsNil)
	resp.Body.Close()
	b.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)

	secret := b.file("secret", "0123456789abcdef0123456789abcdef")
	config := b.file("entry.ini", fmt.Sprintf(`[entry]
name = entry-1
zone = a
callers-address = %s
operator-address = %s
[store]
url = http://%s
[peers]
address = %s
secret-file = %s
`, callers, operators, platform, peers, secret))
	host := b.start("egretdrum", "entry", "--config", config)
	api := "http://" + operators.String()
	b.waitFor(api + "/healthz")

	b.run("contract", "set", "--api", api, "--share-millionths", "500000", "--upper-limit", "4", "--reason", "first contract", "tengri/arbiters")
	key := b.run("key", "give", "--api", api, "tengri/arbiters")
	url := fmt.Sprintf("http://%s/tengri/pairings/rounds/7", callers)

	b.c.Run("answer", func(c *qt.C) {
		resp := b.post(url, key, "round-7", "boards")
		body, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		c.Check(string(body), qt.Equals, "boards")
		c.Check(resp.Header.Get("Egretdrum-Run"), qt.Equals, "yes")
		c.Check(resp.Header.Get("Egretdrum-Request-Id"), qt.Equals, "round-7")
	})
	b.c.Run("withdrawn key", func(c *qt.C) {
		id := strings.Split(key, ".")[1]
		b.run("key", "withdraw", "--api", api, "tengri/arbiters", id)
		resp := b.post(url, key, "round-8", "boards")
		c.Check(resp.StatusCode, qt.Equals, http.StatusUnauthorized)
		c.Check(resp.Header.Get("Egretdrum-Run"), qt.Equals, "no")
	})
	// A refusal before the key is accepted used to be missing from the counter.
	b.c.Run("counted refusal", func(c *qt.C) {
		counted := func() bool {
			resp, err := http.Get(api + "/metrics")
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			page, err := io.ReadAll(resp.Body)
			c.Assert(err, qt.IsNil)
			return strings.Contains(string(page), `egretdrum_refusals{reason="key_unknown"} 1`)
		}
		b.eventually("refusal in the metrics", counted)
	})
	b.c.Run("runs recorded by the minion", func(c *qt.C) {
		resp, err := http.Get(fmt.Sprintf("http://%s/stand-in/runs", control))
		c.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		var runs []minionfake.Run
		c.Assert(json.NewDecoder(resp.Body).Decode(&runs), qt.IsNil)
		c.Assert(runs, qt.HasLen, 1)
		c.Check(runs[0].RequestID, qt.Equals, "round-7")
		c.Check(runs[0].Team, qt.Equals, "tengri/arbiters")
	})
	b.c.Run("audit", func(c *qt.C) {
		trail := b.run("audit", "--api", api)
		for _, action := range []string{"set-contract", "give-key", "withdraw-key", "first contract"} {
			c.Check(strings.Contains(trail, action), qt.IsTrue, qt.Commentf("%s", trail))
		}
	})
	b.c.Run("graceful shutdown", func(c *qt.C) {
		c.Assert(host.Process.Signal(syscall.SIGTERM), qt.IsNil)
		c.Check(host.Wait(), qt.IsNil)
	})
}
