package minion

import (
	"context"
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1). Trailer and
// Transfer-Encoding are written again by net/http as the body needs them.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopHeaders deletes hop-by-hop headers and those that Connection names.
func removeHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// saysClose tells whether an HTTP/1.1 response carries Connection: close. net/http takes
// the header away and sets Close, which it also sets for most HTTP/1.0 responses.
func saysClose(resp *http.Response) bool { return resp.Close && resp.ProtoAtLeast(1, 1) }

// outgoing returns the head of the request as the minion gets it. The trailer map is shared, because
// a server fills it while the body is read.
func outgoing(ctx context.Context, req *http.Request, host string) *http.Request {
	out := req.WithContext(ctx)
	url := *req.URL
	url.Scheme, url.Host = "http", host
	out.URL = &url
	out.Header = req.Header.Clone()
	if out.Header == nil {
		out.Header = make(http.Header)
	}
	removeHopHeaders(out.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		out.Header["User-Agent"] = []string{""}
	}
	out.RequestURI, out.TransferEncoding, out.GetBody, out.Close = "", nil, nil, false
	return out
}

func isIdempotent(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
