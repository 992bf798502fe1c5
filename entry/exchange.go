package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/httplimit"
	"egretdrum.example/minion"
	"egretdrum.example/node"
	"egretdrum.example/refusal"
	"egretdrum.example/slot"
)

// disconnectGrace is how long a run may continue after its caller has disconnected.
const disconnectGrace = time.Second

// maxBufferedBody is the largest body, in bytes, that is buffered so that a request can be
// sent again.
const maxBufferedBody = 64 << 10

// maxBufferedBodies bounds the bodies, in bytes, that a host buffers at the same time. Further ones
// are streamed, so that they take no memory while they wait.
const maxBufferedBodies = 64 << 20

// exchange forwards one caller's request to a minion and the response to the caller.
type exchange struct {
	host    *Host
	w       http.ResponseWriter
	r       *http.Request
	request request
	team    string
	pool    string

	body         []byte // the buffered body, possibly empty
	bodyBuffered bool   // body is complete
	// reservedBytes is what the buffered body takes of maxBufferedBodies.
	reservedBytes int64
	// streamedBody is the body if it is not buffered.
	streamedBody *readTracker
	triedWorkers []string
	// mayHaveRun is set once an attempt was sent without a usable response.
	mayHaveRun bool
	// answered is set once a minion has responded.
	answered bool
	// registration is that of a non-idempotent request's id.
	registration *node.Registration
}

func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// run tries minions until one responds, no further attempt is allowed or the deadline passes.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.request.deadline)
	defer cancel()
	defer x.releaseBuffer()
	if !x.bufferBody() {
		return
	}
	if !isIdempotent(x.r.Method) {
		x.registration = x.host.node.Register(time.Now(), x.request.id, x.request.deadline)
	}
	x.host.retryBudgets.recordRequest(x.team, time.Now())
	for {
		call := node.NewCall(x.request.id, x.pool, x.team, x.request.urgent, x.request.deadline)
		call.Excluded = slices.Clone(x.triedWorkers)
		v, ok := x.waitForSlot(ctx, call)
		if !ok {
			return
		}
		if v.Reason != "" {
			x.refuse(v.Reason, v.Detail, v.RetryAfter)
			return
		}
		if !x.keyStillValid() {
			x.host.node.Finish(time.Now(), call, slot.Unused, 0)
			x.refuse(refusal.KeyUnknown, "the key was withdrawn while the request waited", 0)
			return
		}
		registered, done := x.awaitRegistration(ctx, call)
		if done {
			return
		}
		if !registered {
			continue
		}
		x.triedWorkers = append(x.triedWorkers, v.Target.Worker)
		if x.attempt(ctx, call, v) {
			return
		}
	}
}

// keyStillValid checks the key again before the request is sent, because the key may have
// been withdrawn while the request waited.
func (x *exchange) keyStillValid() bool {
	cfg := x.host.configManager.Config()
	team, reason := authenticate(cfg, x.request.service, x.request.secret)
	return reason == "" && team == x.team
}

// bufferBody reads a small body, so that it can be sent again to another minion. A body that
// is larger or of unknown length is streamed; it can be sent to another minion only while
// nothing of it was read. bufferBody reports false when the body could not be read.
func (x *exchange) bufferBody() bool {
	if x.r.ContentLength == 0 {
		x.bodyBuffered = true
		return true
	}
	if x.r.ContentLength < 0 || x.r.ContentLength > maxBufferedBody || !x.reserveBuffer() {
		x.streamedBody = &readTracker{ReadCloser: x.r.Body}
		x.r.Body = x.streamedBody
		return true
	}
	b, err := io.ReadAll(x.r.Body)
	if err != nil {
		x.host.refuse(x.w, x.request.id, refusal.BadRequest, "the request body could not be read", 0)
		return false
	}
	x.body, x.bodyBuffered = b, true
	return true
}

// reserveBuffer reports whether there is room for the body, which releaseBuffer returns.
func (x *exchange) reserveBuffer() bool {
	if x.host.bufferedBytes.Add(x.r.ContentLength) > maxBufferedBodies {
		x.host.bufferedBytes.Add(-x.r.ContentLength)
		return false
	}
	x.reservedBytes = x.r.ContentLength
	return true
}

func (x *exchange) releaseBuffer() { x.host.bufferedBytes.Add(-x.reservedBytes) }

