package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// callTimeout is how long a caller waits; it is sent along.
	callTimeout = 3 * time.Second
	// giveUpAfter is when a caller stops trying to submit a job.
	giveUpAfter = 20 * time.Second
	// visibleWithin is when an accepted job has to be known to each host.
	visibleWithin = 3 * time.Second
	// cutSlack is how old a request is that a process has certainly read.
	cutSlack = 200 * time.Millisecond
)

// submitted is what the callers know of a job.
type submitted struct {
	*plan
	due time.Time

	mu sync.Mutex
	// refusals counts the attempts that were refused as not run, others those with no clear answer.
	refusals, others int
	accepted         time.Time
	cancelSent       time.Time
	cancelled        time.Time
	final            string
	finalSeen        time.Time
}

// callers submit jobs in an open loop and follow each of them.
type callers struct {
	c      *cluster
	direct *http.Client
	keys   *keyring
	wait   sync.WaitGroup
	// ended tells that a job has ended.
	ended chan struct{}

	rate float64
	mu   sync.Mutex
	// bursts is the number of bursts that last.
	bursts int
	jobs   map[string]*submitted
	calls  map[string]int
	// accepting and finishing hold times from the intended time of the submission.
	accepting, finishing *hdrhistogram.Histogram
	// limit is the limit of the account that has one, mostInUse what it had running, in
	// thousandths of a core.
	limit, mostInUse int
}

func newCallers(c *cluster, rate float64) *callers {
	// Idle connections stay open until the host closes them or its process is gone.
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &callers{
		c: c, direct: &http.Client{Transport: transport, Timeout: callTimeout + time.Second}, rate: rate,
		keys: newKeyring(), jobs: make(map[string]*submitted), calls: make(map[string]int), ended: make(chan struct{}, 1),
		accepting: newHistogram(), finishing: newHistogram(),
	}
}

// record records the time since the intended submission of a job. The lock must be held.
func (s *callers) record(h *hdrhistogram.Histogram, j *submitted) {
	if err := h.RecordValue(time.Since(j.due).Microseconds()); err != nil {
		s.c.note("time not recorded: %v", err)
	}
}

// burst multiplies the rate for some time. Bursts that overlap do not add up: what is accepted
// has to be done in time after them.
func (s *callers) burst(d time.Duration) {
	s.addBurst(1)
	sleep(context.Background(), d)
	s.addBurst(-1)
}

func (s *callers) addBurst(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bursts += n
}

