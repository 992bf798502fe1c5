// Package workerapi is a client of the platform's API for individual workers.
package workerapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"egretdrum.example/wave"
)

// callTimeout limits one call; the maintenance driver retries after some seconds.
const callTimeout = 2 * time.Second

// Client calls the platform.
type Client struct{ baseURL string }

// CallError reports a failed call: no response, an error status or an invalid response.
type CallError struct {
	Worker string
	Err    error
}

func (e *CallError) Error() string { return fmt.Sprintf("reboot of worker %s: %v", e.Worker, e.Err) }
func (e *CallError) Unwrap() error { return e.Err }

// New returns a client of the platform at baseURL.
func New(baseURL string) *Client { return &Client{baseURL: baseURL} }

// Reboot requests a reboot and returns its state. A repeated request with the same id starts no
// other reboot and returns the state of the first one.
func (c *Client) Reboot(ctx context.Context, worker, id string) (wave.RebootState, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	address := c.baseURL + "/workers/" + url.PathEscape(worker) + "/reboot?id=" + url.QueryEscape(id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, nil)
	if err != nil {
		return "", &CallError{Worker: worker, Err: err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", &CallError{Worker: worker, Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err := errors.Join(err, resp.Body.Close()); err != nil {
		return "", &CallError{Worker: worker, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return "", &CallError{Worker: worker, Err: errors.New(resp.Status)}
	}
	var answer struct {
		State wave.RebootState `json:"state"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return "", &CallError{Worker: worker, Err: err}
	}
	switch answer.State {
	case wave.Rebooting, wave.Up, wave.Bad:
		return answer.State, nil
	default:
		return "", &CallError{Worker: worker, Err: fmt.Errorf("state is %q; accepted: rebooting, up, bad", answer.State)}
	}
}
