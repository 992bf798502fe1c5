package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
)

// callTimeout bounds one call. It covers the attempts to write a change to a slow store and
// the wait for the acknowledgements of the other hosts.
const callTimeout = time.Minute

// RemoteError reports a call that the entry host refused or could not answer.
type RemoteError struct {
	Status  int
	Message string
}

func (e *RemoteError) Error() string { return fmt.Sprintf("entry host: %s", e.Message) }

// FetchConfig reads the configuration from the operator API at base.
func FetchConfig(ctx context.Context, base string) (*fleet.Config, error) {
	cfg := &fleet.Config{}
	return cfg, call(ctx, http.MethodGet, base+"/config", nil, cfg)
}

// Audit reads the audit trail.
func Audit(ctx context.Context, base string) ([]change.Change, error) {
	var trail []change.Change
	err := call(ctx, http.MethodGet, base+"/audit", nil, &trail)
	return trail, err
}

// Submit sends a change and returns its version and the entry hosts that do not have it yet.
func Submit(ctx context.Context, base string, c change.Change) (version uint64, lagging []string, err error) {
	b, err := json.Marshal(c)
	if err != nil {
		return 0, nil, &RemoteError{Message: err.Error()}
	}
	var answer lagAnswer
	err = call(ctx, http.MethodPost, base+"/changes", b, &answer)
	return answer.Version, answer.Lagging, err
}

// LaggingHosts returns the entry hosts that do not have version yet.
func LaggingHosts(ctx context.Context, base string, version uint64) ([]string, error) {
	var answer lagAnswer
	err := call(ctx, http.MethodGet, fmt.Sprintf("%s/behind?version=%d", base, version), nil, &answer)
	return answer.Lagging, err
}

// FetchStatus reads the status of the fleet.
func FetchStatus(ctx context.Context, base string) (Status, error) {
	var s Status
	err := call(ctx, http.MethodGet, base+"/status", nil, &s)
	return s, err
}

// Explain reads the explanation of why an object is in its current state.
func Explain(ctx context.Context, base, kind, name string) (Explanation, error) {
	var e Explanation
	path := "/explain/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
	err := call(ctx, http.MethodGet, base+path, nil, &e)
	return e, err
}

func call(ctx context.Context, method, address string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
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
		var errorBody struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(b, &errorBody) != nil || errorBody.Error == "" {
			errorBody.Error = resp.Status
		}
		return &RemoteError{Status: resp.StatusCode, Message: errorBody.Error}
	}
	if err := json.Unmarshal(b, answer); err != nil {
		return &RemoteError{Status: resp.StatusCode, Message: err.Error()}
	}
	return nil
}
