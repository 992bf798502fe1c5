package callerbody_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/callerbody"
	"egretdrum.example/callermemory"
	"egretdrum.example/job"
	"egretdrum.example/jobservice"
	"egretdrum.example/jsonlimit"
)

const maxBytes = 256 << 10

func request(body string) *http.Request {
	return httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
}

// Guards against memory that stays reserved after a submission, whatever became of it.
func TestMemoryIsReturned(t *testing.T) {
	memory := &callermemory.Budget{Limits: func() callermemory.Limits {
		return callermemory.Limits{Bodies: 1 << 20, Processing: 16 << 20, BodyTimeout: time.Second}
	}}
	c := callerbody.Receiver{Memory: memory}
	body := `{"spec":"` + strings.Repeat("x", 20_000) + `"}`
	for _, test := range []struct {
		name, body string
		decode     func([]byte) (*job.Job, error)
		outcome    jobservice.Outcome
	}{
		{"decoded", body, func([]byte) (*job.Job, error) { return &job.Job{}, nil }, ""},
		{"invalid", body, func([]byte) (*job.Job, error) { return nil, &job.InvalidError{} }, jobservice.Invalid},
		{"panic", body, func([]byte) (*job.Job, error) { panic("decode") }, ""},
		{"too large", strings.Repeat(" ", maxBytes+1), nil, jobservice.Invalid},
		{"too many steps", `{"steps":[` + strings.Repeat("{},", jsonlimit.MaxElements) + `{}]}`, nil, jobservice.Invalid},
	} {
		t.Run(test.name, func(t *testing.T) {
			func() {
				defer func() { _ = recover() }()
				j, release, a := c.Receive(httptest.NewRecorder(), request(test.body), &jobservice.Call{}, maxBytes, test.decode)
				qt.Check(t, a.Outcome, qt.Equals, test.outcome)
				_, processing := memory.Usage()
				qt.Check(t, processing > 0, qt.Equals, j != nil)
				release()
			}()
			bodies, processing := memory.Usage()
			qt.Assert(t, []int64{bodies, processing}, qt.DeepEquals, []int64{0, 0})
		})
	}
}

// Guards against a refusal without a retry delay.
func TestRefusalNamesRetryDelay(t *testing.T) {
	memory := &callermemory.Budget{Limits: func() callermemory.Limits { return callermemory.Limits{Processing: 1, BodyTimeout: time.Second} }}
	c := callerbody.Receiver{Memory: memory}
	decode := func([]byte) (*job.Job, error) { return &job.Job{}, nil }
	_, release, _ := c.Receive(httptest.NewRecorder(), request("{}"), &jobservice.Call{}, maxBytes, decode)
	defer release()
	j, _, a := c.Receive(httptest.NewRecorder(), request("{}"), &jobservice.Call{}, maxBytes, decode)
	qt.Assert(t, j, qt.IsNil)
	qt.Assert(t, a.Outcome, qt.Equals, jobservice.Refused)
	qt.Assert(t, a.RetryAfter > 0, qt.IsTrue)
}
