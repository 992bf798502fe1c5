// Package refusal lists the answers that an entry host gives in place of a minion's.
package refusal

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Headers of the callers' interface.
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

// Reasons; the table in reasons gives status and retry advice of each.
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

type advice struct {
	status int
	// retry tells whether the same request may succeed later.
	retry bool
}

var reasons = map[Reason]advice{
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

// Write sends the refusal. It is called as soon as the outcome is known.
func (reason Reason) Write(w http.ResponseWriter, id, run, detail string, after time.Duration) {
	a := reasons[reason]
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequestID, id)
	h.Set(HeaderRefusal, string(reason))
	h.Set(HeaderRun, run)
	if a.retry {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(after)))
	}
	w.WriteHeader(a.status)
	_ = json.NewEncoder(w).Encode(struct {
		Reason    Reason `json:"reason"`
		Run       string `json:"run"`
		RequestID string `json:"request-id"`
		Detail    string `json:"detail"`
	}{reason, run, id, detail})
}

func retrySeconds(after time.Duration) int {
	return max(1, int((after+time.Second-1)/time.Second))
}
