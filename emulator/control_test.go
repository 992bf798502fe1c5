package emulator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"egretdrum.example/emulation"
	"egretdrum.example/emulator"
	"egretdrum.example/kv"
	"egretdrum.example/platform"
)

const (
	fleet = `[emulation]
control-port = 0
ingress-port = 0
first-host-port = 0
[pool.rounds]
workers = 2
[queue.rounds]
host = rounds.example
prefix = /rounds/
pool = rounds
[account.arbiters]
keys = key-1
`
	waitTimeout = 30 * time.Second
	pollPause   = 10 * time.Millisecond
)

// platformSetup is an emulated platform, its control address, and the store as the host sees it.
type platformSetup struct {
	t       *testing.T
	control string
	kv.Store
}

func newPlatform(t *testing.T) *platformSetup {
	file, s, err := emulation.Parse("emulation.ini", []byte(fleet))
	qt.Assert(t, err, qt.IsNil)
	var listeners bytes.Buffer
	dir := t.TempDir()
	e := emulator.New(&emulator.Config{File: file, Settings: s, Hosts: 1, SettingsDir: dir, Listeners: &listeners, Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	qt.Assert(t, e.Listen(ctx), qt.IsNil)
	ended := make(chan error)
	go func() { ended <- e.Run(ctx) }()
	t.Cleanup(func() { cancel(); qt.Check(t, <-ended, qt.IsNil) })
	host, err := platform.LoadSettings(dir + "/entry-1.conf")
	qt.Assert(t, err, qt.IsNil)
	control, _, _ := strings.Cut(strings.TrimPrefix(listeners.String(), "control "), "\n")
	return &platformSetup{t, "http://" + control, platform.NewClient("entry-1").Store(host.Store)}
}

// call sends a command and returns the status and the answer.
func (p *platformSetup) call(method, path, body string) (int, string) {
	p.t.Helper()
	req, err := http.NewRequestWithContext(p.t.Context(), method, p.control+path, strings.NewReader(body))
	qt.Assert(p.t, err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(p.t, err, qt.IsNil)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	qt.Assert(p.t, err, qt.IsNil)
	return resp.StatusCode, string(b)
}

func (p *platformSetup) command(method, path, body, want string) {
	p.t.Helper()
	status, answer := p.call(method, path, body)
	qt.Assert(p.t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer))
	qt.Assert(p.t, strings.TrimSpace(answer), qt.Equals, want)
}

// catalog returns the version and the keys of the configuration in the store.
func (p *platformSetup) keys() []string {
	item, err := p.Get(p.t.Context(), platform.ConfigKey)
	qt.Assert(p.t, err, qt.IsNil)
	o, err := platform.DecodeOperator(item)
	qt.Assert(p.t, err, qt.IsNil)
	return o.Catalog.Accounts["arbiters"].Keys
}

// workers returns the IDs of the registered workers and whether each drains.
func (p *platformSetup) workers() map[string]bool {
	items, _, err := p.Range(p.t.Context(), platform.WorkerPrefix)
	qt.Assert(p.t, err, qt.IsNil)
	workers := make(map[string]bool)
	for _, item := range items {
		e, err := platform.DecodeWorker(item)
		qt.Assert(p.t, err, qt.IsNil)
		workers[e.ID] = e.Leaving
	}
	return workers
}

// Guards against an entry of another writer that cannot be played.
func TestForeignEntry(t *testing.T) {
	p := newPlatform(t)
	p.command(http.MethodPost, "/registrations", `{"name":"foreign","value":"[[["}`, "{}")
	item, err := p.Get(t.Context(), platform.WorkerPrefix+"foreign")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(item.Value), qt.Equals, "[[[")
	p.command(http.MethodDelete, "/registrations/foreign", "", "{}")
	_, err = p.Get(t.Context(), platform.WorkerPrefix+"foreign")
	qt.Assert(t, errors.Is(err, kv.ErrNotFound), qt.IsTrue)
}

// addresses returns the addresses of the registered workers by their machines.
func (p *platformSetup) addresses() map[string]netip.AddrPort {
	items, _, err := p.Range(p.t.Context(), platform.WorkerPrefix)
	qt.Assert(p.t, err, qt.IsNil)
	addresses := make(map[string]netip.AddrPort)
	for _, item := range items {
		e, err := platform.DecodeWorker(item)
		qt.Assert(p.t, err, qt.IsNil)
		addresses[e.Machine] = e.Address
	}
	return addresses
}

func (p *platformSetup) await(what string, condition func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(pollPause) {
		if time.Now().After(deadline) {
			p.t.Fatalf("no %s within %s", what, waitTimeout)
		}
	}
}

// Guards against commands of operators that do not reach the store.
func TestOperatorCommands(t *testing.T) {
	p := newPlatform(t)
	p.command(http.MethodPost, "/keys/add", `{"account":"arbiters","key":"key-2"}`, `{"version":2}`)
	p.command(http.MethodPost, "/keys/withdraw", `{"account":"arbiters","key":"key-1"}`, `{"version":3}`)
	qt.Assert(t, p.keys(), qt.DeepEquals, []string{"key-2"})
	p.command(http.MethodPost, "/configuration", `{"set":{"queue.rounds":{"max-attempts":"5"}}}`, `{"version":4}`)
	qt.Assert(t, p.keys(), qt.DeepEquals, []string{"key-2"})

	p.command(http.MethodPost, "/waves", `{"machines":["m-0001"],"limit":1,"term":"10s"}`, `{"wave":1}`)
	_, err := p.Get(t.Context(), platform.OperatorPrefix+"wave/1")
	qt.Assert(t, err, qt.IsNil)
	p.command(http.MethodGet, "/waves/1", "", `{"state":""}`)

	p.command(http.MethodPost, "/evacuations", `{"zone":"zone-a"}`, "{}")
	_, err = p.Get(t.Context(), platform.EvacuationPrefix+"zone-a")
	qt.Assert(t, err, qt.IsNil)
	p.command(http.MethodDelete, "/evacuations/zone-a", "", "{}")
	_, err = p.Get(t.Context(), platform.EvacuationPrefix+"zone-a")
	qt.Assert(t, err, qt.Equals, kv.ErrNotFound)

	p.command(http.MethodPost, "/store/compact", "", "{}")
	_, _, err = p.Watch(t.Context(), platform.OperatorPrefix, 1, time.Second)
	qt.Assert(t, err, qt.Equals, kv.ErrCompacted)
}

// Guards against commands for workers that the store or the state does not show.
func TestWorkerCommands(t *testing.T) {
	p := newPlatform(t)
	_, answer := p.call(http.MethodPost, "/workers/add", `{"pool":"rounds"}`)
	var added struct{ Machine, Worker string }
	qt.Assert(t, json.Unmarshal([]byte(answer), &added), qt.IsNil)
	qt.Assert(t, p.workers(), qt.HasLen, 3)
	p.command(http.MethodPost, "/workers/"+added.Worker+"/drain", `{"leave-after":"10m"}`, "{}")
	qt.Assert(t, p.workers()[added.Worker], qt.IsTrue)
	p.command(http.MethodPost, "/workers/m-0001/capacity", `{"cores":1,"memory":64}`, "{}")
	_, state := p.call(http.MethodGet, "/state", "")
	qt.Assert(t, state, qt.Contains, `"capacity":{"cores":1,"memory":64,"accelerators":0}`)
	p.command(http.MethodPost, "/workers/"+added.Machine+"/restart", `{"new-id":true}`, "{}")
	p.await("worker with a new ID", func() bool {
		workers := p.workers()
		_, old := workers[added.Worker]
		return !old && len(workers) == 3
	})
}

// Guards against workers that still accept connections while they are down, and against
// workers that start again at another address.
func TestDownWorkerRefusesConnections(t *testing.T) {
	p := newPlatform(t)
	address := p.addresses()["m-0001"]
	dial := func() error {
		conn, err := net.Dial("tcp", address.String())
		if err == nil {
			err = conn.Close()
		}
		return err
	}
	qt.Assert(t, dial(), qt.IsNil)
	p.command(http.MethodPost, "/workers/m-0001/restart", `{"down-for":"500ms"}`, "{}")
	qt.Assert(t, errors.Is(dial(), syscall.ECONNREFUSED), qt.IsTrue)
	p.await("worker that is up again", func() bool { return dial() == nil })
	qt.Assert(t, p.addresses()["m-0001"], qt.Equals, address)
}

// Guards against faults that stay after their time.
func TestFaultExpires(t *testing.T) {
	p := newPlatform(t)
	p.command(http.MethodPost, "/faults", `{"target":"store","kind":"refused","host":"entry-1","for":"300ms"}`, `{"fault":1}`)
	_, err := p.Get(t.Context(), platform.ConfigKey)
	qt.Assert(t, kv.NotApplied(err), qt.IsTrue)
	p.await("answer of the store", func() bool {
		_, err := p.Get(t.Context(), platform.ConfigKey)
		return err == nil
	})
}

// Guards against faulty commands that are accepted.
func TestRefusedCommands(t *testing.T) {
	p := newPlatform(t)
	for path, c := range map[string]struct {
		body string
		want int
	}{
		"/faults":                     {`{"target":"moon","kind":"slow"}`, http.StatusBadRequest},
		"/faults?kind":                {`{"target":"store","kind":"odd"}`, http.StatusBadRequest},
		"/faults?worker":              {`{"target":"workers","kind":"slow","name":"w-9"}`, http.StatusNotFound},
		"/faults?duration":            {`{"target":"store","kind":"slow","delay":"soon"}`, http.StatusBadRequest},
		"/faults?unknown":             {`{"targets":"store"}`, http.StatusBadRequest},
		"/workers/w-9/restart":        {``, http.StatusNotFound},
		"/workers/add":                {`{"pool":"other"}`, http.StatusBadRequest},
		"/configuration":              {`{"set":{"queue.rounds":{"pool":"other"}}}`, http.StatusBadRequest},
		"/keys/withdraw":              {`{"account":"arbiters","key":"key-9"}`, http.StatusNotFound},
		"/keys/add":                   {`{"account":"others","key":"key-9"}`, http.StatusNotFound},
		"/waves":                      {`{"machines":["m-9"],"limit":1,"term":"1s"}`, http.StatusNotFound},
		"/waves?limit":                {`{"machines":["m-0001"],"term":"1s"}`, http.StatusBadRequest},
		"/evacuations":                {`{}`, http.StatusBadRequest},
		"/workers/m-0001/capacity?no": {`{"core":1}`, http.StatusBadRequest},
	} {
		t.Run(path, func(t *testing.T) {
			status, answer := p.call(http.MethodPost, path, c.body)
			qt.Assert(t, status, qt.Equals, c.want, qt.Commentf("%s", answer))
			qt.Assert(t, answer, qt.Contains, `"error"`)
		})
	}
}
