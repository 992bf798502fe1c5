// Package jobapi serves egretdrum's own HTTP interface for jobs, besides that of a platform.
// It uses the project's own terms; docs/jobs.md lists its calls.
package jobapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/callerbody"
	"egretdrum.example/job"
	"egretdrum.example/jobfile"
	"egretdrum.example/jobservice"
)

// API is the handler of the interface. New returns one.
type API struct {
	// Bodies receives the submissions; it must be set before the first call.
	Bodies callerbody.Receiver

	service *jobservice.Service
	log     *zap.Logger
	mux     *http.ServeMux
}

// bearerPrefix precedes the key of an account in the header Authorization.
const bearerPrefix = "Bearer "

// New returns the interface of a job service.
func New(service *jobservice.Service, log *zap.Logger) *API {
	a := &API{service: service, log: log, mux: http.NewServeMux()}
	a.mux.HandleFunc("GET /v1/queues/{queue}/jobs", a.list)
	a.mux.HandleFunc("PUT /v1/queues/{queue}/jobs/{id}", a.submit)
	a.mux.HandleFunc("GET /v1/queues/{queue}/jobs/{id}", a.handle(func(r *http.Request, c *jobservice.Call, t *jobservice.Target) jobservice.Answer {
		return a.service.State(r.Context(), c, t)
	}))
	a.mux.HandleFunc("DELETE /v1/queues/{queue}/jobs/{id}", a.handle(func(r *http.Request, c *jobservice.Call, t *jobservice.Target) jobservice.Answer {
		return a.service.Cancel(r.Context(), c, t)
	}))
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

func newCall(r *http.Request) *jobservice.Call {
	return &jobservice.Call{
		Queue: r.PathValue("queue"), ID: r.PathValue("id"), Received: time.Now(),
		Key: strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix),
	}
}

// handle returns a handler that resolves the target of a call and writes the answer of serve.
func (a *API) handle(serve func(*http.Request, *jobservice.Call, *jobservice.Target) jobservice.Answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := newCall(r)
		t, answer := a.service.Resolve(c)
		if t != nil {
			answer = serve(r, c, t)
		}
		a.answer(w, r, c, answer)
	}
}

func (a *API) answer(w http.ResponseWriter, r *http.Request, c *jobservice.Call, answer jobservice.Answer) {
	a.log.Info("api-answered", zap.String("request", c.ID), zap.String("queue", c.Queue), zap.String("method", r.Method),
		zap.String("outcome", string(answer.Outcome)), zap.String("reason", answer.Reason), zap.Duration("took", time.Since(c.Received)))
	a.writeAnswer(w, answer, nil)
}

func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	c := newCall(r)
	t, answer := a.service.Resolve(c)
	if t != nil {
		j, release, refusal := a.Bodies.Receive(w, r, c, a.service.MaxBodyBytes(), func(content []byte) (*job.Job, error) {
			return jobfile.Decode(c.ID, content)
		})
		defer release()
		answer = refusal
		if j != nil {
			answer = a.service.Submit(r.Context(), c, j)
		}
	}
	a.answer(w, r, c, answer)
}

func (a *API) list(w http.ResponseWriter, r *http.Request) {
	c := newCall(r)
	t, answer := a.service.Resolve(c)
	var jobs []jobservice.ListedJob
	if t != nil {
		jobs, answer = a.service.List(r.Context(), c, t)
	}
	a.writeAnswer(w, answer, jobs)
}

var statuses = map[jobservice.Outcome]int{
	jobservice.Accepted: http.StatusOK, jobservice.Shown: http.StatusOK,
	jobservice.Refused: http.StatusServiceUnavailable, jobservice.Unknown: http.StatusGatewayTimeout,
	jobservice.NoQueue: http.StatusNotFound, jobservice.NoJob: http.StatusGone, jobservice.BadKey: http.StatusUnauthorized,
	jobservice.Invalid: http.StatusBadRequest,
}

// responseBody is the body of each response. Jobs is set for lists, State for a single job.
type responseBody struct {
	Outcome string      `json:"outcome"`
	State   string      `json:"state,omitempty"`
	Reason  string      `json:"reason,omitempty"`
	Jobs    []listedJob `json:"jobs,omitempty"`
}

type listedJob struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

func (a *API) writeAnswer(w http.ResponseWriter, answer jobservice.Answer, jobs []jobservice.ListedJob) {
	body := responseBody{Outcome: string(answer.Outcome), State: string(answer.State), Reason: answer.Reason}
	for _, j := range jobs {
		body.Jobs = append(body.Jobs, listedJob{j.ID, string(j.State)})
	}
	b, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if answer.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((answer.RetryAfter+time.Second-1)/time.Second)))
	}
	w.Header().Set("Content-Type", "application/json")
	b = append(b, '\n')
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(statuses[answer.Outcome])
	// The caller may have closed the connection, which net/http handles itself.
	_, _ = w.Write(b)
}
