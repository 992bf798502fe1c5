// Package refusal defines the responses that an entry host sends in place of a minion's.
package refusal

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Headers of requests and responses on the caller API.
const (
	HeaderKey       = "Egretdrum-Key"
	HeaderRequestID = "Egretdrum-Request-Id"
	HeaderTimeout   = "Egretdrum-Timeout"
	HeaderUrgent    = "Egretdrum-Urgent"
	HeaderTeam      = "Egretdrum-Team"
	HeaderRefusal   = "Egretdrum-Refusal"
	HeaderRun       = "Egretdrum-Run"
)

// Values of the Egretdrum-Run header.
const (
	RunNo      = "no"
	RunUnknown = "unknown"
	RunYes     = "yes"
)

// Reason is a machine-readable reason for a refusal.
type Reason string

// Reasons; responses has the status of each and whether a retry may succeed.
const (
	BadRequest          Reason = "bad-request"
	KeyMissing          Reason = "key-missing"
	KeyUnknown          Reason = "key-unknown"
	ServiceUnknown      Reason = "service-unknown"
	BodyTooLarge        Reason = "body-too-large"
	DuplicateRequest    Reason = "duplicate-request"
	QueueFull           Reason = "queue-full"
	DeadlineUnreachable Reason = "deadline-unreachable"
	Draining            Reason = "draining"
	NotAdmitting        Reason = "not-admitting"
	NoMinion            Reason = "no-minion"
	MinionUnreachable   Reason = "minion-unreachable"
	DeadlineExceeded    Reason = "deadline-exceeded"
	OutcomeUnknown      Reason = "outcome-unknown"
)

type response struct {
	status int
	// retryable tells whether the same request may succeed later.
	retryable bool
}

var responses = map[Reason]response{
	BadRequest:          {http.StatusBadRequest, false},
	KeyMissing:          {http.StatusUnauthorized, false},
	KeyUnknown:          {http.StatusUnauthorized, false},
	ServiceUnknown:      {http.StatusNotFound, false},
	BodyTooLarge:        {http.StatusRequestEntityTooLarge, false},
	DuplicateRequest:    {http.StatusConflict, false},
	QueueFull:           {http.StatusTooManyRequests, true},
	DeadlineUnreachable: {http.StatusTooManyRequests, true},
	Draining:            {http.StatusServiceUnavailable, true},
	NotAdmitting:        {http.StatusServiceUnavailable, true},
	NoMinion:            {http.StatusServiceUnavailable, true},
	MinionUnreachable:   {http.StatusBadGateway, true},
	DeadlineExceeded:    {http.StatusGatewayTimeout, true},
	OutcomeUnknown:      {http.StatusBadGateway, false},
}

// Write sends the refusal as the response to a request. It is called as soon as the outcome
// of the request is known.
func (reason Reason) Write(w http.ResponseWriter, id, run, detail string, after time.Duration) {
	answer := responses[reason]
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequestID, id)
	h.Set(HeaderRefusal, string(reason))
	h.Set(HeaderRun, run)
	if answer.retryable {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds(after)))
	}
	w.WriteHeader(answer.status)
	_ = json.NewEncoder(w).Encode(struct {
		Reason    Reason `json:"reason"`
		Run       string `json:"run"`
		RequestID string `json:"request-id"`
		Detail    string `json:"detail"`
	}{reason, run, id, detail})
}

func retryAfterSeconds(after time.Duration) int {
	return max(1, int((after+time.Second-1)/time.Second))
}