// waitForSlot submits the call and waits for its verdict. It reports false, after writing a
// refusal, if the caller disconnects or the deadline passes first.
func (x *exchange) waitForSlot(ctx context.Context, call *node.Call) (node.Verdict, bool) {
	n := x.host.node
	n.Submit(time.Now(), call)
	select {
	case v := <-call.Verdict:
		return v, true
	case <-ctx.Done():
	}
	if !n.Cancel(time.Now(), call) {
		// The verdict came at the same time. A granted slot is returned unused.
		if v := <-call.Verdict; v.Reason == "" {
			n.Finish(time.Now(), call, slot.Unused, 0)
		}
	}
	x.refuse(refusal.DeadlineExceeded, "no slot became free before the deadline", time.Second)
	return node.Verdict{}, false
}

// attempt sends the request to one minion and relays the response. It reports whether the
// exchange is done.
func (x *exchange) attempt(ctx context.Context, call *node.Call, v node.Verdict) (done bool) {
	started := time.Now()
	outcome := slot.Failed
	// mayStillRun is set if the minion may still be running this attempt.
	mayStillRun := false
	x.host.metrics.countAttempt()
	defer func() {
		x.host.metrics.recordRunTime(time.Since(started))
		if !mayStillRun {
			x.host.node.Finish(time.Now(), call, outcome, time.Since(started))
			return
		}
		x.host.node.Abandon(time.Now(), call, outcome, x.request.deadline.Add(node.EndGrace))
	}()
	ctx, cancel := x.minionContext(ctx)
	defer cancel()
	resp, err := x.host.minions.Send(ctx, x.request.service, v.Target.Address, x.minionRequest(ctx))
	var leavingErr *minion.LeavingError
	if errors.As(err, &leavingErr) {
		outcome = slot.Leaving
		x.host.node.Leaving(time.Now(), v.Target.Worker)
		resp, err = leavingErr.Response, nil
	}
	if err == nil {
		if outcome != slot.Leaving {
			outcome = outcomeOfResponse(resp)
		}
		relayed, complete := x.relay(resp)
		if !complete {
			mayStillRun, outcome = true, slot.Failed
		}
		if !relayed {
			// Aborts the connection, so that an incomplete response does not look complete.
			panic(http.ErrAbortHandler)
		}
		return true
	}
	var mayHaveRunErr *minion.MayHaveRunError
	mayStillRun = errors.As(err, &mayHaveRunErr)
	x.mayHaveRun = x.mayHaveRun || mayStillRun
	outcome = x.outcomeOfError(ctx, v, err)
	return x.giveUp(ctx, v, err)
}

// outcomeOfResponse rates a minion by its response. Server errors count as failures, so that a
// minion that fails quickly does not attract more requests.
func outcomeOfResponse(resp *http.Response) slot.Outcome {
	if resp.StatusCode >= http.StatusInternalServerError {
		return slot.Failed
	}
	return slot.OK
}

// outcomeOfError rates a minion by an attempt without a response. An attempt that failed
// because the caller disconnected or its body broke off does not count against the minion.
func (x *exchange) outcomeOfError(ctx context.Context, v node.Verdict, err error) slot.Outcome {
	x.host.log.Warn("attempt-failed", zap.String("request-id", x.request.id), zap.String("worker", v.Target.Worker), zap.Error(err))
	var bodyErr *minion.RequestBodyError
	var unresponsiveErr *minion.UnresponsiveError
	switch {
	case x.r.Context().Err() != nil, errors.As(err, &bodyErr):
		return slot.OK
	case errors.As(err, &unresponsiveErr) && !unresponsiveErr.MinionFailed:
		return slot.OK
	case errors.As(err, &unresponsiveErr):
		return slot.Unresponsive
	case errors.Is(err, syscall.ECONNREFUSED):
		return slot.Leaving
	case ctx.Err() != nil && x.mayHaveRun:
		return slot.Unresponsive
	default:
		return slot.Failed
	}
}

// giveUp reports whether the exchange ends with this error, and in that case writes the
// refusal. The request is tried again only if it cannot have run or its method is idempotent,
// its body can be sent again and the team's retry budget allows it.
func (x *exchange) giveUp(ctx context.Context, v node.Verdict, err error) bool {
	var bodyErr *minion.RequestBodyError
	var tooLargeErr *httplimit.BodyTooLargeError
	switch {
	case errors.As(err, &tooLargeErr):
		x.refuse(refusal.BodyTooLarge, "the body is larger than max-body-bytes", 0)
	case errors.As(err, &bodyErr):
		x.refuse(refusal.BadRequest, "the request body broke off", 0)
	case ctx.Err() != nil:
		x.refuse(refusal.DeadlineExceeded, "the minion did not answer before the deadline", time.Second)
	case x.mayHaveRun && !isIdempotent(x.r.Method):
		x.refuse(refusal.OutcomeUnknown, "minion "+v.Target.Worker+" gave no complete answer", 0)
	case x.replayable() && x.host.retryBudgets.allowRetry(x.team, time.Now()):
		return false
	default:
		x.refuse(refusal.MinionUnreachable, "minion "+v.Target.Worker+" could not be reached", time.Second)
	}
	return true
}

