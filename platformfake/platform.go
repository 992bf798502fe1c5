// Package platformfake is a small fake of the platform: a key-value service with
// compare-and-swap, leases and watches, and a lagging list of hosts. Tests and the demo
// inject faults into it.
package platformfake

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"egretdrum.example/hostlist"
	"egretdrum.example/store"
	"egretdrum.example/wait"
)

// Platform is a fake platform. The zero value is not usable; call New.
type Platform struct {
	mu             sync.Mutex
	revision       uint64
	entries        map[string]entry
	previous       map[string]entry
	leases         map[string]*lease
	changed        chan struct{}
	hosts          []hostlist.Host
	publishedHosts []hostlist.Host
	faults         faults
	callCounts     map[string]int
	heldWrites     []heldWrite
	reboots        map[string]*reboot
}

// heldWrite is a write that takes effect after its client has given up.
type heldWrite struct {
	key          string
	prevRevision uint64
	entry        entry
}

type entry struct {
	value    []byte
	revision uint64
	lease    string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type faults struct {
	down       bool
	delay      time.Duration
	loseWrites int
	loseKey    string
	paused     chan struct{}
	holdWrites int
	stale      bool
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{
		entries:    make(map[string]entry),
		previous:   make(map[string]entry),
		leases:     make(map[string]*lease),
		changed:    make(chan struct{}),
		callCounts: make(map[string]int),
	}
}

// SetDown makes every call fail, or work again. Leases do not expire while the service is
// down, because their clock stops with it; afterwards each has its full TTL again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.down && !down {
		for _, l := range p.leases {
			l.expires = time.Now().Add(l.ttl)
		}
	}
	p.faults.down = down
}

// SetDelay delays every call.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.delay = d
}

// LoseWriteResponses makes the next n writes take effect without a response.
func (p *Platform) LoseWriteResponses(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.loseWrites, p.faults.loseKey = n, ""
}

// LoseWriteResponsesOf makes the next n writes of one key take effect without a response. Entry
// hosts write other keys at any time, and those writes would use up the n of LoseWriteResponses.
func (p *Platform) LoseWriteResponsesOf(key string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.loseWrites, p.faults.loseKey = n, key
}

// SetPaused makes calls wait, or lets the waiting ones continue. A call whose client gives
// up while it waits has no effect.
func (p *Platform) SetPaused(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case paused && p.faults.paused == nil:
		p.faults.paused = make(chan struct{})
	case !paused && p.faults.paused != nil:
		close(p.faults.paused)
		p.faults.paused = nil
	}
}

// HoldWrites makes the next n writes fail without a response and keeps them for
// ReleaseWrites.
func (p *Platform) HoldWrites(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.holdWrites = n
}

// ReleaseWrites lets the held writes take effect, each only if its key still has the
// revision that the client named.
func (p *Platform) ReleaseWrites() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.heldWrites {
		if p.entries[h.key].revision == h.prevRevision {
			p.write(h.key, h.entry)
		}
	}
	p.heldWrites = nil
}

// SetStale makes reads of a key return its previous value instead of the newest one.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.stale = stale
}

// SetValue writes a key without any check, for values that clients cannot write.
func (p *Platform) SetValue(key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.write(key, entry{value: value})
}

// Value returns the newest value of a key, nil if there is none.
func (p *Platform) Value(key string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entries[key].value
}

// SetHosts replaces the hosts. Clients see them after PublishHosts.
func (p *Platform) SetHosts(hosts []hostlist.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append([]hostlist.Host(nil), hosts...)
}

// PublishHosts makes the current hosts visible to clients.
func (p *Platform) PublishHosts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publishedHosts = append([]hostlist.Host(nil), p.hosts...)
}

// Calls returns the number of calls of each operation so far.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]int, len(p.callCounts))
	for op, n := range p.callCounts {
		counts[op] = n
	}
	return counts
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", p.wrap("get", p.get))
	mux.HandleFunc("PUT /kv/{key...}", p.wrap("put", p.put))
	mux.HandleFunc("DELETE /kv/{key...}", p.wrap("delete", p.remove))
	mux.HandleFunc("GET /watch/{key...}", p.wrap("watch", p.watch))
	mux.HandleFunc("GET /keys", p.wrap("keys", p.keys))
	mux.HandleFunc("POST /leases", p.wrap("grant-lease", p.grantLease))
	mux.HandleFunc("PUT /leases/{id}", p.wrap("renew-lease", p.renewLease))
	mux.HandleFunc("DELETE /leases/{id}", p.wrap("end-lease", p.endLease))
	mux.HandleFunc("POST /workers/{name}/reboot", p.wrap("reboot", p.reboot))
	mux.HandleFunc("GET /hosts", p.wrap("hosts", p.listHosts))
	return mux
}

