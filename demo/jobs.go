package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/catalog"
	"egretdrum.example/election"
	"egretdrum.example/jobapi"
	"egretdrum.example/jobclient"
	"egretdrum.example/jobhost"
	"egretdrum.example/kv"
	"egretdrum.example/kvfake"
	"egretdrum.example/meter"
	"egretdrum.example/resource"
	"egretdrum.example/scheduler"
	"egretdrum.example/storekeys"
	"egretdrum.example/subscription"
	"egretdrum.example/wait"
	"egretdrum.example/workerfake"
)

const (
	jobHosts    = 3
	jobWorkers  = 4
	jobCount    = 12
	jobTaskTime = 150 * time.Millisecond
	jobQueue    = "rounds"
	jobConfig   = "operators/config"
	// jobsTimeout allows for the lease expiry of a killed owner, the recovery and the tasks.
	jobsTimeout = 20 * time.Second
	pollPause   = 20 * time.Millisecond
	// jobJSON has two steps; the second one starts after the first.
	jobJSON  = `{"spec":"round","steps":[{"count":4,"cpu":500,"estimate":"150ms"},{"count":1,"cpu":500,"after":[0]}]}`
	jobTasks = 5
)

// jobHost is an entry host for jobs in this process.
type jobHost struct {
	name  string
	api   *httpServer
	links *httpServer
	// cut makes the store unreachable for this host.
	cut    func()
	cancel context.CancelFunc
	done   chan struct{}
	meter  *meter.Meter
}

// runJobs submits jobs to several entry hosts, kills the owner, and checks that each task ran
// once.
func (d *Demo) runJobs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, jobsTimeout)
	defer cancel()
	store := kvfake.New()
	store.Put(jobConfig, nil)
	fleet, err := workerfake.New(store, "desk", jobWorkers, resource.Amount{CPU: 4000, Memory: 4000}, jobTaskTime)
	if err != nil {
		return err
	}
	var hosts []*jobHost
	defer func() {
		for _, h := range hosts {
			d.stopJobHost(h)
		}
	}()
	for n := range jobHosts {
		h, err := startJobHost(ctx, n, store, fleet)
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
	}
	for n := range jobCount {
		if n == jobCount/2 {
			if err := killOwner(ctx, store, hosts); err != nil {
				return err
			}
		}
		if err := submitJob(ctx, hosts, n); err != nil {
			return err
		}
	}
	for n := range jobCount {
		if err := waitSucceeded(ctx, hosts, n); err != nil {
			return err
		}
	}
	runs := fleet.Runs()
	if len(runs) != jobCount*jobTasks {
		d.report.violations = append(d.report.violations, fmt.Sprintf("jobs: %d tasks ran, %d wanted", len(runs), jobCount*jobTasks))
	}
	for _, v := range fleet.Violations() {
		d.report.violations = append(d.report.violations, fmt.Sprintf("jobs: %s, task %s on worker %s: %s", v.Check, v.Task, v.Worker, v.Detail))
	}
	for t, n := range runs {
		if n != 1 {
			d.report.violations = append(d.report.violations, fmt.Sprintf("jobs: task %s was started %d times", t, n))
		}
	}
	return nil
}

