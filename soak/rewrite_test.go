package soak

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"sync"
)

// view is what one host sees of the deployment: the addresses of workers and of owners in the
// answers of the store are replaced by those of links that belong to this host, so that each
// pair of processes can be disturbed by itself.
type view struct {
	host     string
	server   *http.Server
	listener net.Listener
	ended    chan struct{}
	// self holds the addresses that are left as they are, those of the host itself.
	self map[netip.AddrPort]bool
	// sent, if set, is called with what this host sends to workers and owners.
	sent func(target netip.AddrPort, b []byte)

	mu     sync.Mutex
	links  map[netip.AddrPort]*link
	faults map[*linkFault]func(netip.AddrPort) bool
}

// addressText matches an address; all ports have five digits, so that a replaced address has
// the same length, also within CBOR.
var addressText = regexp.MustCompile(`127\.0\.0\.1:\d{5}`)

// rewrittenKeys are prefixes of the keys whose values hold addresses.
var rewrittenKeys = []string{"servers/", "egretdrum/owner"}

// newView returns a view of the store at an address.
func newView(host string, store netip.AddrPort, self ...netip.AddrPort) (*view, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &view{host: host, listener: l, ended: make(chan struct{}), links: make(map[netip.AddrPort]*link), self: make(map[netip.AddrPort]bool), faults: make(map[*linkFault]func(netip.AddrPort) bool)}
	for _, a := range self {
		v.self[a] = true
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store.String()})
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	proxy.ModifyResponse = v.modify
	// A call that the store breaks off gets no answer either.
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	v.server = &http.Server{Handler: proxy}
	go func() { defer close(v.ended); _ = v.server.Serve(l) }()
	return v, nil
}

func (v *view) address() netip.AddrPort { return v.listener.Addr().(*net.TCPAddr).AddrPort() }

func (v *view) modify(r *http.Response) error {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if err := r.Body.Close(); err != nil {
		return err
	}
	b = v.rewrite(b)
	r.Body = io.NopCloser(bytes.NewReader(b))
	r.ContentLength = int64(len(b))
	r.Header.Set("Content-Length", strconv.Itoa(len(b)))
	return nil
}

// rewrite replaces the addresses in the values of a body. Other bodies stay as they are.
func (v *view) rewrite(body []byte) []byte {
	if !bytes.Contains(body, []byte("servers/")) && !bytes.Contains(body, []byte("egretdrum/owner")) {
		return body
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	var tree any
	if d.Decode(&tree) != nil {
		return body
	}
	v.walk(tree)
	b, err := json.Marshal(tree)
	if err != nil {
		return body
	}
	return b
}

func (v *view) walk(node any) {
	switch n := node.(type) {
	case []any:
		for _, child := range n {
			v.walk(child)
		}
	case map[string]any:
		key, _ := n["key"].(string)
		value, _ := n["value"].(string)
		if holdsAddress(key) {
			if b, err := base64.StdEncoding.DecodeString(value); err == nil {
				n["value"] = base64.StdEncoding.EncodeToString(addressText.ReplaceAllFunc(b, v.replace))
			}
		}
		for _, child := range n {
			v.walk(child)
		}
	}
}

func holdsAddress(key string) bool {
	for _, prefix := range rewrittenKeys {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

func (v *view) replace(text []byte) []byte {
	a, err := netip.ParseAddrPort(string(text))
	if err != nil || v.self[a] {
		return text
	}
	l, err := v.link(a)
	if err != nil {
		return text
	}
	return []byte(l.address().String())
}

// link returns the link of this host to an address.
func (v *view) link(to netip.AddrPort) (*link, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if l := v.links[to]; l != nil {
		return l, nil
	}
	l, err := newLink(v.host+" to "+to.String(), to, v.sent)
	if err != nil {
		return nil, err
	}
	v.links[to] = l
	for f, applies := range v.faults {
		if applies(to) {
			l.add(f)
		}
	}
	return l, nil
}

// add puts a fault in force on the links to some addresses, also on those that are made later.
// The returned function ends it.
func (v *view) add(f *linkFault, applies func(netip.AddrPort) bool) func() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults[f] = applies
	for to, l := range v.links {
		if applies(to) {
			l.add(f)
		}
	}
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.faults, f)
		for _, l := range v.links {
			l.remove(f)
		}
	}
}

func (v *view) close() {
	_ = v.server.Close()
	<-v.ended
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, l := range v.links {
		l.close()
	}
}
