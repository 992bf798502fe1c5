package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// control calls the control interface of the emulator.
type control struct {
	address string
	http    *http.Client
}

func newControl(address string) *control {
	return &control{address: address, http: &http.Client{Timeout: 10 * time.Second}}
}

// call sends body, nil for none, and decodes the answer into result, unless it is nil.
func (c *control) call(method, path string, body, result any) error {
	var payload io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return err
		}
		payload = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+c.address+path, payload)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d: %s", method, path, resp.StatusCode, b)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(b, result)
}

// emulated is what the emulator says about itself.
type emulated struct {
	Workers []emulatedWorker `json:"workers"`
	Hosts   []struct {
		Name  string `json:"name"`
		Ready bool   `json:"ready"`
	} `json:"hosts"`
}

type emulatedWorker struct {
	ID      string `json:"id"`
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
}

func (c *control) state() (*emulated, error) {
	var e emulated
	return &e, c.call(http.MethodGet, "/state", nil, &e)
}

// violation is a broken promise that the emulator has seen.
type violation struct {
	Check  string `json:"check"`
	Task   string `json:"task"`
	Job    string `json:"job"`
	Worker string `json:"worker"`
	Detail string `json:"detail"`
}

func (c *control) violations() ([]violation, error) {
	var v struct {
		Violations []violation `json:"violations"`
	}
	return v.Violations, c.call(http.MethodGet, "/violations", nil, &v)
}

// runEvent is a start or an end of a run; Reason is set for ends.
type runEvent struct {
	Number      int64     `json:"number"`
	At          time.Time `json:"at"`
	Worker      string    `json:"worker"`
	Incarnation int64     `json:"incarnation"`
	Task        string    `json:"task"`
	Run         int64     `json:"run"`
	Reason      string    `json:"reason"`
}

// events returns the events of a kind, starts or ends, after a number.
func (c *control) events(kind string, after int64) ([]runEvent, error) {
	var page struct {
		Starts []runEvent `json:"starts"`
		Ends   []runEvent `json:"ends"`
	}
	err := c.call(http.MethodGet, fmt.Sprintf("/%s?after=%d", kind, after), nil, &page)
	return append(page.Starts, page.Ends...), err
}