// wrap counts the call and applies the faults that affect every call.
func (p *Platform) wrap(op string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.callCounts[op]++
		f := p.faults
		p.mu.Unlock()
		if f.delay > 0 && !wait.For(r.Context(), f.delay) {
			return
		}
		if f.paused != nil {
			select {
			case <-f.paused:
			case <-r.Context().Done():
				return
			}
		}
		if f.down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.expireLeases(time.Now())
	e, ok := p.entries[r.PathValue("key")]
	if old, found := p.previous[r.PathValue("key")]; p.faults.stale && found {
		e = old
	}
	p.mu.Unlock()
	writeEntry(w, e, ok)
}

func writeEntry(w http.ResponseWriter, e entry, ok bool) {
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	w.Header().Set("Revision", strconv.FormatUint(e.revision, 10))
	_, _ = w.Write(e.value)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil || len(value) > store.MaxValueBytes {
		http.Error(w, "value too large or cut off", http.StatusRequestEntityTooLarge)
		return
	}
	prev, err := strconv.ParseUint(r.URL.Query().Get("prev-revision"), 10, 64)
	if err != nil {
		http.Error(w, "prev-revision must be a number", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases(time.Now())
	key, id := r.PathValue("key"), r.URL.Query().Get("lease")
	if id != "" && p.leases[id] == nil {
		http.Error(w, "lease not found", http.StatusNotFound)
		return
	}
	if p.faults.holdWrites > 0 {
		p.faults.holdWrites--
		p.heldWrites = append(p.heldWrites, heldWrite{key: key, prevRevision: prev, entry: entry{value: value, lease: id}})
		panic(http.ErrAbortHandler)
	}
	old := p.entries[key]
	if old.revision != prev {
		w.Header().Set("Revision", strconv.FormatUint(old.revision, 10))
		http.Error(w, "revision differs", http.StatusConflict)
		return
	}
	p.write(key, entry{value: value, lease: id})
	p.acknowledge(w, key, p.entries[key])
}

// acknowledge responds to a write, or drops the connection if the response is to be lost.
func (p *Platform) acknowledge(w http.ResponseWriter, key string, e entry) {
	if p.faults.loseWrites > 0 && (p.faults.loseKey == "" || p.faults.loseKey == key) {
		p.faults.loseWrites--
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Revision", strconv.FormatUint(e.revision, 10))
}

// write stores an entry, or removes it when the value is nil, and wakes the pending watches.
func (p *Platform) write(key string, e entry) {
	p.revision++
	if old, ok := p.entries[key]; ok {
		p.previous[key] = old
	}
	e.revision = p.revision
	if e.value == nil {
		delete(p.entries, key)
	} else {
		p.entries[key] = e
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases(time.Now())
	key := r.PathValue("key")
	old, ok := p.entries[key]
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	if r.URL.Query().Get("prev-revision") != strconv.FormatUint(old.revision, 10) {
		w.Header().Set("Revision", strconv.FormatUint(old.revision, 10))
		http.Error(w, "revision differs", http.StatusConflict)
		return
	}
	p.write(key, entry{})
	p.acknowledge(w, key, entry{revision: p.revision})
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a number", http.StatusBadRequest)
		return
	}
	timeout, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "wait must be a duration", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	for {
		p.mu.Lock()
		p.expireLeases(time.Now())
		e, ok := p.entries[r.PathValue("key")]
		changed := p.changed
		p.mu.Unlock()
		if ok && e.revision > after {
			writeEntry(w, e, true)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			http.Error(w, "no newer value", http.StatusNotFound)
			return
		}
	}
}

func (p *Platform) keys(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.expireLeases(time.Now())
	keys := make([]string, 0)
	for key := range p.entries {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) {
			keys = append(keys, key)
		}
	}
	p.mu.Unlock()
	sort.Strings(keys)
	_ = json.NewEncoder(w).Encode(keys)
}

func (p *Platform) grantLease(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		http.Error(w, "ttl must be a positive duration", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.revision++
	id := fmt.Sprintf("lease-%d", p.revision)
	p.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	p.mu.Unlock()
	_, _ = io.WriteString(w, id)
}

func (p *Platform) renewLease(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.expireLeases(now)
	l := p.leases[r.PathValue("id")]
	if l == nil {
		http.Error(w, "lease not found", http.StatusNotFound)
		return
	}
	l.expires = now.Add(l.ttl)
}

func (p *Platform) endLease(_ http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.leases[r.PathValue("id")]; l != nil {
		l.expires = time.Time{}
	}
	p.expireLeases(time.Now())
}

// expireLeases removes expired leases and their keys.
func (p *Platform) expireLeases(now time.Time) {
	if p.faults.down {
		return
	}
	for id, l := range p.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(p.leases, id)
		for key, e := range p.entries {
			if e.lease == id {
				p.write(key, entry{})
			}
		}
	}
}

func (p *Platform) listHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	published := p.publishedHosts
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(published)
}
