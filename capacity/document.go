package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"egretdrum.example/change"
	"egretdrum.example/contract"
	"egretdrum.example/fleet"
	"egretdrum.example/teamkey"
)

// documentSize is the size of a configuration document.
type documentSize struct {
	workers, teams, pools int
}

// document returns a configuration with keys made from a fixed seed.
func document(s documentSize) *fleet.Config {
	random := rand.NewChaCha8([32]byte{1})
	cfg := &fleet.Config{
		Version:   1,
		Contracts: make(map[string]contract.Contract, s.teams),
		Services:  make(map[string]fleet.Service, s.pools),
		Pools:     make(map[string]fleet.Pool, s.pools),
		Workers:   make(map[string]fleet.Worker, s.workers),
	}
	for n := range s.pools {
		cfg.Pools[poolName(n)] = fleet.Pool{}
		cfg.Services[poolName(n)] = fleet.Service{Pool: poolName(n)}
	}
	for n := range s.workers {
		cfg.Workers[workerName(n)] = fleet.Worker{Pool: poolName(n % s.pools), Slots: slotsPerHost}
	}
	for n := range s.teams {
		// A ChaCha8 source does not fail.
		_, key, _ := teamkey.Generate(random, start)
		cfg.Contracts[teamName(n)] = contract.Contract{
			Team: teamName(n), Keys: []teamkey.Key{key}, Share: int64(contract.ShareWhole / s.teams), Limit: limitPerTeam,
		}
	}
	return cfg
}

func poolName(n int) string {
	if n == 0 {
		return pool
	}
	return fmt.Sprintf("tengri/pool-%d", n)
}

// workerChange sets the leaving mark of a worker, the most frequent change on a day of
// maintenance.
func workerChange(cfg *fleet.Config, n int, version uint64) (change.Change, error) {
	name := workerName(n)
	before, err := cfg.Object(change.KindWorker, name)
	if err != nil {
		return change.Change{}, err
	}
	w := cfg.Workers[name]
	w.Leaving = !w.Leaving
	after, err := json.Marshal(w)
	return change.Change{
		ID: fmt.Sprintf("change-%d", n), Version: version, At: start.Add(time.Duration(n) * time.Second),
		Operator: "aigerim", Reason: "weekly maintenance of the rack", Action: "pool drain",
		Kind: change.KindWorker, Name: name, Before: bytes.Clone(before), After: after,
	}, err
}
