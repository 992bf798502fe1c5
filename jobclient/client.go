// Package jobclient calls the HTTP interface for jobs.
package jobclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// Client talks to one entry host. It is safe for concurrent use.
type Client struct {
	// Server is the URL of the interface, such as http://entry-1:7002.
	Server string
	// Queue is the name of a queue, and Key that of an account; a queue that is open to all
	// needs none.
	Queue, Key string
	HTTP       *http.Client
}

// Job is a job of the queue with its state: pending, running, succeeded, failed or
// cancelled.
type Job struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// OutcomeError reports a call that did not do what it was for.
type OutcomeError struct {
	// Outcome is the word of the interface: refused, unknown, no-queue, no-job, bad-key or
	// invalid. After unknown, the call may have taken effect or may still do so.
	Outcome string
	Reason  string
	// RetryAfter is when to come back after a refusal.
	RetryAfter time.Duration
}

func (e *OutcomeError) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("%s: %s; try again in %v", e.Outcome, e.Reason, e.RetryAfter)
	}
	return fmt.Sprintf("%s: %s", e.Outcome, e.Reason)
}

// maxReplyBytes is above the longest list of jobs that the store of an entry host can hold.
const maxReplyBytes = 64 << 20

// Submit hands in a job in the form of package jobfile. The same ID may be sent again.
func (c *Client) Submit(ctx context.Context, id string, description []byte) error {
	_, err := c.call(ctx, http.MethodPut, "/"+url.PathEscape(id), description)
	return err
}

// State returns the state of a job.
func (c *Client) State(ctx context.Context, id string) (string, error) {
	r, err := c.call(ctx, http.MethodGet, "/"+url.PathEscape(id), nil)
	return r.State, err
}

// Cancel ends a job before it is done.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, err := c.call(ctx, http.MethodDelete, "/"+url.PathEscape(id), nil)
	return err
}

// List returns the jobs of the account in the queue.
func (c *Client) List(ctx context.Context) ([]Job, error) {
	r, err := c.call(ctx, http.MethodGet, "", nil)
	return r.Jobs, err
}

// reply is the body of each answer.
type reply struct {
	Outcome string `json:"outcome"`
	State   string `json:"state"`
	Reason  string `json:"reason"`
	Jobs    []Job  `json:"jobs"`
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) (reply, error) {
	target := c.Server + "/v1/queues/" + url.PathEscape(c.Queue) + "/jobs" + path
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return reply{}, err
	}
	var r reply
	if err := json.Unmarshal(b, &r); err != nil {
		return reply{}, fmt.Errorf("%s: status %d: %w", target, resp.StatusCode, err)
	}
	if resp.StatusCode != http.StatusOK {
		wait, _ := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
		return r, &OutcomeError{Outcome: r.Outcome, Reason: r.Reason, RetryAfter: wait}
	}
	return r, nil
}
