package demo

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"egretdrum.example/change"
	"egretdrum.example/contract"
	"egretdrum.example/entry"
	"egretdrum.example/fleet"
	"egretdrum.example/operator"
	"egretdrum.example/refusal"
	"egretdrum.example/teamkey"
)

const (
	fillService   = "tengri/pairings"
	withdrawnTeam = "tengri/guests"
	movedWorker   = "tengri-portal-1"
	drainedWorker = "tengri-rounds-2"
	probeInterval = 5 * time.Millisecond
	probeTimeout  = 10 * time.Second
)

// prepare starts the entry hosts and sets the configuration through the operator API.
func (d *Demo) prepare(ctx context.Context) error {
	for n := range entryHosts {
		if err := d.cluster.startEntry(ctx, entryName(n), accounts[0].zones[n]); err != nil {
			return &StepError{Step: "start " + entryName(n), Err: err}
		}
	}
	for _, account := range accounts {
		if err := d.configure(ctx, account); err != nil {
			return &StepError{Step: "configure " + account.name, Err: err}
		}
	}
	d.printf("%d entry hosts, %d minions, 2 client accounts\n", entryHosts, len(d.cluster.minions))
	return nil
}

func (d *Demo) configure(ctx context.Context, account account) error {
	for n, pool := range account.pools {
		name := account.name + "/" + pool
		if err := d.submitChange(ctx, change.KindPool, name, fleet.Pool{}); err != nil {
			return err
		}
		for m := range minionsPerPool {
			if err := d.submitChange(ctx, change.KindWorker, workerName(account.name, pool, m), fleet.Worker{Pool: name}); err != nil {
				return err
			}
		}
		if n < len(account.services) {
			if err := d.submitChange(ctx, change.KindService, account.name+"/"+account.services[n], fleet.Service{Pool: name}); err != nil {
				return err
			}
		}
	}
	for _, t := range account.teams {
		secret, key, err := teamkey.Generate(rand.Reader, time.Now())
		if err != nil {
			return err
		}
		name := account.name + "/" + t.name
		c := contract.Contract{Team: name, Share: t.share, Limit: t.limit, Keys: []teamkey.Key{key}}
		if err := d.submitChange(ctx, change.KindContract, name, c); err != nil {
			return err
		}
		d.load.setKey(name, secret)
	}
	return nil
}

// submitChange submits one change and records the time until all entry hosts have it.
func (d *Demo) submitChange(ctx context.Context, kind, name string, after any) error {
	api := "http://" + d.cluster.ready()[0].OperatorAddr().String()
	cfg, err := operator.FetchConfig(ctx, api)
	if err != nil {
		return err
	}
	before, err := cfg.Object(kind, name)
	if err != nil {
		return err
	}
	b, err := json.Marshal(after)
	if err != nil {
		return err
	}
	started := time.Now()
	version, _, err := operator.Submit(ctx, api, change.Change{
		ID: rand.Text(), Operator: "demo", Action: "set-" + kind, Kind: kind, Name: name, Before: before, After: b,
	})
	if err != nil {
		return err
	}
	err = d.waitFor(ctx, func() bool {
		for _, h := range d.cluster.ready() {
			if h.ConfigVersion() < version {
				return false
			}
		}
		return true
	})
	d.report.rollOuts = append(d.report.rollOuts, time.Since(started))
	return err
}

func (d *Demo) waitFor(ctx context.Context, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// withdrawKey withdraws the key of one team and waits until every entry host refuses it.
func (d *Demo) withdrawKey(ctx context.Context) error {
	api := "http://" + d.cluster.ready()[0].OperatorAddr().String()
	cfg, err := operator.FetchConfig(ctx, api)
	if err != nil {
		return err
	}
	c := cfg.Contracts[withdrawnTeam]
	c, _ = c.WithoutKey(c.Keys[0].ID)
	started := time.Now()
	if err := d.submitChange(ctx, change.KindContract, withdrawnTeam, c); err != nil {
		return err
	}
	for _, h := range d.cluster.ready() {
		if err := d.waitFor(ctx, func() bool { return d.refusesKey(ctx, h) }); err != nil {
			return err
		}
	}
	d.report.keyWithdrawn = time.Now()
	d.report.withdrawal = time.Since(started)
	return nil
}

func (d *Demo) refusesKey(ctx context.Context, h *entry.Host) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/%s/probe", h.CallersAddr(), fillService), nil)
	if err != nil {
		return false
	}
	d.load.mu.Lock()
	req.Header.Set(refusal.HeaderKey, d.load.keys[withdrawnTeam])
	d.load.mu.Unlock()
	resp, err := d.load.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.Header.Get(refusal.HeaderRefusal) == string(refusal.KeyUnknown)
}

// moveWorker drains a worker of the spare pool and adds it to a pool with a service.
func (d *Demo) moveWorker(ctx context.Context) error {
	if err := d.submitChange(ctx, change.KindWorker, movedWorker, fleet.Worker{Pool: "tengri/portal", Leaving: true}); err != nil {
		return err
	}
	if err := d.submitChange(ctx, change.KindWorker, movedWorker, fleet.Worker{Pool: "tengri/rounds"}); err != nil {
		return err
	}
	d.report.moves++
	return nil
}

// drainWorker takes a busy worker out of service until the end of the run.
func (d *Demo) drainWorker(ctx context.Context) error {
	err := d.submitChange(ctx, change.KindWorker, drainedWorker, fleet.Worker{Pool: "tengri/rounds", Leaving: true})
	d.report.drainedAt = time.Now()
	return err
}

func (d *Demo) stopEntry(context.Context) error { return d.cluster.stopEntry(entryName(1)) }

func (d *Demo) replaceEntry(ctx context.Context) error {
	return d.cluster.startEntry(ctx, entryName(entryHosts), accounts[0].zones[1])
}

// overloadPool loads one pool beyond its capacity. The team without a key gets a new one first.
func (d *Demo) overloadPool(ctx context.Context) error {
	api := "http://" + d.cluster.ready()[0].OperatorAddr().String()
	cfg, err := operator.FetchConfig(ctx, api)
	if err != nil {
		return err
	}
	secret, key, err := teamkey.Generate(rand.Reader, time.Now())
	if err != nil {
		return err
	}
	if err := d.submitChange(ctx, change.KindContract, withdrawnTeam, cfg.Contracts[withdrawnTeam].WithKey(key)); err != nil {
		return err
	}
	d.report.keyRestored = time.Now()
	d.load.setKey(withdrawnTeam, secret)
	d.load.setFilling()
	return nil
}
