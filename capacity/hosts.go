package capacity

import (
	"context"
	"net/http/httptest"
	"time"

	"egretdrum.example/platformfake"
	"egretdrum.example/rollout"
	"egretdrum.example/store"
)

// hostSeries are the costs of whole entry hosts. Each number of hosts is run once and
// gives a point of each series.
func hostSeries(ctx context.Context) []*series {
	seen := make(map[int]running)
	at := func(value func(running) float64) func(int) (float64, error) {
		return func(n int) (float64, error) {
			if r, ok := seen[n]; ok {
				return value(r), nil
			}
			s, err := newStage(ctx, n)
			if err != nil {
				return 0, err
			}
			r, err := s.observe(ctx)
			if stopErr := s.stop(); err == nil {
				err = stopErr
			}
			seen[n] = r
			return value(r), err
		}
	}
	sizes := []int{1, 2, 4, 6}
	return []*series{
		{
			Name: "store-writes", Role: roleStore, Unit: "calls/s", By: "entry hosts",
			Mechanism: "each host renews its store lease every second",
			Size:      entryHosts, sizes: sizes, measure: at(func(r running) float64 { return r.writes }),
		},
		{
			Name: "store-reads", Role: roleStore, Unit: "calls/s", By: "entry hosts",
			Mechanism: "each host asks for configuration (as a watch that does not wait), epoch and host list every second",
			Size:      entryHosts, sizes: sizes, measure: at(func(r running) float64 { return r.reads }),
		},
		{
			Name: "store-calls-by-changes", Role: roleOperators, Unit: "calls", By: "changes",
			Mechanism: "a read and a compare-and-swap per change, one audit key per 32 changes",
			Size:      changesPerDay, sizes: []int{64, 128, 192, 256},
			measure: func(n int) (float64, error) { return callsOfChanges(ctx, n) },
		},
		{
			Name: "process-cpu-by-hosts", Role: roleMembership, Unit: "ms/s", By: "entry hosts",
			Mechanism: "all hosts and the stand-in in one process with sockets and collector, 2,800 workers; no caller; the slope is the cost of one host in it",
			Size:      hostsThreeZones, sizes: sizes, measure: at(func(r running) float64 { return r.cpu }),
		},
		{
			Name: "roll-out-time-by-hosts", Role: roleRollout, Unit: "ms", By: "entry hosts of the region",
			Mechanism: "validation, compare-and-swap and push at 2,800 workers and 900 contracts; the smallest of five changes",
			Size:      hostsThreeZones, sizes: sizes, measure: at(func(r running) float64 { return r.rollout }),
		},
	}
}

// callsOfChanges counts the store calls of n changes that one host accepts.
func callsOfChanges(ctx context.Context, n int) (float64, error) {
	p := platformfake.New()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	cfg := document(documentSize{300, 10, 4})
	b, err := cfg.Encode()
	if err != nil {
		return 0, err
	}
	p.SetValue("config", b)
	k := rollout.New(store.New(server.URL, time.Second))
	for i := range n {
		c, err := workerChange(cfg, i, cfg.Version)
		if err != nil {
			return 0, err
		}
		if cfg, err = k.Accept(ctx, c); err != nil {
			return 0, err
		}
	}
	total := 0
	for _, calls := range p.Calls() {
		total += calls
	}
	return float64(total), nil
}
