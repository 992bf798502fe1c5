package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"egretdrum.example/claim"
	"egretdrum.example/credit"
	"egretdrum.example/epoch"
	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
	"egretdrum.example/node"
	"egretdrum.example/peer"
	"egretdrum.example/queue"
)

// objectSeries are the sizes of messages, documents and states, and the time to handle
// them.
func objectSeries() []*series {
	workerSizes, teamSizes := []int{3500, 7000, 14_000, 28_000}, []int{225, 450, 675, 900}
	return []*series{
		{
			Name: "credit-message-bytes", Role: roleCredits, Unit: "bytes", By: "teams named in it",
			Mechanism: "the team's name and one number for each team", Size: busyTeams, sizes: []int{0, 10, 100, 900},
			measure: creditMessageBytes,
		},
		{
			Name: "claim-sync-bytes", Role: roleWitness, Unit: "bytes", By: "ids in it",
			Mechanism: "key, owner, state and age of each id", Size: requestRate * idKeptSeconds * 2, sizes: []int{100, 500, 1000, 4000},
			measure: claimSyncBytes,
		},
		{
			Name: "epoch-document-bytes-by-teams", Role: roleMembership, Unit: "bytes", By: "teams",
			Mechanism: "one minted total per team and minting host; after member changes up to one per member",
			Size:      teams, sizes: teamSizes,
			measure: func(n int) (float64, error) { return epochBytes(hostsThreeZones, n) },
		},
		{
			Name: "epoch-document-bytes-by-members", Role: roleMembership, Unit: "bytes", By: "entry hosts of the region",
			Mechanism: "the member list and 32 past lists; minted totals of 900 teams, each at every host",
			Size:      hostsThreeZones, sizes: []int{3, 5, 7, 9},
			measure: func(n int) (float64, error) { return epochBytes(n, teams) },
		},
		{
			Name: "config-delta-bytes", Role: roleRollout, Unit: "bytes", By: "changes in it",
			Mechanism: "the whole record of each change with the object before and after", Size: 1, sizes: []int{1, 2, 4, 8, 16},
			measure: deltaBytes,
		},
		{
			Name: "config-bytes-by-workers", Role: roleRollout, Unit: "bytes", By: "workers",
			Mechanism: "name, pool, leaving mark and slots of each worker as JSON", Size: workers, sizes: workerSizes,
			measure: func(n int) (float64, error) { return configBytes(documentSize{n, teams, pools}) },
		},
		{
			Name: "config-bytes-by-contracts", Role: roleRollout, Unit: "bytes", By: "contracts",
			Mechanism: "one key with salt and hash, share and limit of each contract", Size: teams, sizes: teamSizes,
			measure: func(n int) (float64, error) { return configBytes(documentSize{workers, n, pools}) },
		},
		{
			Name: "config-decode-cpu-by-workers", Role: roleRollout, Unit: "ms", By: "workers",
			Mechanism: "JSON decoding and validation of the whole document", Size: workers, sizes: workerSizes,
			measure: decodeTime,
		},
		{
			Name: "config-change-cpu-by-workers", Role: roleRollout, Unit: "ms", By: "workers",
			Mechanism: "a change copies the maps and validates the whole document", Size: workers, sizes: workerSizes,
			measure: func(n int) (float64, error) { return applyTime(documentSize{n, teams, pools}) },
		},
		{
			Name: "config-change-cpu-by-contracts", Role: roleRollout, Unit: "ms", By: "contracts",
			Mechanism: "a change validates all contracts and rebuilds the index of keys", Size: teams, sizes: teamSizes,
			measure: func(n int) (float64, error) { return applyTime(documentSize{workers, n, pools}) },
		},
		{
			Name: "config-encode-cpu-by-workers", Role: roleOperators, Unit: "ms", By: "workers",
			Mechanism: "JSON encoding of the whole document at the host that accepts a change", Size: workers, sizes: workerSizes,
			measure: encodeTime,
		},
		{
			Name: "config-in-force-cpu-by-workers", Role: roleRollout, Unit: "ms", By: "workers",
			Mechanism: "a change of the document, then the owner of each worker and the pools again", Size: regionWorkers, sizes: []int{700, 1400, 2800, 5600},
			measure: inForceTime,
		},
		{
			Name: "host-list-cpu-by-workers", Role: roleMembership, Unit: "ms", By: "workers on the list",
			Mechanism: "a list that changed is decoded as a whole and the pools are built again; the stand-in's encoding is in it", Size: workers, sizes: []int{regionWorkers, 7000, 14_000, 28_000},
			measure: hostListTime,
		},
		{
			Name: "host-list-bytes-by-workers", Role: roleMembership, Unit: "bytes", By: "workers on the list",
			Mechanism: "the whole list as JSON, transferred each second", Size: workers, sizes: workerSizes,
			measure: func(n int) (float64, error) {
				b, err := json.Marshal(hostList(n))
				return float64(len(b)), err
			},
		},
		{
			Name: "config-memory-by-workers", Role: roleRollout, Unit: "bytes", By: "workers",
			Mechanism: "one map entry with two strings per worker", Size: workers, sizes: workerSizes,
			measure: func(n int) (float64, error) { return configMemory(documentSize{n, teams, pools}) },
		},
		{
			Name: "config-memory-by-contracts", Role: roleRollout, Unit: "bytes", By: "contracts",
			Mechanism: "the contract with its key, and the index of keys", Size: teams, sizes: teamSizes,
			measure: func(n int) (float64, error) { return configMemory(documentSize{regionWorkers, n, pools}) },
		},
		{
			Name: "queue-memory", Role: roleAdmission, Unit: "bytes", By: "waiting requests",
			Mechanism: "one item in three heaps; the connection of the caller is not counted", Size: 10_000, sizes: []int{1250, 2500, 5000, 10_000},
			measure: queueMemory,
		},
		{
			Name: "queue-cpu", Role: roleAdmission, Unit: "us", By: "waiting requests",
			Mechanism: "pushing and popping all of them; the heaps add a logarithm", Size: 10_000, sizes: []int{1250, 2500, 5000, 10_000},
			measure: queueTime,
		},
		{
			Name: "witness-memory", Role: roleWitness, Unit: "bytes", By: "registered ids",
			Mechanism: "one map record without pointers per id; the map doubles in steps", Size: requestRate * idKeptSeconds * 2,
			sizes: []int{25_000, 50_000, 100_000, 200_000}, measure: witnessMemory,
		},
		{
			Name: "witness-cpu", Role: roleWitness, Unit: "us", By: "registered ids",
			Mechanism: "one hash and one map entry per registration", Size: requestRate * idKeptSeconds * 2, sizes: []int{25_000, 50_000, 100_000, 200_000},
			measure: witnessTime,
		},
	}
}