func startJobHost(ctx context.Context, n int, store *kvfake.Fake, fleet *workerfake.Fleet) (*jobHost, error) {
	h := &jobHost{name: entryName(n), done: make(chan struct{}), meter: meter.New()}
	links := new(deferredHandler)
	var err error
	if h.links, err = serve(ctx, links); err != nil {
		return nil, err
	}
	calls, cut := store.Disconnectable()
	h.cut = cut
	host := jobhost.New(&jobhost.Config{
		Name: h.name, Store: calls, OperatorPrefix: "operators/", ConfigKey: jobConfig, DecodeOperator: decodeJobQueue,
		Calls: fleet.Calls(), LinkAddress: h.links.address, Log: zap.NewNop(), Meter: h.meter,
		RevokeWithin:   func() time.Duration { return time.Minute },
		KeepResults:    func() time.Duration { return time.Minute },
		EvacuateWithin: func() time.Duration { return 0 },
		Limits:         scheduler.DefaultLimits,
		ElectionDelay:  func() time.Duration { return time.Duration(n) * 10 * time.Millisecond },
	})
	links.Handler = host.Links
	if h.api, err = serve(ctx, jobapi.New(host.JobService, zap.NewNop())); err != nil {
		return nil, err
	}
	var run context.Context
	run, h.cancel = context.WithCancel(ctx)
	go func() { defer close(h.done); host.Run(run, run) }()
	for !host.JobService.Ready() {
		if !wait.For(ctx, pollPause) {
			return nil, fmt.Errorf("%s is not ready: %w", h.name, ctx.Err())
		}
	}
	return h, nil
}

// deferredHandler gets its handler after its server was started and before the first
// connection.
type deferredHandler struct{ http.Handler }

func decodeJobQueue(item kv.Item) (subscription.OperatorItem, error) {
	if item.Key != jobConfig {
		return subscription.OperatorItem{}, nil
	}
	queue := &catalog.Queue{Name: jobQueue, Pool: "desk", Open: true, MaxAttempts: 3, Stretch: 1.6, Allowance: time.Second}
	return subscription.OperatorItem{Catalog: catalog.New(1, []*catalog.Queue{queue}, []*catalog.Pool{{Name: "desk"}}, nil, 0)}, nil
}

func (d *Demo) stopJobHost(h *jobHost) {
	h.cancel()
	<-h.done
	for _, s := range []*httpServer{h.api, h.links} {
		// The host has stopped, so an error while closing its listeners does not matter.
		_ = s.http.Close()
		<-s.done
	}
	if err := h.meter.Close(); err != nil {
		d.printf("%s: metrics were not closed: %v\n", h.name, err)
	}
}

// killOwner disconnects the owner from the store and then stops it, so that its lease expires
// as after a crash.
func killOwner(ctx context.Context, store *kvfake.Fake, hosts []*jobHost) error {
	for {
		name, err := election.Holder(store.Item(storekeys.Owner))
		if err != nil {
			return err
		}
		for _, h := range hosts {
			if h.name == name {
				h.cut()
				h.cancel()
				return nil
			}
		}
		if !wait.For(ctx, pollPause) {
			return fmt.Errorf("no host schedules: %w", ctx.Err())
		}
	}
}

func jobID(n int) string { return fmt.Sprintf("%016x", n+1) }

// clientOf returns a client of one of the running hosts, chosen by n.
func clientOf(hosts []*jobHost, n int) *jobclient.Client {
	var alive []*jobHost
	for _, h := range hosts {
		select {
		case <-h.done:
		default:
			alive = append(alive, h)
		}
	}
	h := alive[n%len(alive)]
	return &jobclient.Client{Server: "http://" + h.api.address.String(), Queue: jobQueue, HTTP: http.DefaultClient}
}

// submitJob submits a job and tries another host after each failure.
func submitJob(ctx context.Context, hosts []*jobHost, n int) error {
	for attempt := n; ; attempt++ {
		err := clientOf(hosts, attempt).Submit(ctx, jobID(n), []byte(jobJSON))
		if err == nil {
			return nil
		}
		if !wait.For(ctx, pollPause) {
			return errors.Join(err, ctx.Err())
		}
	}
}

func waitSucceeded(ctx context.Context, hosts []*jobHost, n int) error {
	for attempt := n; ; attempt++ {
		state, err := clientOf(hosts, attempt).State(ctx, jobID(n))
		if err == nil && state == "succeeded" {
			return nil
		}
		if !wait.For(ctx, pollPause) {
			return fmt.Errorf("job %s is %s: %w", jobID(n), state, errors.Join(err, ctx.Err()))
		}
	}
}
