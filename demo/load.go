package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"egretdrum.example/refusal"
)

const (
	// A burst is five times the mean of 400 requests a second, and more than the 1,600 a
	// second that 4 minions with 8 slots can answer at 20 ms a request. Between bursts, a
	// service gets a twentieth of the mean.
	meanRate   = 400
	burstRate  = 5 * meanRate
	quietRate  = meanRate / 20
	burstTime  = time.Second
	tick       = 10 * time.Millisecond
	fillTime   = 6 * time.Second
	timeout    = 2 * time.Second
	maxCallers = 4000
)

// outcome is what a caller saw of one request.
type outcome struct {
	id, team, method   string
	status             int
	refusalReason, run string
	// lost is set if the caller got no complete answer.
	lost bool
	// crossed is set if the answer belongs to another request.
	crossed bool
}

// load sends requests of both client accounts and records the outcomes.
type load struct {
	cluster     *cluster
	client      *http.Client
	callerSlots chan struct{}
	calls       sync.WaitGroup

	mu       sync.Mutex
	keys     map[string]string // by team
	outcomes []outcome
	sent     int
	filling  bool
}

func newLoad(c *cluster) *load {
	return &load{
		cluster:     c,
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		callerSlots: make(chan struct{}, maxCallers),
		keys:        make(map[string]string),
	}
}

func (l *load) setKey(team, secret string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys[team] = secret
}

func (l *load) setFilling() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.filling = true
}

func (l *load) progress() (sent, answered int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.outcomes {
		if o.run == refusal.RunYes {
			answered++
		}
	}
	return l.sent, answered
}

// run sends requests at the planned rates until ctx ends, then waits for the answers.
func (l *load) run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	random := rand.New(rand.NewPCG(1, 2))
	due := make(map[string]float64)
	start := time.Now()
	for {
		select {
		case <-ticker.C:
			l.sendDue(random, due, time.Since(start))
		case <-ctx.Done():
			l.calls.Wait()
			return
		}
	}
}

func (l *load) sendDue(random *rand.Rand, due map[string]float64, elapsed time.Duration) {
	services := 0
	for _, account := range accounts {
		for _, service := range account.services {
			name := account.name + "/" + service
			due[name] += l.rate(name, services, elapsed) * tick.Seconds()
			services++
			for ; due[name] >= 1; due[name]-- {
				l.startCall(random, account, name)
			}
		}
	}
}

// rate returns the requests a second for the nth service. The services burst in turn. While
// shares are measured, only fillService gets requests, and more than it can answer.
func (l *load) rate(name string, n int, elapsed time.Duration) float64 {
	l.mu.Lock()
	filling := l.filling
	l.mu.Unlock()
	switch {
	case filling && name == fillService:
		return 1.5 * burstRate
	case filling:
		return 0
	case int(elapsed/burstTime)%4 == n:
		return burstRate
	default:
		return quietRate
	}
}

func (l *load) startCall(random *rand.Rand, account account, service string) {
	t := account.pickTeam(random)
	method := http.MethodPost
	if random.IntN(10) < 3 {
		method = http.MethodGet
	}
	urgent := random.IntN(10) == 0
	l.mu.Lock()
	l.sent++
	o := outcome{id: fmt.Sprintf("demo-%d", l.sent), team: account.name + "/" + t.name, method: method}
	key := l.keys[o.team]
	l.mu.Unlock()
	select {
	case l.callerSlots <- struct{}{}:
	default:
		l.mu.Lock()
		l.sent--
		l.mu.Unlock()
		return
	}
	l.calls.Go(func() {
		l.call(&o, service, key, urgent)
		<-l.callerSlots
		l.mu.Lock()
		l.outcomes = append(l.outcomes, o)
		l.mu.Unlock()
	})
}

// pickTeam chooses a random team in proportion to the shares, so that in an overloaded pool
// each team demands more than its share and the distance to share can be measured.
func (a account) pickTeam(random *rand.Rand) team {
	var total int64
	for _, t := range a.teams {
		total += t.share
	}
	n := random.Int64N(total)
	for _, t := range a.teams {
		if n < t.share {
			return t
		}
		n -= t.share
	}
	return a.teams[0]
}

// call sends one request through a ready entry host, as the platform's load balancer would.
// After a refused connection nothing was sent, so it tries another host.
func (l *load) call(o *outcome, service, key string, urgent bool) {
	for attempt := range entryHosts {
		hosts := l.cluster.ready()
		if len(hosts) == 0 {
			o.lost = true
			return
		}
		host := hosts[(len(o.id)*31+int(o.id[len(o.id)-1])+attempt)%len(hosts)]
		resp, err := l.client.Do(l.request(o, host.CallersAddr().String(), service, key, urgent))
		if err != nil {
			if strings.Contains(err.Error(), "connection refused") {
				continue
			}
			o.lost = true
			return
		}
		l.readAnswer(o, resp)
		return
	}
	o.lost = true
}

func (l *load) request(o *outcome, address, service, key string, urgent bool) *http.Request {
	var body io.Reader
	if o.method == http.MethodPost {
		body = strings.NewReader(o.id)
	}
	req, err := http.NewRequest(o.method, "http://"+address+"/"+service+"/demo", body)
	if err != nil {
		panic(err) // the URL consists of constants of this package
	}
	req.Header.Set(refusal.HeaderKey, key)
	req.Header.Set(refusal.HeaderRequestID, o.id)
	req.Header.Set(refusal.HeaderTimeout, timeout.String())
	req.Header.Set(refusal.HeaderUrgent, fmt.Sprint(urgent))
	return req
}

func (l *load) readAnswer(o *outcome, resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	o.status = resp.StatusCode
	o.refusalReason = resp.Header.Get(refusal.HeaderRefusal)
	o.run = resp.Header.Get(refusal.HeaderRun)
	o.lost = err != nil
	if o.run == refusal.RunYes && o.method == http.MethodPost {
		o.crossed = string(body) != o.id
	}
	o.crossed = o.crossed || resp.Header.Get(refusal.HeaderRequestID) != o.id
}
