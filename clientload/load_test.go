package clientload

import (
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// bodyCrowd is more than the host has descriptors for callers.
	bodyCrowd = 500
	// headCrowd is the number of clients with large heads; a quarter of them fills the memory.
	headCrowd = 400
	// decodeCrowd is the number of bodies that become many times larger when they are decoded.
	decodeCrowd = 64
	// entryCrowd is the same for bodies that grow less.
	entryCrowd = 128
	// descriptorCrowd is more than the host has descriptors.
	descriptorCrowd = descriptors + 100
	// headBytes is just under the 1 MB that net/http allows a head by default.
	headBytes = 1<<20 - 8<<10
)

// repeated returns a body of the largest size with as many entries as fit.
func repeated(start, entry, end string) []byte {
	n := (maxBodyBytes - len(start) - len(end)) / (len(entry) + 1)
	return []byte(start + strings.Repeat(entry+",", n-1) + entry + end)
}

// Guards against clients that exhaust the memory or the descriptors of a host with bodies that
// stop short of their end, endless or large heads, and bodies that grow when they are decoded.
func TestHostWithstandsCrowdOfCallers(t *testing.T) {
	p := newPlatform(t)
	content := validBody(maxBodyBytes)[:maxBodyBytes-1]
	unfinished := func() string { return withLength(submission(crowdDeadline), maxBodyBytes) }
	unbounded := func() string { return chunked(submission(crowdDeadline)) }
	bare := func() string { return "" }
	for _, test := range []struct {
		name   string
		n      int
		head   func() string
		client func(io.Writer)
	}{
		{"bodies short of one byte", bodyCrowd, unfinished, whole(content)},
		{"bodies in pieces", bodyCrowd, unfinished, pieces(content, 16<<10)},
		{"bodies in large chunks", bodyCrowd, unbounded, whole(chunks(content, 32<<10))},
		{"bodies in chunks of one byte", bodyCrowd, unbounded, whole(chunks(content[:96<<10], 1))},
		{"small bodies short of one byte", bodyCrowd, func() string { return withLength(submission(crowdDeadline), 8<<10) }, whole(content[:8<<10-1])},
		{"endless heads", headCrowd, func() string { return submission(crowdDeadline) }, endless("A-Field: of some length\r\n", 4<<20)},
		{"large unfinished heads", headCrowd, func() string { return submission(crowdDeadline) }, endless("A-Field: of some length\r\n", headBytes)},
		{"heads of many short fields", headCrowd, func() string { return submission(crowdDeadline) }, whole(shortFields(15 << 10))},
		{"endless line", headCrowd, bare, endless("GET /", 4<<20)},
		{"idle connections", descriptorCrowd, bare, func(io.Writer) {}},
		{"empty lines", headCrowd, bare, endless("\r\n", 4<<20)},
		{"many steps", decodeCrowd, func() string { return withLength(submission(crowdDeadline), len(manySteps)) }, whole(manySteps)},
		{"many dependencies", entryCrowd, func() string { return withLength(submission(crowdDeadline), len(manyDependencies)) }, whole(manyDependencies)},
		{"many labels", entryCrowd, func() string { return withLength(submission(crowdDeadline), len(manyLabels)) }, whole(manyLabels)},
		{"complete bodies", bodyCrowd, unfinished, whole(validBody(maxBodyBytes))},
		{"jobs of long names", entryCrowd, func() string { return withLength(submission(crowdDeadline), len(longNames)) }, whole(longNames)},
	} {
		t.Run(test.name, func(t *testing.T) {
			checkHost(t, p, func(t *testing.T) { crowd(t, test.n, p.callers, test.head, test.client) })
		})
	}
}

var (
	manySteps        = repeated(`{"steps":[`, `{}`, `]}`)
	manyDependencies = repeated(`{"steps":[{"count":1,"cpu":1},{"count":1,"cpu":1,"after":[`, `0`, `]}]}`)
	manyLabels       = repeated(`{"steps":[`, `{"count":1,"constraints":"a","affinity":"b","image":"c"}`, `]}`)
)

// longNames is a valid job of the largest size whose names fill it.
var longNames = repeated(`{"steps":[`, `{"count":1,"cpu":1,"constraints":"`+strings.Repeat("x", 1000)+`"}`, `]}`)

// shortFields returns n bytes of a head that consists of fields with names of two letters.
func shortFields(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		b.Write([]byte{byte('a' + i%26), byte('a' + i/26%26), byte('a' + i/676%26), ':', '\n'})
	}
	return b.Bytes()
}

// Guards against the same through the other addresses of a host, which have no callers of their
// own but can be reached.
func TestHostWithstandsCrowdAtOtherAddresses(t *testing.T) {
	p := newPlatform(t)
	content := validBody(maxBodyBytes)[:maxBodyBytes-1]
	get := func() string { return "POST /metrics HTTP/1.1\r\nHost: a\r\n" }
	for _, address := range []struct {
		name string
		at   netip.AddrPort
		head func() string
	}{{"readiness", p.readiness, get}, {"metrics", p.metrics, get}, {"links", p.links, get}, {"jobs", p.jobs, apiSubmission}} {
		for _, test := range []struct {
			name   string
			n      int
			head   func() string
			client func(io.Writer)
		}{
			{"large unfinished heads", headCrowd, address.head, endless("A-Field: of some length\r\n", headBytes)},
			{"bodies short of one byte", descriptorCrowd, func() string { return withLength(address.head(), maxBodyBytes) }, whole(content)},
			{"idle connections", descriptorCrowd, func() string { return "" }, func(io.Writer) {}},
		} {
			t.Run(address.name+"/"+test.name, func(t *testing.T) {
				checkHost(t, p, func(t *testing.T) { crowd(t, test.n, address.at, test.head, test.client) })
			})
		}
	}
	t.Run("jobs/many steps", func(t *testing.T) {
		checkHost(t, p, func(t *testing.T) {
			crowd(t, decodeCrowd, p.jobs, func() string { return withLength(apiSubmission(), len(manySteps)) }, whole(manySteps))
		})
	})
}

// Guards against limits that refuse what a client may send: a body of the largest size is served
// in calm, however it is sent.
func TestLargestBodyIsServedInCalm(t *testing.T) {
	p := newPlatform(t)
	p.startHost(t)
	content := validBody(maxBodyBytes)
	const end = "0\r\n\r\n"
	for _, test := range []struct {
		name   string
		head   func(string) string
		client func(io.Writer)
	}{
		{"whole", func(h string) string { return withLength(h, len(content)) }, whole(content)},
		{"in pieces", func(h string) string { return withLength(h, len(content)) }, pieces(content, 16<<10)},
		{"in large chunks", chunked, whole(append(chunks(content, 32<<10), end...))},
		{"in chunks of one byte", chunked, whole(append(chunks(content, 1), end...))},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, to := range []struct {
				at   netip.AddrPort
				head string
			}{{p.callers, submission(30 * time.Second)}, {p.jobs, apiSubmission()}} {
				resp, err := post(to.at, test.head(to.head), test.client)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
			}
		})
	}
}