func creditMessageBytes(n int) (float64, error) {
	m := credit.Message{From: "entry-1/1", To: "entry-2/2", Epoch: 9}
	for team := range n {
		m.Free = append(m.Free, credit.Amount{Team: teamName(team), N: limitPerTeam})
	}
	b, err := peer.Encode("credit", m)
	return float64(len(b)), err
}

func claimSyncBytes(n int) (float64, error) {
	sync := claim.Sync{From: firstName, Epoch: 9, Snapshot: 1, Number: 1, Batches: 1}
	for id := range n {
		sync.Entries = append(sync.Entries, claim.Entry{
			Key: claim.KeyOf(fmt.Sprint(id)), Owner: claim.Owner{Sender: firstName, Incarnation: 9, Attempt: uint64(id)},
			State: claim.Finished, Age: time.Minute,
		})
	}
	b, err := peer.Encode("claim-sync", sync)
	return float64(len(b)), err
}

// epochBytes encodes an epoch in which every member holds minted credits of each team,
// as it is after the members have taken over from each other.
func epochBytes(hosts, teams int) (float64, error) {
	e, err := members(hosts)
	if err != nil {
		return 0, err
	}
	amounts := make(map[string]int64, teams)
	for n := range teams {
		amounts[teamName(n)] = limitPerTeam
	}
	for _, m := range e.Members {
		if e, err = e.Mint(m.ID(), amounts); err != nil {
			return 0, err
		}
	}
	var ids []epoch.ID
	for _, m := range e.Members {
		ids = append(ids, m.ID())
	}
	for len(e.History) < epoch.HistoryLength {
		e.History = append(e.History, epoch.Past{Number: e.Number + uint64(len(e.History)), Members: ids})
	}
	b, err := e.Encode()
	return float64(len(b)), err
}

func deltaBytes(n int) (float64, error) {
	cfg := document(documentSize{100, 10, 4})
	for i := range n {
		c, err := workerChange(cfg, i, cfg.Version)
		if err != nil {
			return 0, err
		}
		if cfg, err = cfg.Apply(c); err != nil {
			return 0, err
		}
	}
	changes, _ := cfg.Changes(cfg.Version - uint64(n))
	b, err := json.Marshal(changes)
	return float64(len(b)), err
}