// replayable reports whether the whole body can be sent to another minion.
func (x *exchange) replayable() bool {
	return x.bodyBuffered || (x.streamedBody != nil && !x.streamedBody.read.Load())
}

// readTracker records whether anything of a body was read.
type readTracker struct {
	io.ReadCloser
	read atomic.Bool
}

func (b *readTracker) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.ReadCloser.Read(p)
}

// Close does nothing, so that another attempt can read the caller's body; the HTTP server
// closes it.
func (b *readTracker) Close() error { return nil }

// refuse ends the exchange with a refusal, which it counts and logs.
func (x *exchange) refuse(reason refusal.Reason, detail string, after time.Duration) {
	run := refusal.RunNo
	if x.mayHaveRun {
		run = refusal.RunUnknown
	}
	x.endRegistration()
	x.host.metrics.countRefusal(reason)
	x.host.recentRefusals.add(x.request.id, x.team, string(reason)+", run: "+run+"; "+detail)
	x.host.log.Info("refused", zap.String("request-id", x.request.id), zap.String("team", x.team),
		zap.String("reason", string(reason)), zap.String("run", run))
	reason.Write(x.w, x.request.id, run, detail, after)
}

// minionRequest returns the request to send to the minion.
func (x *exchange) minionRequest(ctx context.Context) *http.Request {
	out := x.r.Clone(ctx)
	out.Header.Del(refusal.HeaderKey)
	out.Header.Set(refusal.HeaderRequestID, x.request.id)
	out.Header.Set(refusal.HeaderTeam, x.team)
	out.Header.Set(refusal.HeaderTimeout, time.Until(x.request.deadline).String())
	out.URL = &url.URL{Path: x.request.path, RawPath: x.request.rawPath, RawQuery: x.r.URL.RawQuery}
	if x.bodyBuffered {
		out.Body = io.NopCloser(strings.NewReader(string(x.body)))
		if len(x.body) == 0 {
			out.Body = http.NoBody
		}
	}
	return out
}

// minionContext returns a context that ends at the deadline, or disconnectGrace after the
// caller disconnects. The minion gets this time to finish, because the end of its response is
// the only reliable sign that its slot is free.
func (x *exchange) minionContext(ctx context.Context) (context.Context, context.CancelFunc) {
	out, cancel := context.WithDeadline(context.WithoutCancel(ctx), x.request.deadline)
	stop := context.AfterFunc(x.r.Context(), func() {
		timer := time.AfterFunc(disconnectGrace, cancel)
		context.AfterFunc(out, func() { timer.Stop() })
	})
	return out, func() { stop(); cancel() }
}

// relay passes a minion's response on to the caller. It reports whether the caller received
// all of it, and whether the minion sent all of it.
func (x *exchange) relay(resp *http.Response) (relayed, complete bool) {
	defer func() { _ = resp.Body.Close() }()
	h := x.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	h.Del(refusal.HeaderRefusal)
	h.Set(refusal.HeaderRequestID, x.request.id)
	h.Set(refusal.HeaderRun, refusal.RunYes)
	x.answered = true
	x.endRegistration()
	x.w.WriteHeader(resp.StatusCode)
	if err := x.copyBody(resp); err != nil {
		x.host.log.Warn("answer-broke-off", zap.String("request-id", x.request.id), zap.Error(err))
		// Reading the rest shows whether the minion or the caller broke off.
		_, err := io.Copy(io.Discard, resp.Body)
		return false, err == nil
	}
	for name, values := range resp.Trailer {
		h[http.TrailerPrefix+name] = values
	}
	return true, true
}

// copyBody copies the response body to the caller. If its length is unknown, it flushes after
// each read, so that a stream reaches the caller without delay.
func (x *exchange) copyBody(resp *http.Response) error {
	if resp.ContentLength >= 0 {
		_, err := io.Copy(x.w, resp.Body)
		return err
	}
	controller := http.NewResponseController(x.w)
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, werr := x.w.Write(buf[:n]); werr != nil {
				return werr
			}
			_ = controller.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