// interval returns the time until the next submission.
func (s *callers) interval(rng *rand.Rand) time.Duration {
	const factor = 4
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.rate
	if s.bursts > 0 {
		rate *= factor
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// run submits jobs until ctx ends. The jobs are followed until follow ends.
func (s *callers) run(ctx, follow context.Context, rng *rand.Rand) {
	due := time.Now()
	for {
		due = due.Add(s.interval(rng))
		if !sleep(ctx, time.Until(due)) {
			return
		}
		s.follow(follow, newPlan(rng), due)
	}
}

// follow lets a caller of its own submit a job that is due.
func (s *callers) follow(ctx context.Context, p *plan, due time.Time) *submitted {
	j := &submitted{plan: p, due: due}
	s.mu.Lock()
	s.jobs[j.id] = j
	s.mu.Unlock()
	s.wait.Add(1)
	go func() { defer s.wait.Done(); s.serve(ctx, j) }()
	return j
}

// serve is the life of one caller.
func (s *callers) serve(ctx context.Context, j *submitted) {
	rng := rand.New(rand.NewPCG(j.choices, 0))
	if !s.submit(ctx, j, rng) {
		return
	}
	cancelAt := time.Now().Add(j.cancelAfter)
	for {
		pause := time.Duration(200+rng.IntN(600)) * time.Millisecond
		if !sleep(ctx, pause) {
			return
		}
		if j.cancelAfter > 0 && !j.isCancelled() && time.Now().After(cancelAt) {
			s.cancel(ctx, j, rng)
			continue
		}
		s.poll(ctx, j, rng)
		j.mu.Lock()
		// Callers go on asking for some time after the end: final states do not change.
		over := j.final != "" && time.Since(j.finalSeen) > 2*visibleWithin
		j.mu.Unlock()
		if over {
			return
		}
	}
}

func (j *submitted) isCancelled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.cancelled.IsZero()
}

// submit tries until the job is accepted. It reports false if the caller gave up.
func (s *callers) submit(ctx context.Context, j *submitted, rng *rand.Rand) bool {
	body, err := j.body()
	if err != nil {
		s.c.fail("plan", "%v", err)
		return false
	}
	for ctx.Err() == nil {
		a := s.call(ctx, http.MethodPost, j, body, rng)
		j.mu.Lock()
		switch {
		case a.status == http.StatusOK:
			j.accepted = time.Now()
		case a.notRun():
			j.refusals++
		default:
			j.others++
		}
		accepted, others := !j.accepted.IsZero(), j.others
		j.mu.Unlock()
		if accepted {
			s.mu.Lock()
			s.record(s.accepting, j)
			s.mu.Unlock()
			return true
		}
		if time.Since(j.due) > giveUpAfter && others == 0 {
			return false
		}
		pause := max(a.retryAfter, 50*time.Millisecond) + time.Duration(rng.IntN(200))*time.Millisecond
		if !sleep(ctx, pause) {
			return false
		}
	}
	return false
}

func (s *callers) cancel(ctx context.Context, j *submitted, rng *rand.Rand) {
	j.mu.Lock()
	if j.cancelSent.IsZero() {
		j.cancelSent = time.Now()
	}
	j.mu.Unlock()
	a := s.call(ctx, http.MethodDelete, j, nil, rng)
	switch a.status {
	case http.StatusOK:
		j.mu.Lock()
		j.cancelled = time.Now()
		j.mu.Unlock()
	case http.StatusGone:
		s.c.fail("lost-job", "%s %s: 410 for the cancellation of an accepted job by %s", j.id, j.kind, a.from)
	}
}

// poll asks for the state and checks it against what was shown before.
func (s *callers) poll(ctx context.Context, j *submitted, rng *rand.Rand) {
	sent := time.Now()
	a := s.call(ctx, http.MethodGet, j, nil, rng)
	j.mu.Lock()
	defer j.mu.Unlock()
	if a.status == http.StatusGone && sent.Sub(j.accepted) > visibleWithin {
		s.c.fail("lost-job", "%s %s: 410 by %s, %v after its acceptance", j.id, j.kind, a.from, sent.Sub(j.accepted).Round(time.Millisecond))
	}
	if a.status != http.StatusOK {
		return
	}
	var body struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(a.body, &body); err != nil {
		s.c.fail("answer", "%s: %q by %s", j.id, a.body, a.from)
		return
	}
	final := body.State == "succeeded" || body.State == "failed" || body.State == "cancelled"
	switch {
	case j.final == "" && final:
		j.final, j.finalSeen = body.State, time.Now()
		s.mu.Lock()
		s.record(s.finishing, j)
		s.mu.Unlock()
		select {
		case s.ended <- struct{}{}:
		default:
		}
	case j.final != "" && final && body.State != j.final:
		s.c.fail("final-state", "%s %s: %s by %s after %s", j.id, j.kind, body.State, a.from, j.final)
	case j.final != "" && !final && sent.Sub(j.finalSeen) > visibleWithin:
		s.c.fail("final-state", "%s %s: %s by %s, %v after %s", j.id, j.kind, body.State, a.from, sent.Sub(j.finalSeen), j.final)
	}
	if body.State == "cancelled" && j.cancelSent.IsZero() {
		s.c.fail("final-state", "%s %s: cancelled by %s without a cancellation", j.id, j.kind, a.from)
	}
	if final && body.State != "cancelled" && j.want != "" && j.finalSeen.After(sent) && body.State != j.want {
		s.c.fail("final-state", "%s %s %q: %s in place of %s", j.id, j.kind, j.spec, body.State, j.want)
	}
}

// answer is the answer to a call; the status is 0 without one.
type answer struct {
	status     int
	body       []byte
	retryAfter time.Duration
	from       string
}

// notRun reports whether the answer says that the call had no effect.
func (a *answer) notRun() bool {
	return a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests ||
		a.status == http.StatusUnauthorized || a.status == http.StatusNotFound
}

// call makes a call, half of the time to a host that the caller chooses: queries for a state go
// to it directly, on connections that stay open until its process is gone, others through the
// ingress, which knows of all submissions. Otherwise the ingress chooses.
func (s *callers) call(ctx context.Context, method string, j *submitted, body []byte, rng *rand.Rand) answer {
	to, h := s.c.ingress, s.c.hosts[rng.IntN(len(s.c.hosts))]
	if p := h.current(); rng.IntN(2) == 0 || method != http.MethodGet && (p == nil || !p.running()) {
		h = nil
	} else if method == http.MethodGet {
		to = h.callers.String()
	}
	return s.send(ctx, h, method, to, j.plan, s.keys.current(j.account), body)
}

// send sends one call to a host, or to the ingress if h is nil.
func (s *callers) send(ctx context.Context, h *host, method, to string, p *plan, key string, body []byte) answer {
	a := answer{from: "the ingress"}
	if h != nil {
		a.from = h.name
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to+"/"+p.queue+"/"+p.id, bytes.NewReader(body))
	if err != nil {
		s.c.fail("call", "%v", err)
		return a
	}
	req.Host = p.queue + ".example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	if h != nil && to == s.c.ingress {
		req.Header.Set("Egretdrum-Host", h.name)
	}
	sent := time.Now()
	resp, err := s.direct.Do(req)
	if err == nil {
		defer resp.Body.Close()
		a.status = resp.StatusCode
		if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
			a.retryAfter = time.Duration(seconds) * time.Second
		}
		a.body, err = io.ReadAll(resp.Body)
	}
	if err != nil && ctx.Err() == nil {
		a.status = 0
		s.checkCut(h, method, p, sent, isEnd(err), err.Error())
	}
	if a.status == http.StatusBadGateway && ctx.Err() == nil {
		s.checkCut(h, method, p, sent, endText.Match(a.body), string(a.body))
	}
	s.mu.Lock()
	s.calls[fmt.Sprintf("%s %d", method, a.status)]++
	s.mu.Unlock()
	return a
}

// endText matches the answer of the ingress if a host has ended the connection.
var endText = regexp.MustCompile("EOF|reset by peer|broken pipe|closed")

// checkCut fails if a host ended a connection with a request that it had read, although neither
// it nor what it needs was disturbed. A planned stop is no excuse.
func (s *callers) checkCut(h *host, method string, p *plan, sent time.Time, ended bool, reason string) {
	took := time.Since(sent)
	if h == nil || !ended || took < cutSlack {
		return
	}
	if h.calm(sent.Add(-contact), time.Now()) {
		s.c.fail("cut-request", "%s of %s by %s after %v: %s", method, p.id, h.name, took.Round(time.Millisecond), reason)
	}
}

// keyring holds the keys of the accounts; operators add and withdraw them.
type keyring struct {
	mu    sync.Mutex
	keys  map[string]string
	count int
}

func newKeyring() *keyring {
	return &keyring{keys: map[string]string{limitedAccount: limitedAccount + "-0", otherAccount: otherAccount + "-0"}}
}

func (k *keyring) current(account string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keys[account]
}

// next returns the name of a new key of an account.
func (k *keyring) next(account string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.count++
	return fmt.Sprintf("%s-%d", account, k.count)
}

func (k *keyring) use(account, key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys[account] = key
}
