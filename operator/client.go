package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
)

// RemoteError reports a call that the entry host refused or could not answer.
type RemoteError struct {
	Status  int
	Message string
}

func (e *RemoteError) Error() string { return fmt.Sprintf("entry host: %s", e.Message) }

// Fetch reads the configuration from the operator API at base.
func Fetch(ctx context.Context, base string) (*fleet.Config, error) {
	cfg := &fleet.Config{}
	return cfg, call(ctx, http.MethodGet, base+"/config", nil, cfg)
}

// Audit reads the audit trail.
func Audit(ctx context.Context, base string) ([]change.Change, error) {
	var trail []change.Change
	return trail, call(ctx, http.MethodGet, base+"/audit", nil, &trail)
}

// Submit sends a change and returns its version and the entry hosts that are behind.
func Submit(ctx context.Context, base string, c change.Change) (version uint64, behind []string, err error) {
	b, err := json.Marshal(c)
	if err != nil {
		return 0, nil, &RemoteError{Message: err.Error()}
	}
	var answer struct {
		Version uint64   `json:"version"`
		Behind  []string `json:"behind"`
	}
	err = call(ctx, http.MethodPost, base+"/changes", b, &answer)
	return answer.Version, answer.Behind, err
}

func call(ctx context.Context, method, url string, body []byte, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return &RemoteError{Message: err.Error()}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &RemoteError{Message: err.Error()}
	}
	b, err := io.ReadAll(resp.Body)
	if err := errors.Join(err, resp.Body.Close()); err != nil {
		return &RemoteError{Status: resp.StatusCode, Message: err.Error()}
	}
	if resp.StatusCode != http.StatusOK {
		var fault struct {
			Error string `json:"error"`
		}
		_ = json.Unmarshal(b, &fault)
		return &RemoteError{Status: resp.StatusCode, Message: fault.Error}
	}
	if err := json.Unmarshal(b, answer); err != nil {
		return &RemoteError{Status: resp.StatusCode, Message: err.Error()}
	}
	return nil
}
