// Package store is the client of the platform's key-value service: compare-and-swap,
// leases, watches and the list of hosts.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"egretdrum.example/hostlist"
)

// MaxValueBytes is the largest value that the platform accepts.
const MaxValueBytes = 1 << 20

const revisionHeader = "Revision"

// Client is a client of one key-value service. It is safe for concurrent use.
type Client struct {
	base  string
	http  *http.Client
	calls atomic.Int64
	// hosts caches the last host list with its encoded form: decoding an unchanged list again
	// took most of the time of a read.
	hosts atomic.Pointer[cachedHosts]
}

type cachedHosts struct {
	encoded []byte
	list    []hostlist.Host
}

// New returns a client of the service at base, for example "http://127.0.0.1:7000".
// Each call is bounded by timeout.
func New(base string, timeout time.Duration) *Client {
	return &Client{base: base, http: &http.Client{Timeout: timeout}}
}

// Calls returns the number of calls so far, including waiting watches.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Get reads a key with its revision.
func (c *Client) Get(ctx context.Context, key string) (value []byte, revision uint64, err error) {
	return c.do(ctx, "get", http.MethodGet, "/kv/"+url.PathEscape(key), nil)
}

// Watch waits until the key has a revision after the given one, for at most the duration
// wait. It returns a NotFoundError if there is no new value by then.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (value []byte, revision uint64, err error) {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	return c.do(ctx, "watch", http.MethodGet, "/watch/"+url.PathEscape(key)+"?"+q.Encode(), nil)
}

// Put writes a key if its revision is still prevRevision; 0 means that it must not exist.
// A key written under a lease is removed when the lease expires. After an
// UnavailableError the write may have taken effect.
func (c *Client) Put(ctx context.Context, key string, value []byte, prevRevision uint64, lease string) (revision uint64, err error) {
	if len(value) > MaxValueBytes {
		return 0, &TooLargeError{Key: key, Bytes: len(value)}
	}
	q := url.Values{"prev-revision": {strconv.FormatUint(prevRevision, 10)}}
	if lease != "" {
		q.Set("lease", lease)
	}
	_, revision, err = c.do(ctx, "put", http.MethodPut, "/kv/"+url.PathEscape(key)+"?"+q.Encode(), value)
	return revision, err
}

// Delete removes a key if its revision is still prevRevision.
func (c *Client) Delete(ctx context.Context, key string, prevRevision uint64) error {
	q := url.Values{"prev-revision": {strconv.FormatUint(prevRevision, 10)}}
	_, _, err := c.do(ctx, "delete", http.MethodDelete, "/kv/"+url.PathEscape(key)+"?"+q.Encode(), nil)
	return err
}

// Keys returns the keys with a prefix, sorted.
func (c *Client) Keys(ctx context.Context, prefix string) ([]string, error) {
	b, _, err := c.do(ctx, "keys", http.MethodGet, "/keys?"+url.Values{"prefix": {prefix}}.Encode(), nil)
	if err != nil {
		return nil, err
	}
	var keys []string
	err = decode("keys", b, &keys)
	return keys, err
}

// GrantLease creates a lease that expires after ttl unless it is renewed.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (id string, err error) {
	b, _, err := c.do(ctx, "grant-lease", http.MethodPost, "/leases?"+url.Values{"ttl": {ttl.String()}}.Encode(), nil)
	return string(b), err
}

// RenewLease extends a lease by its time to live, measured by the service.
func (c *Client) RenewLease(ctx context.Context, id string) error {
	_, _, err := c.do(ctx, "renew-lease", http.MethodPut, "/leases/"+url.PathEscape(id), nil)
	return err
}

// EndLease ends a lease and removes its keys.
func (c *Client) EndLease(ctx context.Context, id string) error {
	_, _, err := c.do(ctx, "end-lease", http.MethodDelete, "/leases/"+url.PathEscape(id), nil)
	return err
}

// Hosts reads the list of live and leaving hosts, which may lag. Callers share the list
// and must not change it.
func (c *Client) Hosts(ctx context.Context) ([]hostlist.Host, error) {
	b, _, err := c.do(ctx, "hosts", http.MethodGet, "/hosts", nil)
	if err != nil {
		return nil, err
	}
	if cached := c.hosts.Load(); cached != nil && bytes.Equal(cached.encoded, b) {
		return cached.list, nil
	}
	next := &cachedHosts{encoded: b}
	if err := decode("hosts", b, &next.list); err != nil {
		return nil, err
	}
	c.hosts.Store(next)
	return next.list, nil
}

func decode(op string, b []byte, v any) error {
	if err := json.Unmarshal(b, v); err != nil {
		return &UnavailableError{Op: op, Err: err}
	}
	return nil
}

func (c *Client) do(ctx context.Context, op, method, path string, body []byte) ([]byte, uint64, error) {
	c.calls.Add(1)
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, &UnavailableError{Op: op, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, &UnavailableError{Op: op, Err: err}
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err := errors.Join(err, resp.Body.Close()); err != nil {
		return nil, 0, &UnavailableError{Op: op, Err: err}
	}
	revision, _ := strconv.ParseUint(resp.Header.Get(revisionHeader), 10, 64)
	switch resp.StatusCode {
	case http.StatusOK:
		if len(b) > MaxValueBytes {
			key, _, _ := strings.Cut(strings.TrimPrefix(path, "/kv/"), "?")
			return nil, 0, &TooLargeError{Key: key, Bytes: len(b)}
		}
		return b, revision, nil
	case http.StatusNotFound:
		return nil, 0, &NotFoundError{Op: op, Path: path}
	case http.StatusConflict:
		return nil, revision, &ConflictError{Op: op, Path: path, Revision: revision}
	default:
		return nil, 0, &UnavailableError{Op: op, Err: fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(b))}
	}
}