func configBytes(s documentSize) (float64, error) {
	b, err := document(s).Encode()
	return float64(len(b)), err
}

func configMemory(s documentSize) (float64, error) {
	b, err := document(s).Encode()
	if err != nil {
		return 0, err
	}
	return held(func() (*fleet.Config, error) { return fleet.Decode(b) })
}

// milliseconds returns the smallest time of f over several runs.
func milliseconds(f func() error) (float64, error) {
	least := math.Inf(1)
	for range cpuRuns {
		us, err := timed(f)
		if err != nil {
			return 0, err
		}
		least = min(least, us/microsPerMilli)
	}
	return least, nil
}

func decodeTime(n int) (float64, error) {
	b, err := document(documentSize{n, teams, pools}).Encode()
	if err != nil {
		return 0, err
	}
	return milliseconds(func() error { _, err := fleet.Decode(b); return err })
}

func encodeTime(n int) (float64, error) {
	cfg := document(documentSize{n, teams, pools})
	return milliseconds(func() error { _, err := cfg.Encode(); return err })
}

func applyTime(s documentSize) (float64, error) {
	cfg := document(s)
	c, err := workerChange(cfg, 0, cfg.Version)
	if err != nil {
		return 0, err
	}
	return milliseconds(func() error { _, err := cfg.Apply(c); return err })
}

func newNode(cfg *fleet.Config, workers int) (*node.Node, error) {
	e, err := members(hostsThreeZones)
	if err != nil {
		return nil, err
	}
	n := node.New(start, e.Members[0])
	n.AdoptEpoch(start, e)
	n.SetHosts(start, hostList(workers))
	n.SetConfig(start, cfg)
	return n, nil
}

func inForceTime(workers int) (float64, error) {
	cfg := document(documentSize{workers, teams, pools})
	n, err := newNode(cfg, workers)
	if err != nil {
		return 0, err
	}
	return milliseconds(func() error {
		c, err := workerChange(cfg, 0, cfg.Version)
		if err != nil {
			return err
		}
		if cfg, err = cfg.Apply(c); err != nil {
			return err
		}
		n.SetConfig(start, cfg)
		return nil
	})
}

func hostListTime(workers int) (float64, error) {
	n, err := newNode(document(documentSize{workers, teams, pools}), workers)
	if err != nil {
		return 0, err
	}
	// The first host leaves and returns, so that each list differs from the last one.
	hosts, leaving := hostList(workers), false
	return milliseconds(func() error {
		leaving = !leaving
		hosts[0].Leaving = leaving
		b, err := json.Marshal(hosts)
		if err != nil {
			return err
		}
		var list []hostlist.Host
		err = json.Unmarshal(b, &list)
		n.SetHosts(start, list)
		return err
	})
}

func fill(n int) (*queue.Queue, error) {
	q := queue.New(func(*queue.Item) {})
	q.SetTeams(map[string]int{teamName(0): n}, map[string]int64{teamName(0): 1})
	for i := range n {
		it := &queue.Item{ID: fmt.Sprint("request-", i), Service: pool, Team: teamName(0), Deadline: start.Add(time.Minute)}
		if err := q.Push(start, it); err != nil {
			return nil, err
		}
	}
	return q, nil
}

func queueMemory(n int) (float64, error) {
	return held(func() (*queue.Queue, error) { return fill(n) })
}

func queueTime(n int) (float64, error) {
	ms, err := milliseconds(func() error {
		q, err := fill(n)
		if err != nil {
			return err
		}
		for q.Len() > 0 {
			q.Pop(start, pool, teamName(0), false)
		}
		return nil
	})
	return ms * microsPerMilli, err
}

func register(n int) (*claim.Registry, error) {
	r := claim.New(start, claim.Config{
		Self: firstName, Rank: func(_ claim.Key, members []string) []string { return members },
		Lost: func(string) bool { return false },
	})
	r.Begin(1, []string{firstName}, nil)
	for i := range n {
		r.Register(start, claim.Claim{
			Key: claim.KeyOf(fmt.Sprint("request-", i)), Epoch: 1,
			Owner: claim.Owner{Sender: firstName, Incarnation: 1, Attempt: uint64(i)},
		})
	}
	return r, nil
}

func witnessMemory(n int) (float64, error) {
	return held(func() (*claim.Registry, error) { return register(n) })
}

func witnessTime(n int) (float64, error) {
	ms, err := milliseconds(func() error { _, err := register(n); return err })
	return ms * microsPerMilli, err
}
