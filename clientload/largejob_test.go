package clientload

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against small requests about one large job, each of which makes the host read the job.
func TestHostWithstandsCrowdOfRequestsForLargeJob(t *testing.T) {
	p := newPlatform(t)
	large := withLength(submission(crowdDeadline), len(longNames))
	path := strings.Fields(large)[1]
	small := validBody(200)
	for _, test := range []struct {
		name   string
		head   func() string
		client func(io.Writer)
	}{
		{"submitted again", func() string { return withLength(submissionOf(path, crowdDeadline), len(small)) }, whole(small)},
		{"state", func() string { return strings.Replace(submissionOf(path, crowdDeadline), "POST", "GET", 1) + "\r\n" }, func(io.Writer) {}},
		{"cancelled", func() string { return strings.Replace(submissionOf(path, crowdDeadline), "POST", "DELETE", 1) + "\r\n" }, func(io.Writer) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			checkHost(t, p, func(t *testing.T) {
				resp, err := post(p.callers, large, whole(longNames))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
				crowd(t, bodyCrowd, p.callers, test.head, test.client)
			})
		})
	}
}
