package entry

import (
	"crypto/rand"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"time"

	"egretdrum.example/refusal"
)

const (
	defaultTimeout = 10 * time.Second
	minTimeout     = time.Millisecond
	maxTimeout     = 60 * time.Second
)

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// request holds the validated headers and path of a caller's request.
type request struct {
	id       string
	service  string
	path     string
	rawPath  string
	secret   string
	urgent   bool
	deadline time.Time
}

// parseRequest validates the headers and the path of a caller's request. It also sets the id
// when it returns an error, unless the id itself is invalid, so that the refusal can carry it.
func parseRequest(r *http.Request, now time.Time) (request, error) {
	req := request{id: r.Header.Get(refusal.HeaderRequestID), secret: r.Header.Get(refusal.HeaderKey)}
	if req.id == "" {
		req.id = rand.Text()
	}
	if !requestIDPattern.MatchString(req.id) {
		req.id = ""
		return req, &RequestError{Field: refusal.HeaderRequestID, Accepted: "1 to 128 characters A-Z, a-z, 0-9, '.', '_', ':' and '-'"}
	}
	timeout, err := parseTimeout(r.Header.Get(refusal.HeaderTimeout))
	if err != nil {
		return req, err
	}
	req.deadline = now.Add(timeout)
	switch r.Header.Get(refusal.HeaderUrgent) {
	case "", "false":
	case "true":
		req.urgent = true
	default:
		return req, &RequestError{Field: refusal.HeaderUrgent, Accepted: "true or false"}
	}
	parts := strings.SplitN(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/", 3)
	if len(parts) < 2 {
		return req, &RequestError{Field: "path", Accepted: "/<side>/<service>/<path>"}
	}
	req.service = parts[0] + "/" + parts[1]
	req.rawPath = "/"
	if len(parts) == 3 {
		req.rawPath += parts[2]
	}
	if req.path, err = url.PathUnescape(req.rawPath); err != nil {
		return req, &RequestError{Field: "path", Accepted: "a valid URL path"}
	}
	return req, nil
}

func parseTimeout(v string) (time.Duration, error) {
	if v == "" {
		return defaultTimeout, nil
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < minTimeout || d > maxTimeout {
		return 0, &RequestError{Field: refusal.HeaderTimeout, Accepted: "a duration from 1ms to 60s"}
	}
	return d, nil
}
