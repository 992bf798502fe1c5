package minion

import (
	"context"
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders apply to a single connection (RFC 9110, section 7.6.1). net/http adds Trailer and
// Transfer-Encoding again as the body requires.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopHeaders deletes the hop-by-hop headers and the headers listed in Connection.
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

// hasConnectionClose reports whether an HTTP/1.1 response has Connection: close. net/http removes
// the header and sets Close, which it also sets for most HTTP/1.0 responses.
func hasConnectionClose(resp *http.Response) bool { return resp.Close && resp.ProtoAtLeast(1, 1) }

// outgoingRequest returns the request as it is sent to the minion, without a body. The trailer map
// is shared with req, because a server fills it while the body is read.
func outgoingRequest(ctx context.Context, req *http.Request, host string) *http.Request {
	outReq := req.WithContext(ctx)
	url := *req.URL
	url.Scheme, url.Host = "http", host
	outReq.URL = &url
	outReq.Header = req.Header.Clone()
	if outReq.Header == nil {
		outReq.Header = make(http.Header)
	}
	removeHopHeaders(outReq.Header)
	if _, ok := outReq.Header["User-Agent"]; !ok {
		// An empty value prevents net/http from adding its default.
		outReq.Header["User-Agent"] = []string{""}
	}
	outReq.RequestURI, outReq.TransferEncoding, outReq.GetBody, outReq.Close = "", nil, nil, false
	return outReq
}

func isIdempotent(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
