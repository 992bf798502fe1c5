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

// Client calls one entry host. It is safe for concurrent use.
type Client struct {
	// Server is the URL of the interface, such as http://entry-1:7002.
	Server string
	// Queue is the name of a queue, and Key the key of an account; an open queue needs no key.
	Queue, Key string
	HTTP       *http.Client
}

// Job is a job of the queue with its state: pending, running, succeeded, failed or
// cancelled.
type Job struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// OutcomeError reports a call that failed or whose outcome is unknown.
type OutcomeError struct {
	// Outcome is the outcome in the response: refused, unknown, no-queue, no-job, bad-key or
	// invalid. If it is unknown, the call may have taken effect or may still take effect.
	Outcome string
	Reason  string
	// RetryAfter is how long to wait before a retry after a refusal.
	RetryAfter time.Duration
}

func (e *OutcomeError) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("%s: %s; try again in %v", e.Outcome, e.Reason, e.RetryAfter)
	}
	return fmt.Sprintf("%s: %s", e.Outcome, e.Reason)
}

// maxResponseBytes is above the longest list of jobs that the store of an entry host can hold.
const maxResponseBytes = 64 << 20

// Submit submits a job in the format of package jobfile. It may be repeated with the same ID.
func (c *Client) Submit(ctx context.Context, id string, description []byte) error {
	_, err := c.call(ctx, http.MethodPut, "/"+url.PathEscape(id), description)
	return err
}

// State returns the state of a job.
func (c *Client) State(ctx context.Context, id string) (string, error) {
	r, err := c.call(ctx, http.MethodGet, "/"+url.PathEscape(id), nil)
	return r.State, err
}

// Cancel cancels a job that has not finished.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, err := c.call(ctx, http.MethodDelete, "/"+url.PathEscape(id), nil)
	return err
}

// List returns the jobs of the account in the queue.
func (c *Client) List(ctx context.Context) ([]Job, error) {
	r, err := c.call(ctx, http.MethodGet, "", nil)
	return r.Jobs, err
}

// responseBody is the body of each response.
type responseBody struct {
	Outcome string `json:"outcome"`
	State   string `json:"state"`
	Reason  string `json:"reason"`
	Jobs    []Job  `json:"jobs"`
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) (responseBody, error) {
	target := c.Server + "/v1/queues/" + url.PathEscape(c.Queue) + "/jobs" + path
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return responseBody{}, err
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return responseBody{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return responseBody{}, err
	}
	var r responseBody
	if err := json.Unmarshal(b, &r); err != nil {
		return responseBody{}, fmt.Errorf("%s: status %d: %w", target, resp.StatusCode, err)
	}
	if resp.StatusCode != http.StatusOK {
		retryAfter, _ := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
		return r, &OutcomeError{Outcome: r.Outcome, Reason: r.Reason, RetryAfter: retryAfter}
	}
	return r, nil
}
